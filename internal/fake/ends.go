package fake

import (
	"fmt"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
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

// acknowledge forgets the ends up to a sequence number, and records a start after one of them.
func (w *fleetWorker) acknowledge(sequence int64) {
	w.ended = slices.DeleteFunc(w.ended, func(e port.EndedTask) bool {
		if e.Sequence > sequence {
			return false
		}
		w.fleet.speculation.recordListed(e, acknowledgedFailure)
		if end := w.doneEnds[e.Sequence]; end != nil && end.startedAfter != "" && !end.lapsed {
			w.fleet.recordViolation("task %s started as %s, which was acknowledged later", e.Task, end.startedAfter)
		}
		delete(w.doneEnds, e.Sequence)
		if e.Reason == port.EndDone {
			if _, done := w.fleet.done[e.Task]; !done {
				w.fleet.done[e.Task] = w.fleet.now()
			}
		}
		return true
	})
}
