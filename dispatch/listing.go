package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// maxMissedListings is the number of consecutive listings without a confirmed run
// after which it is given up. One may have been written before the run began.
const maxMissedListings = 2

func compareRunNames(a, b *Run) int {
	if c := cmp.Compare(a.Task.name(), b.Task.name()); c != 0 {
		return c
	}
	return cmp.Compare(a.Attempt, b.Attempt)
}

// HandleListing handles a worker's listing that was received now. It returns false if the
// worker is not known or the listing is of an older boot.
func (e *Engine) HandleListing(o Observation, l port.Listing, now time.Time) bool {
	id, sent := o.worker, o.at
	w := e.workers[id]
	if w == nil || l.Boot < w.boot {
		return false
	}
	if l.Boot > w.boot {
		e.handleNewBoot(w, l.Boot)
	}
	e.handleBootAlive(id)
	w.setClock(l.ClockMS, now)
	w.markContact(now)
	if !w.contacted {
		w.contacted = !l.MoreEnds
		// A former owner may have granted a lease up to this time, but not a longer one.
		w.leaseUntilMS = max(w.leaseUntilMS, l.ClockMS+e.options.MaxLease.Milliseconds())
	}
	for _, end := range l.Ended {
		if end.Sequence > w.lastEnd {
			w.lastEnd = end.Sequence
			e.handleEnd(w, end, now)
		}
	}
	if l.MoreEnds {
		e.handlePartialListing(w, l, now)
		return true
	}
	listed := map[runKey]bool{}
	for _, entry := range l.Running {
		listed[runKey{entry.Task, entry.Attempt}] = true
		e.handleRunning(w, entry, now)
	}
	e.dropUnknownRuns(w, func(key runKey) bool { return !listed[key] })
	for _, r := range w.sortedRuns() {
		if !listed[runKey{r.Task.name(), r.Attempt}] {
			e.handleUnlisted(r, l, sent)
		}
	}
	w.colocation.valid = false
	e.updateInterference(w, now)
	e.protectServices(w, sent, now)
	e.moveStalledAndSlow(w, now)
	w.colocation.valid = false
	e.resolveRecorded(id)
	return true
}

// handlePartialListing handles a listing that lacks ends. A run that it does not show may have
// ended, so that nothing is given up, and the worker counts as uncontacted if it did before.
func (e *Engine) handlePartialListing(w *Worker, l port.Listing, now time.Time) {
	for _, entry := range l.Running {
		e.handleRunning(w, entry, now)
	}
	w.colocation.valid = false
	if _, expected := e.uncontacted[w.Entry.ID]; expected {
		// Its ends count however long it takes to list them.
		e.uncontacted[w.Entry.ID] = now.Add(e.inheritedRunsWait())
	}
}

// handleRunning handles a run that a worker lists as running.
func (e *Engine) handleRunning(w *Worker, entry port.RunningTask, now time.Time) {
	r := w.runs[runKey{entry.Task, entry.Attempt}]
	if r == nil {
		if r = e.adopt(w, entry, now); r == nil {
			e.trackUnknownRun(w, entry, now)
			return
		}
	}
	if r.State != RunActive {
		r.State, r.confirmedAt = RunActive, now
		e.markStarted(r.Task.Job)
		w.updateShares(r, now)
		if r.stopping && !r.stopInFlight {
			e.stop(r, r.stopReason)
		}
	}
	r.missedListings, r.listedByBoot, r.boot = 0, true, w.boot
	e.clearCrashes(r, now)
	r.recordListed(entry.Percent, now)
	e.recordProgress(r, entry.Percent, now)
	r.Progress, r.Measurement = entry.Percent, entry.Measurement
	if entry.Checkpoint != "" && entry.Checkpoint != r.Task.Checkpoint && r.leads() {
		r.Task.Checkpoint = entry.Checkpoint
		e.markChanged(r.Task.Job, false)
	}
	if r.stopping && !r.stopInFlight && now.Sub(r.stopAckedAt) > stopRetryInterval {
		e.stop(r, r.stopReason)
	}
}

// updateShares updates the best-effort shares after a run has started, ended or
// been throttled.
func (w *Worker) updateShares(r *Run, now time.Time) {
	if r.Task.Step.BestEffort {
		w.recentShares.advance(w.bestEffortShares(), now)
	}
}

// stopRetryInterval is how long after an acknowledged stop request a run may still
// be listed before the request is repeated; workers need 200 ms.
const stopRetryInterval = time.Second

// adopt takes over a run that a former owner started. It returns nil if the run
// must not continue.
func (e *Engine) adopt(w *Worker, entry port.RunningTask, now time.Time) *Run {
	t, _ := e.find(entry.Task)
	if t == nil || t.Done || t.elsewhere || len(t.Runs) >= t.maxRunsOf() {
		return nil
	}
	r := &Run{Task: t, Worker: w, Attempt: entry.Attempt, State: RunActive, confirmedAt: now, requestedAt: now, ConfirmedLimit: 100, desiredLimit: 100, Progress: entry.Percent, boot: w.boot, adopted: true}
	if len(t.Runs) > 0 {
		r.isCopy, t.copied = true, true
	}
	e.unreserve(t)
	if slices.Contains(t.placedOn, w.Entry.ID) && t.unresolvedRuns > 0 {
		t.unresolvedRuns--
	}
	t.noteFormerRun()
	w.attach(r)
	t.Attempt = max(t.Attempt, entry.Attempt)
	e.markStarted(t.Job)
	e.markChanged(t.Job, false)
	return r
}

// markRequested records that a start of a task of a job has been requested.
func (e *Engine) markRequested(j *Job) {
	if !j.requested {
		j.requested = true
		j.State = job.Running
		e.markChanged(j, false)
	}
}

// markStarted records that a worker has confirmed a run of a task of a job.
func (e *Engine) markStarted(j *Job) {
	e.markRequested(j)
	// A job that has ended meanwhile is no longer counted among those that have not started.
	if !j.Started && !j.State.Final() {
		e.countStarted(j)
		j.Started = true
		e.markChanged(j, false)
	}
}

// handleUnlisted handles a run that is missing from a listing.
func (e *Engine) handleUnlisted(r *Run, l port.Listing, sent time.Time) {
	switch r.State {
	case RunActive:
		if sent.After(r.confirmedAt) {
			if r.missedListings++; r.missedListings >= maxMissedListings {
				e.markLost(r, LossNotListed)
			}
		}
	case RunUnacknowledged:
		startExpired := l.ClockMS > r.notAfterMS
		stopAcked := !r.stopAckedAt.IsZero() && sent.After(r.stopAckedAt)
		startAcked := !r.confirmedAt.IsZero() && sent.After(r.confirmedAt)
		switch {
		case startExpired || stopAcked || startAcked:
			e.markLost(r, LossNeverListed)
		case r.stopping && r.stopAckedAt.IsZero():
			e.stop(r, r.stopReason) // repeat a request that got no response
		}
	case RunStarting:
	}
}
