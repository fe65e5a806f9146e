package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Consolidation moves service tasks together, one at a time, so that some
// workers have none: best-effort tasks disturb nobody there and are bounded by
// memory only. It also gathers services of one image.
const (
	// consolidatePause lies between two moves. A move takes a task away for a stop
	// and a start, about half a second.
	consolidatePause = 100 * time.Millisecond
	// consolidateSources is how many of the emptiest workers are looked at.
	consolidateSources = 8
	// consolidateGain is the least gain of a move, and imageGain what it counts
	// that a worker has one service image less. A worker that is filled from
	// empty counts one.
	consolidateGain = 0.05
	imageGain       = 0.1
	// settledFor is how long a service task stays where it is, at the least.
	settledFor = 5 * time.Second
)

// consolidate orders the most useful move, if there is one.
func (e *Engine) consolidate(now time.Time) {
	if !e.shared || len(e.silent) > 0 || now.Sub(e.consolidatedAt) < consolidatePause {
		return
	}
	e.consolidatedAt = now
	var best *Run
	bestGain := consolidateGain
	for _, w := range e.emptiest() {
		for _, r := range w.sortedRuns() {
			if !e.movable(r, now) {
				continue
			}
			if gain := e.moveGain(r, now); gain > bestGain {
				best, bestGain = r, gain
			}
		}
	}
	if best != nil {
		e.move(best, StopConsolidate)
	}
}

// emptiest returns the workers with the smallest shares of services, without
// those that have none.
func (e *Engine) emptiest() []*Worker {
	var some []*Worker
	for _, w := range e.workers {
		if w.Listed && !w.Entry.Draining && len(e.mixture(w).services) > 0 {
			some = append(some, w)
		}
	}
	slices.SortFunc(some, func(a, b *Worker) int {
		if c := cmp.Compare(e.serviceShare(a), e.serviceShare(b)); c != 0 {
			return c
		}
		return cmp.Compare(a.Entry.ID, b.Entry.ID)
	})
	return some[:min(len(some), consolidateSources)]
}

// serviceShare returns the share of a worker's processors that its services
// have asked for.
func (e *Engine) serviceShare(w *Worker) float64 {
	return w.shareOf(e.mixture(w).serviceCPU)
}

// movable reports whether a service task may be moved without leaving its step
// short of another one.
func (e *Engine) movable(r *Run, now time.Time) bool {
	t := r.Task
	if !t.Step.Service || t.Step.Gang || r.State != RunActive || r.stopping || r.Progress < 100 || now.Sub(r.orderedAt) < settledFor {
		return false
	}
	return t.Step.MaxUnavailable != 0 && t.siblingsAway() == 0
}

// moveGain returns what the best move of a run gains. Gains are differences of
// the sum, over all workers, of the squared shares of services, so that moves
// come to an end.
func (e *Engine) moveGain(r *Run, now time.Time) float64 {
	t, from := r.Task, r.Worker
	share := e.serviceShare(from)
	best := 0.0
	for _, w := range e.workers {
		if w == from || e.serviceShare(w) <= share || !e.eligible(t, w, now, nil) {
			continue
		}
		best = max(best, e.gainAt(r, w))
	}
	return best
}

func (e *Engine) gainAt(r *Run, to *Worker) float64 {
	step := r.Task.Step
	square := func(x float64) float64 { return x * x }
	has, had := e.serviceShare(to), e.serviceShare(r.Worker)
	gain := square(has+to.share(step)) - square(has) - square(had) + square(had-r.Worker.share(step))
	if !e.mixture(to).hasImage(step.Image) {
		gain -= imageGain
	}
	if from := e.mixture(r.Worker); len(from.services) > 1 && from.tasksOf(step.Image) == 1 {
		gain += imageGain
	}
	return gain
}
