package place

import "math"

const (
	// maxMachinesPerClass bounds the machines of each class that one placement
	// decision evaluates.
	maxMachinesPerClass = 48
	// fullPerMille is all of a task's processors, in thousandths.
	fullPerMille = 1000
)

// placement is a machine on which a task can start, with the values by which
// placements are compared.
type placement struct {
	machine             int
	limitPerMille       int // limit on the task's processors; zero is none
	jobTasks            int // tasks of the same job in the rack
	latencyRise         float64
	milliProcessorsLeft int64 // free after the task has started
}

// better prefers racks with fewer tasks of the job, then the smaller rise of
// the services' latency, then the tighter fit.
func (c placement) better(o placement) bool {
	switch {
	case c.jobTasks != o.jobTasks:
		return c.jobTasks < o.jobTasks
	case c.latencyRise != o.latencyRise:
		return c.latencyRise < o.latencyRise
	case c.milliProcessorsLeft != o.milliProcessorsLeft:
		return c.milliProcessorsLeft < o.milliProcessorsLeft
	}
	return c.machine < o.machine
}

// choose returns the best machine on which a task can start now.
func (p *Planner) choose(cl *cluster, d *candidate) (placement, bool) {
	best, found := placement{}, false
	for n := range cl.classes {
		c := &cl.classes[n]
		if firstCommon(d.Avoid, c.services) != "" {
			continue
		}
		visits := 0
		c.index.ascend(d.size, func(position int) bool {
			visits++
			next, ok := p.evaluate(cl, c.machines[position], d)
			if ok && (!found || next.better(best)) {
				best, found = next, true
			}
			return visits < maxMachinesPerClass
		})
	}
	return best, found
}

// evaluate returns the placement of a task on one machine that is large enough,
// and whether the task may start there.
func (p *Planner) evaluate(cl *cluster, i int, d *candidate) (placement, bool) {
	m := &cl.machines[i]
	if !p.admissible(m, d) {
		return placement{}, false
	}
	perMille, rise, ok := p.interference.admit(m, &d.Demand)
	if !ok && !d.Urgent {
		return placement{}, false
	}
	return placement{
		machine:             i,
		limitPerMille:       perMille,
		jobTasks:            cl.jobTasks[jobRack{d.Job, m.Rack}],
		latencyRise:         math.Round(rise*riseComparisonSteps) / riseComparisonSteps,
		milliProcessorsLeft: m.free.MilliProcessors - d.size.MilliProcessors,
	}, true
}

// admissible reports whether the failure histories of the task and of the
// machine allow the task to start there.
func (p *Planner) admissible(m *machineState, d *candidate) bool {
	if !d.ignoreFailedOn && contains(d.FailedOn, m.Name) {
		return false
	}
	return p.faults.admits(m, d, p.nowUnixMS)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
