package cell

import (
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
)

// newLoggedCell returns a Cell that is not started, and the handler that receives
// its events at the level that a daemon prints.
func newLoggedCell() (*Cell, *memory.Handler) {
	h := memory.New()
	return New(Options{Log: &log.Logger{Handler: h, Level: log.InfoLevel}, Now: time.Now}), h
}

// eventNames returns the names of the events that a handler has received.
func eventNames(h *memory.Handler) []string {
	names := []string{}
	for _, e := range h.Entries {
		names = append(names, e.Fields.Get("event").(string))
	}
	return names
}

func TestStoreIsNotRegainedAfterAPauseWithoutCalls(t *testing.T) {
	is := is.New(t)
	c, h := newLoggedCell()
	start := time.Now()
	c.recordStoreResult(nil, start)
	c.recordStoreResult(nil, start.Add(healthyOwnerPoll))
	c.recordStoreResult(&port.RefusedError{Reason: port.RefusedStale}, start.Add(2*healthyOwnerPoll))
	is.Equal(eventNames(h), []string{})
}

func TestLossOfTheStoreIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	c, h := newLoggedCell()
	start := time.Now()
	failed := &port.UnansweredError{Op: "range", Err: errors.New("timeout")}
	c.recordStoreResult(nil, start)
	for i := range 5 {
		c.recordStoreResult(failed, start.Add(time.Duration(i+1)*time.Second))
	}
	is.Equal(eventNames(h), []string{"store_lost"})
	is.Equal(h.Entries[0].Fields.Get("since_ms"), int64(1000))
	c.recordStoreResult(nil, start.Add(6*time.Second))
	c.recordStoreResult(nil, start.Add(7*time.Second))
	is.Equal(eventNames(h), []string{"store_lost", "store_regained"})
	is.Equal(h.Entries[1].Fields.Get("since_ms"), int64(6000))
}
