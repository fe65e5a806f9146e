package fake

import (
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// capacityGrace is how long after a worker has shrunk a start may still rely on the
// capacity that it had: the platform's contact time of 4 s, and one report of the worker.
const capacityGrace = 5100 * time.Millisecond

// capacityChange is a capacity that a worker has had since a time.
type capacityChange struct {
	capacity job.Resources
	since    time.Time
}

// SetCapacity changes a worker's capacity at once. Its entry in the directory shows that
// after a delay, unless the worker has ended or restarted by then.
func (f *Fleet) SetCapacity(id string, capacity job.Resources, shownAfter time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if len(w.capacities) == 0 {
		w.capacities = []capacityChange{{w.entry.Capacity, w.startedAt}}
	}
	w.capacities = append(w.capacities, capacityChange{capacity, f.now()})
	time.AfterFunc(shownAfter, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.entry.Capacity = w.capacities[len(w.capacities)-1].capacity
	})
}

// allowedCapacity returns the most of each resource that the worker has had within
// capacityGrace.
func (w *fleetWorker) allowedCapacity() job.Resources {
	if len(w.capacities) == 0 {
		return w.entry.Capacity
	}
	oldest := w.fleet.now().Add(-capacityGrace)
	var allowed job.Resources
	for i, c := range w.capacities {
		if i+1 < len(w.capacities) && !w.capacities[i+1].since.After(oldest) {
			continue
		}
		allowed.MilliCPU = max(allowed.MilliCPU, c.capacity.MilliCPU)
		allowed.MemoryMB = max(allowed.MemoryMB, c.capacity.MemoryMB)
		allowed.GPU = max(allowed.GPU, c.capacity.GPU)
	}
	return allowed
}

// checkCapacity records a violation if the run that has just started brings the worker,
// which does not guard its capacity, over it.
func (w *fleetWorker) checkCapacity(task string) {
	if w.fleet.demand == nil {
		return
	}
	var used job.Resources
	for t := range w.runs {
		used = used.Add(w.fleet.demand(t))
	}
	if allowed := w.allowedCapacity(); !used.Fits(allowed) {
		w.fleet.recordViolation("the start of task %s brings worker %s to %+v of %+v", task, w.entry.ID, used, allowed)
	}
}
