package dispatch

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
	e.reservedLoad += n * reserved
	e.bestEffortLoad += n * bestEffort
	e.reservedMemory += n * j.Spec.MemoryBeside(reserved)
}
