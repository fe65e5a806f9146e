package cell

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

// An owner hands its cell over by choice: the lead cell to a much larger daemon, and any other to the
// daemon that the cell map names first. It asks that daemon first.

const (
	// handoverRatio is the ratio of the largest candidate's capacity to the owner's
	// from which the owner releases the cell.
	handoverRatio = 1.5
	// handoverDelay is the minimum age of a term at its handover, in which the owner
	// learns of its followers.
	handoverDelay = time.Second
	// memberHandoverDelay is how long the cell map must name another daemon before the
	// owner of a cell releases it.
	memberHandoverDelay = 2 * time.Second
	// repeatedHandoverDelay replaces handoverDelay after a release, because no larger
	// candidate has taken over then.
	repeatedHandoverDelay = 10 * time.Second
	// consentTimeout is the timeout of the request for a successor's consent: a round trip between
	// regions, and a busy daemon.
	consentTimeout = 250 * time.Millisecond
	// declinedHandoverDelay is how long the owner keeps the cell after a successor has not consented.
	declinedHandoverDelay = 2 * time.Second
)

// mayHandOver reports whether the cell may be released by choice. A release that cannot be committed would
// only stop the owner's work, and one during the recovery makes the successor begin it anew.
func (t *term) mayHandOver(now time.Time) bool {
	return t.recovered && !t.releasing && !t.failing && !t.unconfirmed && !now.Before(t.handoverNotBefore)
}

// handOver hands the cell over by choice if it should and may.
func (t *term) handOver(now time.Time) {
	if t.askingSuccessor || !t.mayHandOver(now) {
		return
	}
	if t.c.isLead() {
		t.handOverIfSmall(now)
	} else {
		t.handOverIfNotFirst(now)
	}
}

// handOverIfNotFirst hands over a cell other than the lead cell if the cell map names
// another daemon first for some time. After a takeover, it takes a moment until the map
// names the new owner first.
func (t *term) handOverIfNotFirst(now time.Time) {
	c := t.c
	delay := memberHandoverDelay
	if t.afterRelease {
		delay = repeatedHandoverDelay
	}
	if c.role == 0 || now.Sub(c.roleSince) <= memberHandoverDelay || now.Sub(t.startedAt) <= delay {
		return
	}
	if first, ok := c.firstMember(); ok {
		t.releaseTo(first.Address, log.Fields{"reason": "cell_map", "role": c.role, "successor": first.Name})
	}
}

// firstMember returns the daemon that the cell map names first for the cell.
func (c *Cell) firstMember() (cellmap.Member, bool) {
	if c.group == nil || c.group.cellMap == nil || c.Number >= len(c.group.cellMap.Cells) {
		return cellmap.Member{}, false
	}
	members := c.group.cellMap.Cells[c.Number].Members
	if len(members) == 0 {
		return cellmap.Member{}, false
	}
	return members[0], true
}

// handOverIfSmall hands the lead cell over if a follower is much larger than this daemon.
func (t *term) handOverIfSmall(now time.Time) {
	delay := handoverDelay
	if t.afterRelease {
		delay = repeatedHandoverDelay
	}
	if t.c.MilliCPU <= 0 || now.Sub(t.startedAt) < delay {
		return
	}
	largest := t.candidates.largest(now)
	if float64(largest.milliCPU) < handoverRatio*float64(t.c.MilliCPU) {
		return
	}
	t.c.largestCandidate = largest.milliCPU
	t.releaseTo(largest.address, log.Fields{"reason": "size", "milli_cpu": t.c.MilliCPU, "largest_milli_cpu": largest.milliCPU, "successor": largest.address})
}

// releaseTo releases the cell if the daemon at an address consents to take it.
func (t *term) releaseTo(address string, fields log.Fields) {
	t.askingSuccessor = true
	req := &peerpb.Request{Kind: &peerpb.Request_Successor{Successor: &peerpb.SuccessorRequest{Cell: uint32(t.c.Number), Epoch: t.epoch}}}
	runAsync(t, consentTimeout, func(ctx context.Context) (*peerpb.SuccessorReply, error) {
		resp, err := t.c.Peers.Call(ctx, address, req)
		return resp.GetSuccessor(), err
	}, func(reply *peerpb.SuccessorReply, err error) {
		t.askingSuccessor = false
		now := t.c.Now()
		if err != nil || !reply.GetAccepts() {
			t.handoverNotBefore = now.Add(declinedHandoverDelay)
			t.c.instruments.handoversDeclined.Inc(1)
			t.log.WithFields(fields).WithFields(log.Fields{"event": "handover_declined", "answer": reply.GetReason()}).WithError(err).
				Info("the successor does not take the cell; this daemon stays its owner")
			return
		}
		if t.mayHandOver(now) {
			t.log.WithFields(fields).WithField("event", "ownership_handover").Info("releasing the cell to a daemon that takes it")
			t.release(now)
		}
	})
}

// handleSuccessor replies whether this daemon takes the cell from its owner.
func (c *Cell) handleSuccessor(ctx context.Context, req *peerpb.SuccessorRequest) *peerpb.Response {
	reply := &peerpb.SuccessorReply{}
	err := c.Loop.Do(ctx, func() { reply.Reason = c.declines(req.GetEpoch(), c.Now()) })
	if err != nil {
		return peer.Refuse("the control loop does not answer")
	}
	reply.Accepts = reply.Reason == ""
	return &peerpb.Response{Kind: &peerpb.Response_Successor{Successor: reply}}
}

// declines returns why this daemon does not take the cell from the owner of an epoch, or nothing.
func (c *Cell) declines(epoch int64, now time.Time) string {
	switch {
	case c.term != nil:
		return "owner"
	case !c.isLead() && c.role != 0:
		return "not_first"
	case !c.link.healthy(now) || c.link.epoch != epoch:
		return "not_following" // it would learn of the release late
	case c.group != nil && c.group.recovering():
		return "recovering"
	}
	return c.obstacle(now)
}

// recovering reports whether this daemon owns a cell whose recovery is not complete.
func (g *Group) recovering() bool {
	for _, c := range append(g.others(), g.lead) {
		if c.term != nil && !c.term.recovered {
			return true
		}
	}
	return false
}
