package dispatch

import "github.com/bambooyard/bambooyard/job"

// mixture is what shares a worker: one entry for each service image on it. It
// is worked out again after each change, because placements ask often.
type mixture struct {
	valid    bool
	services []serviceMix
	// bestEffort is the number of best-effort tasks.
	bestEffort int
	// serviceCPU is what the services have asked for, in thousandths of a core.
	serviceCPU int64
}

// serviceMix is one service image among its neighbours.
type serviceMix struct {
	image string
	// tasks is the number of service tasks of the image.
	tasks int
	// tail is the highest listed, relative to its target.
	tail float64
	// own is the service's own load now, and crest the highest.
	own, crest float64
	// strain is the load that the neighbours are expected to add.
	strain float64
}

// mixture returns what shares a worker.
func (e *Engine) mixture(w *Worker) *mixture {
	if w.mix.valid {
		return &w.mix
	}
	w.mix = mixture{valid: true, services: w.mix.services[:0]}
	for _, r := range w.runs {
		step := r.Task.Step
		if step.BestEffort {
			w.mix.bestEffort++
		}
		if step.Service {
			w.mix.serviceCPU += step.Resources.MilliCPU
			w.mix.add(step, r.Metric)
		}
	}
	var shares map[string]float64
	if len(w.mix.services) > 0 && w.mix.bestEffort > 0 {
		shares = w.shares()
	}
	for k := range w.mix.services {
		s := &w.mix.services[k]
		s.strain = e.interference.strain(s.image, shares)
		s.crest = e.interference.crestOf(s.image)
		s.own = s.crest
		if l, ok := w.loads[s.image]; ok {
			s.own = l.own
		}
	}
	return &w.mix
}

func (m *mixture) add(step *job.Step, figure float64) {
	tail := 0.0
	if step.TargetLatencyMS > 0 {
		tail = figure / step.TargetLatencyMS
	}
	for k := range m.services {
		if m.services[k].image == step.Image {
			m.services[k].tail = max(m.services[k].tail, tail)
			m.services[k].tasks++
			return
		}
	}
	m.services = append(m.services, serviceMix{image: step.Image, tail: tail, tasks: 1})
}

// tasksOf counts the tasks of a service image.
func (m *mixture) tasksOf(image string) int {
	for _, s := range m.services {
		if s.image == image {
			return s.tasks
		}
	}
	return 0
}

// hasImage reports whether the image is one of the services'.
func (m *mixture) hasImage(image string) bool { return m.tasksOf(image) > 0 }

// otherImages counts the service images other than the given one.
func (m *mixture) otherImages(image string) int {
	n := 0
	for _, s := range m.services {
		if s.image != image {
			n++
		}
	}
	return n
}

// shares returns the share of the worker's processors that each best-effort
// image asks for, without those that stand still.
func (w *Worker) shares() map[string]float64 {
	shares := map[string]float64{}
	for _, r := range w.runs {
		if r.Task.Step.BestEffort && r.limit > 0 && !r.stopping {
			shares[r.Task.Step.Image] += w.share(r.Task.Step)
		}
	}
	return shares
}
