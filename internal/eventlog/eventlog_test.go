package eventlog

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
)

// slow is a handler that does not return until it is let go.
type slow struct {
	gate chan struct{}
	mu   sync.Mutex
	n    int
}

func (s *slow) HandleLog(*log.Entry) error {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	return nil
}

func TestLoggingDoesNotWaitForASlowHandler(t *testing.T) {
	is := is.New(t)
	s := &slow{gate: make(chan struct{})}
	h := New(s, time.Now)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 3 * queueLength {
		logger.WithField("event", "many").Info("x")
	}
	close(s.gate)
	h.Close()
	is.True(s.n <= perKind+queueLength)
	is.True(s.n > 0)
}

func TestEventsLeftOutAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := memory.New()
		h := New(m, time.Now)
		logger := &log.Logger{Handler: h, Level: log.InfoLevel}
		for range perKind + 7 {
			logger.WithField("event", "many").Info("x")
			synctest.Wait()
		}
		time.Sleep(2 * window)
		logger.WithField("event", "other").Info("y")
		h.Close()
		var left any
		for _, e := range m.Entries {
			if e.Fields.Get("event") == "log_left_out" {
				left = e.Fields.Get("events")
			}
		}
		is.Equal(left, 7)
		is.Equal(len(m.Entries), perKind+2)
	})
}
