package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/lookahead"
)

// ReservationEnd is why an advance reservation has ended.
type ReservationEnd string

// Ends of advance reservations.
const (
	// ReservationUsed means that the task was started on a worker reserved for it.
	ReservationUsed ReservationEnd = "used"
	// ReservationNotNeeded means that the task was started on another worker.
	ReservationNotNeeded ReservationEnd = "not_needed"
	// ReservationNotWaiting means that the task no longer waits, for instance because its job
	// was cancelled or is being given to another cell.
	ReservationNotWaiting ReservationEnd = "not_waiting"
	// ReservationWorkerUnavailable means that the worker was lost, drains, or may not run the
	// task for another reason.
	ReservationWorkerUnavailable ReservationEnd = "worker_unavailable"
	// ReservationNoCapacity means that the task would not fit after the expected ends, for
	// instance because a service took the capacity.
	ReservationNoCapacity ReservationEnd = "no_capacity"
	// ReservationOverdue means that the task did not fit a margin after the expected time.
	ReservationOverdue ReservationEnd = "overdue"
	// ReservationExpired means that workers were reserved for the task for too long.
	ReservationExpired ReservationEnd = "expired"
)

// ReservationEnds are all ends of advance reservations.
var ReservationEnds = []ReservationEnd{
	ReservationUsed, ReservationNotNeeded, ReservationNotWaiting, ReservationWorkerUnavailable, ReservationNoCapacity,
	ReservationOverdue, ReservationExpired,
}

// ReservationEvent is the begin or the end of an advance reservation.
type ReservationEvent struct {
	// Task is the task, or the first one of a gang.
	Task    *Task
	Workers []string
	// End is why the reservation has ended; empty if it was made.
	End ReservationEnd
	// ExpectedIn is when the task is expected to fit, from now on.
	ExpectedIn time.Duration
	// Held is how long the workers have been reserved.
	Held time.Duration
}

// reserveAhead reserves workers for the most urgent large task that has fitted nowhere.
func (e *Engine) reserveAhead(now time.Time) {
	l := &e.lookahead
	t := l.blocked
	if t == nil || now.Sub(l.searchedAt) < searchInterval {
		return
	}
	l.searchedAt = now
	if !e.reserveFor(t, nil, now) {
		t.notReservedBefore = now.Add(retryReservationAfter)
	}
}

// reserveFor reserves workers for a task or its gang. It reports whether it did.
func (e *Engine) reserveFor(t *Task, previous *lookahead.Reservation, now time.Time) bool {
	candidates := e.advanceCandidates(t, now)
	rack := t.Step.DataRack
	if t.Step.SameRack && rack == "" {
		rack = e.commonRack(t.siblings())
	}
	vms := make([]lookahead.VM, len(candidates))
	for i, w := range candidates {
		vms[i] = lookahead.VM{Free: w.unreserved(), Ends: e.endsOn(w, now), Preferred: rack != "" && w.Entry.Rack == rack}
		if t.Step.MaxPerWorker > 0 {
			vms[i].Most = t.Step.MaxPerWorker - e.stepTasksOn(t, w, nil)
		}
	}
	tasks := []*Task{t}
	if t.Step.Gang {
		tasks = t.siblings()
	}
	parts, at, ok := lookahead.Choose(vms, demand(t.Step), len(tasks), e.mayReserve(t.Job.Queue.Pool), now)
	if !ok {
		return false
	}
	a := &advanceReservation{Reservation: lookahead.NewReservation(at, previous, now), tasks: tasks, fillProbability: math.Pow(fillProbability, 1/float64(len(parts)))}
	for _, part := range parts {
		p := &advancePart{advanceReservation: a, worker: candidates[part.VM], spare: part.Spare}
		for range part.Tasks {
			p.demand = p.demand.Add(demand(t.Step))
		}
		p.worker.advance = p
		e.lookahead.workers = append(e.lookahead.workers, p.worker)
		a.parts = append(a.parts, p)
	}
	for _, member := range tasks {
		member.advance = a
	}
	e.lookahead.reserved = append(e.lookahead.reserved, a)
	e.reportReservation(a, "", now)
	return true
}

// advanceCandidates returns the workers on which a task fits after ends of other runs, those
// that lack the least first.
func (e *Engine) advanceCandidates(t *Task, now time.Time) []*Worker {
	type candidate struct {
		worker *Worker
		lacks  float64
	}
	var found []candidate
	d := demand(t.Step)
	for _, w := range e.workerList {
		free := w.unreserved()
		if w.Entry.Pool != t.Job.Queue.Pool || w.advance != nil || !d.Fits(free.Add(w.clearable())) || !e.suits(t, w, now, nil) || !e.advisorAllows(t, w, now) {
			continue
		}
		missing, capacity := d.Sub(free), w.Entry.Capacity
		lacks := max(share(missing.MilliCPU, capacity.MilliCPU), share(missing.MemoryMB, capacity.MemoryMB), share(missing.GPU, capacity.GPU))
		found = append(found, candidate{w, lacks})
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.lacks, b.lacks), cmp.Compare(a.worker.Entry.ID, b.worker.Entry.ID))
	})
	var candidates []*Worker
	for _, c := range found[:min(len(found), maxAdvanceCandidates)] {
		candidates = append(candidates, c.worker)
	}
	return candidates
}

func share(amount, of int64) float64 { return float64(amount) / max(1, float64(of)) }

// reviewAdvance updates the advance reservations, and gives up those that are no longer
// needed or possible.
func (e *Engine) reviewAdvance(now time.Time) {
	l := &e.lookahead
	l.blocked, l.fills = nil, 0
	if len(l.reserved) == 0 {
		return
	}
	due := now.Sub(l.reviewedAt) >= reviewInterval
	if due {
		l.reviewedAt = now
	}
	for _, a := range slices.Clone(l.reserved) {
		switch {
		case slices.ContainsFunc(a.tasks, func(t *Task) bool { return !t.waiting() || t.Job.held }):
			e.release(a, ReservationNotWaiting, now)
		case slices.ContainsFunc(a.parts, func(part *advancePart) bool { return !e.usable(part, now) }):
			e.release(a, ReservationWorkerUnavailable, now)
		case due:
			e.reviewOne(a, now)
		}
	}
}

// usable reports whether the worker of a part may run its tasks.
func (e *Engine) usable(part *advancePart, now time.Time) bool {
	w := part.worker
	return e.workers[w.Entry.ID] == w && e.suits(part.tasks[0], w, now, nil)
}

// reviewOne computes anew when the tasks of a reservation fit.
func (e *Engine) reviewOne(a *advanceReservation, now time.Time) {
	at := now
	for _, part := range a.parts {
		available, ok := lookahead.FreeAt(part.worker.unreserved(), part.demand, e.endsOn(part.worker, now), now)
		if !ok {
			e.release(a, ReservationNoCapacity, now)
			return
		}
		part.spare = available.Spare
		at = later(at, available.At)
	}
	switch a.Review(at, now) {
	case lookahead.Expired:
		e.release(a, ReservationExpired, now)
		for _, t := range a.tasks {
			t.notReservedBefore = now.Add(lookahead.Pause)
		}
	case lookahead.Overdue:
		// The same workers are reserved again if they are still the first to be free.
		e.release(a, ReservationOverdue, now)
		if t := a.tasks[0]; !e.reserveFor(t, a.Reservation, now) {
			t.notReservedBefore = now.Add(retryReservationAfter)
		}
	case lookahead.Keep:
	}
}

// release ends an advance reservation.
func (e *Engine) release(a *advanceReservation, why ReservationEnd, now time.Time) {
	for _, part := range a.parts {
		part.worker.advance = nil
		e.lookahead.workers = slices.DeleteFunc(e.lookahead.workers, func(w *Worker) bool { return w == part.worker })
	}
	for _, t := range a.tasks {
		t.advance = nil
	}
	e.lookahead.reserved = slices.DeleteFunc(e.lookahead.reserved, func(o *advanceReservation) bool { return o == a })
	e.reportReservation(a, why, now)
}

// reportReservation outputs the begin or the end of a reservation.
func (e *Engine) reportReservation(a *advanceReservation, end ReservationEnd, now time.Time) {
	event := ReservationEvent{Task: a.tasks[0], End: end, ExpectedIn: a.At().Sub(now), Held: now.Sub(a.Since())}
	for _, part := range a.parts {
		event.Workers = append(event.Workers, part.worker.Entry.ID)
	}
	e.out.Reservations = append(e.out.Reservations, event)
}
