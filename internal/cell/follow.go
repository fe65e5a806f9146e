package cell

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Intervals and timeouts of the long poll to the owner.
const (
	followWait = 250 * time.Millisecond
	// followTimeout leaves 450 ms for a round trip between regions and a slow
	// response of a busy owner.
	followTimeout    = followWait + 450*time.Millisecond
	followRetryDelay = 100 * time.Millisecond
	// linkTimeout is the time without a reply after which the owner counts as
	// unreachable.
	linkTimeout = 900 * time.Millisecond
	// staleCommitAfter is the age of the owner's last commit from which the owner
	// counts as partitioned from the store.
	staleCommitAfter = 1200 * time.Millisecond
)

// link is the state of a follower's long poll to the owner. It belongs to the
// control loop.
type link struct {
	inFlight   bool
	generation int // replies to calls of earlier generations are ignored
	lastReply  time.Time
	repliedAt  time.Time // as lastReply, but kept when a poll fails
	sentAt     time.Time
	epoch      int64
	sequence   uint64
	// ownerConfigVersion is the version of the owner's configuration at its last
	// reply.
	ownerConfigVersion int64
	// ownerAcceptsGzip is set if the owner reads compressed configurations.
	ownerAcceptsGzip bool
	// configBodyLarge is set if the owner's configuration is newer and large, and behindSince is
	// when its version was first seen.
	configBodyLarge bool
	behindSince     time.Time
	// refused is set if the last poll was refused: the daemon at the owner's address
	// does not own the cell, or no daemon listens there.
	refused bool
	// ownerCommitStale is set while the owner's last commit is older than
	// staleCommitAfter.
	ownerCommitStale bool
}

func (l *link) healthy(now time.Time) bool {
	return !l.lastReply.IsZero() && now.Sub(l.lastReply) < linkTimeout
}

func (l *link) reset() { *l = link{generation: l.generation + 1} }

// follow starts a long poll to the owner unless one is in flight.
func (c *Cell) follow(now time.Time) {
	l := &c.link
	if c.term != nil || l.inFlight || c.owner.Address == "" || c.owner.Boot == c.Self.Boot || now.Sub(l.sentAt) < followRetryDelay && !l.healthy(now) {
		return
	}
	l.inFlight, l.sentAt = true, now
	generation, address, suspended := l.generation, c.owner.Address, c.suspendedFor
	follow := &peerpb.FollowRequest{
		Cell: uint32(c.Number), Epoch: l.epoch, After: l.sequence, WaitMs: uint32(followWait.Milliseconds()),
		Config:     c.configToOwner(),
		WantConfig: c.storeFailing && c.isLead(), AcceptsGzip: true,
		Sender: c.Self.Name, Address: c.Self.Address, CandidateMilliCpu: uint64(c.candidateCapacity(now)),
	}
	if c.group != nil && c.isLead() {
		c.group.describe(follow, now)
	}
	req := &peerpb.Request{Kind: &peerpb.Request_Follow{Follow: follow}}
	control.Async(c.Loop, func(ctx context.Context) (followed, error) {
		ctx, cancel := context.WithTimeout(ctx, followTimeout)
		defer cancel()
		resp, err := c.Peers.Call(ctx, address, req)
		reply := resp.GetFollow()
		return followed{reply, c.decodeConfig(reply.GetConfig())}, err
	}, func(f followed, err error) {
		if c.link.generation == generation {
			c.link.sentAt = c.link.sentAt.Add(-c.suspendedSince(suspended))
			c.handleFollowReply(f, err)
		}
	})
}

// followed is the reply to a poll, and the configuration in it, if any.
type followed struct {
	reply  *peerpb.FollowReply
	config *port.Config
}

// handleFollowReply handles the owner's reply, or the failure of the poll.
func (c *Cell) handleFollowReply(f followed, err error) {
	l, reply := &c.link, f.reply
	now := c.Now()
	l.inFlight = false
	if err != nil || reply == nil {
		if l.healthy(now) {
			c.Log.WithFields(log.Fields{"event": "owner_silent", "owner": c.owner.Name, "epoch": c.owner.Epoch}).WithError(err).Warn("no reply from the owner")
		}
		l.lastReply, l.refused = time.Time{}, isRefusal(err)
		c.ownerReadTriedAt = time.Time{} // read the row at once: there may be a new owner
		return
	}
	if reply.GetEpoch() != l.epoch {
		c.jobStates.reset()
	}
	l.repliedAt = now
	l.lastReply, l.epoch, l.sequence, l.refused = now, reply.GetEpoch(), reply.GetSequence(), false
	l.ownerAcceptsGzip = reply.GetAcceptsGzip()
	c.largestCandidate = int64(reply.GetLargestCandidateMilliCpu())
	l.ownerCommitStale = reply.GetCommitAgeMs() > uint64(staleCommitAfter.Milliseconds())
	l.configBodyLarge = reply.GetConfig().GetGzipBytes() > 0
	if version := reply.GetConfig().GetVersion(); version != l.ownerConfigVersion {
		l.ownerConfigVersion, l.behindSince = version, now
	}
	if l.ownerConfigVersion > c.configVersion() {
		// Reading the small row shows sooner than reading a configuration whether
		// the store is available.
		c.ownerReadTriedAt = time.Time{}
	}
	for _, change := range reply.GetChanges() {
		c.jobStates.set(change.GetId(), job.State(change.GetState()), now)
	}
	// The owner computed the ages after the request was sent. Subtracting them from
	// the time of sending makes the configuration and the depths look older than
	// they are, but never newer.
	if !reply.GetLoading() {
		c.jobStates.confirm(now, depthsByQueue(reply.GetDepths()), l.sentAt.Add(-milliseconds(reply.GetDepthsAgeMs())))
		c.jobStates.setMemory(reply.GetMemoryPercent(), now)
	}
	if c.isLead() {
		c.reportedEvacuations = decodeEvacuations(reply.GetEvacuations())
		c.receiveConfig(reply.GetConfig(), f.config, l.sentAt.Add(-milliseconds(reply.GetConfig().GetAgeMs())))
		if holder := reply.GetConfig().GetHolder(); holder != "" {
			c.fetchConfig(holder)
		}
		if c.group != nil {
			c.group.receive(reply, l.sentAt)
		}
	}
	c.publish()
	c.follow(now)
}

// isRefusal reports whether a call has failed because the daemon refused it, or because
// no daemon listens at the address. Other failures may be those of a slow daemon.
func isRefusal(err error) bool {
	var refused *peer.RefusedError
	return errors.As(err, &refused) || errors.Is(err, syscall.ECONNREFUSED)
}

func milliseconds(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

func depthsByQueue(list []*peerpb.QueueDepth) map[string]int {
	depths := map[string]int{}
	for _, d := range list {
		depths[d.GetQueue()] = int(d.GetPending())
	}
	return depths
}

// Handle handles a request of another daemon. It is safe for concurrent use.
func (c *Cell) Handle(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	switch kind := req.GetKind().(type) {
	case *peerpb.Request_Follow:
		return c.handleFollow(ctx, kind.Follow)
	case *peerpb.Request_News:
		return c.handleNews(ctx, kind.News)
	case *peerpb.Request_State:
		return c.handleState(ctx, kind.State)
	case *peerpb.Request_CellLoad:
		return c.handleLoad(ctx, kind.CellLoad)
	case *peerpb.Request_Config:
		return c.handleConfig(ctx, kind.Config)
	case *peerpb.Request_Successor:
		return c.handleSuccessor(ctx, kind.Successor)
	default:
		return peer.Refuse("request is not known")
	}
}

// handleFollow replies to a follower's long poll at the next change, or after the
// wait that the follower requested. A follower that is new or behind gets a reply at
// once.
func (c *Cell) handleFollow(ctx context.Context, req *peerpb.FollowRequest) *peerpb.Response {
	after, epoch := req.GetAfter(), int64(0)
	known := int64(0)
	config := c.decodeConfig(req.GetConfig())
	err := c.Loop.Do(ctx, func() {
		if c.isLead() {
			c.receiveConfig(req.GetConfig(), config, c.configConfirmedAt)
		}
		if c.term != nil {
			epoch = c.term.record.Epoch
			c.term.candidates.observe(req.GetSender(), req.GetAddress(), int64(req.GetCandidateMilliCpu()), c.Now())
			if c.group != nil && c.isLead() {
				c.group.observeDaemon(req, c.Now())
			}
		}
		known = c.configVersion()
	})
	if err != nil || epoch == 0 {
		return peer.Refuse("not the owner")
	}
	first := req.GetEpoch() != epoch
	changes, _, changed := c.jobStates.changesAfter(after, first)
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

// followReply builds a reply from the owner's current state.
func (c *Cell) followReply(ctx context.Context, req *peerpb.FollowRequest, epoch int64, first bool) *peerpb.Response {
	reply := &peerpb.FollowReply{Epoch: epoch}
	owner := false
	err := c.Loop.Do(ctx, func() {
		t := c.term
		if t == nil || t.epoch != epoch {
			return
		}
		owner = true
		reply.Config, reply.AcceptsGzip = c.configReply(req), true
		now := c.Now()
		reply.CommitAgeMs = uint64(max(0, now.Sub(t.committedAt).Milliseconds()))
		reply.LargestCandidateMilliCpu = uint64(t.largestFollower(now))
		reply.Loading = !t.loaded
		if t.loaded {
			reply.DepthsAgeMs = uint64(max(0, now.Sub(t.jobsReadAt).Milliseconds()))
			reply.Depths = encodeDepths(t.depths())
			reply.MemoryPercent = t.memoryPercent()
		}
		if c.isLead() {
			reply.Evacuations = encodeEvacuations(t.engine.Evacuations())
		}
		reply.Changes, reply.Sequence, _ = c.jobStates.changesAfter(req.GetAfter(), first)
		if c.group != nil && c.isLead() {
			c.group.inform(req, reply, now)
		}
	})
	if err != nil || !owner {
		return peer.Refuse("not the owner")
	}
	return &peerpb.Response{Kind: &peerpb.Response_Follow{Follow: reply}}
}

// handleNews handles jobs and cancellations that another daemon has stored, and
// the notification of a newer owner.
func (c *Cell) handleNews(ctx context.Context, news *peerpb.NewsRequest) *peerpb.Response {
	var jobs []storedJob
	for _, body := range news.GetJobs() {
		var stored storedJob
		if err := json.Unmarshal(body, &stored); err != nil {
			return peer.Refuse("job is not valid: %v", err)
		}
		jobs = append(jobs, stored)
	}
	owner := false
	err := c.Loop.Do(ctx, func() {
		if c.term != nil && news.GetEpoch() > c.term.record.Epoch {
			c.loseOwnership("a daemon with a higher epoch owns the cell")
		}
		if c.term == nil {
			return
		}
		owner = true
		c.term.acceptStored(jobs, news.GetCancelled())
		if news.GetTransferred() {
			c.term.readTransferred()
		}
	})
	if err != nil || !owner {
		return peer.Refuse("not the owner")
	}
	return &peerpb.Response{Kind: &peerpb.Response_News{News: &peerpb.NewsReply{}}}
}
