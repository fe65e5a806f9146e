package dispatch

import "time"

// minStartWindow is the least time for which a start request is worth sending: a round trip
// between regions, and a slow response.
const minStartWindow = 700 * time.Millisecond

// evacuationRoundTrip is the part of Options.MaxEvacuation that is left for the worker to
// begin a run that it has accepted, and for a round trip between regions. The 4.5 s that
// remain of the usual 5 s exceed the age of 4 s up to which lists are used.
const evacuationRoundTrip = 500 * time.Millisecond

// SetWorkersReadAt records when the read of the list of workers began.
func (e *Engine) SetWorkersReadAt(at time.Time) { e.workersReadAt = at }

// AgeWorkers makes the list of workers older, by a time in which the clock stood still.
func (e *Engine) AgeWorkers(by time.Duration) {
	e.workersReadAt = e.workersReadAt.Add(-by)
	for _, w := range e.workerList {
		if w.Entry.Draining {
			w.leavesAt = w.leavesAt.Add(-by)
		}
	}
}

// startWindow returns how long after now a start request of a task may be executed, on the
// worker's clock. A request may arrive late, so that it must expire with the capacities and
// the evacuations that it relies on.
func (e *Engine) startWindow(t *Task, now time.Time) time.Duration {
	window := e.options.StartWindow
	if e.options.MaxEvacuation > 0 {
		left := e.options.MaxEvacuation - evacuationRoundTrip - now.Sub(e.workersReadAt)
		window = min(window, time.Duration(clockRate*float64(left)))
	}
	if e.options.CapacityTTL > 0 && !t.Job.Queue.GuardsCapacity {
		left := e.options.CapacityTTL - now.Sub(e.workersReadAt)
		window = min(window, time.Duration(clockRate*float64(left)))
	}
	return window
}
