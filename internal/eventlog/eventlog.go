// Package eventlog writes log events without blocking the caller. A bounded queue
// passes the events to a separate goroutine. Each kind of event has a rate limit;
// events that exceed it, or that do not fit in the queue, are dropped, counted and
// reported.
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// Limits of the log. A busy owner logs about 500 events per second.
const (
	queueCapacity = 4096
	// maxPerKind is the maximum number of events of one kind per rateWindow.
	maxPerKind = 1000
	rateWindow = time.Second
	// bufferBytes is the size from which buffered events are written. With one more event,
	// it is below PIPE_BUF, 4 kB: longer writes to a pipe may be split, and a collector
	// that reads the parts loses the end of a line.
	bufferBytes = 3 << 10
)

// Handler is a log.Handler that passes events to another handler on a separate
// goroutine. It is safe for concurrent use.
type Handler struct {
	next log.Handler
	// flush writes what next has buffered, unless more events are queued and there is
	// space for them; nil if next buffers nothing.
	flush func(queued int) error
	now   func() time.Time
	queue chan *log.Entry
	done  chan struct{}

	mu          sync.Mutex
	closed      bool
	windowStart time.Time
	counts      map[string]int // events by kind since windowStart
	dropped     map[string]int // events dropped by kind since the last report
}

// New returns a handler that writes to next and starts its goroutine, which runs
// until Close is called.
func New(next log.Handler, now func() time.Time) *Handler { return start(next, nil, now) }

// NewLogfmt is like New for a handler that writes logfmt to w. Events that are queued
// at the same time are written together, because each write is a system call. No write
// splits a line.
func NewLogfmt(w io.Writer, now func() time.Time) *Handler {
	buffer := &bytes.Buffer{}
	return start(logfmt.New(buffer), func(queued int) error {
		if queued > 0 && buffer.Len() < bufferBytes {
			return nil
		}
		_, err := buffer.WriteTo(w)
		return err
	}, now)
}

func start(next log.Handler, flush func(queued int) error, now func() time.Time) *Handler {
	h := &Handler{
		next: next, flush: flush, now: now, queue: make(chan *log.Entry, queueCapacity), done: make(chan struct{}),
		counts: map[string]int{}, dropped: map[string]int{},
	}
	go h.run()
	return h
}

// HandleLog implements log.Handler. It never blocks on the next handler, and its
// error is always nil.
func (h *Handler) HandleLog(e *log.Entry) error {
	kind, _ := e.Fields.Get("event").(string)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	if now := h.now(); now.Sub(h.windowStart) >= rateWindow {
		h.windowStart = now
		clear(h.counts)
		h.reportDropped(e)
	}
	if h.counts[kind]++; h.counts[kind] > maxPerKind {
		h.dropped[kind]++
		return nil
	}
	select {
	case h.queue <- e:
	default:
		h.dropped[kind]++
	}
	return nil
}

// reportDropped queues one event for each kind with dropped events, with the logger
// and timestamp of template. Counts that do not fit in the queue remain for the
// next report. The caller must hold h.mu.
func (h *Handler) reportDropped(template *log.Entry) {
	for kind, n := range h.dropped {
		entry := &log.Entry{
			Logger: template.Logger, Level: log.WarnLevel, Timestamp: template.Timestamp, Message: "too many events",
			Fields: log.Fields{"event": "log_left_out", "kind": kind, "events": n},
		}
		select {
		case h.queue <- entry:
			delete(h.dropped, kind)
		default:
			return
		}
	}
}

// run writes queued events until the queue is closed. No event stays buffered while
// the queue is empty.
func (h *Handler) run() {
	defer close(h.done)
	for e := range h.queue {
		_ = h.next.HandleLog(e) // a failure to log cannot be logged
		if h.flush != nil {
			_ = h.flush(len(h.queue))
		}
	}
}

// Close writes the queued events and waits for the goroutine to end. Later events
// are dropped without being counted.
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
