package cell

import (
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/job"
)

// Sizes of the cache. Callers may read a job's state for two minutes after its
// end; states that are not cached are read from the store.
const (
	stateRetention = 5 * time.Minute
	maxChanges     = 8192
)

// cachedState is the last known state of a job, and when it was recorded.
type cachedState struct {
	state job.State
	at    time.Time
}

// jobStateCache holds the last known states of jobs. On the owner it also holds
// the recent changes for followers. It is safe for concurrent use.
type jobStateCache struct {
	mu     sync.Mutex
	states map[string]cachedState
	depths map[string]int
	// confirmedAt is when the owner last confirmed the depths and the states that
	// are not final.
	confirmedAt time.Time

	// The changes in order, for followers; used on the owner only.
	sequence uint64
	changes  []*peerpb.JobChange // the last change has the number sequence
	changed  chan struct{}       // closed at the next change
}

func (b *jobStateCache) init() {
	b.states = map[string]cachedState{}
	b.depths = map[string]int{}
	b.changed = make(chan struct{})
}

// reset drops the states that are not final, which a new owner may have changed,
// and the changes.
func (b *jobStateCache) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.states {
		if !n.state.Final() {
			delete(b.states, id)
		}
	}
	b.confirmedAt = time.Time{}
	b.changes = nil
	close(b.changed)
	b.changed = make(chan struct{})
}

// set records a job's state. A final state is never overwritten.
func (b *jobStateCache) set(id string, state job.State, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setLocked(id, state, now)
}

// setLocked is set for callers that hold the lock. It reports whether the state
// has changed.
func (b *jobStateCache) setLocked(id string, state job.State, now time.Time) bool {
	old, known := b.states[id]
	if known && (old.state == state || old.state.Final()) {
		return false
	}
	b.states[id] = cachedState{state, now}
	return true
}

// publish records a job's state and notifies followers. It is used on the owner
// only.
func (b *jobStateCache) publish(id string, state job.State, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.setLocked(id, state, now) {
		return
	}
	b.sequence++
	b.changes = append(b.changes, &peerpb.JobChange{Id: id, State: string(state)})
	if len(b.changes) > 2*maxChanges {
		b.changes = append([]*peerpb.JobChange(nil), b.changes[maxChanges:]...)
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// notify makes waiting long polls return at once.
func (b *jobStateCache) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}

// changesAfter returns the changes after a sequence number, the number of the last
// change and a channel that is closed at the next change. For a follower that is
// new or whose changes were dropped, it returns all states.
func (b *jobStateCache) changesAfter(after uint64, first bool) ([]*peerpb.JobChange, uint64, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := b.sequence - uint64(len(b.changes))
	if !first && after >= oldest && after <= b.sequence {
		return b.changes[after-oldest:], b.sequence, b.changed
	}
	all := make([]*peerpb.JobChange, 0, len(b.states))
	for id, n := range b.states {
		all = append(all, &peerpb.JobChange{Id: id, State: string(n.state)})
	}
	return all, b.sequence, b.changed
}

// refresh records the depths of the owner's queues and the time at which the owner
// confirmed the states that are not final.
func (b *jobStateCache) refresh(depths map[string]int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.depths, b.confirmedAt = depths, now
}

// state returns a job's last known state and whether it is valid. Final states are
// always valid, other states for confirmationTTL after a confirmation.
func (b *jobStateCache) state(id string, now time.Time) (job.State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, ok := b.states[id]
	return n.state, ok && (n.state.Final() || now.Sub(b.confirmedAt) < confirmationTTL)
}

// depth returns the number of jobs of a queue that have not started, and whether
// the number is valid.
func (b *jobStateCache) depth(queue string, now time.Time) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.depths[queue], now.Sub(b.confirmedAt) < confirmationTTL
}

// confirmationTTL is the maximum age of the owner's confirmation. A reported queue
// depth may be 2 s old, half of which is left for transmission.
const confirmationTTL = time.Second

// prune drops states that were recorded more than stateRetention ago.
func (b *jobStateCache) prune(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.states {
		if now.Sub(n.at) > stateRetention {
			delete(b.states, id)
		}
	}
}
