package traffic

import (
	"context"
	"sync"
)

// maxLongWaiting bounds the long requests of a service that wait for a slot.
const maxLongWaiting = 256

// longQueue is a FIFO queue of a service's long requests that wait for a slot
// for long requests. Short requests never wait in it. It is safe for concurrent
// use.
type longQueue struct {
	mu      sync.Mutex
	waiting []chan struct{}
}

// await calls pick until it reports true: at once if no request waits, and
// then whenever this request is first and a slot may have become free. It reports
// false if maxLongWaiting requests wait already, or once ctx ends.
func (q *longQueue) await(ctx context.Context, pick func() bool) bool {
	q.mu.Lock()
	if len(q.waiting) == 0 && pick() {
		q.mu.Unlock()
		return true
	}
	if len(q.waiting) >= maxLongWaiting {
		q.mu.Unlock()
		return false
	}
	notified := make(chan struct{}, 1)
	q.waiting = append(q.waiting, notified)
	q.mu.Unlock()
	defer q.remove(notified)
	for {
		select {
		case <-notified:
			if pick() {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// remove removes a request from the queue and notifies the first one.
func (q *longQueue) remove(notified chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, c := range q.waiting {
		if c == notified {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	q.notifyFirst()
}

// notify makes the first waiting request call pick again.
func (q *longQueue) notify() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notifyFirst()
}

// notifyFirst does the work of notify. The caller holds q.mu.
func (q *longQueue) notifyFirst() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0] <- struct{}{}:
	default:
	}
}
