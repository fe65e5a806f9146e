package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// A draining worker goes on for a while. Its services serve there until another worker has
// capacity that is reserved for them; what is left is stopped just before the worker leaves.
const (
	// drainMargin is the time before a draining worker leaves at which its
	// remaining runs are stopped, so that their checkpoints are saved and their ends
	// are listed. Stops take up to 200 ms and a round trip.
	drainMargin = 700 * time.Millisecond
	// clearMargin is the time before that at which other tasks are stopped to make room for
	// the services, if they have not ended by themselves. It covers a stop, with two round
	// trips between regions.
	clearMargin = 600 * time.Millisecond
	// maxDrainSearches bounds the searches of a plan, each among all workers.
	maxDrainSearches = 64
)

// setLeaving records when a worker may leave, by its entry in a list that was read at a time,
// zero if that is not known. The entry is some time old, so the earliest result counts.
func (w *Worker) setLeaving(readAt, now time.Time) {
	if !w.Entry.Draining {
		w.leavesAt = time.Time{}
		return
	}
	if readAt.IsZero() {
		readAt = now
	}
	if at := readAt.Add(w.Entry.Remaining); w.leavesAt.IsZero() || at.Before(w.leavesAt) {
		w.leavesAt = at
	}
}

// stopBeforeLeave stops the runs on workers that are about to leave.
func (e *Engine) stopBeforeLeave(now time.Time) {
	for _, w := range e.workerList {
		if !w.Entry.Draining || len(w.runs) == 0 || now.Before(w.leavesAt.Add(-drainMargin)) {
			continue
		}
		for _, r := range w.sortedRuns() {
			if !r.stopping && r.State == RunActive {
				e.stop(r, StopDraining)
			}
		}
	}
}

// leaveDraining moves services off draining workers, those that leave first before others.
// Interrupted tasks have been planned before. If a plan has used up its searches, the next one
// goes on from there, so that services that fit nowhere do not hold up others.
func (e *Engine) leaveDraining(now time.Time) {
	noRoom := unplaceable{}
	searches, unplaced := 0, 0
	from := e.drainSearchFrom
	e.drainSearchFrom = 0
	for _, w := range e.drainingWorkers() {
		clearing := !now.Before(w.leavesAt.Add(-drainMargin - clearMargin))
		for _, r := range w.sortedRuns() {
			t := r.Task
			if !e.mayLeave(r, now) {
				continue
			}
			if t.reserved == nil {
				if unplaced++; unplaced <= from || noRoom.covers(t, now) != fitsUnknown {
					continue
				}
				if searches >= maxDrainSearches {
					if e.drainSearchFrom == 0 {
						e.drainSearchFrom = unplaced - 1
					}
					continue
				}
				searches++
				if !e.reserveNextPlace(t, now) {
					noRoom.add(t, e.lookahead.refused, now)
					continue
				}
			}
			e.leave(r, clearing, now)
		}
	}
}

// drainingWorkers returns the draining workers with runs that answer, in the order in which
// they leave.
func (e *Engine) drainingWorkers() []*Worker {
	var draining []*Worker
	for _, w := range e.workerList {
		if w.Listed && w.Entry.Draining && len(w.runs) > 0 && w.unansweredSince.IsZero() {
			draining = append(draining, w)
		}
	}
	slices.SortFunc(draining, func(a, b *Worker) int {
		return cmp.Or(a.leavesAt.Compare(b.leavesAt), cmp.Compare(a.Entry.ID, b.Entry.ID))
	})
	return draining
}

// mayLeave reports whether a run is one of a service task that could be started elsewhere now.
// The tasks of a gang end and start together.
func (e *Engine) mayLeave(r *Run, now time.Time) bool {
	t := r.Task
	if !t.Step.Service || r.State != RunActive || r.stopping {
		return false
	}
	if t.Step.Gang {
		return !slices.ContainsFunc(t.siblings(), func(member *Task) bool { return e.mayRunElsewhere(member, now) })
	}
	return !e.mayRunElsewhere(t, now)
}

// reserveNextPlace reserves capacity on another worker for a service task that still runs: free
// capacity or, if there is none, such that other tasks use. It reports whether there is any.
func (e *Engine) reserveNextPlace(t *Task, now time.Time) bool {
	w := e.chooseWorker(t, t.siblings(), now, nil)
	if w == nil {
		e.requestAdvice(t, now)
		w = e.cheapestToClear(t, now)
	}
	if w != nil {
		e.reserve(t, w, now)
	}
	return w != nil
}

// leave stops a run whose task has a place elsewhere, if its step tolerates that. If the
// place is still in use, the tasks there are stopped when clearing is set.
func (e *Engine) leave(r *Run, clearing bool, now time.Time) {
	t := r.Task
	place := t.reserved.worker
	switch {
	case !demand(t.Step).Fits(place.freeFor(t)):
		if clearing {
			for _, victim := range victimsOn(place, t) {
				e.stop(victim, StopForService)
			}
		}
	case e.mayDisrupt(t):
		e.reserve(t, place, now) // the earlier reservation may expire before the run has ended
		e.move(r, StopDraining)
	}
}
