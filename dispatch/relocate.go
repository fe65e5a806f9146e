package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// The free capacity of a pool that is full of services is in pieces that are too small for
// some. So other services are moved off a worker, until an interrupted one fits there.
const (
	// relocateInterval is the least time between two searches for services to move.
	relocateInterval = 100 * time.Millisecond
	// maxRelocateTargets is the number of workers that tasks may be moved to, those with
	// the most free processors.
	maxRelocateTargets = 16
	// maxRelocations is the number of services that are moved for one, each of which is
	// away for a stop and a start, about half a second.
	maxRelocations = 4
	// maxRelocateSources is the number of workers that several services may be moved off,
	// those that lack the least, and maxRelocateTries the number of places that are searched
	// for tasks of one of them. They bound a search that finds nothing.
	maxRelocateSources = 64
	maxRelocateTries   = 64
)

// relocation is a move of a service task to another worker.
type relocation struct {
	run    *Run
	target *Worker
}

// roomyWorker is a worker with the room that tasks may be moved to.
type roomyWorker struct {
	worker *Worker
	room   job.Resources
}

// relocationTurns lets interrupted tasks take turns in searches. A round gives each that waits
// one turn.
type relocationTurns struct {
	searchedAt time.Time // when the last search was made
	planAt     time.Time // the time of the plan that left refers to
	left       int       // tasks that have waited for their turn in the plan
	round      int
	// failed are the demands for which a search of the round has found no moves. Tasks that
	// need as much would find none either, and take no turn.
	failed unplaceable
}

// turnOf reports whether services may be searched now that make way for a task.
func (turns *relocationTurns) turnOf(t *Task, now time.Time) bool {
	if !turns.planAt.Equal(now) {
		if turns.left == 0 {
			turns.round++
			turns.failed = unplaceable{}
		}
		turns.planAt, turns.left = now, 0
	}
	if t.relocationRound == turns.round || turns.failed.covers(t, now) != fitsUnknown {
		return false
	}
	if now.Sub(turns.searchedAt) < relocateInterval {
		turns.left++
		return false
	}
	turns.searchedAt, t.relocationRound = now, turns.round
	return true
}

// relocateServices moves service tasks off a worker, on which an interrupted one fits then, to
// others. It reports whether there are such moves. If the interrupted task has waited for long,
// other tasks are stopped at the targets.
func (e *Engine) relocateServices(t *Task, now time.Time) bool {
	if !e.relocations.turnOf(t, now) {
		return false
	}
	moves, from := e.findRelocations(t, e.mostRoom(t, (*Worker).unreserved, now), now)
	if from == nil && now.Sub(t.readyAt) >= evictAfter {
		cleared := func(w *Worker) job.Resources { return w.unreserved().Add(w.clearable()) }
		if moves, from = e.findRelocations(t, e.mostRoom(t, cleared, now), now); from == nil {
			e.relocations.failed.add(t, false, now)
		}
	}
	if from == nil {
		return false
	}
	e.reserve(t, from, now)
	for _, m := range moves {
		// Another task must not take the capacity before this one has stopped.
		e.reserve(m.run.Task, m.target, now)
	}
	for _, m := range moves {
		for _, victim := range victimsOn(m.target, m.run.Task) {
			e.stop(victim, StopForService)
		}
		e.move(m.run, StopForService)
	}
	return true
}

// findRelocations returns the moves of service tasks after which a worker has room for an
// interrupted one, and the worker; nil if none are found. It prefers the fewest moves, and then
// workers that lack the least.
func (e *Engine) findRelocations(t *Task, targets []roomyWorker, now time.Time) ([]relocation, *Worker) {
	s := relocationSearch{engine: e, now: now, targets: targets, unavailable: map[*Task]int{}}
	for _, target := range targets {
		s.mostRoom = atLeast(s.mostRoom, target.room)
	}
	sources := e.relocationSources(t, now)
	for most := 1; most <= maxRelocations; most++ {
		if most == 2 {
			sources = sources[:min(len(sources), maxRelocateSources)]
		}
		for i := range sources {
			s.source = &sources[i]
			if !s.source.missing.Fits(times(s.mostRoom, int64(most))) {
				continue // what can be moved is too small
			}
			s.listMovable()
			s.tries = max(maxRelocateTries, len(s.source.movable)) // each is tried as the only move
			if s.vacate(s.source.missing, s.source.movable, most) {
				return s.moves, s.source.worker
			}
		}
	}
	return nil, nil
}

// relocationSource is a worker that services may be moved off.
type relocationSource struct {
	worker  *Worker
	missing job.Resources // what an interrupted task lacks there; negative parts are spare
	lacks   float64       // the largest share of the worker's capacity that is missing
	// movable are the runs that may be moved, the smallest first, and largest the most that
	// one of them uses of each resource. They are valid if listed is set.
	movable []*Run
	largest job.Resources
	listed  bool
}

// relocationSources returns the workers that suit a task, those that lack the least first.
func (e *Engine) relocationSources(t *Task, now time.Time) []relocationSource {
	d := demand(t.Step)
	var sources []relocationSource
	for _, w := range e.workerList {
		capacity := w.Entry.Capacity
		if !d.Fits(capacity) || !e.suits(t, w, now, nil) || !e.advisorAllows(t, w, now) {
			continue
		}
		missing := d.Sub(w.freeFor(t))
		lacks := max(share(missing.MilliCPU, capacity.MilliCPU), share(missing.MemoryMB, capacity.MemoryMB), share(missing.GPU, capacity.GPU))
		sources = append(sources, relocationSource{worker: w, missing: missing, lacks: lacks})
	}
	slices.SortFunc(sources, func(a, b relocationSource) int {
		return cmp.Or(cmp.Compare(a.lacks, b.lacks), cmp.Compare(a.worker.Entry.ID, b.worker.Entry.ID))
	})
	return sources
}

// relocationSearch is a search for moves off one worker after another.
type relocationSearch struct {
	engine  *Engine
	now     time.Time
	targets []roomyWorker // their room is what the moves leave
	// mostRoom is the most of each resource that a target had before the moves.
	mostRoom job.Resources
	// unavailable is the number of tasks of a step that do not serve, by the step's first task.
	unavailable map[*Task]int
	source      *relocationSource
	moves       []relocation
	tries       int // moves that may still be tried at the source
}

// listMovable lists the runs of the source that may be moved.
func (s *relocationSearch) listMovable() {
	source := s.source
	if source.listed {
		return
	}
	source.listed = true
	for _, r := range source.worker.sortedRuns() {
		d := demand(r.Task.Step)
		if d.Fits(s.mostRoom) && r.relocatable() && !s.engine.mayRunElsewhere(r.Task, s.now) && s.othersServe(r.Task) {
			source.movable = append(source.movable, r)
			source.largest = atLeast(source.largest, d)
		}
	}
	slices.SortStableFunc(source.movable, func(a, b *Run) int {
		x, y := demand(a.Task.Step), demand(b.Task.Step)
		return cmp.Or(cmp.Compare(x.MilliCPU, y.MilliCPU), cmp.Compare(x.MemoryMB, y.MemoryMB))
	})
}

// relocatable reports whether a service task may be moved while all others of its step
// serve.
func (e *Engine) relocatable(r *Run) bool {
	return r.relocatable() && r.Task.unavailableSiblings() == 0
}

// relocatable reports whether a run is one of a service task that may be moved as long as
// others of its step serve.
func (r *Run) relocatable() bool {
	t := r.Task
	return t.Step.Service && !t.Step.Gang && r.State == RunActive && !r.stopping && t.reserved == nil && t.Step.MaxUnavailable != 0
}

// othersServe reports whether all other tasks of a task's step serve.
func (s *relocationSearch) othersServe(t *Task) bool {
	siblings := t.siblings()
	if len(siblings) == 1 {
		return true
	}
	n, known := s.unavailable[siblings[0]]
	if !known {
		for _, other := range siblings {
			n += boolInt(!other.serving())
		}
		s.unavailable[siblings[0]] = n
	}
	return n == boolInt(!t.serving())
}

// vacate extends the moves by at most some of the given runs, so that nothing is missing at the
// source any more. It reports whether it did; otherwise the moves stay as they were.
func (s *relocationSearch) vacate(missing job.Resources, runs []*Run, most int) bool {
	if missing.Fits(job.Resources{}) {
		return true
	}
	if most == 0 {
		return false
	}
	for i, r := range runs {
		d := demand(r.Task.Step)
		rest := missing.Sub(d)
		if !rest.Fits(times(s.source.largest, int64(most-1))) {
			continue
		}
		if s.tries == 0 {
			return false
		}
		s.tries--
		target := s.targetFor(r)
		if target == nil {
			continue
		}
		target.room = target.room.Sub(d)
		s.moves = append(s.moves, relocation{r, target.worker})
		if s.vacate(rest, runs[i+1:], most-1) {
			return true
		}
		s.moves = s.moves[:len(s.moves)-1]
		target.room = target.room.Add(d)
	}
	return false
}

// atLeast returns the larger of the two amounts of each resource.
func atLeast(a, b job.Resources) job.Resources {
	return job.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPU: max(a.GPU, b.GPU)}
}

// times returns resources n times over.
func times(r job.Resources, n int64) job.Resources {
	return job.Resources{MilliCPU: n * r.MilliCPU, MemoryMB: n * r.MemoryMB, GPU: n * r.GPU}
}

// targetFor returns the target with the least room that has room for a run beside the moves; nil
// if there is none, or if the run's step does not tolerate one more move.
func (s *relocationSearch) targetFor(r *Run) *roomyWorker {
	t := r.Task
	var moving *reservation // the tasks of the same step that move
	n := 0
	for _, m := range s.moves {
		if o := m.run.Task; o.Step == t.Step && o.ID.Occurrence == t.ID.Occurrence {
			if moving == nil {
				moving = &reservation{count: map[*Worker]int{}}
			}
			n++
			moving.count[m.target]++
		}
	}
	if n > 0 && t.Step.MaxUnavailable > 0 && n >= t.Step.MaxUnavailable {
		return nil
	}
	var best *roomyWorker
	for i := range s.targets {
		target := &s.targets[i]
		switch {
		case target.worker == s.source.worker, !demand(t.Step).Fits(target.room), best != nil && target.room.MilliCPU >= best.room.MilliCPU:
		case s.engine.suits(t, target.worker, s.now, moving) && s.engine.advisorAllows(t, target.worker, s.now):
			best = target
		}
	}
	return best
}

// mostRoom returns the workers of a task's pool with the most processors by a measure of room.
// Workers that accept no runs are left out: those that empty would take all places.
func (e *Engine) mostRoom(t *Task, room func(*Worker) job.Resources, now time.Time) []roomyWorker {
	var sorted []roomyWorker
	for _, w := range e.workerList {
		if w.Entry.Pool == t.Job.Queue.Pool && w.schedulable(now) {
			sorted = append(sorted, roomyWorker{w, room(w)})
		}
	}
	slices.SortFunc(sorted, func(a, b roomyWorker) int {
		return cmp.Or(cmp.Compare(b.room.MilliCPU, a.room.MilliCPU), cmp.Compare(a.worker.Entry.ID, b.worker.Entry.ID))
	})
	return sorted[:min(len(sorted), maxRelocateTargets)]
}
