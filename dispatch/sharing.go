package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Protection of services from best-effort tasks beside them. A service may be
// over its target for Options.Impact on end; work that stands still makes its
// job late, so it is held only shortly and only when that time runs out. The
// stages are shares of Options.Impact: figures lag by half a second and orders
// take a round trip.
const (
	moveAfter    = 0.1
	holdAfter    = 0.3
	holdAllAfter = 0.7
	// settleAfter is how long an order takes to show in the figures.
	settleAfter = 700 * time.Millisecond
	// lightStrain is what a task may put on a service without being suspected.
	lightStrain = 0.03
	// relievedTail is the share of a target that relief aims at.
	relievedTail = 0.7
)

// sharing is how best-effort tasks share a worker with services.
type sharing struct {
	// changedAt is when the protection last gave orders.
	changedAt time.Time
	// overSince is since when a service has been over its target; zero if none is.
	overSince time.Time
}

// protect looks after a worker's services by what they were last listed at.
func (e *Engine) protect(w *Worker, now time.Time) {
	worst, image := w.worstTail()
	s := &w.sharing
	switch {
	case worst < 1:
		s.overSince = time.Time{}
	case s.overSince.IsZero():
		s.overSince = now
	}
	if e.mixture(w).bestEffort == 0 {
		return
	}
	stage := func(share float64) bool {
		return now.Sub(s.overSince) >= time.Duration(share*float64(e.options.MaxViolation))
	}
	settled := now.Sub(s.changedAt) >= settleAfter
	switch {
	case worst < 1:
		w.holdAll(false)
	case stage(holdAllAfter):
		w.holdAll(true)
	case stage(moveAfter) && settled:
		s.changedAt = now
		e.relieve(w, image, worst, stage(holdAfter), now)
	}
	e.setPace(w)
}

// worstTail returns the highest tail of a worker's services, relative to its
// target, and its image; zero if there is no such service.
func (w *Worker) worstTail() (worst float64, image string) {
	for _, r := range w.runs {
		step := r.Task.Step
		if !step.Service || step.TargetLatencyMS <= 0 || r.State != RunActive {
			continue
		}
		if tail := r.Metric / step.TargetLatencyMS; tail > worst || tail == worst && step.Image < image {
			worst, image = tail, step.Image
		}
	}
	return worst, image
}

// relieve moves away the tasks that by what has been learned weigh most on a
// service, or holds them where that is asked for.
func (e *Engine) relieve(w *Worker, image string, worst float64, hold bool, now time.Time) {
	weight := func(r *Run) float64 {
		step := r.Task.Step
		return e.interference.pressureOf(image, step.Image) * w.share(step)
	}
	victims := slices.DeleteFunc(w.sortedRuns(), func(r *Run) bool {
		return !r.Task.Step.BestEffort || r.stopping || r.limit == 0 || weight(r) < lightStrain
	})
	slices.SortStableFunc(victims, func(a, b *Run) int { return cmp.Compare(weight(b), weight(a)) })
	excess := max(e.interference.loadAt(image, worst), e.expectedLoad(w, image)) - e.interference.loadAt(image, relievedTail)
	for _, r := range victims {
		if excess <= 0 {
			return
		}
		switch {
		case r.Task.Step.Checkpoints && e.hasHome(r, now):
			e.move(r, StopInterference)
			excess -= weight(r)
		case hold:
			r.limit = 0
			excess -= weight(r)
		}
	}
}

// expectedLoad returns the load that a service image should have beside the
// worker's present best-effort tasks. Unlike a load that is read off a tail, it
// may be above one, and then tells how much is too much.
func (e *Engine) expectedLoad(w *Worker, image string) float64 {
	for _, s := range e.mixture(w).services {
		if s.image == image {
			return s.own + s.strain
		}
	}
	return 0
}

// hasHome reports whether a best-effort run could go on where it disturbs nobody.
func (e *Engine) hasHome(r *Run, now time.Time) bool {
	other := e.elsewhere(r, now)
	return other != nil && e.predictedTail(other, r.Task.Step) < safeTail
}

// holdAll makes every best-effort run stand still, or work again.
func (w *Worker) holdAll(hold bool) {
	limit := 100
	if hold {
		limit = 0
	}
	for _, r := range w.runs {
		if r.Task.Step.BestEffort {
			r.limit = limit
		}
	}
}

// setPace orders the pace of the runs that work at another.
func (e *Engine) setPace(w *Worker) {
	for _, r := range w.sortedRuns() {
		if !r.Task.Step.BestEffort || r.State != RunActive || r.stopping || r.pacing || r.ConfirmedLimit == r.limit {
			continue
		}
		r.pacing = true
		e.out.Throttles = append(e.out.Throttles, Throttle{r, r.limit})
	}
}
