package dispatch

import (
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// answered takes in that a worker has responded.
func (w *Worker) answered(now time.Time) {
	w.answeredAt = now
	w.unansweredSince = time.Time{}
}

// HandleNoResponse takes in that a call to a worker got no response; sent is when it
// was given.
func (e *Engine) HandleNoResponse(id string, sent time.Time) {
	w := e.workers[id]
	if w == nil || sent.Before(w.answeredAt) {
		return
	}
	if w.unansweredSince.IsZero() || sent.Before(w.unansweredSince) {
		w.unansweredSince = sent
	}
}

// HandleStartResponse takes in the response to a start order: nil, *port.RefusedError or
// *port.UnansweredError. clockMS is the worker's clock, zero if not known.
func (e *Engine) HandleStartResponse(r *Run, clockMS int64, err error, sent, now time.Time) {
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
	if refused.Reason == port.RefusedIncarnation {
		e.replaced(w, now)
		return
	}
	if refused.Reason == port.RefusedBusy {
		w.refusedUntil = now.Add(busyPause)
	}
	if refused.Reason == port.RefusedTicket {
		r.Task.ticketRefused(w)
	}
	if refused.Reason == port.RefusedCapacity {
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
		e.HandleNoResponse(r.Worker.Entry.ID, sent)
		return
	}
	if r.State == RunStarting {
		r.State = RunUnknown
	}
	w := r.Worker
	w.refusedUntil = sent.Add(lostPause << min(w.lostStarts, lostDoublings))
	if w.lostStarts++; e.pathLost() {
		w.lostStarts = 1
	}
	e.HandleNoResponse(r.Worker.Entry.ID, sent)
	e.stop(r, StopUnknown)
}

// HandleStopResponse takes in the response to a stop order: after it, the run ends soon
// or never begins.
func (e *Engine) HandleStopResponse(r *Run, err error, sent, now time.Time) {
	r.stopSent = false
	if err == nil {
		r.stoppedAt = now
		r.Worker.answered(now)
		return
	}
	if _, refused := err.(*port.RefusedError); !refused {
		e.HandleNoResponse(r.Worker.Entry.ID, sent)
	}
}

// HandleThrottleResponse takes in the response to a throttle order.
func (e *Engine) HandleThrottleResponse(r *Run, percent int, err error, now time.Time) {
	r.pacing = false
	if err == nil {
		r.ConfirmedLimit = percent
		r.Worker.mixed(r, now)
		r.Worker.answered(now)
	}
}

// HandleReplacement takes in that another life of a worker answered at its address.
func (e *Engine) HandleReplacement(id string, now time.Time) {
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
