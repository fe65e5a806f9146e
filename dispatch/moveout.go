package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

const (
	// moveOutInterval is the least time between two moves of service tasks out of data centres
	// under evacuation. A move makes a task unavailable for a stop and a start, about half a
	// second.
	moveOutInterval = 100 * time.Millisecond
	// maxMoveOutSearches is the number of searches for a worker, each among all workers, after
	// which a plan considers no further worker under evacuation.
	maxMoveOutSearches = 16
)

// moveOut moves one service task out of a data centre under evacuation to a worker that has
// room for it. Tasks that fit nowhere stay, and so do those whose step tolerates no further
// unavailable task. The jobs are those with waiting tasks, of which the interrupted ones have
// been planned before.
func (e *Engine) moveOut(jobs []*Job, now time.Time) {
	if now.Sub(e.movedOutAt) < moveOutInterval {
		return
	}
	sources := e.moveOutSources()
	if len(sources) == 0 {
		return
	}
	e.movedOutAt = now
	interrupted := unplacedInterrupted(jobs)
	failed := map[*job.Step]bool{} // no worker has room for a task of the step
	noRoom := unplaceable{}
	searches := 0
	for _, w := range sources {
		if searches >= maxMoveOutSearches {
			return
		}
		e.movedOutFrom = w.Entry.ID
		for _, r := range w.sortedRuns() {
			if failed[r.Task.Step] || !e.mayMoveOut(r, now) || noRoom.covers(r.Task, now) != fitsUnknown {
				continue
			}
			searches++
			target := e.chooseWorker(r.Task, r.Task.siblings(), now, nil)
			if target == nil {
				e.requestAdvice(r.Task, now)
			}
			if target == nil || e.wanted(target, interrupted, now) {
				failed[r.Task.Step] = true
				noRoom.add(r.Task, e.lookahead.refused, now)
				continue
			}
			// Another task must not take the capacity before this one has stopped.
			e.reserve(r.Task, target, now)
			e.move(r, StopEvacuation)
			return
		}
	}
}

// moveOutSources returns the workers under evacuation with services, from the one after that
// which was considered last, so that services that fit nowhere do not hold up others. Workers
// that do not answer are left out: the reserved place could expire before the stop is known.
func (e *Engine) moveOutSources() []*Worker {
	var sources []*Worker
	for _, w := range e.workerList {
		if w.Listed && w.Entry.Evacuating && !w.Entry.Draining && w.unansweredSince.IsZero() && len(e.colocationOf(w).services) > 0 {
			sources = append(sources, w)
		}
	}
	slices.SortFunc(sources, func(a, b *Worker) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	next := slices.IndexFunc(sources, func(w *Worker) bool { return w.Entry.ID > e.movedOutFrom })
	if next <= 0 {
		return sources
	}
	return slices.Concat(sources[next:], sources[:next])
}

// mayMoveOut reports whether a run is one of a service task that serves, and whose step
// tolerates that it becomes unavailable. A gang would end as a whole, and a task of a former
// owner could not be started again while workers are not contacted.
func (e *Engine) mayMoveOut(r *Run, now time.Time) bool {
	t := r.Task
	if e.mayRunElsewhere(t, now) {
		return false
	}
	if !t.Step.Service || t.Step.Gang || r.State != RunActive || r.stopping || r.Progress != 100 || t.reserved != nil {
		return false
	}
	return t.Step.MaxUnavailable < 0 || t.unavailableSiblings() < t.Step.MaxUnavailable
}

// unplacedInterrupted returns the interrupted service tasks for which no capacity is reserved.
func unplacedInterrupted(jobs []*Job) []*Task {
	var tasks []*Task
	for _, j := range jobs {
		if !j.interrupted {
			continue
		}
		for t := range j.allTasks() {
			if t.interrupted() && t.reserved == nil {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}

// wanted reports whether one of the interrupted service tasks may run on a worker when others
// there end. They go before tasks that still run.
func (e *Engine) wanted(w *Worker, interrupted []*Task, now time.Time) bool {
	return slices.ContainsFunc(interrupted, func(t *Task) bool {
		return demand(t.Step).Fits(w.Entry.Capacity) && e.suits(t, w, now, nil)
	})
}
