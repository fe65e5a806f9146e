package dispatch

import (
	"time"

	"github.com/bambooyard/bambooyard/contention"
	"github.com/bambooyard/bambooyard/job"
)

// penaltyPerLostRun converts costs of contention, in shares of a task's work, into
// penalties. It is large beside differences of free capacity and round trips, and small
// beside the penalties of slow, cold or failing workers.
const penaltyPerLostRun = bonusServicesTogether

// defaultServiceUse is the share of its request that a service is taken to use before its
// load is known. Services used about this share on the days that docs/design/contention.md
// describes.
const defaultServiceUse = 0.45

// serviceUseOf returns what a service task is estimated to use, in thousandths of a core.
func (w *Worker) serviceUseOf(step *job.Step) float64 {
	use := defaultServiceUse
	if l, ok := w.serviceLoads[step.Image]; ok {
		use = l.own
	}
	return use * float64(step.Resources.MilliCPU)
}

// contendedLoad returns what tasks on a worker request, and services use, as a share of its
// processors.
func (e *Engine) contendedLoad(w *Worker) float64 {
	c := e.colocationOf(w)
	return (float64(c.otherCPU) + c.serviceUse) * w.cpuShareOf(1)
}

// bestEffortCost returns the cost of one more best-effort task on a worker, as a share of
// its work.
func (e *Engine) bestEffortCost(w *Worker, step *job.Step) float64 {
	c := e.colocationOf(w)
	cost := contention.SlowdownCost(e.contendedLoad(w), w.cpuShare(step), c.bestEffort)
	for k := range c.services {
		s := &c.services[k]
		load := s.loadWhile(step)
		cost += contention.ServiceCost(load, load+e.addedLoadOf(w, s, step), e.interference.loadAt(s.image, 1), s.tasks)
	}
	return cost + e.strandedCost(w, step)
}

// strandedCost returns the cost of the memory that a best-effort task takes from tasks that
// count against the worker's processors.
func (e *Engine) strandedCost(w *Worker, step *job.Step) float64 {
	if e.reservedLoad == 0 {
		return 0
	}
	capacity, free := w.Entry.Capacity, w.unreserved()
	memory := float64(max(1, capacity.MemoryMB))
	// The requests of the open jobs show how much memory goes with a processor.
	perWorker := float64(e.reservedMemory) / float64(e.reservedLoad) * float64(capacity.MilliCPU) / memory
	return contention.StrandedCost(w.cpuShareOf(free.MilliCPU), float64(free.MemoryMB)/memory, float64(step.Resources.MemoryMB)/memory, perWorker)
}

// toleratesContention reports whether a worker takes one more best-effort task beside the
// others.
func (e *Engine) toleratesContention(t *Task, w *Worker, now time.Time) bool {
	share := w.cpuShare(t.Step)
	if t.outwaited(now) {
		share = 0
	}
	return contention.Accepts(e.contendedLoad(w), share, e.colocationOf(w).bestEffort, t.urgent(now))
}

// maxContentionWait is how long a best-effort task waits for a worker that takes its whole
// share: smaller tasks could take what becomes free without end. Objectives of batch jobs
// leave a few seconds.
const maxContentionWait = 3 * time.Second

// outwaited reports whether a best-effort task is taken by a worker whose load is within the
// limit without it.
func (t *Task) outwaited(now time.Time) bool {
	return t.Step.BestEffort && !t.readyAt.IsZero() && now.Sub(t.readyAt) >= maxContentionWait
}

// BestEffortState returns the number of best-effort tasks that wait for a worker although
// their predecessors are done, the number of workers with best-effort tasks, and the sum of
// the loads of these as shares of their processors.
func (e *Engine) BestEffortState() (waiting, workers int, load float64) {
	for _, j := range e.planOrder {
		if j.State.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for k := range j.Spec.Steps {
				if step := &j.Spec.Steps[k]; step.BestEffort && !e.now.Before(o.due) && o.ready(step) {
					waiting += countWaiting(o.tasks[k])
				}
			}
		}
	}
	for _, w := range e.workerList {
		if e.colocationOf(w).bestEffort > 0 {
			workers++
			load += e.contendedLoad(w)
		}
	}
	return waiting, workers, load
}

func countWaiting(tasks []*Task) int {
	n := 0
	for _, t := range tasks {
		if t.waiting() {
			n++
		}
	}
	return n
}
