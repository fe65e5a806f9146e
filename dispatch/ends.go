package dispatch

import (
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// handleEnd handles a listed end of a run.
func (e *Engine) handleEnd(w *Worker, end port.EndedTask, now time.Time) {
	r := w.runs[runKey{end.Task, end.Attempt}]
	var t *Task
	if r == nil {
		t = e.taskOfEnd(w, end, now)
	} else {
		t = r.Task
		w.detach(r)
		w.updateShares(r, now)
		t.readyAt = time.Time{}
	}
	e.trackFailures(w, r, end, now)
	if t == nil || t.Job.State.Final() {
		return
	}
	if end.Checkpoint != "" && (r == nil || r.leads()) {
		t.Checkpoint = end.Checkpoint
	}
	t.noteFormerRun()
	t.Attempt = max(t.Attempt, end.Attempt)
	e.markChanged(t.Job, true)
	e.markStarted(t.Job)
	switch end.Reason {
	case port.EndDone:
		if r != nil {
			e.observeRunTime(r, now)
			t.Job.recordFinished(r, now)
			e.recordRace(r)
		}
		e.markDone(t)
	case port.EndFailed:
		e.recordFailure(t, w, end.Attempt)
	default:
	}
	if r != nil && end.Reason != port.EndDone {
		e.stopGang(r)
	}
}

// taskOfEnd returns the task of an end of a run that is not known, or nil if the end tells nothing: all tasks
// of the step are done, the job has ended, or it is not known yet.
func (e *Engine) taskOfEnd(w *Worker, end port.EndedTask, now time.Time) *Task {
	t, j := e.find(end.Task)
	_, final := e.finalJobs[jobIDOf(end.Task)]
	switch {
	case t != nil || final:
	case j != nil:
		e.markChanged(j, true) // the end is acknowledged after a commit
	default:
		w.unmatchedEnds = append(w.unmatchedEnds, unmatchedEnd{end, now})
	}
	return t
}

// trackFailures counts a worker's consecutive failures and backs off from it. A run that
// was started in a backoff does not extend it: the others would wait for as long as a
// service fails. r is nil if the run is not known.
func (e *Engine) trackFailures(w *Worker, r *Run, end port.EndedTask, now time.Time) {
	switch end.Reason {
	case port.EndDone:
		w.consecutiveFailures = 0
	case port.EndFailed:
		w.consecutiveFailures++
		if w.consecutiveFailures >= failureThreshold && (r == nil || !r.inBackoff) {
			backoff := failureBackoff << min(w.consecutiveFailures-failureThreshold, maxFailureDoublings)
			w.backoffUntil = later(w.backoffUntil, now.Add(backoff))
		}
	default:
	}
}

// A worker with consecutive failed runs gets no work for a backoff that doubles
// with each further failure. A single failure is normal: a few percent of tasks
// fail on healthy workers. The tasks may be at fault, so it is the last choice of
// interrupted services, and not barred.
const (
	failureThreshold    = 2
	failureBackoff      = 2 * time.Second
	maxFailureDoublings = 3
)

// markDone marks a task as done, whichever of its runs has completed.
func (e *Engine) markDone(t *Task) {
	if t.Done {
		return
	}
	o := t.occurrence
	if t.Step.Gang {
		// The completion of one member completes the whole gang.
		for _, member := range o.tasks[t.ID.Step] {
			member.setDone()
		}
		o.pending[t.ID.Step] = 0
	} else {
		t.setDone()
		o.pending[t.ID.Step]--
		for _, r := range t.Runs {
			e.stop(r, StopEnded)
		}
	}
	if o.pending[t.ID.Step] == 0 {
		e.endStep(t.Job, o, t.ID.Step)
	}
	if t.Job.complete() {
		e.finish(t.Job, job.Completed)
	}
}

// recordFailure counts a failed attempt and fails the job after MaxAttempts.
func (e *Engine) recordFailure(t *Task, w *Worker, attempt int) {
	if t.Done || slices.Contains(t.Failures, attempt) {
		return
	}
	t.Failures = append(t.Failures, attempt)
	if t.failedWorkers == nil {
		t.failedWorkers = map[string]bool{}
	}
	t.failedWorkers[w.Entry.ID] = true
	if t.Step.Service || t.Job.Queue.MaxAttempts == 0 {
		return
	}
	failures := len(t.Failures)
	if t.Step.Gang {
		failures = e.gangFailures(t)
	}
	if failures >= t.Job.Queue.MaxAttempts {
		e.finish(t.Job, job.Failed)
	}
}

// gangFailures counts the attempts of a gang in which any task has failed.
func (e *Engine) gangFailures(t *Task) int {
	attempts := map[int]bool{}
	for _, member := range t.siblings() {
		for _, a := range member.Failures {
			attempts[a] = true
		}
	}
	return len(attempts)
}

// stopGang stops the other runs of a run's gang. They would end by themselves
// soon, but not at once.
func (e *Engine) stopGang(r *Run) {
	t := r.Task
	if !t.Step.Gang || t.Done || t.Job.State.Final() {
		return
	}
	for _, member := range t.siblings() {
		for _, other := range member.Runs {
			if other.Attempt == r.Attempt {
				e.stop(other, StopGang)
			}
		}
	}
}
