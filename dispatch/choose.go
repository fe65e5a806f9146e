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
	penaltyAwayFromData = 1e7 // the task runs RemoteFactor times as long
	penaltyCold         = 1e6 // the worker is slow after its start
	penaltyBeside       = 1e6 // best-effort tasks disturb services
	bonusWithServices   = 1e5 // services together leave other workers to best-effort tasks
	penaltyPerMS        = 200 // a round trip delays the start and the end
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
		if p < bestPenalty || (p == bestPenalty && w.Entry.ID < best.Entry.ID) {
			best, bestPenalty = w, p
		}
	}
	return best
}

// eligible reports whether a worker may run a task and has room for it.
func (e *Engine) eligible(t *Task, w *Worker, now time.Time, reserved *reservation) bool {
	if !w.Listed || !w.heard || w.Entry.Draining || w.clockAt.IsZero() || w.Entry.Pool != t.Job.Queue.Pool {
		return false
	}
	if !w.unansweredSince.IsZero() || now.Before(w.refusedUntil) {
		return false
	}
	free := w.free()
	if reserved != nil {
		free = free.Sub(reserved.taken[w])
	}
	if !demand(t.Step).Fits(free) {
		return false
	}
	if t.Step.Label != "" && !slices.Contains(w.Entry.Labels, t.Step.Label) {
		return false
	}
	return t.Step.MaxPerWorker == 0 || e.countOn(t, w, reserved) < t.Step.MaxPerWorker
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
	services, bestEffort, used := w.neighbours()
	switch {
	case t.Step.BestEffort:
		// What others leave is what the task gets.
		p = float64(used) - float64(left) + penaltyBeside*float64(services)
	case t.Step.Service:
		p += penaltyBeside * float64(bestEffort)
		if services > 0 {
			p -= bonusWithServices
		}
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
	if w.Entry.Cold > 0 {
		p += penaltyCold
	}
	return p + penaltyPerMS*float64(w.roundTrip.Milliseconds())
}

// neighbours counts what runs on a worker: service tasks, best-effort tasks and
// the processors that the latter ask for.
func (w *Worker) neighbours() (services, bestEffort int, used int64) {
	for _, r := range w.runs {
		if r.Task.Step.Service {
			services++
		}
		if r.Task.Step.BestEffort {
			bestEffort++
			used += r.Task.Step.Resources.MilliCPU
		}
	}
	return services, bestEffort, used
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
