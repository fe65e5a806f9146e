package fake

import (
	"fmt"
	"time"
)

// doneEnd is the end of a task that is done. A task must not be started after such an end that
// is acknowledged later, unless the worker's lease has expired between the two.
type doneEnd struct {
	task         string
	at           time.Time
	lapsed       bool
	startedAfter string // where and when the task was started after the end; empty if it was not
}

// lapseEnds records that the lease has expired after the ends that are not acknowledged.
func (w *fleetWorker) lapseEnds(clock time.Duration) {
	if w.leaseEnd < clock {
		for _, end := range w.doneEnds {
			end.lapsed = true
		}
	}
}

// recordStartAfterEnd records a start for the ends of the task that are not acknowledged.
func (f *Fleet) recordStartAfterEnd(task, on string, attempt int) {
	for _, w := range f.workers {
		for _, end := range w.doneEnds {
			if end.task == task && !w.dead && !end.lapsed && end.startedAfter == "" {
				end.startedAfter = fmt.Sprintf("attempt %d on %s, %s after its end on %s", attempt, on, f.now().Sub(end.at), w.entry.ID)
			}
		}
	}
}
