package dispatch

import (
	"math"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// markContact records that a worker has responded.
func (w *Worker) markContact(now time.Time) {
	w.lastContact = now
	w.unansweredSince = time.Time{}
}

// HandleNoResponse records that a call to a worker got no response.
func (e *Engine) HandleNoResponse(o Observation) {
	w := e.workers[o.worker]
	if w == nil || e.Outdated(o) {
		return
	}
	if w.unansweredSince.IsZero() || o.at.Before(w.unansweredSince) {
		w.unansweredSince = o.at
	}
}

// HandleStartResponse handles the response to a start request: nil,
// *port.RefusedError or *port.UnansweredError. o is the observation of the request, and
// clockMS the worker's clock, zero if it is not known.
func (e *Engine) HandleStartResponse(r *Run, o Observation, clockMS int64, err error, now time.Time) {
	w := r.Worker
	current := o.concerns(w)
	if current {
		w.setClock(clockMS, now)
	}
	if w.runs[runKey{r.Task.name(), r.Attempt}] != r {
		return
	}
	if err == nil {
		if current { // otherwise a listing shows whether the present boot runs it
			e.handleStarted(r, o, now)
		}
		return
	}
	refused, ok := err.(*port.RefusedError)
	if !ok {
		e.handleUnansweredStart(r, o, err)
		return
	}
	e.withdraw(r) // no boot has begun it
	if refused.Reason == port.RefusedIncarnation {
		e.HandleReplacement(o, now)
		return
	}
	r.Task.notBefore = now.Add(refusalBackoff)
	if current {
		w.markContact(now)
		r.handleRefusal(refused.Reason, now)
	}
}

// handleStarted handles the confirmation of a run by the worker's present boot.
func (e *Engine) handleStarted(r *Run, o Observation, now time.Time) {
	w := r.Worker
	w.markContact(now)
	w.unansweredStarts = 0
	if took := now.Sub(o.at); w.roundTrip == 0 || took < w.roundTrip {
		w.roundTrip = took
	}
	if r.State != RunActive {
		r.State, r.confirmedAt = RunActive, now
		e.markStarted(r.Task.Job)
		w.updateShares(r, now)
	}
	if r.stopping {
		e.stop(r, r.stopReason)
	}
}

// handleRefusal backs off from a worker whose present boot has refused a run.
func (r *Run) handleRefusal(reason port.Refusal, now time.Time) {
	switch reason {
	case port.RefusedBusy:
		r.Worker.bar(now.Add(busyBackoff))
	case port.RefusedTicket:
		r.Task.dropTicket(r.Worker)
	case port.RefusedCapacity:
		r.Worker.bar(now.Add(capacityBackoff))
	default:
	}
}

// withdraw removes a run that has certainly not begun. A next owner must not look for it.
func (e *Engine) withdraw(r *Run) {
	r.Worker.detach(r)
	if r.isCopy {
		r.Task.copied = false
		r.Task.copyNotBefore = r.requestedAt.Add(copyBackoff)
	}
	e.stopGang(r)
	e.markChanged(r.Task.Job, false)
}

// Backoffs after refused requests: short enough that another worker is tried
// within a small part of the shortest objective, long enough to avoid a busy loop.
const (
	busyBackoff     = 500 * time.Millisecond
	capacityBackoff = 200 * time.Millisecond
	refusalBackoff  = 5 * time.Millisecond
)

// A worker that leaves start requests unanswered gets no more for a backoff that
// doubles each time. If many workers do so at once, the network path is at fault
// and the backoff does not grow, because all are needed when the path recovers. A worker
// that has answered other calls since is the last choice of interrupted services.
const (
	unansweredBackoff      = 1500 * time.Millisecond
	maxUnansweredDoublings = 4
	pathFaultShare         = 0.25 // share of all workers
)

// pathFaulty reports whether so many workers leave requests unanswered that the
// network path to them must be at fault.
func (e *Engine) pathFaulty() bool {
	unresponsive := 0
	for _, w := range e.workers {
		if w.unansweredStarts > 0 {
			unresponsive++
		}
	}
	return float64(unresponsive) >= pathFaultShare*float64(len(e.workers)) && unresponsive > 1
}

func (e *Engine) handleUnansweredStart(r *Run, o Observation, err error) {
	if unanswered, ok := err.(*port.UnansweredError); ok && unanswered.NotSent {
		e.withdraw(r)
		e.HandleNoResponse(o)
		return
	}
	if r.State == RunStarting {
		r.State = RunUnacknowledged
	}
	if w := r.Worker; o.concerns(w) {
		w.backoffUntil = later(w.backoffUntil, o.at.Add(unansweredBackoff<<min(w.unansweredStarts, maxUnansweredDoublings)))
		if w.unansweredStarts++; e.pathFaulty() {
			w.unansweredStarts = 1
		}
	}
	e.HandleNoResponse(o)
	e.stop(r, StopUnacknowledged)
}

// HandleStopResponse handles the response to a stop request: once it is
// acknowledged, the run ends soon or never begins. A former boot's acknowledgement does not
// keep a later one from executing the start request.
func (e *Engine) HandleStopResponse(r *Run, o Observation, err error, now time.Time) {
	if !o.concerns(r.Worker) {
		return
	}
	r.stopInFlight = false
	if err == nil {
		r.stopAckedAt = now
		r.Worker.markContact(now)
		return
	}
	if _, refused := err.(*port.RefusedError); !refused {
		e.HandleNoResponse(o)
	}
}

// HandleThrottleResponse handles the response to a throttle request.
func (e *Engine) HandleThrottleResponse(r *Run, o Observation, percent int, err error, now time.Time) {
	r.throttleInFlight = false
	if err == nil && o.concerns(r.Worker) {
		r.ConfirmedLimit = percent
		r.Worker.updateShares(r, now)
		r.Worker.markContact(now)
	}
}

// HandleReplacement handles the observation that the known boot of a worker has ended: another
// worker answered at its address, or its VM is not up.
func (e *Engine) HandleReplacement(o Observation, now time.Time) {
	if e.Outdated(o) {
		return
	}
	e.resolveRecorded(o.worker)
	if w := e.workers[o.worker]; w != nil {
		e.markReplaced(w, o, now)
		return
	}
	e.handleBootEnded(o.worker, math.MaxInt64)
}

// markReplaced gives up all runs on a worker whose known boot has ended.
func (e *Engine) markReplaced(w *Worker, o Observation, now time.Time) {
	w.bar(now.Add(replacementBackoff))
	if !w.Entry.Draining {
		e.handleBootEnded(w.Entry.ID, w.boot+1)
	}
	e.dropUnknownRuns(w, func(runKey) bool { return true })
	for _, r := range w.sortedRuns() {
		if r.State == RunStarting {
			continue // the response shows whether the worker has received the request
		}
		if r.requestedAt.After(o.at) {
			continue // a later boot may have received the request
		}
		e.markLost(r, LossWorkerGone)
	}
}

// replacementBackoff exceeds the three heartbeats for which an unresponsive worker
// stays in the platform's list.
const replacementBackoff = 10 * time.Second
