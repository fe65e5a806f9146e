package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Protection of services from colocated best-effort tasks. A service may exceed
// its latency target for Options.MaxViolation at a stretch. A suspended task makes
// its job late, so tasks are suspended briefly and only when that time runs out.
// The stages are fractions of Options.MaxViolation: measurements lag by half a
// second and requests take a round trip.
const (
	moveAfter       = 0.1
	suspendAfter    = 0.3
	suspendAllAfter = 0.7
	// settleTime is how long a request takes to show in the measurements.
	settleTime = 700 * time.Millisecond
	// minAddedLoad is the expected added load below which a task is left alone.
	minAddedLoad = 0.03
	// reducedTail is the tail, relative to the target, that reduceInterference
	// aims at.
	reducedTail = 0.7
)

// latencyState is the state of the latency protection on a worker.
type latencyState struct {
	// adjustedAt is when the protection last moved or suspended tasks.
	adjustedAt time.Time
	// overSince is when a listing first showed that a service exceeds its target; zero
	// if none does.
	overSince time.Time
	// violationStart is when that listing was requested. The violation may have begun
	// then, because the worker may have held the listing and measurements lag.
	violationStart time.Time
}

// protectServices moves or throttles best-effort tasks beside services that exceed
// their targets, and lifts throttles when none does. It is called for each listing,
// which was requested at sent.
func (e *Engine) protectServices(w *Worker, sent, now time.Time) {
	worst, image := w.worstTail()
	s := &w.latency
	switch {
	case worst < 1:
		s.overSince = time.Time{}
	case s.overSince.IsZero():
		s.overSince, s.violationStart = now, sent
	}
	if e.colocationOf(w).bestEffort == 0 {
		return
	}
	passed := func(share float64, since time.Time) bool {
		return now.Sub(since) >= time.Duration(share*float64(e.options.MaxViolation))
	}
	settled := now.Sub(s.adjustedAt) >= settleTime
	switch {
	case worst < 1:
		w.setBestEffortSuspended(false)
	case passed(suspendAllAfter, s.violationStart):
		w.setBestEffortSuspended(true)
	case passed(moveAfter, s.overSince) && settled:
		s.adjustedAt = now
		e.reduceInterference(w, image, worst, passed(suspendAfter, s.overSince), now)
	}
	e.requestThrottles(w)
}

// worstTail returns the highest tail of a worker's services, relative to its
// target, and the service's image; zero if there is no such service.
func (w *Worker) worstTail() (worst float64, image string) {
	for _, r := range w.runs {
		step := r.Task.Step
		if !step.Service || step.TargetLatencyMS <= 0 || r.State != RunActive {
			continue
		}
		if tail := r.Measurement / step.TargetLatencyMS; tail > worst || tail == worst && step.Image < image {
			worst, image = tail, step.Image
		}
	}
	return worst, image
}

// reduceInterference moves the tasks with the highest expected load on a service
// away, or suspends those that cannot move if suspend is set.
func (e *Engine) reduceInterference(w *Worker, image string, worst float64, suspend bool, now time.Time) {
	addedLoad := func(r *Run) float64 {
		step := r.Task.Step
		return e.interference.coefficientOf(image, step.Image) * w.cpuShare(step)
	}
	victims := slices.DeleteFunc(slices.Clone(w.sortedRuns()), func(r *Run) bool {
		return !r.Task.Step.BestEffort || r.stopping || r.desiredLimit == 0 || addedLoad(r) < minAddedLoad
	})
	slices.SortStableFunc(victims, func(a, b *Run) int { return cmp.Compare(addedLoad(b), addedLoad(a)) })
	excess := max(e.interference.loadAt(image, worst), e.expectedLoad(w, image)) - e.interference.loadAt(image, reducedTail)
	for _, r := range victims {
		if excess <= 0 {
			return
		}
		switch {
		case r.Task.Step.Checkpoints && e.hasSafeWorker(r, now):
			e.move(r, StopInterference)
			excess -= addedLoad(r)
		case suspend:
			r.desiredLimit = 0
			excess -= addedLoad(r)
		}
	}
}

// expectedLoad returns the expected load of a service image beside the worker's
// current best-effort tasks. Unlike a load computed from a tail, it may exceed one,
// and then shows the size of the overload.
func (e *Engine) expectedLoad(w *Worker, image string) float64 {
	for _, s := range e.colocationOf(w).services {
		if s.image == image {
			return s.ownLoad + s.addedLoad
		}
	}
	return 0
}

// hasSafeWorker reports whether a best-effort run could continue on a worker whose
// services stay below safePredictedTail.
func (e *Engine) hasSafeWorker(r *Run, now time.Time) bool {
	other := e.alternativeWorker(r, now)
	return other != nil && e.predictedTail(other, r.Task.Step) < safePredictedTail
}

// setBestEffortSuspended suspends all best-effort runs, or resumes them if suspend
// is false.
func (w *Worker) setBestEffortSuspended(suspend bool) {
	limit := 100
	if suspend {
		limit = 0
	}
	for _, r := range w.runs {
		if r.Task.Step.BestEffort {
			r.desiredLimit = limit
		}
	}
}

// requestThrottles requests the desired limit of each best-effort run whose
// confirmed limit differs.
func (e *Engine) requestThrottles(w *Worker) {
	for _, r := range w.sortedRuns() {
		r.throttled = r.throttled || r.desiredLimit < 100
		if !r.Task.Step.BestEffort || r.State != RunActive || r.stopping || r.throttleInFlight || r.ConfirmedLimit == r.desiredLimit {
			continue
		}
		r.throttleInFlight, r.throttled = true, true
		e.out.Throttles = append(e.out.Throttles, Throttle{r, r.desiredLimit})
	}
}
