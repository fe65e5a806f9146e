package dispatch

import (
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// ended takes in the end of a run.
func (e *Engine) ended(w *Worker, end port.EndedTask, now time.Time) {
	r := w.runs[runKey{end.Task, end.Attempt}]
	t := e.tasks[end.Task]
	if r != nil {
		t = r.Task
		w.detach(r)
		w.mixed(r, now)
		t.readyAt = time.Time{}
	}
	e.judge(w, end, now)
	if _, final := e.final[jobOf(end.Task)]; t == nil && !final {
		w.orphans = append(w.orphans, orphan{end, now})
	}
	if t == nil || t.Job.State.Final() {
		return
	}
	if end.Checkpoint != "" {
		t.Checkpoint = end.Checkpoint
	}
	t.Attempt = max(t.Attempt, end.Attempt)
	e.changed(t.Job, true)
	e.begin(t.Job)
	switch end.Reason {
	case port.EndDone:
		e.done(t)
	case port.EndFailed:
		e.failed(t, w, end.Attempt)
	default:
	}
	if r != nil && end.Reason != port.EndDone {
		e.breakGang(r)
	}
}

// judge keeps count of the failures of a worker.
func (e *Engine) judge(w *Worker, end port.EndedTask, now time.Time) {
	switch end.Reason {
	case port.EndDone:
		w.failures = 0
	case port.EndFailed:
		w.failures++
		if w.failures >= sickFailures {
			pause := sickPause << min(w.failures-sickFailures, sickDoublings)
			w.refusedUntil = now.Add(pause)
		}
	default:
	}
}

// A worker that ends runs as failed one after the other gets no work for a
// pause that doubles with each further failure. One failure is ordinary: a few
// percent of sound tasks fail.
const (
	sickFailures  = 2
	sickPause     = 2 * time.Second
	sickDoublings = 3
)

// done takes in that a task is done, by whichever run.
func (e *Engine) done(t *Task) {
	if t.Done {
		return
	}
	o := t.Job.occurrences[t.ID.Occurrence]
	if t.Step.Gang {
		// One member's end stands for all of them.
		for _, member := range o.tasks[t.ID.Step] {
			member.Done = true
		}
		o.left[t.ID.Step] = 0
	} else {
		t.Done = true
		o.left[t.ID.Step]--
		for _, r := range t.Runs {
			e.stop(r, StopEnded)
		}
	}
	for _, o := range t.Job.occurrences {
		if !o.done() {
			return
		}
	}
	e.finish(t.Job, job.Completed)
}

// failed counts a failed run and gives the job up after too many.
func (e *Engine) failed(t *Task, w *Worker, attempt int) {
	if t.Done || slices.Contains(t.Failures, attempt) {
		return
	}
	t.Failures = append(t.Failures, attempt)
	if t.avoid == nil {
		t.avoid = map[string]bool{}
	}
	t.avoid[w.Entry.ID] = true
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

// gangFailures counts the attempts of a gang of which any member has failed.
func (e *Engine) gangFailures(t *Task) int {
	attempts := map[int]bool{}
	for _, member := range t.siblings() {
		for _, a := range member.Failures {
			attempts[a] = true
		}
	}
	return len(attempts)
}

// breakGang stops the other members of a run's gang: they end by themselves
// soon, but not at once.
func (e *Engine) breakGang(r *Run) {
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
