package dispatch

import "github.com/bambooyard/bambooyard/job"

// colocation summarises the runs on a worker, with an entry for each service
// image. It is cached until the runs change, because each placement reads it.
type colocation struct {
	valid    bool
	services []colocatedService
	// bestEffort is the number of best-effort tasks.
	bestEffort int
	// serviceCPU is the request of all service tasks, and otherCPU that of all other tasks
	// that are not suspended, in thousandths of a core.
	serviceCPU, otherCPU int64
	// serviceUse is what the service tasks are estimated to use, in thousandths of a core.
	serviceUse float64
}

// colocatedService summarises one service image on a worker.
type colocatedService struct {
	image string
	// tasks is the number of service tasks of the image.
	tasks int
	// highestTail is the highest listed tail latency, relative to its target.
	highestTail float64
	// ownLoad is the service's current load without neighbours, and peakLoad the
	// highest.
	ownLoad, peakLoad float64
	// addedLoad is the load that the best-effort tasks are expected to add.
	addedLoad float64
}

// colocationOf returns the summary of a worker's runs. The pointer is valid until
// the runs change.
func (e *Engine) colocationOf(w *Worker) *colocation {
	if w.colocation.valid {
		return &w.colocation
	}
	w.colocation = colocation{valid: true, services: w.colocation.services[:0]}
	for _, r := range w.runs {
		step := r.Task.Step
		if step.BestEffort {
			w.colocation.bestEffort++
		}
		switch {
		case step.Service:
			w.colocation.serviceCPU += step.Resources.MilliCPU
			w.colocation.serviceUse += w.serviceUseOf(step)
			w.colocation.add(step, r.Measurement)
		case r.desiredLimit > 0:
			w.colocation.otherCPU += step.Resources.MilliCPU
		}
	}
	var shares map[string]float64
	if len(w.colocation.services) > 0 && w.colocation.bestEffort > 0 {
		shares = w.bestEffortShares()
	}
	for k := range w.colocation.services {
		s := &w.colocation.services[k]
		s.addedLoad = e.interference.addedLoad(s.image, shares)
		s.peakLoad = e.interference.peakLoadOf(s.image)
		s.ownLoad = s.peakLoad
		if l, ok := w.serviceLoads[s.image]; ok {
			s.ownLoad = l.own
		}
	}
	return &w.colocation
}

func (c *colocation) add(step *job.Step, latencyMS float64) {
	relativeTail := 0.0
	if step.TargetLatencyMS > 0 {
		relativeTail = latencyMS / step.TargetLatencyMS
	}
	for k := range c.services {
		if c.services[k].image == step.Image {
			c.services[k].highestTail = max(c.services[k].highestTail, relativeTail)
			c.services[k].tasks++
			return
		}
	}
	c.services = append(c.services, colocatedService{image: step.Image, highestTail: relativeTail, tasks: 1})
}

// tasksOf returns the number of tasks of a service image.
func (c *colocation) tasksOf(image string) int {
	for _, s := range c.services {
		if s.image == image {
			return s.tasks
		}
	}
	return 0
}

// hasImage reports whether a service task has the image.
func (c *colocation) hasImage(image string) bool { return c.tasksOf(image) > 0 }

// otherImages counts the service images other than the given one.
func (c *colocation) otherImages(image string) int {
	n := 0
	for _, s := range c.services {
		if s.image != image {
			n++
		}
	}
	return n
}

// bestEffortShares returns the share of the worker's processors that each
// best-effort image requests. Suspended and stopping runs are left out.
func (w *Worker) bestEffortShares() map[string]float64 {
	shares := map[string]float64{}
	for _, r := range w.runs {
		if r.Task.Step.BestEffort && r.desiredLimit > 0 && !r.stopping {
			shares[r.Task.Step.Image] += w.cpuShare(r.Task.Step)
		}
	}
	return shares
}
