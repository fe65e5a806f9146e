package dispatch

import "github.com/bambooyard/bambooyard/job"

// Load returns the processor capacity of the workers that accept work, what the open jobs
// request of it while their widest steps run, and what their best-effort tasks request, in
// thousandths of a core.
func (e *Engine) Load() (capacity, reserved, bestEffort int64) {
	for _, w := range e.workerList {
		if w.Listed && w.acceptsWork() {
			capacity += w.Entry.Capacity.MilliCPU
		}
	}
	return capacity, e.reservedLoad, e.bestEffortLoad
}

// addLoad adds the request of a job to the load, n times.
func (e *Engine) addLoad(j *Job, n int64) {
	reserved, bestEffort := j.Spec.PeakMilliCPU()
	memory := j.Spec.MemoryBeside(reserved)
	if j.hosted {
		reserved, bestEffort, memory = 0, 0, 0
	}
	if j.service {
		here := j.transferredDemand()
		reserved, memory = max(0, reserved+here.MilliCPU), max(0, memory+here.MemoryMB)
	}
	e.reservedLoad += n * reserved
	e.bestEffortLoad += n * bestEffort
	e.reservedMemory += n * memory
}

// transferredDemand returns what the tasks of the job that have been transferred add to the load
// of this cell: those of a hosted job here, or, negative, those of an own job elsewhere.
func (j *Job) transferredDemand() job.Resources {
	var sum job.Resources
	for t := range j.allTasks() {
		switch {
		case j.hosted && !t.elsewhere:
			sum = sum.Add(demand(t.Step))
		case !j.hosted && t.elsewhere:
			sum = sum.Sub(demand(t.Step))
		}
	}
	return sum
}
