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

// stateMoved stands for the state of a job that the owner has given to another cell, or is
// giving to one. It is that in the store.
const stateMoved job.State = ""

// cachedState is the last known state of a job, and when it was recorded.
type cachedState struct {
	state job.State
	at    time.Time
	// submitted is set while the state is only that of this daemon's own submission. If the
	// answer of the store was late, the job may have moved to another cell before, whose
	// changes are not told here.
	submitted bool
}

// jobStateCache holds the last known states of jobs. It also holds
// the recent changes for followers of an owner. It is safe for concurrent use.
type jobStateCache struct {
	mu     sync.Mutex
	states map[string]cachedState
	depths map[string]int
	// depthsAt is the time as of which the depths count every stored job.
	depthsAt time.Time
	// memoryPercent is the share of the owner's memory for open jobs that these take, as of memoryAt.
	memoryPercent uint32
	memoryAt      time.Time
	// confirmedAt is when the owner last confirmed the states that are not final.
	confirmedAt time.Time

	// The changes in order, for followers; read on the owner only.
	sequence uint64
	changes  []*peerpb.JobChange // the last change has the number sequence
	changed  chan struct{}       // closed at the next change
}

func (cache *jobStateCache) init() {
	cache.states = map[string]cachedState{}
	cache.depths = map[string]int{}
	cache.changed = make(chan struct{})
}

// reset drops the states that are not final, which a new owner may have changed,
// and the changes.
func (cache *jobStateCache) reset() {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for id, entry := range cache.states {
		if !entry.state.Final() {
			delete(cache.states, id)
		}
	}
	cache.confirmedAt, cache.depthsAt = time.Time{}, time.Time{}
	cache.changes = nil
	close(cache.changed)
	cache.changed = make(chan struct{})
}

// set records a job's state, whoever learned it, as a change for followers. A final
// state is never overwritten.
func (cache *jobStateCache) set(id string, state job.State, now time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	old, known := cache.states[id]
	if known && (old.state == state || old.state.Final()) {
		old.submitted = false
		cache.states[id] = old
		return
	}
	cache.states[id] = cachedState{state: state, at: now}
	cache.sequence++
	cache.changes = append(cache.changes, &peerpb.JobChange{Id: id, State: string(state)})
	if len(cache.changes) > 2*maxChanges {
		cache.changes = append([]*peerpb.JobChange(nil), cache.changes[maxChanges:]...)
	}
	close(cache.changed)
	cache.changed = make(chan struct{})
}

// add records the state of a job that this daemon has submitted, if it is not known. What
// the owner has told is kept.
func (cache *jobStateCache) add(id string, state job.State, now time.Time) {
	cache.mu.Lock()
	_, known := cache.states[id]
	cache.mu.Unlock()
	if known {
		return
	}
	cache.set(id, state, now)
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if entry := cache.states[id]; entry.state == state {
		entry.submitted = true
		cache.states[id] = entry
	}
}

// notify makes waiting long polls return at once.
func (cache *jobStateCache) notify() {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	close(cache.changed)
	cache.changed = make(chan struct{})
}

// changesAfter returns the changes after a sequence number, the number of the last
// change and a channel that is closed at the next change. For a follower that is
// new or whose changes were dropped, it returns all states.
func (cache *jobStateCache) changesAfter(after uint64, first bool) ([]*peerpb.JobChange, uint64, <-chan struct{}) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	oldest := cache.sequence - uint64(len(cache.changes))
	if !first && after >= oldest && after <= cache.sequence {
		return cache.changes[after-oldest:], cache.sequence, cache.changed
	}
	all := make([]*peerpb.JobChange, 0, len(cache.states))
	for id, entry := range cache.states {
		all = append(all, &peerpb.JobChange{Id: id, State: string(entry.state)})
	}
	return all, cache.sequence, cache.changed
}

// confirm records that the owner confirmed the states that are not final now, and
// the depths of its queues. The depths count every job that was stored at depthsAt.
func (cache *jobStateCache) confirm(now time.Time, depths map[string]int, depthsAt time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.confirmedAt, cache.depths, cache.depthsAt = now, depths, depthsAt
}

// setDepths records the depths of the queues, which count every job that was stored at
// depthsAt, without a confirmation of states.
func (cache *jobStateCache) setDepths(depths map[string]int, depthsAt time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if depthsAt.After(cache.depthsAt) {
		cache.depths, cache.depthsAt = depths, depthsAt
	}
}

// setMemory records the share of the owner's memory for open jobs that these take, in percent, as of a
// time.
func (cache *jobStateCache) setMemory(percent uint32, at time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.memoryPercent, cache.memoryAt = percent, at
}

// memory returns that share, or zero if it is not known.
func (cache *jobStateCache) memory(now time.Time) uint32 {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if now.Sub(cache.memoryAt) >= depthTTL {
		return 0
	}
	return cache.memoryPercent
}

// state returns a job's last known state and whether it is valid. Final states are
// always valid, other states for confirmationTTL after a confirmation.
func (cache *jobStateCache) state(id string, now time.Time) (job.State, bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	entry, ok := cache.states[id]
	if entry.submitted && now.Sub(entry.at) > submittedTTL {
		return "", false
	}
	return entry.state, ok && entry.state != stateMoved && (entry.state.Final() || now.Sub(cache.confirmedAt) < confirmationTTL)
}

// depth returns the number of jobs of a queue that have not started, and whether
// the number is valid.
func (cache *jobStateCache) depth(queue string, now time.Time) (int, bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.depths[queue], now.Sub(cache.depthsAt) < depthTTL
}

const (
	// submittedTTL is how long the state of a daemon's own submission is used before the owner
	// has told it. By then the owner has been notified, or has found the job in its scan.
	submittedTTL = 2 * time.Second
	// confirmationTTL is the maximum age of the owner's confirmation of a state.
	confirmationTTL = time.Second
	// depthTTL is the maximum age of a queue's depth, set by the platform.
	depthTTL = 2 * time.Second
)

// prune drops states that were recorded more than stateRetention ago, except those of open jobs.
func (cache *jobStateCache) prune(now time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for id, entry := range cache.states {
		if open := !entry.state.Final() && entry.state != stateMoved && !entry.submitted; !open && now.Sub(entry.at) > stateRetention {
			delete(cache.states, id)
		}
	}
}
