package dispatch

import (
	"math"
	"slices"
	"time"
)

// Penalties order the workers that could run a task. A penalty is in
// thousandths of a core of room that is given up to avoid it, so that it can be
// added to what a placement leaves unused.
const (
	penaltyFailedHere   = 1e9 // the task has failed on the worker
	penaltyAwayFromData = 1e7 // the task runs longer than beside its data
	penaltyLeft         = 5e6 // the task was moved away from the worker
	penaltyCold         = 1e6 // the worker is slow after its start
	penaltySlow         = 2e6 // tasks on the worker proceed slowly
	penaltyBeside       = 3e5 // best-effort tasks disturb services
	bonusWithServices   = 1e5 // services together leave other workers to best-effort tasks
	penaltyPerMS        = 200 // a round trip delays the start and the end
	// penaltyStrain is for a load of one that best-effort tasks would add to a
	// service; a crowd may add several.
	penaltyStrain = 4 * bonusWithServices
	// penaltyOtherImage keeps workers to services of one image each: which
	// best-effort tasks disturb a service depends on the image, so a worker with
	// one image has room for more of them than a worker with several.
	penaltyOtherImage = 2 * bonusWithServices
)

// choose returns the best worker for a task, or nil if none has room.
func (e *Engine) choose(t *Task, siblings []*Task, now time.Time, reserved *reservation) *Worker {
	var best *Worker
	bestPenalty := math.Inf(1)
	rack := ""
	if t.Step.SameRack {
		rack = e.rackOf(siblings)
	}
	for _, w := range e.workers {
		if !e.eligible(t, w, now, reserved) {
			continue
		}
		p := e.penalty(t, w, rack, reserved)
		if e.slow(w, now) {
			p += penaltySlow
		}
		if p < bestPenalty || (p == bestPenalty && w.Entry.ID < best.Entry.ID) {
			best, bestPenalty = w, p
		}
	}
	return best
}

// elsewhere returns the worker that a run could go on on, or nil if its own is
// the best or there is none.
func (e *Engine) elsewhere(r *Run, now time.Time) *Worker {
	best := e.choose(r.Task, r.Task.siblings(), now, nil)
	if best == r.Worker {
		return nil
	}
	return best
}

// eligible reports whether a worker may run a task and has room for it.
func (e *Engine) eligible(t *Task, w *Worker, now time.Time, reserved *reservation) bool {
	return e.advised(t, w, now) && e.suits(t, w, now, reserved)
}

// suits is like eligible, whatever an advisor says.
func (e *Engine) suits(t *Task, w *Worker, now time.Time, reserved *reservation) bool {
	if w.Entry.Pool != t.Job.Queue.Pool || !w.takesWork(now) {
		return false
	}
	free := w.free()
	if reserved != nil {
		free = free.Sub(reserved.taken[w])
	}
	if !demand(t.Step).Fits(free) {
		return false
	}
	if t.Step.BestEffort && !e.bearable(t, w, now) {
		return false
	}
	if t.Step.Label != "" && !slices.Contains(w.Entry.Labels, t.Step.Label) {
		return false
	}
	return t.Step.MaxPerWorker == 0 || e.countOn(t, w, reserved) < t.Step.MaxPerWorker
}

// takesWork reports whether a worker is known well enough to be given orders.
func (w *Worker) takesWork(now time.Time) bool {
	known := w.Listed && w.heard && !w.Entry.Draining && !w.clockAt.IsZero()
	answers := w.unansweredSince.IsZero() && !now.Before(w.refusedUntil)
	// Strays occupy nobody knows how much until they have ended.
	return known && answers && len(w.strays) == 0
}

// bearable reports whether a worker's services can do with one more best-effort
// task.
func (e *Engine) bearable(t *Task, w *Worker, now time.Time) bool {
	if len(e.mixture(w).services) == 0 {
		return true
	}
	over := w.sharing.overSince
	held := !over.IsZero() && now.Sub(over) >= time.Duration(moveAfter*float64(e.options.MaxViolation))
	limit := patientTail
	if t.hurried(now) {
		limit = hurriedTail
	}
	return !held && e.predictedTail(w, t.Step) < limit
}

// countOn returns how many of a task's step run on a worker.
func (e *Engine) countOn(t *Task, w *Worker, reserved *reservation) int {
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
	return n
}

// penalty is lowest for the worker that is best for a task.
func (e *Engine) penalty(t *Task, w *Worker, rack string, reserved *reservation) float64 {
	left := w.free().Sub(demand(t.Step)).MilliCPU
	if reserved != nil {
		left -= reserved.taken[w].MilliCPU
	}
	p := float64(left)
	mix := e.mixture(w)
	services, bestEffort := len(mix.services), mix.bestEffort
	switch {
	case t.Step.BestEffort:
		// A crowd slows nobody down, and leaves other workers to services.
		p = float64(w.free().MemoryMB)
		if services > 0 {
			p = penaltyBeside * (1 + e.predictedTail(w, t.Step))
		}
	case t.Step.Service:
		if services > 0 {
			p -= bonusWithServices
		}
		p += penaltyOtherImage * float64(mix.otherImages(t.Step.Image))
		if bestEffort > 0 {
			p += penaltyStrain * e.servicePressure(w, t.Step)
		}
	case services > 0:
		// What services leave is kept for more of them.
		p += bonusWithServices
	}
	if w.Entry.ID == t.leaving {
		p += penaltyLeft
	}
	if t.avoid[w.Entry.ID] {
		p += penaltyFailedHere
	}
	if t.Step.DataRack != "" && w.Entry.Rack != t.Step.DataRack {
		p += penaltyAwayFromData
	}
	if rack != "" && w.Entry.Rack != rack {
		p += penaltyAwayFromData
	}
	if w.Entry.WarmUp > 0 {
		p += penaltyCold
	}
	return p + penaltyPerMS*float64(w.roundTrip.Milliseconds())
}

// neighbours counts the service tasks and the best-effort tasks on a worker.
func (w *Worker) neighbours() (services, bestEffort int) {
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

// rackOf returns the label that the runs of a step share most, or "".
func (e *Engine) rackOf(siblings []*Task) string {
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
