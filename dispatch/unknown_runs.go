package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// unknownJobGracePeriod is how long at least an unknown run or unmatched end is kept until the
// job's row is found: a new owner may learn of a former owner's run before it learns
// of the job. The owner reads changes twice a second.
const unknownJobGracePeriod = 2500 * time.Millisecond

// trackedUnknownRun is an unknown run: it was listed, but not adopted.
type trackedUnknownRun struct {
	entry port.RunningTask
	since time.Time
}

// unmatchedEnd is a listed end of a run whose job is not known.
type unmatchedEnd struct {
	end   port.EndedTask
	since time.Time
}

// jobIDOf returns the job ID in a task's name.
func jobIDOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// trackUnknownRun records a listed run that was not adopted. The run is stopped at once
// if its task is known or its job has ended, and after unknownJobGracePeriod otherwise.
func (e *Engine) trackUnknownRun(w *Worker, entry port.RunningTask, now time.Time) {
	key := runKey{entry.Task, entry.Attempt}
	_, ended := e.finalJobs[jobIDOf(entry.Task)]
	tracked, ok := w.unknownRuns[key]
	if !ok {
		tracked = trackedUnknownRun{entry: entry, since: now}
		e.unknownRunCounts[entry.Task]++
	}
	tracked.entry = entry
	w.unknownRuns[key] = tracked
	if _, open := e.find(entry.Task); ended || open != nil || now.Sub(tracked.since) > unknownJobGracePeriod {
		e.out.UnknownRuns = append(e.out.UnknownRuns, UnknownRun{w, entry.Task, entry.Attempt})
	}
}

// dropUnknownRuns removes the matching unknown runs of a worker.
func (e *Engine) dropUnknownRuns(w *Worker, match func(key runKey) bool) {
	for key := range w.unknownRuns {
		if !match(key) {
			continue
		}
		delete(w.unknownRuns, key)
		if e.unknownRunCounts[key.task]--; e.unknownRunCounts[key.task] <= 0 {
			delete(e.unknownRunCounts, key.task)
		}
	}
}

// claimRunsAndEnds assigns the listed runs and ends of a new job to it.
func (e *Engine) claimRunsAndEnds(j *Job, now time.Time) {
	for _, w := range e.workers {
		if len(w.unmatchedEnds)+len(w.unknownRuns) == 0 {
			continue
		}
		for _, u := range slices.Clone(w.unmatchedEnds) {
			if jobIDOf(u.end.Task) == j.Spec.ID {
				e.handleEnd(w, u.end, now)
			}
		}
		w.unmatchedEnds = slices.DeleteFunc(w.unmatchedEnds, func(u unmatchedEnd) bool { return jobIDOf(u.end.Task) == j.Spec.ID })
		for key, tracked := range w.unknownRuns {
			if jobIDOf(key.task) != j.Spec.ID {
				continue
			}
			if e.adopt(w, tracked.entry, now) != nil {
				e.dropUnknownRuns(w, func(k runKey) bool { return k == key })
			}
		}
	}
}

// HasUnmatchedEnds reports whether the worker has listed ends of unknown jobs. The
// worker lists them again at once until they are acknowledged.
func (w *Worker) HasUnmatchedEnds() bool { return len(w.unmatchedEnds) > 0 }

// HandleJobsRead records that all jobs that were accepted before a time have been added.
func (e *Engine) HandleJobsRead(acceptedBefore time.Time) {
	if acceptedBefore.After(e.jobsKnownAt) {
		e.jobsKnownAt = acceptedBefore
	}
}

// expireUnmatchedEnds gives up ends whose jobs have not been found in time, and were
// still missing when the jobs were read after the end was listed.
func (w *Worker) expireUnmatchedEnds(now, jobsKnownAt time.Time) {
	w.unmatchedEnds = slices.DeleteFunc(w.unmatchedEnds, func(u unmatchedEnd) bool {
		return now.Sub(u.since) > unknownJobGracePeriod && jobsKnownAt.After(u.since)
	})
}
