package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// strayPatience is how long a run or an end of an unknown job is kept for the
// job's row to be found: a new owner may hear of what a former owner started
// before it hears of the job. The owner reads changes twice a second.
const strayPatience = 2500 * time.Millisecond

// stray is a listed run whose job is not known.
type stray struct {
	entry port.RunningTask
	since time.Time
}

// orphan is a listed end of a run whose job is not known.
type orphan struct {
	end   port.EndedTask
	since time.Time
}

// jobOf returns the ID of the job that a task's name begins with.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// keepStray takes in a listed run that no open task has. It is stopped at once
// if its job has ended, or else after a while.
func (e *Engine) keepStray(w *Worker, entry port.RunningTask, now time.Time) {
	key := runKey{entry.Task, entry.Attempt}
	_, ended := e.final[jobOf(entry.Task)]
	known, ok := w.strays[key]
	if !ok {
		known = stray{entry: entry, since: now}
		e.strayTasks[entry.Task]++
	}
	known.entry = entry
	w.strays[key] = known
	if ended || e.tasks[entry.Task] != nil || now.Sub(known.since) > strayPatience {
		e.out.OrphanRuns = append(e.out.OrphanRuns, OrphanRun{w, entry.Task, entry.Attempt})
	}
}

// dropStrays forgets the strays of a worker for which gone holds.
func (e *Engine) dropStrays(w *Worker, gone func(key runKey) bool) {
	for key := range w.strays {
		if !gone(key) {
			continue
		}
		delete(w.strays, key)
		if e.strayTasks[key.task]--; e.strayTasks[key.task] <= 0 {
			delete(e.strayTasks, key.task)
		}
	}
}

// claimStrays gives a job that has just become known what was listed of it.
func (e *Engine) claimStrays(j *Job, now time.Time) {
	for _, w := range e.workers {
		for _, o := range slices.Clone(w.orphans) {
			if jobOf(o.end.Task) == j.Spec.ID {
				e.ended(w, o.end, now)
			}
		}
		w.orphans = slices.DeleteFunc(w.orphans, func(o orphan) bool { return jobOf(o.end.Task) == j.Spec.ID })
		for key, s := range w.strays {
			if jobOf(key.task) != j.Spec.ID {
				continue
			}
			if e.adopt(w, s.entry, now) != nil {
				e.dropStrays(w, func(k runKey) bool { return k == key })
			}
		}
	}
}

// HasOrphanEnds reports whether the worker lists ends of jobs that are not known. It
// lists them again at once until they are acknowledged.
func (w *Worker) HasOrphanEnds() bool { return len(w.orphans) > 0 }

// expireOrphans gives up ends whose jobs have not been found.
func (w *Worker) expireOrphans(now time.Time) {
	w.orphans = slices.DeleteFunc(w.orphans, func(o orphan) bool { return now.Sub(o.since) > strayPatience })
}
