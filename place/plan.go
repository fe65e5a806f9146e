package place

import (
	"math"

	"github.com/bambooyard/bambooyard/inventory"
)

// Planner plans one shard. It keeps what it has learned between plans and is
// not safe for concurrent use.
type Planner struct {
	corrections  *corrections
	interference *interference
	faults       *faults
	// evicted is the tasks evicted by the present plan.
	evicted   map[string]bool
	nowUnixMS int64
}

// NewPlanner returns a planner that has learned nothing.
func NewPlanner() *Planner {
	return &Planner{
		corrections:  newCorrections(),
		interference: newInterference(),
		faults:       newFaults(),
	}
}

// ObserveEnd learns from the end of an attempt. Each attempt is told once.
func (p *Planner) ObserveEnd(e TaskEnd) {
	p.corrections.observeEnd(&e)
	p.faults.observeEnd(&e)
}

// ObserveUsage learns from a measurement of a running task.
func (p *Planner) ObserveUsage(u TaskUsage) { p.corrections.observeUsage(&u) }

// ObserveLatency learns from a measurement of a quick service.
func (p *Planner) ObserveLatency(l ServiceLatency) { p.interference.observe(&l) }

// FailureIsFinal tells whether a task that has failed so often, on these VMs,
// should end as failed, with the reason, rather than be tried on another VM.
// The last failure must have been observed.
func (p *Planner) FailureIsFinal(failedOn []string, failures int) (reason string, final bool) {
	return p.faults.final(failedOn, failures)
}

// Plan tells which tasks to reject, evict, throttle and start now.
func (p *Planner) Plan(in Input) Plan {
	p.nowUnixMS = in.NowUnixMS
	p.evicted = map[string]bool{}
	var plan Plan
	var pending []Demand
	plan.Rejections, pending = reject(&in)
	cl := newCluster(&in, p.corrections)
	p.interference.remember(cl, in.NowUnixMS)
	p.faults.prune(&in, cl)
	p.repair(&in, cl, &plan)
	p.react(&in, cl, &plan)
	p.startAll(&in, cl, pending, &plan)
	return plan
}

// startAll starts what fits, in order, and makes room for urgent work.
func (p *Planner) startAll(in *Input, cl *cluster, pending []Demand, plan *Plan) {
	held := newHoldings(in)
	live := cl.live()
	refused := map[shape]bool{}
	for _, d := range queue(pending, in, p.corrections, held, cl.largest) {
		d.anywhere = len(d.FailedOn) >= live
		if !held.allows(&d.Demand) || live == 0 {
			continue
		}
		key, plain := shapeOf(&d)
		if plain && refused[key] {
			continue
		}
		c, ok := p.choose(cl, &d)
		switch {
		case ok:
			held.take(&d.Demand)
			cl.start(c.machine, &d.Demand, d.size, c.perMille)
			plan.Starts = append(plan.Starts, Start{Task: d.Task, Machine: cl.machines[c.machine].Name, ThrottlePerMille: c.perMille})
		case d.Urgent:
			held.take(&d.Demand)
			p.makeRoom(in, cl, &d, plan)
		case plain:
			refused[key] = true
		}
	}
}

// shape is all of a task that decides whether some machine takes it.
type shape struct {
	kind  string
	avoid string
	size  inventory.Resources
}

// shapeOf returns a task's shape, and whether tasks of that shape are alike:
// urgent tasks and those with failures are not.
func shapeOf(d *candidate) (shape, bool) {
	plain := !d.Urgent && len(d.FailedOn) == 0
	avoid := ""
	for _, service := range d.Avoid {
		avoid += service + "\x00"
	}
	return shape{d.Kind, avoid, d.size}, plain
}

func deadlineOf(d *Demand) int64 {
	if d.DeadlineUnixMS == 0 {
		return math.MaxInt64
	}
	return d.DeadlineUnixMS
}
