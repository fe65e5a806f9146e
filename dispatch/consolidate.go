package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Consolidation moves service tasks together, one at a time, so that some workers
// have no services: best-effort tasks there slow down no service and are limited
// by memory only. It also groups services of one image.
const (
	// consolidateInterval is the least time between two moves. A move makes a task
	// unavailable for a stop and a start, about half a second.
	consolidateInterval = 100 * time.Millisecond
	// maxConsolidateSources is the number of workers that are considered, those with
	// the lowest service shares first.
	maxConsolidateSources = 8
	// minMoveGain is the least gain of a move, and oneImageLessGain the gain of
	// removing a service image from a worker. The unit is the gain of filling an
	// empty worker.
	minMoveGain      = 0.05
	oneImageLessGain = 0.1
	// minServiceStay is the least time for which a service task stays on a worker.
	minServiceStay = 5 * time.Second
)

// consolidate requests the move with the highest gain, if there is any.
func (e *Engine) consolidate(now time.Time) {
	if !e.bestEffortStarted || len(e.uncontacted) > 0 || now.Sub(e.consolidatedAt) < consolidateInterval {
		return
	}
	e.consolidatedAt = now
	var best *Run
	var target *Worker
	bestGain := minMoveGain
	for _, w := range e.leastServiceShare() {
		for _, r := range w.sortedRuns() {
			if !e.movable(r, now) {
				continue
			}
			if to, gain := e.bestMove(r, now); gain > bestGain {
				best, target, bestGain = r, to, gain
			}
		}
	}
	if best != nil {
		// Another task must not take the capacity before this one has stopped.
		e.reserve(best.Task, target, now)
		e.move(best, StopConsolidate)
	}
}

// leastServiceShare returns the workers with the lowest service shares above zero.
func (e *Engine) leastServiceShare() []*Worker {
	var sources []*Worker
	for _, w := range e.workerList {
		if w.Listed && w.acceptsWork() && len(e.colocationOf(w).services) > 0 {
			sources = append(sources, w)
		}
	}
	slices.SortFunc(sources, func(a, b *Worker) int {
		if c := cmp.Compare(e.serviceShare(a), e.serviceShare(b)); c != 0 {
			return c
		}
		return cmp.Compare(a.Entry.ID, b.Entry.ID)
	})
	return sources[:min(len(sources), maxConsolidateSources)]
}

// serviceShare returns the share of a worker's processors that its services
// request.
func (e *Engine) serviceShare(w *Worker) float64 {
	return w.cpuShareOf(e.colocationOf(w).serviceCPU)
}

// movable reports whether a service task may be moved while all others of its
// step serve.
func (e *Engine) movable(r *Run, now time.Time) bool {
	return e.relocatable(r) && r.Progress == 100 && now.Sub(r.requestedAt) >= minServiceStay
}

// bestMove returns the worker of a run's best move, and the gain. Gains are differences
// of the sum over all workers of the squared service shares, so that a sequence of moves
// terminates.
func (e *Engine) bestMove(r *Run, now time.Time) (*Worker, float64) {
	t, from := r.Task, r.Worker
	share := e.serviceShare(from)
	var target *Worker
	best := 0.0
	for _, w := range e.workerList {
		if w == from || w.advance != nil || e.serviceShare(w) <= share || !e.eligible(t, w, now, nil) {
			continue
		}
		if gain := e.gainAt(r, w); gain > best {
			target, best = w, gain
		}
	}
	return target, best
}

func (e *Engine) gainAt(r *Run, to *Worker) float64 {
	step := r.Task.Step
	square := func(x float64) float64 { return x * x }
	toShare, fromShare := e.serviceShare(to), e.serviceShare(r.Worker)
	gain := square(toShare+to.cpuShare(step)) - square(toShare) - square(fromShare) + square(fromShare-r.Worker.cpuShare(step))
	if !e.colocationOf(to).hasImage(step.Image) {
		gain -= oneImageLessGain
	}
	if fromColocation := e.colocationOf(r.Worker); len(fromColocation.services) > 1 && fromColocation.tasksOf(step.Image) == 1 {
		gain += oneImageLessGain
	}
	return gain
}
