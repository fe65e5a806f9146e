package cell

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/job"
)

// Times of the link to the owner.
const (
	followWait = 250 * time.Millisecond
	// followTimeout leaves a round trip between regions and a busy owner.
	followTimeout = followWait + 450*time.Millisecond
	followPause   = 100 * time.Millisecond
	// linkSilent is how long without a reply the owner counts as lost.
	linkSilent = 900 * time.Millisecond
	// troubledAfter is the age of the owner's last commit from which it counts
	// as cut off from the store.
	troubledAfter = 1200 * time.Millisecond
)

// link is the follower's connection to the owner.
type link struct {
	busy      bool
	round     int // replies to calls of earlier rounds are not taken in
	repliedAt time.Time
	triedAt   time.Time
	epoch     int64
	after     uint64
	// ownerVersion is the configuration that the owner had at its last reply.
	ownerVersion int64
	// ownerTroubled is set while the owner cannot commit.
	ownerTroubled bool
}

func (l *link) healthy(now time.Time) bool {
	return !l.repliedAt.IsZero() && now.Sub(l.repliedAt) < linkSilent
}

func (l *link) reset() { *l = link{round: l.round + 1} }

// follow keeps one long poll at the owner.
func (c *Cell) follow(now time.Time) {
	l := &c.link
	if c.tenure != nil || l.busy || c.owner.Address == "" || c.owner.Boot == c.Self.Boot || now.Sub(l.triedAt) < followPause && !l.healthy(now) {
		return
	}
	l.busy, l.triedAt = true, now
	round, address := l.round, c.owner.Address
	req := &peerpb.Request{Kind: &peerpb.Request_Follow{Follow: &peerpb.FollowRequest{
		Epoch: l.epoch, After: l.after, WaitMs: uint32(followWait.Milliseconds()),
		Config:     c.configState(l.ownerVersion, l.ownerTroubled),
		WantConfig: c.storeFailing,
	}}}
	control.Async(c.Loop, func(ctx context.Context) (*peerpb.FollowReply, error) {
		ctx, cancel := context.WithTimeout(ctx, followTimeout)
		defer cancel()
		resp, err := c.Peers.Call(ctx, address, req)
		return resp.GetFollow(), err
	}, func(reply *peerpb.FollowReply, err error) {
		if c.link.round == round {
			c.followed(reply, err)
		}
	})
}

// followed takes in the owner's reply.
func (c *Cell) followed(reply *peerpb.FollowReply, err error) {
	l := &c.link
	now := c.Now()
	l.busy = false
	if err != nil || reply == nil {
		if l.healthy(now) {
			c.Log.WithFields(log.Fields{"event": "owner_silent", "owner": c.owner.Name, "epoch": c.owner.Epoch}).WithError(err).Warn("no reply")
		}
		l.repliedAt = time.Time{}
		c.readTried = time.Time{} // the row may name another owner by now
		return
	}
	if reply.GetEpoch() != l.epoch {
		c.news.reset()
	}
	l.repliedAt, l.epoch, l.after = now, reply.GetEpoch(), reply.GetSequence()
	l.ownerTroubled = reply.GetCommitAgeMs() > uint64(troubledAfter.Milliseconds())
	if l.ownerVersion = reply.GetConfig().GetVersion(); l.ownerVersion > c.configVersion() {
		// A small read tells sooner than that of a body whether the store answers.
		c.readTried = time.Time{}
	}
	for _, change := range reply.GetChanges() {
		c.news.set(change.GetId(), job.State(change.GetState()), now)
	}
	depths := map[string]int{}
	for _, d := range reply.GetDepths() {
		depths[d.GetQueue()] = int(d.GetPending())
	}
	c.news.refresh(depths, now)
	// The age is of a moment after the request was sent: taken from then, it
	// makes the version look older than it is, and never newer.
	age := time.Duration(reply.GetConfig().GetAgeMs()) * time.Millisecond
	c.learnConfig(reply.GetConfig(), l.triedAt.Add(-age))
	c.publish()
	c.follow(now)
}

// Handle answers other daemons. It runs on their goroutines.
func (c *Cell) Handle(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	switch kind := req.GetKind().(type) {
	case *peerpb.Request_Follow:
		return c.handleFollow(ctx, kind.Follow)
	case *peerpb.Request_News:
		return c.handleNews(ctx, kind.News)
	default:
		return peer.Refuse("request is not known")
	}
}

func (c *Cell) handleFollow(ctx context.Context, req *peerpb.FollowRequest) *peerpb.Response {
	after, epoch := req.GetAfter(), int64(0)
	known := int64(0)
	err := c.Loop.Do(ctx, func() {
		c.learnConfig(req.GetConfig(), c.configAt)
		if c.tenure != nil {
			epoch = c.tenure.record.Epoch
		}
		known = c.configVersion()
	})
	if err != nil || epoch == 0 {
		return peer.Refuse("not the owner")
	}
	first := req.GetEpoch() != epoch
	changes, _, changed := c.news.since(after, first)
	behind := req.GetConfig().GetVersion() < known
	if len(changes) == 0 && (!behind || !req.GetWantConfig()) && !first {
		timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return c.followReply(ctx, req, epoch, first)
}

// followReply describes the owner's state now.
func (c *Cell) followReply(ctx context.Context, req *peerpb.FollowRequest, epoch int64, first bool) *peerpb.Response {
	reply := &peerpb.FollowReply{Epoch: epoch}
	owner := false
	err := c.Loop.Do(ctx, func() {
		t := c.tenure
		if t == nil || t.epoch != epoch {
			return
		}
		owner = true
		reply.Config = c.configState(req.GetConfig().GetVersion(), req.GetWantConfig())
		reply.CommitAgeMs = uint64(max(0, c.Now().Sub(t.committedAt).Milliseconds()))
		for queue, n := range t.depths() {
			reply.Depths = append(reply.Depths, &peerpb.QueueDepth{Queue: queue, Pending: uint32(n)})
		}
		reply.Changes, reply.Sequence, _ = c.news.since(req.GetAfter(), first)
	})
	if err != nil || !owner {
		return peer.Refuse("not the owner")
	}
	return &peerpb.Response{Kind: &peerpb.Response_Follow{Follow: reply}}
}

// handleNews takes in jobs and cancellations that another daemon has stored.
func (c *Cell) handleNews(ctx context.Context, news *peerpb.NewsRequest) *peerpb.Response {
	var specs []job.Spec
	for _, body := range news.GetJobs() {
		var spec job.Spec
		if err := json.Unmarshal(body, &spec); err != nil {
			return peer.Refuse("job is not valid: %v", err)
		}
		specs = append(specs, spec)
	}
	owner := false
	err := c.Loop.Do(ctx, func() {
		if c.tenure != nil && news.GetEpoch() > c.tenure.record.Epoch {
			c.lose("the next owner says so")
		}
		if c.tenure == nil {
			return
		}
		owner = true
		c.tenure.accept(specs, news.GetCancelled())
	})
	if err != nil || !owner {
		return peer.Refuse("not the owner")
	}
	return &peerpb.Response{Kind: &peerpb.Response_News{News: &peerpb.NewsReply{}}}
}
