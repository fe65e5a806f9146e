package daemon

import (
	"context"
	"time"

	"github.com/bambooyard/bambooyard/internal/control"
)

// Intervals at which the burn counts are stored and rolled up.
const (
	burnFlushInterval  = 10 * time.Second
	burnRollUpInterval = time.Hour
)

// scheduleBurnJobs flushes and rolls up the burn counts periodically, outside
// the control goroutine.
func (p components) scheduleBurnJobs() {
	p.Loop.Every(burnFlushInterval, func(time.Time) { p.runAsync("burn_flush", p.Burn.Flush) })
	p.Loop.Every(burnRollUpInterval, func(time.Time) { p.runAsync("burn_roll_up", p.Burn.RollUp) })
}

// runAsync runs work outside the control goroutine and logs a failure as the
// event with the suffix _failed.
func (p components) runAsync(event string, work func(context.Context) error) {
	control.Async(p.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, work(ctx)
	}, func(_ struct{}, err error) {
		if err != nil {
			p.Log.WithField("event", event+"_failed").WithError(err).Warn("background work failed; retrying at the next interval")
		}
	})
}
