package place

import (
	"fmt"
	"math"
)

// Bounds of the reaction to interference.
const (
	// riseHigh is the measured rise of a service's latency at which batch tasks
	// beside it give way.
	riseHigh = 0.15
	// riseLow is the measured rise below which throttled tasks get more again.
	riseLow = 0.06
	// settleMS is how long after a change a measurement must be taken to show it.
	settleMS = 2_000
)

// react relieves services that are slow beside batch tasks: first a task's
// processors are limited step by step; a task at the lowest limit is stopped
// with a checkpoint. One step is taken for each measurement that shows the
// step before.
func (p *Planner) react(in *Input, cl *cluster, plan *Plan) {
	for i := range cl.machines {
		m := &cl.machines[i]
		r, ok := p.interference.machines[m.Name]
		if !ok {
			continue
		}
		service, rise, seen := worst(r, m.Services, in.NowUnixMS)
		switch {
		case !seen:
		case rise > riseHigh:
			p.relieve(in, cl, m, service, rise, plan)
		case rise < riseLow:
			p.restore(in, m, service, plan)
		}
	}
}

// worst returns the service on the machine with the greatest rise that was
// measured after the last change.
func worst(r *machineRecord, services []string, now int64) (service string, rise float64, seen bool) {
	for _, name := range services {
		m, ok := r.rises[name]
		if !ok || now-m.measuredUnixMS > freshMS || m.measuredUnixMS < r.actedUnixMS+settleMS {
			continue
		}
		if !seen || m.rise > rise {
			service, rise, seen = name, m.rise, true
		}
	}
	return service, rise, seen
}

// relieve limits or evicts the task that adds most to a service's latency.
func (p *Planner) relieve(in *Input, cl *cluster, m *machineState, service string, rise float64, plan *Plan) {
	heaviest, most := -1, 0.0
	for _, n := range m.tasks {
		r := &in.Running[n]
		if r.Stopping || r.Urgent || p.evicted[r.Task] {
			continue
		}
		slope, _ := p.interference.slope(service, r.Kind)
		added := slope * float64(throttled(r.Resources.MilliProcessors, r.ThrottlePerMille))
		if added > most {
			heaviest, most = n, added
		}
	}
	if heaviest < 0 {
		return
	}
	p.interference.machine(m.Name).actedUnixMS = in.NowUnixMS
	r := &in.Running[heaviest]
	next := perMilleOf(r) / 2
	if next >= minPerMille {
		plan.Throttles = append(plan.Throttles, Throttle{Task: r.Task, PerMille: next})
		return
	}
	reason := fmt.Sprintf("service %q on VM %q is %.0f%% slower beside tasks of kind %q", service, m.Name, math.Round(rise*100), r.Kind)
	p.evict(in, cl, heaviest, reason, plan)
}

// restore doubles the limit of one task if the prediction allows.
func (p *Planner) restore(in *Input, m *machineState, service string, plan *Plan) {
	s, ok := p.interference.measured(service)
	if !ok {
		return
	}
	for _, n := range m.tasks {
		r := &in.Running[n]
		limit := perMilleOf(r)
		if r.Stopping || p.evicted[r.Task] || limit == wholePerMille {
			continue
		}
		next := min(2*limit, wholePerMille)
		more := float64(r.Resources.MilliProcessors) * float64(next-limit) / wholePerMille / float64(max(m.Capacity.MilliProcessors, 1))
		slope, _ := p.interference.slope(service, r.Kind)
		if p.interference.predict(service, s, sharesOf(m))+slope*more/s.baselineMS > riseLimit {
			continue
		}
		p.interference.machine(m.Name).actedUnixMS = in.NowUnixMS
		plan.Throttles = append(plan.Throttles, Throttle{Task: r.Task, PerMille: next})
		return
	}
}

func perMilleOf(r *RunningTask) int {
	if r.ThrottlePerMille <= 0 {
		return wholePerMille
	}
	return r.ThrottlePerMille
}
