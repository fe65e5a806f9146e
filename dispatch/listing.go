package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// missingListings is how many listings in a row must lack a confirmed run
// before it is given up. One could have been written before the run began.
const missingListings = 2

func compareNames(a, b *Run) int {
	if c := cmp.Compare(a.Task.name(), b.Task.name()); c != 0 {
		return c
	}
	return cmp.Compare(a.Attempt, b.Attempt)
}

// Listed takes in a worker's listing that was asked for at sent and received
// now. It reports false when the listing is of an older boot.
func (e *Engine) Listed(id string, l port.Listing, sent, now time.Time) bool {
	w := e.workers[id]
	if w == nil || l.Boot < w.boot {
		return false
	}
	if l.Boot > w.boot {
		e.reborn(w, l.Boot)
	}
	w.setClock(l.ClockMS, now)
	w.answered(now)
	if !w.heard {
		w.heard = true
		// A former owner may have granted as much at this moment, not more.
		w.leaseMS = max(w.leaseMS, l.ClockMS+e.options.LeaseMax.Milliseconds())
	}
	for _, end := range l.Ended {
		if end.Number > w.seenEnd {
			w.seenEnd = end.Number
			e.ended(w, end, now)
		}
	}
	listed := map[runKey]bool{}
	for _, entry := range l.Running {
		listed[runKey{entry.Task, entry.Attempt}] = true
		e.running(w, entry, now)
	}
	e.dropStrays(w, func(key runKey) bool { return !listed[key] })
	for _, r := range w.sortedRuns() {
		if !listed[runKey{r.Task.name(), r.Attempt}] {
			e.unlisted(r, l, sent)
		}
	}
	w.mix.valid = false
	e.learn(w, now)
	e.protect(w, now)
	e.unstick(w, now)
	w.mix.valid = false
	delete(e.silent, id)
	return true
}

// running takes in one entry of what a worker lists as being at work.
func (e *Engine) running(w *Worker, entry port.Running, now time.Time) {
	r := w.runs[runKey{entry.Task, entry.Attempt}]
	if r == nil {
		if r = e.adopt(w, entry, now); r == nil {
			e.keepStray(w, entry, now)
			return
		}
	}
	if r.State != RunActive {
		r.State, r.confirmedAt = RunActive, now
		w.mixed(r, now)
		if r.stopping && !r.stopSent {
			e.stop(r, r.stopReason)
		}
	}
	r.missing, r.listed = 0, true
	e.progressed(r, entry.Percent, now)
	r.Progress, r.Figure = entry.Percent, entry.Figure
	if entry.Checkpoint != "" && entry.Checkpoint != r.Task.Checkpoint {
		r.Task.Checkpoint = entry.Checkpoint
		e.changed(r.Task.Job, false)
	}
	if r.stopping && !r.stopSent && now.Sub(r.stoppedAt) > stopRepeat {
		e.stop(r, r.stopReason)
	}
}

// mixed takes in that a run came, went or changed its pace.
func (w *Worker) mixed(r *Run, now time.Time) {
	if r.Task.Step.BestEffort {
		w.recent.advance(w.shares(), now)
	}
}

// stopRepeat is how long after an answered stop order a run may still be
// listed before the order is repeated; workers need 200 ms.
const stopRepeat = time.Second

// adopt takes over a run that a former owner started. It returns nil for one
// that must not be.
func (e *Engine) adopt(w *Worker, entry port.Running, now time.Time) *Run {
	t := e.tasks[entry.Task]
	if t == nil || t.Done || (len(t.Runs) > 0 && !t.Step.Speculative) {
		return nil
	}
	r := &Run{Task: t, Worker: w, Attempt: entry.Attempt, State: RunActive, confirmedAt: now, orderedAt: now, Pace: 100, limit: 100, Progress: entry.Percent}
	w.attach(r)
	t.Attempt = max(t.Attempt, entry.Attempt)
	e.begin(t.Job)
	e.changed(t.Job, false)
	return r
}

// begin takes in that a job has a started task.
func (e *Engine) begin(j *Job) {
	if !j.Begun {
		j.Begun = true
		j.State = job.Running
		e.changed(j, false)
	}
}

// unlisted decides what it means that a listing lacks a run.
func (e *Engine) unlisted(r *Run, l port.Listing, sent time.Time) {
	switch r.State {
	case RunActive:
		if sent.After(r.confirmedAt) {
			if r.missing++; r.missing >= missingListings {
				e.lost(r)
			}
		}
	case RunDoubtful:
		refusedFromNow := l.ClockMS > r.notAfterMS
		stopped := !r.stoppedAt.IsZero() && sent.After(r.stoppedAt)
		elsewhere := !r.confirmedAt.IsZero() && sent.After(r.confirmedAt)
		switch {
		case refusedFromNow || stopped || elsewhere:
			e.lost(r)
		case r.stopping && r.stoppedAt.IsZero():
			e.stop(r, r.stopReason) // again, if the last order got no response
		}
	case RunOrdered:
	}
}

// ended takes in the end of a run.
func (e *Engine) ended(w *Worker, end port.Ended, now time.Time) {
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
func (e *Engine) judge(w *Worker, end port.Ended, now time.Time) {
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
	for _, member := range t.Job.occurrences[t.ID.Occurrence].tasks[t.ID.Step] {
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
	for _, member := range t.Job.occurrences[t.ID.Occurrence].tasks[t.ID.Step] {
		for _, other := range member.Runs {
			if other.Attempt == r.Attempt {
				e.stop(other, StopGang)
			}
		}
	}
}

// answered takes in that a worker has responded.
func (w *Worker) answered(now time.Time) {
	w.answeredAt = now
	w.unansweredSince = time.Time{}
}

// Unanswered takes in that a call to a worker got no response; sent is when it
// was given.
func (e *Engine) Unanswered(id string, sent time.Time) {
	w := e.workers[id]
	if w == nil || sent.Before(w.answeredAt) {
		return
	}
	if w.unansweredSince.IsZero() || sent.Before(w.unansweredSince) {
		w.unansweredSince = sent
	}
}

// Started takes in the response to a start order: nil, *port.RefusedError or
// *port.UnansweredError. clockMS is the worker's clock, zero if not known.
func (e *Engine) Started(r *Run, clockMS int64, err error, sent, now time.Time) {
	w := r.Worker
	w.setClock(clockMS, now)
	if w.runs[runKey{r.Task.name(), r.Attempt}] != r {
		return
	}
	if err == nil {
		w.answered(now)
		w.lostStarts = 0
		if took := now.Sub(sent); w.roundTrip == 0 || took < w.roundTrip {
			w.roundTrip = took
		}
		if r.State != RunActive {
			r.State, r.confirmedAt = RunActive, now
			w.mixed(r, now)
		}
		if r.stopping {
			e.stop(r, r.stopReason)
		}
		return
	}
	refused, ok := err.(*port.RefusedError)
	if !ok {
		e.startUnanswered(r, err, sent)
		return
	}
	w.answered(now)
	if refused.Reason == port.RefusedLife {
		e.replaced(w, now)
		return
	}
	if refused.Reason == port.RefusedBusy {
		w.refusedUntil = now.Add(busyPause)
	}
	if refused.Reason == port.RefusedTicket {
		r.Task.ticketRefused(w)
	}
	if refused.Reason == port.RefusedRoom {
		w.refusedUntil = now.Add(roomPause)
	}
	w.detach(r)
	e.breakGang(r)
	r.Task.notBefore = now.Add(refusedPause)
}

// Pauses after refused orders: short enough that another worker is tried
// within a small part of the shortest objective, long enough not to spin.
const (
	busyPause    = 500 * time.Millisecond
	roomPause    = 200 * time.Millisecond
	refusedPause = 5 * time.Millisecond
)

// A worker that leaves start orders unanswered gets no more for a pause that
// doubles each time, unless many workers do so at once: then the fault lies with
// the path to them, and they are all needed when it is over.
const (
	lostPause     = 1500 * time.Millisecond
	lostDoublings = 4
	manyLost      = 0.25 // share of the workers
)

// pathLost reports whether so many workers leave orders unanswered that the path
// to them is at fault.
func (e *Engine) pathLost() bool {
	lost := 0
	for _, w := range e.workers {
		if w.lostStarts > 0 {
			lost++
		}
	}
	return float64(lost) >= manyLost*float64(len(e.workers)) && lost > 1
}

func (e *Engine) startUnanswered(r *Run, err error, sent time.Time) {
	if unanswered, ok := err.(*port.UnansweredError); ok && unanswered.NotSent {
		r.Worker.detach(r)
		e.breakGang(r)
		e.Unanswered(r.Worker.Entry.ID, sent)
		return
	}
	if r.State == RunOrdered {
		r.State = RunDoubtful
	}
	w := r.Worker
	w.refusedUntil = sent.Add(lostPause << min(w.lostStarts, lostDoublings))
	if w.lostStarts++; e.pathLost() {
		w.lostStarts = 1
	}
	e.Unanswered(r.Worker.Entry.ID, sent)
	e.stop(r, StopDoubtful)
}

// Stopped takes in the response to a stop order: after it, the run ends soon
// or never begins.
func (e *Engine) Stopped(r *Run, err error, sent, now time.Time) {
	r.stopSent = false
	if err == nil {
		r.stoppedAt = now
		r.Worker.answered(now)
		return
	}
	if _, refused := err.(*port.RefusedError); !refused {
		e.Unanswered(r.Worker.Entry.ID, sent)
	}
}

// Throttled takes in the response to a throttle order.
func (e *Engine) Throttled(r *Run, percent int, err error, now time.Time) {
	r.pacing = false
	if err == nil {
		r.Pace = percent
		r.Worker.mixed(r, now)
		r.Worker.answered(now)
	}
}

// Replaced takes in that another life of a worker answered at its address.
func (e *Engine) Replaced(id string, now time.Time) {
	if w := e.workers[id]; w != nil {
		delete(e.silent, id)
		e.replaced(w, now)
	}
}

// replaced takes in that another life of a worker answered at its address: the
// one that we knew has ended with everything on it.
func (e *Engine) replaced(w *Worker, now time.Time) {
	w.refusedUntil = now.Add(replacedPause)
	e.dropStrays(w, func(runKey) bool { return true })
	for _, r := range w.sortedRuns() {
		e.lost(r)
	}
}

// replacedPause outlasts the platform's list, in which a silent worker stays
// for three heartbeats.
const replacedPause = 10 * time.Second
