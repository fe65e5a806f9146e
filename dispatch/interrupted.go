package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// An interrupted service is one with a task that has run before and has no run now. Its
// users wait, and the platform allows it to be away for a few seconds only, however many
// other jobs wait. So such tasks are planned before all others. If no worker has capacity
// for one, capacity is reserved for it on the worker where that costs the least work.
const (
	// evictAfter is how long a reservation waits for tasks to end by themselves before
	// they are stopped, and a task without a reservation for another worker before one
	// in a backoff is used. A stop and a start take about half a second of the time
	// that a service may be away.
	evictAfter = 1200 * time.Millisecond
	// reservationTTL bounds how long capacity is reserved for a task that is not started.
	reservationTTL = 4 * time.Second
	// starvedReportInterval is the interval at which a task that no worker can run is
	// reported.
	starvedReportInterval = 5 * time.Second
	// lossOfUncheckpointed is the factor by which a stop of a task that saves no
	// checkpoints costs more: all its work is lost.
	lossOfUncheckpointed = 4
)

// capacityReservation is the capacity that is reserved on a worker for a task.
type capacityReservation struct {
	worker *Worker
	since  time.Time
}

// interrupted reports whether the task is a service task that has run before and is to
// run again.
func (t *Task) interrupted() bool { return t.Step.Service && t.hasRun && t.waiting() }

// Interrupted returns the number of interrupted service tasks.
func (e *Engine) Interrupted() int {
	n := 0
	for _, j := range e.jobs {
		if !j.service || j.waiting == 0 {
			continue
		}
		for t := range j.allTasks() {
			if t.interrupted() {
				n++
			}
		}
	}
	return n
}

// reserve reserves a task's demand on a worker, in place of an earlier reservation.
func (e *Engine) reserve(t *Task, w *Worker, now time.Time) {
	e.unreserve(t)
	t.reserved = &capacityReservation{w, now}
	w.reservedUse = w.reservedUse.Add(demand(t.Step))
	w.reservedBy = append(w.reservedBy, t)
	e.reservations[t] = true
}

// unreserve releases the capacity that is reserved for a task.
func (e *Engine) unreserve(t *Task) {
	if t.reserved == nil {
		return
	}
	w := t.reserved.worker
	w.reservedUse = w.reservedUse.Sub(demand(t.Step))
	w.reservedBy = slices.DeleteFunc(w.reservedBy, func(u *Task) bool { return u == t })
	t.reserved = nil
	delete(e.reservations, t)
}

// expireReservations releases the reservations that are old, or whose worker can no
// longer run tasks.
func (e *Engine) expireReservations(now time.Time) {
	for t := range e.reservations {
		w := t.reserved.worker
		if e.workers[w.Entry.ID] != w || !w.schedulable(now) || t.Job.State.Final() || now.Sub(t.reserved.since) > reservationTTL {
			e.unreserve(t)
		}
	}
}

// freeFor returns the resources of a worker that a task may use.
func (w *Worker) freeFor(t *Task) job.Resources {
	free := w.unreserved()
	if t.reserved != nil && t.reserved.worker == w {
		free = free.Add(demand(t.Step))
	}
	return free
}

// holdPlace reserves free capacity for an interrupted service task of a former owner that must
// wait until other workers have answered, so that new work does not take it. A task that
// probably runs on one of these needs none.
func (e *Engine) holdPlace(t *Task, now time.Time) {
	if t.reserved != nil || !e.mayRunElsewhere(t, now) || e.recordedOnUncontacted(t) || e.unplaceable.covers(t, now) != fitsUnknown {
		return
	}
	if w := e.chooseWorker(t, t.siblings(), now, nil); w != nil {
		e.reserve(t, w, now)
		return
	}
	e.unplaceable.add(t, e.lookahead.refused, now)
}

// makeRoom reserves capacity for an interrupted service task that fits on no worker, and
// stops other tasks there if these do not end soon.
func (e *Engine) makeRoom(t *Task, now time.Time) {
	if t.reserved == nil {
		w := e.cheapestToClear(t, now)
		switch {
		case w != nil:
			e.reserve(t, w, now)
		case e.takeReservation(t, now):
		case e.relocateServices(t, now) || e.startInBackoff(t, now):
			return
		default:
			e.reportStarved(t, now)
			return
		}
	}
	if now.Sub(t.readyAt) < evictAfter {
		return
	}
	for _, r := range victimsOn(t.reserved.worker, t) {
		e.stop(r, StopForService)
	}
}

// takeReservation gives an interrupted task the capacity that is reserved for one that still
// runs, or that may not start yet. It reports whether there is such a reservation.
func (e *Engine) takeReservation(t *Task, now time.Time) bool {
	var holder *Task
	for u := range e.reservations {
		w := u.reserved.worker
		if w.Entry.Capacity.MilliCPU-e.colocationOf(w).serviceCPU < demand(t.Step).MilliCPU { // most, if the cell is full
			continue
		}
		if !e.mayWaitLonger(u, now) || !demand(t.Step).Fits(w.freeFor(t).Add(demand(u.Step)).Add(w.clearable())) || !e.suitsInPlaceOf(u, t, now) || !e.advisorAllows(t, w, now) {
			continue
		}
		if holder == nil || cmp.Or(
			cmp.Compare(u.Step.Resources.MilliCPU, holder.Step.Resources.MilliCPU),
			cmp.Compare(u.name(), holder.name()),
		) < 0 {
			holder = u
		}
	}
	if holder == nil {
		return false
	}
	w := holder.reserved.worker
	e.unreserve(holder)
	e.reserve(t, w, now)
	return true
}

// suitsInPlaceOf reports whether a task may run on the worker on which another one has a reservation
// if that is given up.
func (e *Engine) suitsInPlaceOf(holder, t *Task, now time.Time) bool {
	reserved := holder.reserved
	holder.reserved = nil // it may fill the step's limit per worker
	defer func() { holder.reserved = reserved }()
	return e.suits(t, reserved.worker, now, nil)
}

// mayWaitLonger reports whether a task with a reservation can do without it for now: it serves
// on a draining worker, or may not start before other workers have answered.
func (e *Engine) mayWaitLonger(t *Task, now time.Time) bool {
	if len(t.Runs) > 0 {
		return !slices.ContainsFunc(t.Runs, func(r *Run) bool { return r.stopping })
	}
	return e.mayRunElsewhere(t, now)
}

// makeRoomForGang reserves capacity for all tasks of an interrupted gang, or for none, and
// stops other tasks there if these do not end soon.
func (e *Engine) makeRoomForGang(tasks []*Task, now time.Time) {
	for _, t := range tasks {
		if t.reserved != nil {
			continue
		}
		w := e.cheapestToClear(t, now)
		if w == nil {
			for _, member := range tasks {
				e.unreserve(member)
			}
			e.reportStarved(t, now)
			return
		}
		e.reserve(t, w, now)
	}
	for _, t := range tasks {
		if now.Sub(t.readyAt) < evictAfter {
			return
		}
	}
	for _, t := range tasks {
		for _, r := range victimsOn(t.reserved.worker, t) {
			e.stop(r, StopForService)
		}
	}
}

// startInBackoff starts a task that has waited for long on a worker in a backoff. It
// reports whether there is such a worker.
func (e *Engine) startInBackoff(t *Task, now time.Time) bool {
	if now.Sub(t.readyAt) < evictAfter {
		return false
	}
	w := e.leastFailing(t, now)
	if w == nil {
		return false
	}
	e.start(t, w, t.Attempt+1, now)
	t.Runs[len(t.Runs)-1].inBackoff = true
	return true
}

// leastFailing returns the worker with the fewest consecutive failures and unanswered
// starts among those in a backoff that may run a task, or nil if there is none.
func (e *Engine) leastFailing(t *Task, now time.Time) *Worker {
	var best *Worker
	lowest := 0.0
	for _, w := range e.workerList {
		fits := w.lastChoice(now) && demand(t.Step).Fits(w.freeFor(t))
		if !fits || !e.advisorAllows(t, w, now) || !e.matches(t, w, now, nil) {
			continue
		}
		p := e.penalty(t, w, "", nil)
		if best == nil || cmp.Or(
			cmp.Compare(w.consecutiveFailures+w.unansweredStarts, best.consecutiveFailures+best.unansweredStarts),
			cmp.Compare(p, lowest),
			cmp.Compare(w.Entry.ID, best.Entry.ID),
		) < 0 {
			best, lowest = w, p
		}
	}
	return best
}

// cheapestToClear returns the worker on which stopping tasks that are no services makes
// room for a task at the lowest cost, or nil if there is none.
func (e *Engine) cheapestToClear(t *Task, now time.Time) *Worker {
	if t.reserved == nil && e.unclearable.covers(t, now) != fitsUnknown {
		return nil
	}
	var best *Worker
	lowest := int64(0)
	for _, w := range e.workerList {
		// In a cell that is full of services, this leaves out almost all workers at once.
		if w.Entry.Capacity.MilliCPU-e.colocationOf(w).serviceCPU < demand(t.Step).MilliCPU {
			continue
		}
		if !e.suits(t, w, now, nil) || !e.advisorAllows(t, w, now) {
			continue
		}
		if !demand(t.Step).Fits(w.freeFor(t).Add(w.clearable())) {
			continue
		}
		cost := int64(0)
		for _, r := range victimsOn(w, t) {
			cost += evictionCost(r)
		}
		if best == nil || cost < lowest || cost == lowest && w.Entry.ID < best.Entry.ID {
			best, lowest = w, cost
		}
	}
	if best == nil {
		e.unclearable.add(t, false, now)
	}
	return best
}

// clearable returns the resources that runs of tasks that are no services use.
func (w *Worker) clearable() job.Resources {
	var total job.Resources
	for _, r := range w.sortedRuns() {
		if !r.Task.Step.Service {
			total = total.Add(demand(r.Task.Step))
		}
	}
	return total
}

// victimsOn returns the runs to stop on a worker to make room for a task, the cheapest
// first. Runs that are being stopped already count as freed.
func victimsOn(w *Worker, t *Task) []*Run {
	free := w.freeFor(t)
	var candidates []*Run
	for _, r := range w.sortedRuns() {
		switch {
		case r.Task.Step.Service:
		case r.stopping:
			free = free.Add(demand(r.Task.Step))
		default:
			candidates = append(candidates, r)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Run) int { return cmp.Compare(evictionCost(a), evictionCost(b)) })
	var victims []*Run
	for _, r := range candidates {
		if demand(t.Step).Fits(free) {
			break
		}
		free = free.Add(demand(r.Task.Step))
		victims = append(victims, r)
	}
	return victims
}

// evictionCost estimates the work that is lost if a run is stopped, in thousandths of a
// core, weighted by the progress of tasks that save none of it.
func evictionCost(r *Run) int64 {
	step := r.Task.Step
	if step.Checkpoints {
		return step.Resources.MilliCPU
	}
	return step.Resources.MilliCPU * int64(lossOfUncheckpointed*(100+r.Progress)) / 100
}

// unreserved returns the resources of a worker that no run uses and no task has reserved.
func (w *Worker) unreserved() job.Resources { return w.free().Sub(w.reservedUse) }

// reportStarved reports a service task that no worker could run, even without its other
// tasks.
func (e *Engine) reportStarved(t *Task, now time.Time) {
	if now.Sub(t.starvedReportedAt) < starvedReportInterval {
		return
	}
	t.starvedReportedAt = now
	e.out.Starved = append(e.out.Starved, e.starvation(t, now))
}
