package fake

import (
	"context"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// DelayAlive makes the list of VMs answer d after a call arrives, with the state as of its
// arrival. Zero restores normal operation.
func (f *Fleet) DelayAlive(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.aliveDelay = d
}

// Alive implements port.Machines.
func (f *Fleet) Alive(ctx context.Context) (map[string]bool, error) {
	alive, delay := f.aliveNow()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, &port.UnansweredError{Op: "machines", Err: ctx.Err()}
		}
	}
	return alive, nil
}

// aliveNow returns the IDs of the workers whose VMs are up, and how late that is answered.
func (f *Fleet) aliveNow() (map[string]bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	alive := map[string]bool{}
	for _, w := range f.workers {
		if !w.dead {
			alive[w.entry.ID] = true
		}
	}
	return alive, f.aliveDelay
}
