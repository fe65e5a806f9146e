package place

import (
	"fmt"
	"math"
)

// Parameters of the reaction to measured interference.
const (
	// throttleAboveRise is the measured rise of a service's latency above which
	// batch tasks beside it are throttled or evicted.
	throttleAboveRise = 0.15
	// relaxBelowRise is the measured rise below which throttles are relaxed.
	relaxBelowRise = 0.06
	// settlingTimeMS is how long after a change, in milliseconds, a measurement
	// must be taken to reflect it.
	settlingTimeMS = 2_000
)

// adjustThrottles protects services that are slow beside batch tasks. It lowers
// the processor limit of a task step by step, and evicts a task at the lowest
// limit with a checkpoint. Each step waits for a measurement that reflects the
// step before.
func (p *Planner) adjustThrottles(in *Input, cl *cluster, plan *Plan) {
	for i := range cl.machines {
		m := &cl.machines[i]
		r, ok := p.interference.machines[m.Name]
		if !ok {
			continue
		}
		service, rise, seen := worstRise(r, m.Services, in.NowUnixMS)
		switch {
		case !seen:
		case rise > throttleAboveRise:
			p.throttleOrEvict(in, cl, m, service, rise, plan)
		case rise < relaxBelowRise:
			p.relaxThrottle(in, m, service, plan)
		}
	}
}

// worstRise returns the service on the machine with the greatest rise that was
// measured recently and after the last change. It returns false if there is no
// such measurement.
func worstRise(r *machineRecord, services []string, now int64) (service string, rise float64, seen bool) {
	for _, name := range services {
		m, ok := r.rises[name]
		if !ok || now-m.measuredUnixMS > maxMeasurementAgeMS || m.measuredUnixMS < r.lastChangeUnixMS+settlingTimeMS {
			continue
		}
		if !seen || m.rise > rise {
			service, rise, seen = name, m.rise, true
		}
	}
	return service, rise, seen
}

// throttleOrEvict throttles or evicts the task that adds most to a service's
// latency.
func (p *Planner) throttleOrEvict(in *Input, cl *cluster, m *machineState, service string, rise float64, plan *Plan) {
	heaviest, most := -1, 0.0
	for _, n := range m.tasks {
		r := &in.Running[n]
		if r.Stopping || r.Urgent || p.evicted[r.Task] {
			continue
		}
		slope, _ := p.interference.slope(service, r.Kind)
		added := slope * float64(throttledMilliProcessors(r.Resources.MilliProcessors, r.ThrottlePerMille))
		if added > most {
			heaviest, most = n, added
		}
	}
	if heaviest < 0 {
		return
	}
	p.interference.machineRecord(m.Name).lastChangeUnixMS = in.NowUnixMS
	r := &in.Running[heaviest]
	next := effectivePerMille(r) / 2
	if next >= minThrottlePerMille {
		plan.Throttles = append(plan.Throttles, Throttle{Task: r.Task, PerMille: next})
		return
	}
	reason := fmt.Sprintf("service %q on VM %q is %.0f%% slower beside tasks of kind %q", service, m.Name, math.Round(rise*100), r.Kind)
	p.evict(in, cl, heaviest, reason, plan)
}

// relaxThrottle doubles the processor limit of one task if the predicted rise
// allows it.
func (p *Planner) relaxThrottle(in *Input, m *machineState, service string, plan *Plan) {
	s, ok := p.interference.activeService(service)
	if !ok {
		return
	}
	for _, n := range m.tasks {
		r := &in.Running[n]
		limit := effectivePerMille(r)
		if r.Stopping || p.evicted[r.Task] || limit == fullPerMille {
			continue
		}
		next := min(2*limit, fullPerMille)
		more := float64(r.Resources.MilliProcessors) * float64(next-limit) / fullPerMille / float64(max(m.Capacity.MilliProcessors, 1))
		slope, _ := p.interference.slope(service, r.Kind)
		if p.interference.predict(service, s, kindShares(m))+slope*more/s.baselineMS > maxPredictedRise {
			continue
		}
		p.interference.machineRecord(m.Name).lastChangeUnixMS = in.NowUnixMS
		plan.Throttles = append(plan.Throttles, Throttle{Task: r.Task, PerMille: next})
		return
	}
}

// effectivePerMille returns the task's processor limit in thousandths, which is
// fullPerMille without a throttle.
func effectivePerMille(r *RunningTask) int {
	if r.ThrottlePerMille <= 0 {
		return fullPerMille
	}
	return r.ThrottlePerMille
}
