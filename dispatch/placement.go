package dispatch

import (
	"math"
	"slices"
	"time"
)

// Penalties rank the workers that could run a task. The unit is a thousandth of a
// core of free capacity that is given up to avoid the penalty, so that penalties
// can be added to the capacity that a placement leaves unused.
const (
	penaltyFailedHere     = 1e9 // the task has failed on the worker before
	penaltyRemoteData     = 1e7 // the task runs longer away from its data
	penaltyMovedFrom      = 5e6 // the task was moved away from the worker
	penaltyCold           = 1e6 // the worker is slow after its start
	penaltySlow           = 2e6 // tasks on the worker are slow
	bonusServicesTogether = 1e5 // packing services leaves other workers to best-effort tasks
	penaltyPerMS          = 200 // a round trip delays the start and the end
	// penaltyAddedLoad applies per unit of load that the best-effort tasks would
	// add to a service; many tasks may add several.
	penaltyAddedLoad = 4 * bonusServicesTogether
	// penaltyOtherImage keeps workers to services of one image each: which
	// best-effort tasks slow down a service depends on its image, so a worker with
	// one service image accepts more of them than a worker with several.
	penaltyOtherImage = 2 * bonusServicesTogether
)

// chooseWorker returns the best eligible worker for a task, or nil.
func (e *Engine) chooseWorker(t *Task, siblings []*Task, now time.Time, reserved *reservation) *Worker {
	return e.chooseAmong(e.workerList, t, siblings, now, reserved)
}

// chooseAmong is like chooseWorker for some of the workers.
func (e *Engine) chooseAmong(workers []*Worker, t *Task, siblings []*Task, now time.Time, reserved *reservation) *Worker {
	var best, bestReserved *Worker
	bestPenalty, reservedPenalty := math.Inf(1), math.Inf(1)
	e.lookahead.refused = false
	rack := ""
	if t.Step.SameRack {
		rack = e.commonRack(siblings)
	}
	for _, w := range workers {
		if !e.eligible(t, w, now, reserved) {
			continue
		}
		p := e.penalty(t, w, rack, reserved)
		if e.isSlow(w, now) {
			p += penaltySlow
		}
		if admitted, passes := e.admits(t, w, reserved, now); !admitted {
			e.lookahead.refused = true
			if passes && (p < reservedPenalty || (p == reservedPenalty && w.Entry.ID < bestReserved.Entry.ID)) {
				bestReserved, reservedPenalty = w, p
			}
			continue
		}
		if p < bestPenalty || (p == bestPenalty && w.Entry.ID < best.Entry.ID) {
			best, bestPenalty = w, p
		}
	}
	if best == nil {
		return bestReserved
	}
	return best
}

// alternativeWorker returns the worker on which a run could continue, or nil if
// its own is the best or none is eligible.
func (e *Engine) alternativeWorker(r *Run, now time.Time) *Worker {
	best := e.chooseWorker(r.Task, r.Task.siblings(), now, nil)
	if best == r.Worker {
		return nil
	}
	return best
}

// eligible reports whether a worker may run a task and has capacity for it.
func (e *Engine) eligible(t *Task, w *Worker, now time.Time, reserved *reservation) bool {
	return e.advisorAllows(t, w, now) && e.feasible(t, w, now, reserved)
}

// feasible is like eligible, but ignores the advisor.
func (e *Engine) feasible(t *Task, w *Worker, now time.Time, reserved *reservation) bool {
	if !w.schedulable(now) {
		return false
	}
	free := w.freeFor(t)
	if reserved != nil {
		free = free.Sub(reserved.taken[w])
	}
	return demand(t.Step).Fits(free) && e.suits(t, w, now, reserved)
}

// suits reports whether a worker may run a task when it has capacity for it.
func (e *Engine) suits(t *Task, w *Worker, now time.Time, reserved *reservation) bool {
	return w.schedulable(now) && e.matches(t, w, now, reserved)
}

// matches is like suits, but ignores the worker's state.
func (e *Engine) matches(t *Task, w *Worker, now time.Time, reserved *reservation) bool {
	if w.Entry.Pool != t.Job.Queue.Pool || e.startWindow(t, now) < min(minStartWindow, e.options.StartWindow) {
		return false
	}
	if t.mustAvoid(w, reserved != nil && reserved.count[w] > 0, now) {
		return false
	}
	if t.Step.BestEffort && (!e.toleratesContention(t, w, now) || !e.toleratesBestEffort(t, w, now)) {
		return false
	}
	if t.Step.Label != "" && !slices.Contains(w.Entry.Labels, t.Step.Label) {
		return false
	}
	return t.Step.MaxPerWorker == 0 || e.stepTasksOn(t, w, reserved) < t.Step.MaxPerWorker
}

// schedulable reports whether runs may be started on a worker in its current state.
func (w *Worker) schedulable(now time.Time) bool {
	return w.responsive() && !now.Before(w.backoffUntil)
}

// acceptsWork reports whether the worker neither leaves nor is in a data centre under
// evacuation.
func (w *Worker) acceptsWork() bool { return !w.Entry.Draining && !w.Entry.Evacuating }

// responsive reports whether a worker accepts runs, as far as is known.
func (w *Worker) responsive() bool {
	reachable := w.Listed && w.recorded && w.contacted && w.acceptsWork() && !w.clockAt.IsZero()
	// Until the list shows the worker's boot, the capacity is that of a former boot.
	described := w.Entry.Boot == w.boot
	// Unknown runs use an unknown amount of resources until they have ended.
	return reachable && described && w.unansweredSince.IsZero() && len(w.unknownRuns) == 0
}

// lastChoice reports whether only interrupted service tasks without another worker may be
// started on a worker.
func (w *Worker) lastChoice(now time.Time) bool {
	return w.responsive() && now.Before(w.backoffUntil) && !now.Before(w.barredUntil)
}

// bar backs off from a worker until a time, also for interrupted service tasks. It does
// not shorten a longer backoff.
func (w *Worker) bar(until time.Time) {
	w.backoffUntil = later(w.backoffUntil, until)
	w.barredUntil = later(w.barredUntil, until)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// toleratesBestEffort reports whether one more best-effort task keeps the worker's
// services within their predicted latency limit.
func (e *Engine) toleratesBestEffort(t *Task, w *Worker, now time.Time) bool {
	if len(e.colocationOf(w).services) == 0 {
		return true
	}
	overSince := w.latency.overSince
	overTooLong := !overSince.IsZero() && now.Sub(overSince) >= time.Duration(moveAfter*float64(e.options.MaxViolation))
	limit := maxPredictedTail
	if t.urgent(now) {
		limit = maxPredictedTailUrgent
	}
	return !overTooLong && e.predictedTail(w, t.Step) < limit
}

// stepTasksOn returns how many tasks of a task's step run on a worker or, for other tasks, have
// capacity reserved there. In the plan of a gang, reserved has those that wait.
func (e *Engine) stepTasksOn(t *Task, w *Worker, reserved *reservation) int {
	n := 0
	if reserved != nil {
		n = reserved.count[w]
	}
	for _, r := range w.runs {
		id := r.Task.ID
		if id.Job == t.ID.Job && id.Occurrence == t.ID.Occurrence && id.Step == t.ID.Step {
			n++
		}
	}
	for _, u := range w.reservedBy {
		if u != t && u.reserved != nil && u.Step == t.Step && u.Job == t.Job && u.ID.Occurrence == t.ID.Occurrence && (reserved == nil || len(u.Runs) > 0) && !u.runsOn(w) {
			n++
		}
	}
	return n
}

// runsOn reports whether the task has a run on a worker.
func (t *Task) runsOn(w *Worker) bool {
	return slices.ContainsFunc(t.Runs, func(r *Run) bool { return r.Worker == w })
}

// penalty returns the penalty of a worker for a task; the lowest is the best.
func (e *Engine) penalty(t *Task, w *Worker, rack string, reserved *reservation) float64 {
	freeCPU := w.free().Sub(demand(t.Step)).MilliCPU
	if reserved != nil {
		freeCPU -= reserved.taken[w].MilliCPU
	}
	p := float64(freeCPU)
	colocated := e.colocationOf(w)
	services, bestEffort := len(colocated.services), colocated.bestEffort
	switch {
	case t.Step.BestEffort:
		p = penaltyPerLostRun * e.bestEffortCost(w, t.Step)
	case t.Step.Service:
		if services > 0 {
			p -= bonusServicesTogether
		}
		p += penaltyOtherImage * float64(colocated.otherImages(t.Step.Image))
		if bestEffort > 0 {
			p += penaltyAddedLoad * e.addedLoadOn(w, t.Step)
		}
	case services > 0:
		// Workers with services keep their free capacity for more services.
		p += bonusServicesTogether
	}
	p += crashPenalty(t, w)
	if w.Entry.ID == t.movedFrom {
		p += penaltyMovedFrom
	}
	if t.failedWorkers[w.Entry.ID] {
		p += penaltyFailedHere
	}
	if t.Step.DataRack != "" && w.Entry.Rack != t.Step.DataRack {
		p += penaltyRemoteData
	}
	if rack != "" && w.Entry.Rack != rack {
		p += penaltyRemoteData
	}
	p += e.coldPenalty(t, w)
	return p + penaltyPerMS*float64(w.roundTrip.Milliseconds())
}

// countColocated counts the service tasks and the best-effort tasks on a worker.
func (w *Worker) countColocated() (services, bestEffort int) {
	for _, r := range w.runs {
		if r.Task.Step.Service {
			services++
		}
		if r.Task.Step.BestEffort {
			bestEffort++
		}
	}
	return services, bestEffort
}

// commonRack returns the rack of most of the siblings' runs, or "".
func (e *Engine) commonRack(siblings []*Task) string {
	counts := map[string]int{}
	best := ""
	for _, t := range siblings {
		for _, r := range t.Runs {
			rack := r.Worker.Entry.Rack
			if counts[rack]++; counts[rack] > counts[best] {
				best = rack
			}
		}
	}
	return best
}
