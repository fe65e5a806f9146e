package cell

import (
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/job"
)

// Retention of what is known of jobs. Callers may ask for a job's state for
// two minutes after its end; the store answers for what is no longer here.
const (
	newsRetention = 5 * time.Minute
	maxChanges    = 8192
)

// jobNews is the last known state of a job.
type jobNews struct {
	state job.State
	at    time.Time
}

// newsBook holds the last known states of jobs. Entries read it from any
// goroutine; the control loop writes it.
type newsBook struct {
	mu     sync.Mutex
	states map[string]jobNews
	depths map[string]int
	// freshAt is when the owner last confirmed the states that are not final.
	freshAt time.Time

	// On the owner: the changes in order, for followers.
	sequence uint64
	changes  []*peerpb.JobChange // the last of them has number sequence
	changed  chan struct{}       // closed at the next change
}

func (b *newsBook) init() {
	b.states = map[string]jobNews{}
	b.depths = map[string]int{}
	b.changed = make(chan struct{})
}

// reset forgets what is not final: a new owner may know better.
func (b *newsBook) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.states {
		if !n.state.Final() {
			delete(b.states, id)
		}
	}
	b.freshAt = time.Time{}
	b.changes = nil
	close(b.changed)
	b.changed = make(chan struct{})
}

// set takes in a job's state. A final state never changes.
func (b *newsBook) set(id string, state job.State, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setLocked(id, state, now)
}

// setLocked is set under the lock. It reports whether the state is news.
func (b *newsBook) setLocked(id string, state job.State, now time.Time) bool {
	old, known := b.states[id]
	if known && (old.state == state || old.state.Final()) {
		return false
	}
	b.states[id] = jobNews{state, now}
	return true
}

// announce takes in a job's state and tells followers. Owner only.
func (b *newsBook) announce(id string, state job.State, now time.Time) {
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

// wake lets waiting followers have a reply at once.
func (b *newsBook) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}

// since returns the changes after a number, the number of the last one and a
// channel that is closed at the next. A follower that is new or too far behind
// gets every state that is known.
func (b *newsBook) since(after uint64, first bool) ([]*peerpb.JobChange, uint64, <-chan struct{}) {
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

// refresh takes in that the owner has confirmed the open states, and the
// depths of its queues.
func (b *newsBook) refresh(depths map[string]int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.depths, b.freshAt = depths, now
}

// state returns a job's last known state and whether it may be relied on:
// final states always, others while the owner's word is recent.
func (b *newsBook) state(id string, now time.Time) (job.State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, ok := b.states[id]
	return n.state, ok && (n.state.Final() || now.Sub(b.freshAt) < newsFresh)
}

// depth returns the number of jobs of a queue that have not begun.
func (b *newsBook) depth(queue string, now time.Time) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.depths[queue], now.Sub(b.freshAt) < newsFresh
}

// newsFresh is how old the owner's word may be: a queue's depth may be 2 s old,
// half of which is left for the way.
const newsFresh = time.Second

// prune forgets jobs that ended long ago.
func (b *newsBook) prune(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.states {
		if now.Sub(n.at) > newsRetention {
			delete(b.states, id)
		}
	}
}
