package dispatch

import (
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Learning of interference. A service behaves like a queue: its tail grows with
// 1/(1-load), and what works beside it adds to the load. So 1 - alone/tail, the
// strain, is linear in the shares of the worker's processors that best-effort
// images use, whatever the service's own load is.
const (
	// unknownPressure is assumed of a pair that was never seen together: half a
	// worker then doubles the tail, so that a few tasks are tried and a crowd is
	// not.
	unknownPressure = 1.0
	// A pair is believed to disturb sooner than it is believed not to: a low
	// figure may come from a low load of the service's own.
	raisingRate  = 0.5
	loweringRate = 0.03
	// leastPressure keeps a pair from being believed harmless for good.
	leastPressure = 0.05
	// ownStrain is what swings of a service's own load may look like. Below it,
	// figures show how little a pair disturbs, but not how much.
	ownStrain = 0.5
	baseRate  = 0.1
	// peakDecay lets the highest tail seen alone fade by a part with each figure.
	peakDecay = 0.002
	// unknownBase is a service's tail, as a share of its target, before it was
	// seen alone.
	unknownBase = 0.5
	// maxStrain is where a tail is many times its usual one; beyond it figures
	// say no more than that there is too much.
	maxStrain = 0.9
	// patientTail is the expected tail at the crest of a service's load, relative
	// to its target, up to which a task is placed beside it while its job has
	// time, and hurriedTail when it has not.
	patientTail = 2.5
	hurriedTail = 8.0
	// hurry is the slack below which a task does not wait for a better place. It
	// covers a stop and a new start.
	hurry = time.Second
	// safeTail is the same where a task is moved to spare another service.
	safeTail = 1.0
)

type imagePair struct{ service, bestEffort string }

// interference holds what has been learned of images. It is lost when the
// owner changes, and learned again in seconds.
type interference struct {
	pressure map[imagePair]float64
	// base is a service image's usual tail when alone, and peak about its
	// highest, relative to the target.
	base, peak map[string]float64
}

func newInterference() interference {
	return interference{pressure: map[imagePair]float64{}, base: map[string]float64{}, peak: map[string]float64{}}
}

// baseOf returns a service image's tail when alone, relative to its target.
func (i *interference) baseOf(image string) float64 {
	if b, ok := i.base[image]; ok {
		return b
	}
	return unknownBase
}

// crestOf returns a service image's tail when alone at the crest of its load.
func (i *interference) crestOf(image string) float64 { return max(i.baseOf(image), i.peak[image]) }

// pressureOf returns the strain that a best-effort image puts on a service when
// it uses a whole worker's processors.
func (i *interference) pressureOf(service, bestEffort string) float64 {
	if p, ok := i.pressure[imagePair{service, bestEffort}]; ok {
		return p
	}
	return unknownPressure
}

// strain returns what is expected from best-effort images with the given shares.
func (i *interference) strain(service string, shares map[string]float64) float64 {
	strain := 0.0
	for image, share := range shares {
		strain += i.pressureOf(service, image) * share
	}
	return strain
}

// strainAt returns the strain at which a service's tail, relative to its
// target, reaches a value.
func (i *interference) strainAt(service string, tail float64) float64 {
	return 1 - i.baseOf(service)/tail
}

// observe takes in a service's tail, relative to its target, beside best-effort
// images with the given shares of the worker's processors.
func (i *interference) observe(service string, tail float64, shares map[string]float64) {
	if len(shares) == 0 {
		i.base[service] = i.baseOf(service) + baseRate*(tail-i.baseOf(service))
		i.peak[service] = max(tail, i.peak[service]*(1-peakDecay))
		return
	}
	seen := min(maxStrain, max(0, i.strainAt(service, tail)))
	expected := i.strain(service, shares)
	if expected == 0 || seen >= expected && (seen < ownStrain || expected >= maxStrain) {
		return
	}
	rate := loweringRate
	if seen > expected {
		rate = raisingRate
	}
	// What is already believed to disturb is blamed first, so that harmless
	// images are not blamed for their company.
	for image, share := range shares {
		p := i.pressureOf(service, image)
		part := p * share / expected
		p += rate * (seen - expected) * part / share
		i.pressure[imagePair{service, image}] = max(leastPressure, p)
	}
}

// mixture is what shares a worker: one entry for each service image on it. It
// is worked out again after each change, because placements ask often.
type mixture struct {
	valid    bool
	services []serviceMix
	// bestEffort is the number of best-effort tasks.
	bestEffort int
}

// serviceMix is one service image among its neighbours.
type serviceMix struct {
	image string
	// tasks is the number of service tasks of the image.
	tasks int
	// tail is the highest listed, relative to its target, and crest what is
	// expected of the image alone at the crest of its load.
	tail, crest float64
	// strain is what the neighbours are expected to put on it.
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
			w.mix.add(step, r.Figure)
		}
	}
	if len(w.mix.services) > 0 && w.mix.bestEffort > 0 {
		shares := w.shares()
		for k := range w.mix.services {
			s := &w.mix.services[k]
			s.strain = e.interference.strain(s.image, shares)
		}
	}
	for k := range w.mix.services {
		s := &w.mix.services[k]
		s.crest = e.interference.crestOf(s.image)
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
	capacity := max(1, float64(w.Entry.Capacity.MilliCPU))
	for _, r := range w.runs {
		if r.Task.Step.BestEffort && r.limit > 0 && !r.stopping {
			shares[r.Task.Step.Image] += float64(r.Task.Step.Resources.MilliCPU) / capacity
		}
	}
	return shares
}

// learn takes in a worker's figures, unless best-effort tasks came or went
// within the time that the figures cover.
func (e *Engine) learn(w *Worker, now time.Time) {
	if now.Sub(w.mixedAt) < settleAfter {
		return
	}
	var shares map[string]float64
	for _, r := range w.runs {
		step := r.Task.Step
		if !step.Service || step.TargetLatencyMS <= 0 || r.State != RunActive || r.Figure <= 0 {
			continue
		}
		if shares == nil {
			shares = w.shares()
		}
		e.interference.observe(step.Image, r.Figure/step.TargetLatencyMS, shares)
	}
}

// predictedTail returns the highest tail, relative to its target, of a worker's
// services at the crest of their load beside one more best-effort task.
func (e *Engine) predictedTail(w *Worker, added *job.Step) float64 {
	share := float64(added.Resources.MilliCPU) / max(1, float64(w.Entry.Capacity.MilliCPU))
	worst := 0.0
	for _, s := range e.mixture(w).services {
		more := e.interference.pressureOf(s.image, added.Image) * share
		worst = max(worst, s.crest/(1-min(maxStrain, s.strain+more)), s.tail/(1-min(maxStrain, more)))
	}
	return worst
}

// servicePressure returns the tail, relative to its target, that a service
// task is expected to have beside a worker's best-effort tasks.
func (e *Engine) servicePressure(w *Worker, added *job.Step) float64 {
	strain := e.interference.strain(added.Image, w.shares())
	return e.interference.crestOf(added.Image) / (1 - min(maxStrain, strain))
}
