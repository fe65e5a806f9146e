package fake

import (
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// evacuation is an evacuation of a data centre.
type evacuation struct {
	// since is when the store acknowledged it, and bound the time after which no task may
	// start.
	since time.Time
	bound time.Duration
}

// Evacuate evacuates a data centre: the list shows it at once, and a start there later than
// bound is a violation.
func (f *Fleet) Evacuate(dataCentre string, bound time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations[dataCentre] = evacuation{f.now(), bound}
}

// WithdrawEvacuation ends the evacuation of a data centre.
func (f *Fleet) WithdrawEvacuation(dataCentre string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.evacuations, dataCentre)
}

// withEvacuation returns an entry of the list with the evacuation of its data centre.
func (f *Fleet) withEvacuation(entry port.WorkerEntry) port.WorkerEntry {
	_, entry.Evacuating = f.evacuations[entry.DataCentre]
	return entry
}

// checkEvacuation records a violation if a task starts in a data centre under evacuation.
func (f *Fleet) checkEvacuation(w *fleetWorker, task string) {
	e, ok := f.evacuations[w.entry.DataCentre]
	if late := f.now().Sub(e.since) - e.bound; ok && late > 0 {
		f.recordViolation("task %s started on %s in %s, %s too late after the evacuation", task, w.entry.ID, w.entry.DataCentre, late)
	}
}

// RunningIn returns the number of running tasks in a data centre.
func (f *Fleet) RunningIn(dataCentre string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		if w.entry.DataCentre == dataCentre {
			w.advance()
			n += len(w.runs)
		}
	}
	return n
}

// SetTaskDuration replaces the function that returns how long a task runs, for later starts.
func (f *Fleet) SetTaskDuration(taskDuration func(task string) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taskDuration = taskDuration
}

// RunningTasksOf returns the number of tasks of a job that run.
func (f *Fleet) RunningTasksOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, runs := range f.running {
		if jobID, _, _ := strings.Cut(task, "."); jobID == id && runs > 0 {
			n++
		}
	}
	return n
}
