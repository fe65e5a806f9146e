package cell

import "time"

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
)

// candidates holds the followers that can acquire the cell, by daemon name.
type candidates map[string]candidate

type candidate struct {
	// address is where other daemons reach the follower; empty if it is not known.
	address  string
	milliCPU int64
	seenAt   time.Time
}

// observe records a follower's poll. A follower without capacity is no candidate.
func (cs candidates) observe(name, address string, milliCPU int64, now time.Time) {
	if milliCPU <= 0 {
		delete(cs, name)
		return
	}
	cs[name] = candidate{address, milliCPU, now}
}

// largest returns the largest candidate, and among equals the one that was seen last, or none, whose
// capacity is zero.
func (cs candidates) largest(now time.Time) candidate {
	var most candidate
	for name, c := range cs {
		if now.Sub(c.seenAt) > candidateTTL {
			delete(cs, name)
			continue
		}
		if c.milliCPU > most.milliCPU || c.milliCPU == most.milliCPU && c.seenAt.After(most.seenAt) {
			most = c
		}
	}
	return most
}

// largestFollower returns the capacity of the largest daemon that may acquire the lead cell if it loses its
// owner, or zero if there is none. Those that no cell is handed over to, because they were without
// the store lately, count as well: smaller daemons leave the cell to them for a moment.
func (t *term) largestFollower(now time.Time) int64 {
	most := t.candidates.largest(now).milliCPU
	if t.c.group == nil || !t.c.isLead() {
		return most
	}
	for _, d := range t.c.group.daemons {
		if now.Sub(d.seenAt) < daemonTTL && !d.Stopping {
			most = max(most, d.MilliCPU)
		}
	}
	return most
}

// candidateCapacity returns this daemon's capacity as a candidate, or zero if it
// cannot acquire the cell.
func (c *Cell) candidateCapacity(now time.Time) int64 {
	if c.obstacle(now) != "" {
		return 0
	}
	return c.MilliCPU
}

// obstacle returns what keeps this daemon from acquiring the cell, or nothing.
func (c *Cell) obstacle(now time.Time) string {
	switch {
	case c.stopping:
		return "stopping"
	case !c.storeFailedAt.IsZero() && now.Sub(c.storeFailedAt) < candidateSettleTime:
		return "store"
	case now.Before(c.acquireNotBefore):
		return "recovery_failed"
	}
	return ""
}
