package dispatch

import (
	"cmp"
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

// HandleListing takes in a worker's listing that was asked for at sent and received
// now. It reports false when the listing is of an older boot.
func (e *Engine) HandleListing(id string, l port.Listing, sent, now time.Time) bool {
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
		w.leaseMS = max(w.leaseMS, l.ClockMS+e.options.MaxLease.Milliseconds())
	}
	for _, end := range l.Ended {
		if end.Sequence > w.seenEnd {
			w.seenEnd = end.Sequence
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
func (e *Engine) running(w *Worker, entry port.RunningTask, now time.Time) {
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
	r.Progress, r.Metric = entry.Percent, entry.Measurement
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
func (e *Engine) adopt(w *Worker, entry port.RunningTask, now time.Time) *Run {
	t := e.tasks[entry.Task]
	if t == nil || t.Done || (len(t.Runs) > 0 && !t.Step.Speculative) {
		return nil
	}
	r := &Run{Task: t, Worker: w, Attempt: entry.Attempt, State: RunActive, confirmedAt: now, orderedAt: now, ConfirmedLimit: 100, limit: 100, Progress: entry.Percent}
	w.attach(r)
	t.Attempt = max(t.Attempt, entry.Attempt)
	e.begin(t.Job)
	e.changed(t.Job, false)
	return r
}

// begin takes in that a job has a started task.
func (e *Engine) begin(j *Job) {
	if !j.Started {
		j.Started = true
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
	case RunUnknown:
		refusedFromNow := l.ClockMS > r.notAfterMS
		stopped := !r.stoppedAt.IsZero() && sent.After(r.stoppedAt)
		elsewhere := !r.confirmedAt.IsZero() && sent.After(r.confirmedAt)
		switch {
		case refusedFromNow || stopped || elsewhere:
			e.lost(r)
		case r.stopping && r.stoppedAt.IsZero():
			e.stop(r, r.stopReason) // again, if the last order got no response
		}
	case RunStarting:
	}
}
