// Package eventlog writes log events without holding up who logs them. Events
// go through a bounded queue to a goroutine of their own; each kind of event
// has a limit a second, and what is left out is counted and reported.
package eventlog

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// Bounds of the log. A busy owner writes some 500 events a second.
const (
	queueLength = 4096
	// perKind bounds the events of one kind in a second.
	perKind = 1000
	window  = time.Second
)

// Handler is a log.Handler that hands events to another on a goroutine of its
// own. It is safe for concurrent use.
type Handler struct {
	next  log.Handler
	now   func() time.Time
	queue chan *log.Entry
	done  chan struct{}

	mu     sync.Mutex
	closed bool
	since  time.Time
	counts map[string]int // events of each kind in this window
	left   map[string]int // events left out since they were last reported
}

// New returns a handler that writes to next until Close is called.
func New(next log.Handler, now func() time.Time) *Handler {
	h := &Handler{
		next: next, now: now, queue: make(chan *log.Entry, queueLength), done: make(chan struct{}),
		counts: map[string]int{}, left: map[string]int{},
	}
	go h.run()
	return h
}

// HandleLog implements log.Handler. It never waits and never fails.
func (h *Handler) HandleLog(e *log.Entry) error {
	kind, _ := e.Fields.Get("event").(string)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	if now := h.now(); now.Sub(h.since) >= window {
		h.since = now
		clear(h.counts)
		h.report(e)
	}
	if h.counts[kind]++; h.counts[kind] > perKind {
		h.left[kind]++
		return nil
	}
	select {
	case h.queue <- e:
	default:
		h.left[kind]++
	}
	return nil
}

// report queues one event for each kind of which events were left out. The
// caller holds the lock.
func (h *Handler) report(like *log.Entry) {
	for kind, n := range h.left {
		entry := &log.Entry{
			Logger: like.Logger, Level: log.WarnLevel, Timestamp: like.Timestamp, Message: "too many events",
			Fields: log.Fields{"event": "log_left_out", "kind": kind, "events": n},
		}
		select {
		case h.queue <- entry:
			delete(h.left, kind)
		default:
			return
		}
	}
}

func (h *Handler) run() {
	defer close(h.done)
	for e := range h.queue {
		_ = h.next.HandleLog(e) // there is nowhere to say that the log fails
	}
}

// Close writes what is queued and ends the goroutine. Later events are dropped.
func (h *Handler) Close() {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	h.closed = true
	close(h.queue)
	h.mu.Unlock()
	<-h.done
}
