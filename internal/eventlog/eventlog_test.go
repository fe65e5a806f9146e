package eventlog

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
)

// blockingHandler is a handler that blocks until release is closed.
type blockingHandler struct {
	release chan struct{}
	mu      sync.Mutex
	n       int
}

func (s *blockingHandler) HandleLog(*log.Entry) error {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	return nil
}

func TestLoggingDoesNotWaitForASlowHandler(t *testing.T) {
	is := is.New(t)
	s := &blockingHandler{release: make(chan struct{})}
	h := New(s, time.Now)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 3 * queueCapacity {
		logger.WithField("event", "many").Info("x")
	}
	close(s.release)
	h.Close()
	is.True(s.n <= maxPerKind+queueCapacity)
	is.True(s.n > 0)
}

func TestDroppedEventsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := memory.New()
		h := New(m, time.Now)
		logger := &log.Logger{Handler: h, Level: log.InfoLevel}
		for range maxPerKind + 7 {
			logger.WithField("event", "many").Info("x")
			synctest.Wait()
		}
		time.Sleep(2 * rateWindow)
		logger.WithField("event", "other").Info("y")
		h.Close()
		var dropped any
		for _, e := range m.Entries {
			if e.Fields.Get("event") == "log_left_out" {
				dropped = e.Fields.Get("events")
			}
		}
		is.Equal(dropped, 7)
		is.Equal(len(m.Entries), maxPerKind+2)
	})
}

// countingWriter counts the writes; the first waits until release is closed.
type countingWriter struct {
	bytes.Buffer
	release chan struct{}
	writes  int
	partial int // writes that do not end with a line
}

func (w *countingWriter) Write(b []byte) (int, error) {
	<-w.release
	w.writes++
	if !bytes.HasSuffix(b, []byte("\n")) {
		w.partial++
	}
	return w.Buffer.Write(b)
}

func TestQueuedEventsAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &countingWriter{release: make(chan struct{})}
		h := NewLogfmt(w, time.Now)
		logger := &log.Logger{Handler: h, Level: log.InfoLevel}
		const events = 100
		for n := range events {
			logger.WithField("event", "start").Info(fmt.Sprint(n))
			if n == 0 {
				synctest.Wait() // the first event is being written
			}
		}
		close(w.release)
		synctest.Wait()
		// Without Close, every event has been written, in order.
		lines := bytes.Split(bytes.TrimSpace(w.Bytes()), []byte("\n"))
		is.Equal(len(lines), events)
		for n, line := range lines {
			is.True(bytes.Contains(line, []byte(fmt.Sprintf("message=%d ", n)))) // events in order
		}
		is.True(w.writes < 5) // writes for all events
		is.Equal(w.partial, 0)
		h.Close()
	})
}
