package dispatch

import (
	"slices"
	"time"
)

// Protection of services from best-effort tasks beside them. A service may be
// over its target for a few seconds only, and its figure covers half a second.
const (
	// easeShare of a target is where throttled tasks may work again.
	easeShare = 0.8
	// easeAfter is how long the figures must stay below easeShare before a step.
	easeAfter = 300 * time.Millisecond
	// settleAfter is how long an order takes to show in the figures.
	settleAfter = 700 * time.Millisecond
	// overLimit is how long a service may be over its target before every
	// best-effort task beside it stands still.
	overLimit = 2500 * time.Millisecond
	// heldLimit is how long a task without checkpoints stands still before it is
	// started anew elsewhere.
	heldLimit = time.Second
	// lightStrain is what a task may put on a service without being suspected.
	lightStrain = 0.03
	// relievedTail is the share of a target that relief aims at.
	relievedTail = 0.7
)

// sharing is how best-effort tasks share a worker with services.
type sharing struct {
	// changedAt is when the protection last gave orders.
	changedAt time.Time
	// calmSince is since when every service has been well below its target, and
	// overSince since when one has been over it; zero if not so.
	calmSince, overSince time.Time
}

// protect looks after a worker's services by what they were last listed at.
func (e *Engine) protect(w *Worker, now time.Time) {
	worst, image := w.worstTail()
	s := &w.sharing
	s.note(worst, image != "", now)
	_, bestEffort := w.neighbours()
	if bestEffort == 0 {
		return
	}
	settled := now.Sub(s.changedAt) >= settleAfter
	switch {
	case image == "":
		w.limitAll(100, now)
	case worst >= 1 && now.Sub(s.overSince) >= overLimit:
		w.limitAll(0, now)
	case worst >= 1 && settled:
		s.changedAt = now
		e.relieve(w, image, worst, now)
	case !s.calmSince.IsZero() && now.Sub(s.calmSince) >= easeAfter && settled:
		if e.ease(w) {
			s.changedAt = now
		}
	}
	e.rehome(w, now)
	e.setPace(w)
}

// worstTail returns the highest tail of a worker's services, relative to its
// target, and its image; "" if there is no such service.
func (w *Worker) worstTail() (worst float64, image string) {
	for _, r := range w.sortedRuns() {
		step := r.Task.Step
		if !step.Service || step.TargetLatencyMS <= 0 || r.State != RunActive {
			continue
		}
		if tail := r.Figure / step.TargetLatencyMS; image == "" || tail > worst {
			worst, image = tail, step.Image
		}
	}
	return worst, image
}

// note keeps since when the services have been calm, or over their targets.
func (s *sharing) note(worst float64, services bool, now time.Time) {
	switch {
	case !services || worst >= easeShare:
		s.calmSince = time.Time{}
	case s.calmSince.IsZero():
		s.calmSince = now
	}
	switch {
	case !services || worst < 1:
		s.overSince = time.Time{}
	case s.overSince.IsZero():
		s.overSince = now
	}
}

// relieve moves away, or throttles, the tasks that by what has been learned
// weigh most on a service.
func (e *Engine) relieve(w *Worker, image string, worst float64, now time.Time) {
	capacity := max(1, float64(w.Entry.Capacity.MilliCPU))
	weight := func(r *Run) float64 {
		step := r.Task.Step
		return e.interference.pressureOf(image, step.Image) * float64(step.Resources.MilliCPU) / capacity
	}
	victims := slices.DeleteFunc(w.sortedRuns(), func(r *Run) bool {
		return !r.Task.Step.BestEffort || r.stopping || r.limit == 0 || weight(r) < lightStrain
	})
	slices.SortStableFunc(victims, func(a, b *Run) int {
		switch wa, wb := weight(a), weight(b); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	excess := e.interference.strainAt(image, worst) - e.interference.strainAt(image, relievedTail)
	for _, r := range victims {
		if excess <= 0 {
			return
		}
		excess -= weight(r)
		if r.Task.Step.Checkpoints && e.hasHome(r, now) {
			e.stop(r)
		} else {
			r.limit, r.heldAt = 0, now
		}
	}
}

// hasHome reports whether a run could go on elsewhere.
func (e *Engine) hasHome(r *Run, now time.Time) bool {
	o := r.Task.Job.occurrences[r.Task.ID.Occurrence]
	other := e.choose(r.Task, o.tasks[r.Task.ID.Step], now, nil)
	return other != nil && other != r.Worker
}

// limitAll sets the pace of every best-effort run.
func (w *Worker) limitAll(percent int, now time.Time) {
	for _, r := range w.runs {
		if r.Task.Step.BestEffort && r.limit != percent {
			r.limit, r.heldAt = percent, now
		}
	}
}

// ease lets throttled runs work again as far as the services are expected to
// bear it.
func (e *Engine) ease(w *Worker) bool {
	eased := false
	for _, r := range w.sortedRuns() {
		if r.Task.Step.BestEffort && r.limit < 100 && !r.stopping && e.tailWith(w, r.Task.Step) < tailLimit {
			r.limit = 100
			eased = true
		}
	}
	return eased
}

// rehome moves throttled runs that could go on elsewhere.
func (e *Engine) rehome(w *Worker, now time.Time) {
	for _, r := range w.sortedRuns() {
		if !r.Task.Step.BestEffort || r.limit == 100 || r.stopping {
			continue
		}
		// Work without a checkpoint is thrown away only if it would stand still.
		if (r.Task.Step.Checkpoints || now.Sub(r.heldAt) >= heldLimit) && e.hasHome(r, now) {
			e.stop(r)
		}
	}
}

// setPace orders the pace of the runs that work at another.
func (e *Engine) setPace(w *Worker) {
	for _, r := range w.sortedRuns() {
		if !r.Task.Step.BestEffort || r.State != RunActive || r.stopping || r.pacing || r.Pace == r.limit {
			continue
		}
		r.pacing = true
		e.out.Throttles = append(e.out.Throttles, Throttle{r, r.limit})
	}
}
