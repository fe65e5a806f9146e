package cell

import (
	"time"

	"github.com/apex/log"
)

// Constants of the choice of an owner. The owner converses with every worker, so it
// should be one of the daemons with the most processor capacity.
const (
	// candidateTTL is how long a follower counts as a candidate after its last poll;
	// followers poll four times a second.
	candidateTTL = 2 * time.Second
	// candidateSettleTime is how long after a failed call to the store a daemon is no
	// candidate, so that the cell does not follow a store that returns only briefly.
	candidateSettleTime = 5 * time.Second
	// smallerCandidateDelay is how long a daemon leaves a cell without an owner to
	// larger candidates: the time in which they acquire it, and until the daemon reads
	// that they have.
	smallerCandidateDelay = 700 * time.Millisecond
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
)

// candidates holds the followers that can acquire the cell, by daemon name.
type candidates map[string]candidate

type candidate struct {
	milliCPU int64
	seenAt   time.Time
}

// observe records a follower's poll. A follower without capacity is no candidate.
func (cs candidates) observe(name string, milliCPU int64, now time.Time) {
	if milliCPU <= 0 {
		delete(cs, name)
		return
	}
	cs[name] = candidate{milliCPU, now}
}

// largest returns the capacity of the largest candidate, or zero if there is none.
func (cs candidates) largest(now time.Time) int64 {
	most := int64(0)
	for name, c := range cs {
		if now.Sub(c.seenAt) > candidateTTL {
			delete(cs, name)
			continue
		}
		most = max(most, c.milliCPU)
	}
	return most
}

// candidateCapacity returns this daemon's capacity as a candidate, or zero if it
// cannot acquire the cell.
func (c *Cell) candidateCapacity(now time.Time) int64 {
	storeFailed := !c.storeFailedAt.IsZero() && now.Sub(c.storeFailedAt) < candidateSettleTime
	if c.stopping || storeFailed || now.Before(c.acquireNotBefore) {
		return 0
	}
	return c.MilliCPU
}

// mayHandOver reports whether the cell may be released by choice. A release that cannot be committed would
// only stop the owner's work, and one during the recovery makes the successor begin it anew.
func (t *term) mayHandOver(now time.Time) bool {
	return t.recovered && !t.failing && !t.unconfirmed && !now.Before(t.handoverNotBefore)
}

// handOverIfNotFirst releases a cell other than the lead cell if the cell map names
// another daemon first for some time. After a takeover, it takes a moment until the map
// names the new owner first.
func (t *term) handOverIfNotFirst(now time.Time) {
	c := t.c
	delay := memberHandoverDelay
	if t.afterRelease {
		delay = repeatedHandoverDelay
	}
	settled := now.Sub(c.roleSince) > memberHandoverDelay && now.Sub(t.startedAt) > delay
	if c.isLead() || c.role == 0 || !settled || !t.mayHandOver(now) {
		return
	}
	t.log.WithFields(log.Fields{"event": "ownership_handover", "role": c.role}).Info("releasing the cell to the daemon that the cell map names")
	t.release(now)
}

// handOverIfSmall releases the cell if a follower is much larger than this daemon.
func (t *term) handOverIfSmall(now time.Time) {
	delay := handoverDelay
	if t.afterRelease {
		delay = repeatedHandoverDelay
	}
	if !t.c.isLead() || t.c.MilliCPU <= 0 || now.Sub(t.startedAt) < delay || !t.mayHandOver(now) {
		return
	}
	largest := t.candidates.largest(now)
	if float64(largest) < handoverRatio*float64(t.c.MilliCPU) {
		return
	}
	t.log.WithFields(log.Fields{"event": "ownership_handover", "milli_cpu": t.c.MilliCPU, "largest_milli_cpu": largest}).Info("releasing the cell to a larger daemon")
	t.c.largestCandidate = largest
	t.release(now)
}
