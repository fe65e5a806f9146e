package place

import (
	"math"

	"github.com/bambooyard/bambooyard/inventory"
)

// Planner plans one shard. It keeps what it has learned between plans and is
// not safe for concurrent use.
type Planner struct {
	estimator    *estimator
	interference *interferenceModel
	faults       *faultTracker
	// evicted holds the tasks that the current plan evicts.
	evicted   map[string]bool
	nowUnixMS int64
}

// NewPlanner returns a planner without observations.
func NewPlanner() *Planner {
	return &Planner{
		estimator:    newEstimator(),
		interference: newInterferenceModel(),
		faults:       newFaultTracker(),
	}
}

// ObserveEnd records the end of an attempt. It must be called once for each
// attempt.
func (p *Planner) ObserveEnd(e TaskEnd) {
	p.estimator.observeEnd(&e)
	p.faults.observeEnd(&e)
}

// ObserveUsage records a measurement of a running task.
func (p *Planner) ObserveUsage(u TaskUsage) { p.estimator.observeUsage(&u) }

// ObserveLatency records a measurement of a latency-critical service.
func (p *Planner) ObserveLatency(l ServiceLatency) { p.interference.observe(&l) }

// FailureIsFinal reports whether a task that has failed the given number of
// times, on these VMs, must end as failed, with the reason, rather than be
// retried on another VM. The last failure must have been observed.
func (p *Planner) FailureIsFinal(failedOn []string, failures int) (reason string, final bool) {
	return p.faults.isFinal(failedOn, failures)
}

// Plan returns the tasks to reject, evict, throttle and start now.
func (p *Planner) Plan(in Input) Plan {
	p.nowUnixMS = in.NowUnixMS
	p.evicted = map[string]bool{}
	var plan Plan
	var pending []Demand
	plan.Rejections, pending = reject(&in)
	cl := newCluster(&in, p.estimator)
	p.interference.recordLoads(cl, in.NowUnixMS)
	p.faults.prune(&in, cl)
	p.resolveOvercommit(&in, cl, &plan)
	p.adjustThrottles(&in, cl, &plan)
	p.startPending(&in, cl, pending, &plan)
	return plan
}

// startPending starts the pending tasks that fit, in order, and preempts for
// urgent tasks that do not.
func (p *Planner) startPending(in *Input, cl *cluster, pending []Demand, plan *Plan) {
	usage := newQuotaUsage(in)
	schedulable := cl.schedulable()
	unplaceable := map[taskShape]bool{}
	for _, d := range orderPending(pending, in, p.estimator, usage, cl.largest) {
		d.ignoreFailedOn = len(d.FailedOn) >= schedulable
		if !usage.allows(&d.Demand) || schedulable == 0 {
			continue
		}
		key, interchangeable := shapeOf(&d)
		if interchangeable && unplaceable[key] {
			continue
		}
		c, ok := p.choose(cl, &d)
		switch {
		case ok:
			usage.add(&d.Demand)
			cl.recordStart(c.machine, &d.Demand, d.size, c.limitPerMille)
			plan.Starts = append(plan.Starts, Start{Task: d.Task, Machine: cl.machines[c.machine].Name, ThrottlePerMille: c.limitPerMille})
		case d.Urgent:
			usage.add(&d.Demand)
			p.preempt(in, cl, &d, plan)
		case interchangeable:
			unplaceable[key] = true
		}
	}
}

// taskShape is the properties of a task that decide whether a machine accepts
// it.
type taskShape struct {
	kind  string
	avoid string
	size  inventory.Resources
}

// shapeOf returns a task's shape, and whether tasks of that shape are
// interchangeable: urgent tasks and those with failures are not.
func shapeOf(d *candidate) (taskShape, bool) {
	interchangeable := !d.Urgent && len(d.FailedOn) == 0
	avoid := ""
	for _, service := range d.Avoid {
		avoid += service + "\x00"
	}
	return taskShape{d.Kind, avoid, d.size}, interchangeable
}

func deadlineOf(d *Demand) int64 {
	if d.DeadlineUnixMS == 0 {
		return math.MaxInt64
	}
	return d.DeadlineUnixMS
}
