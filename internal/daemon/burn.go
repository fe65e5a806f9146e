package daemon

import (
	"context"
	"time"

	"github.com/bambooyard/bambooyard/internal/control"
)

// Intervals of the burn counts.
const (
	burnFlushInterval  = 10 * time.Second
	burnRollUpInterval = time.Hour
)

// keepBurn stores the burn counts at intervals, off the control goroutine.
func (p parts) keepBurn() {
	p.Loop.Every(burnFlushInterval, func(time.Time) { p.background("burn_flush", p.Burn.Flush) })
	p.Loop.Every(burnRollUpInterval, func(time.Time) { p.background("burn_roll_up", p.Burn.RollUp) })
}

func (p parts) background(event string, work func(context.Context) error) {
	control.Async(p.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, work(ctx)
	}, func(_ struct{}, err error) {
		if err != nil {
			p.Log.WithField("event", event+"_failed").WithError(err).Warn("tried again at the next interval")
		}
	})
}
