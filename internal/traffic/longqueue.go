package traffic

import (
	"context"
	"sync"
)

// maxWaitingLong bounds the long requests that wait for a slot.
const maxWaitingLong = 256

// longQueue lets long requests of one service wait for a slot that long work
// may take, first come first served. Short work never waits in it.
type longQueue struct {
	mu      sync.Mutex
	waiting []chan struct{}
}

// try runs pick at once, or when it is this request's turn and a slot may have
// come free, until pick reports true. It reports false at once when too many
// wait, or when ctx ends.
func (q *longQueue) try(ctx context.Context, pick func() bool) bool {
	q.mu.Lock()
	if len(q.waiting) == 0 && pick() {
		q.mu.Unlock()
		return true
	}
	if len(q.waiting) >= maxWaitingLong {
		q.mu.Unlock()
		return false
	}
	turn := make(chan struct{}, 1)
	q.waiting = append(q.waiting, turn)
	q.mu.Unlock()
	defer q.remove(turn)
	for {
		select {
		case <-turn:
			if pick() {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// remove takes a request out and lets the next one try.
func (q *longQueue) remove(turn chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, t := range q.waiting {
		if t == turn {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	q.wakeFirst()
}

// wake lets the first waiting request try.
func (q *longQueue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

func (q *longQueue) wakeFirst() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0] <- struct{}{}:
	default:
	}
}
