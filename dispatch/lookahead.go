package dispatch

import (
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/lookahead"
)

// A task that requests much more than others may wait for as long as smaller ones take what
// becomes free. While such a task waits, workers are reserved for it at the earliest time at
// which it is expected to fit. An advance reservation restricts the starts of other tasks, but
// takes no capacity: services, and tasks of queues with a higher priority, may use it.
const (
	// largeFactor is the ratio of a task's request to the mean one of the running tasks above
	// which it counts as large.
	largeFactor = 2
	// summaryInterval is the interval at which pools are summarised while tasks wait.
	summaryInterval = time.Second
	// reviewInterval is the interval at which expected ends are computed anew.
	reviewInterval = 100 * time.Millisecond
	// searchInterval is the least time between two searches, which may follow every plan.
	searchInterval = 50 * time.Millisecond
	// retryReservationAfter is how long after a search without a result a task is searched
	// for again.
	retryReservationAfter = 500 * time.Millisecond
	// maxAdvanceCandidates is the number of workers whose ends are predicted in a search,
	// those that lack the least.
	maxAdvanceCandidates = 32
	// endProbability is the probability with which a run counted on has ended at its
	// expected end, and fillProbability that with which the tasks that are started on
	// reserved workers must end in time; it is divided among the workers of a gang, for which a
	// single late task delays all.
	endProbability  = 0.5
	fillProbability = 0.7
	// maxFailedFills bounds the tasks that are tried on reserved workers in a plan after one
	// of their class has fitted nowhere.
	maxFailedFills = 64
	// leastRemaining is the least time for which a run is expected to go on, since its end
	// has not been listed.
	leastRemaining = 10 * time.Millisecond
	// stopTime is how long a stop that has been requested takes.
	stopTime = 200 * time.Millisecond
)

// advanceReservation is a reservation of workers for a task or a gang.
type advanceReservation struct {
	*lookahead.Reservation
	tasks []*Task
	parts []*advancePart
	// fillProbability is the probability with which a task that is started on one of the
	// workers must end in time.
	fillProbability float64
}

// advancePart is a reservation's part on one worker.
type advancePart struct {
	*advanceReservation
	worker *Worker
	demand job.Resources // of all tasks on the worker
	spare  job.Resources // what is free beside them when they fit
}

// lookaheadState is the engine's state for advance reservations.
type lookaheadState struct {
	disabled bool // set by tests for comparisons
	reserved []*advanceReservation
	workers  []*Worker // those that are reserved
	// fills is the number of tasks that did not fit on a reserved worker in the present plan
	// when no other was left.
	fills int
	// blocked is the most urgent large task without a reservation that fitted nowhere in the
	// present plan; nil if there is none.
	blocked *Task
	pools   map[string]poolSummary
	// summarizedAt, reviewedAt and searchedAt are when each was last done.
	summarizedAt, reviewedAt, searchedAt time.Time
	// refused is set when a worker was refused because it is reserved.
	refused bool
}

// poolSummary is the number of workers of a pool, and the mean request of the runs there that
// end by themselves.
type poolSummary struct {
	workers     int
	meanRequest job.Resources
}

// markBlocked records a task that fits nowhere in the present plan, if it is large and more
// workers may be reserved.
func (e *Engine) markBlocked(t *Task, now time.Time) {
	l := &e.lookahead
	if l.disabled || l.blocked != nil || t.advance != nil || now.Before(t.notReservedBefore) || t.interrupted() {
		return
	}
	if now.Sub(l.summarizedAt) >= summaryInterval {
		l.summarizedAt = now
		l.pools = e.summarizePools()
	}
	pool, ok := l.pools[t.Job.Queue.Pool]
	if ok && t.large(pool.meanRequest) && e.mayReserve(t.Job.Queue.Pool) > 0 {
		l.blocked = t
	}
}

// large reports whether a task, or its gang, requests so much that the end of one other run
// does not make room for it.
func (t *Task) large(mean job.Resources) bool {
	d, n := demand(t.Step), int64(1)
	if t.Step.Gang {
		n = int64(t.Step.Tasks)
	}
	exceeds := func(request, mean int64) bool { return mean > 0 && n*request > largeFactor*mean }
	return exceeds(d.MilliCPU, mean.MilliCPU) || exceeds(d.MemoryMB, mean.MemoryMB) || exceeds(d.GPU, mean.GPU)
}

// mayReserve returns how many more workers of a pool may be reserved.
func (e *Engine) mayReserve(pool string) int {
	left := lookahead.Limit(e.lookahead.pools[pool].workers)
	for _, a := range e.lookahead.reserved {
		if a.tasks[0].Job.Queue.Pool == pool {
			left -= len(a.parts)
		}
	}
	return left
}

// summarizePools returns a summary of the workers and runs of each pool. Runs that request nothing of a
// resource do not count for its mean.
func (e *Engine) summarizePools() map[string]poolSummary {
	pools, counts := map[string]poolSummary{}, map[string]job.Resources{}
	for _, w := range e.workerList {
		pool, count := pools[w.Entry.Pool], counts[w.Entry.Pool]
		pool.workers++
		for _, r := range w.sortedRuns() {
			if r.Task.Step.Service {
				continue
			}
			d := demand(r.Task.Step)
			pool.meanRequest = pool.meanRequest.Add(d)
			count = count.Add(job.Resources{MilliCPU: min(d.MilliCPU, 1), MemoryMB: min(d.MemoryMB, 1), GPU: min(d.GPU, 1)})
		}
		pools[w.Entry.Pool], counts[w.Entry.Pool] = pool, count
	}
	for name, pool := range pools {
		sum, n := pool.meanRequest, counts[name]
		pool.meanRequest = job.Resources{
			MilliCPU: sum.MilliCPU / max(1, n.MilliCPU), MemoryMB: sum.MemoryMB / max(1, n.MemoryMB), GPU: sum.GPU / max(1, n.GPU),
		}
		pools[name] = pool
	}
	return pools
}

// admits reports whether a task may start on a worker as far as advance reservations matter.
// Passes is set if it may start there although the worker is reserved for another, if there
// is no other worker for it.
func (e *Engine) admits(t *Task, w *Worker, taken *reservation, now time.Time) (ok, passes bool) {
	part := w.advance
	switch {
	case part == nil || t.advance == part.advanceReservation:
		return true, false
	case t.Step.Service && t.hasRun || t.reserved != nil && t.reserved.worker == w:
		return true, false
	case len(t.Runs) > 0:
		return false, false // a copy, or a move that is not necessary
	}
	d := demand(t.Step)
	if taken != nil {
		d = d.Add(taken.taken[w])
	}
	if part.Admits(d, part.spare, e.endOfNewRun(t, part.fillProbability, now)) {
		return true, false
	}
	return false, t.Step.Service || t.Job.Queue.Priority < part.tasks[0].Job.Queue.Priority
}

// noteStart updates the advance reservations for a start.
func (e *Engine) noteStart(t *Task, w *Worker, now time.Time) {
	if a := t.advance; a != nil {
		reason := ReservationNotNeeded
		if w.advance != nil && w.advance.advanceReservation == a {
			reason = ReservationUsed
		}
		e.release(a, reason, now)
	}
	if part := w.advance; part != nil && !part.EndsBefore(e.endOfNewRun(t, part.fillProbability, now)) {
		part.spare = part.spare.Sub(demand(t.Step))
	}
}

// reservedWorkerFor returns the worker that is reserved for a task if the task fits there now,
// or nil.
func (e *Engine) reservedWorkerFor(t *Task, now time.Time) *Worker {
	for _, part := range t.advance.parts {
		if e.eligible(t, part.worker, now, nil) {
			return part.worker
		}
	}
	return nil
}

// hasReservation reports whether workers are reserved for tasks of a step.
func (e *Engine) hasReservation(step *job.Step) bool {
	return slices.ContainsFunc(e.lookahead.reserved, func(a *advanceReservation) bool { return a.tasks[0].Step == step })
}
