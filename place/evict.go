package place

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooyard/bambooyard/inventory"
)

const (
	// maxRoomScans bounds the machines that are looked at to make room for one
	// urgent task.
	maxRoomScans = 64
	// evictionDelayMS is how long an evicted task waits, at best, before it goes on.
	evictionDelayMS = 10_000
)

// victim is a running task that could be evicted.
type victim struct {
	number   int // in the input
	task     string
	size     inventory.Resources
	cost     evictionCost
	deadline int64 // in milliseconds since 1970 UTC
}

// evictionCost is what is lost by evicting tasks.
type evictionCost struct {
	urgent, missed int
	// lost is work since the last checkpoint, in processor-milliseconds.
	lost int64
}

func (c evictionCost) add(o evictionCost) evictionCost {
	return evictionCost{c.urgent + o.urgent, c.missed + o.missed, c.lost + o.lost}
}

func (c evictionCost) less(o evictionCost) bool {
	switch {
	case c.urgent != o.urgent:
		return c.urgent < o.urgent
	case c.missed != o.missed:
		return c.missed < o.missed
	}
	return c.lost < o.lost
}

// victims returns the tasks of a machine that can be evicted, those that lose
// least first and, among equals, those with the latest deadline.
func (p *Planner) victims(in *Input, cl *cluster, m *machineState, urgent bool) []victim {
	var all []victim
	for _, n := range m.tasks {
		r := &in.Running[n]
		if r.Stopping || p.evicted[r.Task] || r.Urgent && !urgent {
			continue
		}
		all = append(all, victim{
			number: n, task: r.Task, size: p.corrections.size(&r.Demand, cl.largest),
			cost: p.evictionCost(r, in.NowUnixMS), deadline: deadlineOf(&r.Demand),
		})
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := &all[i], &all[j]
		switch {
		case a.cost != b.cost:
			return a.cost.less(b.cost)
		case a.deadline != b.deadline:
			return a.deadline > b.deadline
		}
		return a.task < b.task
	})
	return all
}

func (p *Planner) evictionCost(r *RunningTask, now int64) evictionCost {
	var c evictionCost
	if r.Urgent {
		c.urgent = 1
	}
	c.lost = max(now-max(r.StartedUnixMS, r.CheckpointUnixMS), 0) * r.Resources.MilliProcessors / wholePerMille
	if r.DeadlineUnixMS > 0 {
		left := max(p.corrections.runTimeMS(&r.Demand)-r.DoneMS-(now-r.StartedUnixMS), 0)
		if now+left <= r.DeadlineUnixMS && now+left+evictionDelayMS > r.DeadlineUnixMS {
			c.missed = 1
		}
	}
	return c
}

// pick chooses victims until want fits into what is free, and none more than
// needed. The cost is that of all of them. It returns false, and all that
// help, if want fits even then not.
func pick(all []victim, free, want inventory.Resources) ([]victim, evictionCost, bool) {
	var chosen []victim
	for _, v := range all {
		if want.Fits(free) {
			break
		}
		if relieves(v.size, free, want) {
			free = free.Add(v.size)
			chosen = append(chosen, v)
		}
	}
	if !want.Fits(free) {
		return chosen, evictionCost{}, false
	}
	var cost evictionCost
	var needed []victim
	for i := len(chosen) - 1; i >= 0; i-- {
		v := chosen[i]
		if want.Fits(free.Sub(v.size)) {
			free = free.Sub(v.size)
			continue
		}
		cost = cost.add(v.cost)
		needed = append(needed, v)
	}
	return needed, cost, true
}

// relieves tells whether size helps in a dimension in which want does not fit.
func relieves(size, free, want inventory.Resources) bool {
	return size.MilliProcessors > 0 && want.MilliProcessors > free.MilliProcessors ||
		size.MemoryMB > 0 && want.MemoryMB > free.MemoryMB ||
		size.Accelerators > 0 && want.Accelerators > free.Accelerators
}

// repair evicts tasks from machines that are committed beyond what they have.
func (p *Planner) repair(in *Input, cl *cluster, plan *Plan) {
	for i := range cl.machines {
		m := &cl.machines[i]
		if (inventory.Resources{}).Fits(m.promised) {
			continue
		}
		p.repairMachine(in, cl, m, plan)
	}
}

func (p *Planner) repairMachine(in *Input, cl *cluster, m *machineState, plan *Plan) {
	all := p.victims(in, cl, m, true)
	for i := range all {
		all[i].size = in.Running[all[i].number].Resources
	}
	chosen, _, _ := pick(all, m.promised, inventory.Resources{})
	for _, v := range chosen {
		p.evict(in, cl, v.number, fmt.Sprintf("VM %q is committed beyond what it has", m.Name), plan)
	}
}

// makeRoom lets an urgent task have the machine on which least is lost. The
// task starts in a later plan, once the victims have gone.
func (p *Planner) makeRoom(in *Input, cl *cluster, d *candidate, plan *Plan) {
	count := len(cl.machines)
	first := int(xxhash.Sum64String(d.Task) % uint64(count))
	best, found := -1, false
	var bestVictims []victim
	var bestCost evictionCost
	for k := 0; k < min(count, maxRoomScans); k++ {
		i := (first + k) % count
		m := &cl.machines[i]
		if m.Draining || common(d.Avoid, m.Services) != "" || !p.admissible(m, d) {
			continue
		}
		victims, cost, ok := pick(p.victims(in, cl, m, false), m.soon, d.size)
		if ok && (!found || cost.less(bestCost)) {
			best, bestVictims, bestCost, found = i, victims, cost, true
		}
		if ok && len(victims) == 0 {
			break
		}
	}
	if !found {
		return
	}
	for _, v := range bestVictims {
		p.evict(in, cl, v.number, fmt.Sprintf("urgent task %q needs the VM", d.Task), plan)
	}
	cl.use(best, d.size, false)
}

func (p *Planner) evict(in *Input, cl *cluster, number int, reason string, plan *Plan) {
	r := &in.Running[number]
	p.evicted[r.Task] = true
	plan.Evictions = append(plan.Evictions, Eviction{Task: r.Task, Reason: reason})
	cl.evict(r, p.corrections.size(&r.Demand, cl.largest))
}
