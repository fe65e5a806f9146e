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

// HandleNoResponse records that a call sent to a worker at sent got no response.
func (e *Engine) HandleNoResponse(id string, sent time.Time) {
	w := e.workers[id]
	if w == nil || sent.Before(w.lastContact) {
		return
	}
	if w.unansweredSince.IsZero() || sent.Before(w.unansweredSince) {
		w.unansweredSince = sent
	}
}

// HandleStartResponse handles the response to a start request: nil,
// *port.RefusedError or *port.UnansweredError. clockMS is the worker's clock, zero
// if it is not known.
func (e *Engine) HandleStartResponse(r *Run, clockMS int64, err error, sent, now time.Time) {
	w := r.Worker
	w.setClock(clockMS, now)
	if w.runs[runKey{r.Task.name(), r.Attempt}] != r {
		return
	}
	if err == nil {
		w.markContact(now)
		w.unansweredStarts = 0
		if took := now.Sub(sent); w.roundTrip == 0 || took < w.roundTrip {
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
		return
	}
	refused, ok := err.(*port.RefusedError)
	if !ok {
		e.handleUnansweredStart(r, err, sent)
		return
	}
	w.markContact(now)
	if refused.Reason == port.RefusedIncarnation {
		e.withdraw(r) // another worker has refused it
		e.markReplaced(w, now)
		return
	}
	if refused.Reason == port.RefusedBusy {
		w.bar(now.Add(busyBackoff))
	}
	if refused.Reason == port.RefusedTicket {
		r.Task.dropTicket(w)
	}
	if refused.Reason == port.RefusedCapacity {
		w.bar(now.Add(capacityBackoff))
	}
	e.withdraw(r)
	r.Task.notBefore = now.Add(refusalBackoff)
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

func (e *Engine) handleUnansweredStart(r *Run, err error, sent time.Time) {
	if unanswered, ok := err.(*port.UnansweredError); ok && unanswered.NotSent {
		e.withdraw(r)
		e.HandleNoResponse(r.Worker.Entry.ID, sent)
		return
	}
	if r.State == RunStarting {
		r.State = RunUnacknowledged
	}
	w := r.Worker
	w.backoffUntil = later(w.backoffUntil, sent.Add(unansweredBackoff<<min(w.unansweredStarts, maxUnansweredDoublings)))
	if w.unansweredStarts++; e.pathFaulty() {
		w.unansweredStarts = 1
	}
	e.HandleNoResponse(r.Worker.Entry.ID, sent)
	e.stop(r, StopUnacknowledged)
}

// HandleStopResponse handles the response to a stop request: once it is
// acknowledged, the run ends soon or never begins.
func (e *Engine) HandleStopResponse(r *Run, err error, sent, now time.Time) {
	r.stopInFlight = false
	if err == nil {
		r.stopAckedAt = now
		r.Worker.markContact(now)
		return
	}
	if _, refused := err.(*port.RefusedError); !refused {
		e.HandleNoResponse(r.Worker.Entry.ID, sent)
	}
}

// HandleThrottleResponse handles the response to a throttle request.
func (e *Engine) HandleThrottleResponse(r *Run, percent int, err error, now time.Time) {
	r.throttleInFlight = false
	if err == nil {
		r.ConfirmedLimit = percent
		r.Worker.updateShares(r, now)
		r.Worker.markContact(now)
	}
}

// HandleReplacement records that the known boot of a worker has ended: another boot
// answered at its address, or its VM is not up.
func (e *Engine) HandleReplacement(id string, now time.Time) {
	e.resolveRecorded(id)
	if w := e.workers[id]; w != nil {
		e.markReplaced(w, now)
		return
	}
	e.handleBootEnded(id, math.MaxInt64)
}

// markReplaced gives up all runs on a worker whose known boot has ended.
func (e *Engine) markReplaced(w *Worker, now time.Time) {
	w.bar(now.Add(replacementBackoff))
	if !w.Entry.Draining {
		e.handleBootEnded(w.Entry.ID, w.boot+1)
	}
	e.dropUnknownRuns(w, func(runKey) bool { return true })
	for _, r := range w.sortedRuns() {
		if r.State == RunStarting {
			continue // the response shows whether the worker has received the request
		}
		e.markLost(r, LossWorkerGone)
	}
}

// replacementBackoff exceeds the three heartbeats for which an unresponsive worker
// stays in the platform's list.
const replacementBackoff = 10 * time.Second
