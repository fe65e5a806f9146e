package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// orphanGracePeriod is how long an orphan run or end is kept until the job's row
// is found: a new owner may learn of a former owner's run before it learns of the
// job. The owner reads changes twice a second.
const orphanGracePeriod = 2500 * time.Millisecond

// trackedOrphan is a listed run that was not adopted.
type trackedOrphan struct {
	entry port.RunningTask
	since time.Time
}

// orphanEnd is a listed end of a run whose job is not known.
type orphanEnd struct {
	end   port.EndedTask
	since time.Time
}

// jobIDOf returns the job ID in a task's name.
func jobIDOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// trackOrphanRun records a listed run that was not adopted. The run is stopped at once
// if its task is known or its job has ended, and after orphanGracePeriod otherwise.
func (e *Engine) trackOrphanRun(w *Worker, entry port.RunningTask, now time.Time) {
	key := runKey{entry.Task, entry.Attempt}
	_, ended := e.finalJobs[jobIDOf(entry.Task)]
	orphan, ok := w.orphanRuns[key]
	if !ok {
		orphan = trackedOrphan{entry: entry, since: now}
		e.orphanCounts[entry.Task]++
	}
	orphan.entry = entry
	w.orphanRuns[key] = orphan
	if ended || e.tasks[entry.Task] != nil || now.Sub(orphan.since) > orphanGracePeriod {
		e.out.OrphanRuns = append(e.out.OrphanRuns, OrphanRun{w, entry.Task, entry.Attempt})
	}
}

// dropOrphanRuns removes the matching orphan runs of a worker.
func (e *Engine) dropOrphanRuns(w *Worker, match func(key runKey) bool) {
	for key := range w.orphanRuns {
		if !match(key) {
			continue
		}
		delete(w.orphanRuns, key)
		if e.orphanCounts[key.task]--; e.orphanCounts[key.task] <= 0 {
			delete(e.orphanCounts, key.task)
		}
	}
}

// claimOrphans assigns the listed runs and ends of a new job to it.
func (e *Engine) claimOrphans(j *Job, now time.Time) {
	for _, w := range e.workers {
		for _, o := range slices.Clone(w.orphanEnds) {
			if jobIDOf(o.end.Task) == j.Spec.ID {
				e.handleEnd(w, o.end, now)
			}
		}
		w.orphanEnds = slices.DeleteFunc(w.orphanEnds, func(o orphanEnd) bool { return jobIDOf(o.end.Task) == j.Spec.ID })
		for key, orphan := range w.orphanRuns {
			if jobIDOf(key.task) != j.Spec.ID {
				continue
			}
			if e.adopt(w, orphan.entry, now) != nil {
				e.dropOrphanRuns(w, func(k runKey) bool { return k == key })
			}
		}
	}
}

// HasOrphanEnds reports whether the worker has listed ends of unknown jobs. The
// worker lists them again at once until they are acknowledged.
func (w *Worker) HasOrphanEnds() bool { return len(w.orphanEnds) > 0 }

// expireOrphanEnds gives up ends whose jobs have not been found in time.
func (w *Worker) expireOrphanEnds(now time.Time) {
	w.orphanEnds = slices.DeleteFunc(w.orphanEnds, func(o orphanEnd) bool { return now.Sub(o.since) > orphanGracePeriod })
}
