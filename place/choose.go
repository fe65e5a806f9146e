package place

import "math"

const (
	// maxVisits bounds the machines that one decision looks at in each class.
	maxVisits = 48
	// wholePerMille is all of a task's processors, in thousandths.
	wholePerMille = 1000
)

// choice is a machine for a task.
type choice struct {
	machine  int
	perMille int // limit of the task's processors; zero is none
	jobTasks int // tasks of the same job in the rack
	rise     float64
	left     int64 // processors that stay free
}

// better prefers racks that hold less of the job, then the smaller rise of the
// services' latency, then the tighter fit.
func (c choice) better(o choice) bool {
	switch {
	case c.jobTasks != o.jobTasks:
		return c.jobTasks < o.jobTasks
	case c.rise != o.rise:
		return c.rise < o.rise
	case c.left != o.left:
		return c.left < o.left
	}
	return c.machine < o.machine
}

// choose returns the best machine for a task that can start now.
func (p *Planner) choose(cl *cluster, d *candidate) (choice, bool) {
	best, found := choice{}, false
	for n := range cl.classes {
		c := &cl.classes[n]
		if common(d.Avoid, c.services) != "" {
			continue
		}
		visits := 0
		c.index.ascend(d.size, func(position int) bool {
			visits++
			next, ok := p.consider(cl, c.members[position], d)
			if ok && (!found || next.better(best)) {
				best, found = next, true
			}
			return visits < maxVisits
		})
	}
	return best, found
}

// consider weighs one machine that is large enough.
func (p *Planner) consider(cl *cluster, i int, d *candidate) (choice, bool) {
	m := &cl.machines[i]
	if !p.admissible(m, d) {
		return choice{}, false
	}
	perMille, rise, ok := p.interference.admit(m, &d.Demand)
	if !ok && !d.Urgent {
		return choice{}, false
	}
	return choice{
		machine:  i,
		perMille: perMille,
		jobTasks: cl.jobTasks[jobRack{d.Job, m.Rack}],
		rise:     math.Round(rise*riseSteps) / riseSteps,
		left:     m.free.MilliProcessors - d.size.MilliProcessors,
	}, true
}

// admissible tells whether the task may go to the machine at all, by the
// failures of both.
func (p *Planner) admissible(m *machineState, d *candidate) bool {
	if !d.anywhere && contains(d.FailedOn, m.Name) {
		return false
	}
	return p.faults.accepts(m, d, p.nowUnixMS)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
