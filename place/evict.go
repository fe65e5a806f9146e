package place

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooyard/bambooyard/inventory"
)

const (
	// maxPreemptionScans bounds the machines that are evaluated in the
	// preemption for one urgent task.
	maxPreemptionScans = 64
	// evictionDelayMS is the least delay in milliseconds until an evicted task
	// resumes.
	evictionDelayMS = 10_000
)

// victim is a running task that can be evicted.
type victim struct {
	number   int // index in Input.Running
	task     string
	size     inventory.Resources
	cost     evictionCost
	deadline int64 // in milliseconds since 1970 UTC; math.MaxInt64 if none
}

// evictionCost is what the eviction of tasks loses.
type evictionCost struct {
	urgentTasks, missedDeadlines int
	// lostWork is the work since the last checkpoint, in
	// processor-milliseconds.
	lostWork int64
}

func (c evictionCost) add(o evictionCost) evictionCost {
	return evictionCost{c.urgentTasks + o.urgentTasks, c.missedDeadlines + o.missedDeadlines, c.lostWork + o.lostWork}
}

func (c evictionCost) less(o evictionCost) bool {
	switch {
	case c.urgentTasks != o.urgentTasks:
		return c.urgentTasks < o.urgentTasks
	case c.missedDeadlines != o.missedDeadlines:
		return c.missedDeadlines < o.missedDeadlines
	}
	return c.lostWork < o.lostWork
}

// victims returns the tasks of a machine that can be evicted, ordered by cost
// and, at equal cost, by the latest deadline. It includes urgent tasks only if
// urgent is set.
func (p *Planner) victims(in *Input, cl *cluster, m *machineState, urgent bool) []victim {
	var all []victim
	for _, n := range m.tasks {
		r := &in.Running[n]
		if r.Stopping || p.evicted[r.Task] || r.Urgent && !urgent {
			continue
		}
		all = append(all, victim{
			number: n, task: r.Task, size: p.estimator.size(&r.Demand, cl.largest),
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
		c.urgentTasks = 1
	}
	c.lostWork = max(now-max(r.StartedUnixMS, r.CheckpointUnixMS), 0) * r.Resources.MilliProcessors / fullPerMille
	if r.DeadlineUnixMS > 0 {
		remaining := max(p.estimator.runTimeMS(&r.Demand)-r.DoneMS-(now-r.StartedUnixMS), 0)
		if now+remaining <= r.DeadlineUnixMS && now+remaining+evictionDelayMS > r.DeadlineUnixMS {
			c.missedDeadlines = 1
		}
	}
	return c
}

// selectVictims selects victims until want fits into the free resources, and no
// more than needed. The cost is that of all the selected victims. If want does
// not fit even then, it returns false and every victim that reduces the
// shortfall.
func selectVictims(all []victim, free, want inventory.Resources) ([]victim, evictionCost, bool) {
	var chosen []victim
	for _, v := range all {
		if want.Fits(free) {
			break
		}
		if reducesShortfall(v.size, free, want) {
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

// reducesShortfall reports whether size helps in a dimension in which want does
// not fit into free.
func reducesShortfall(size, free, want inventory.Resources) bool {
	return size.MilliProcessors > 0 && want.MilliProcessors > free.MilliProcessors ||
		size.MemoryMB > 0 && want.MemoryMB > free.MemoryMB ||
		size.Accelerators > 0 && want.Accelerators > free.Accelerators
}

// resolveOvercommit evicts tasks from overcommitted machines.
func (p *Planner) resolveOvercommit(in *Input, cl *cluster, plan *Plan) {
	for i := range cl.machines {
		m := &cl.machines[i]
		if (inventory.Resources{}).Fits(m.declaredFreeAfterStops) {
			continue
		}
		p.resolveMachineOvercommit(in, cl, m, plan)
	}
}

func (p *Planner) resolveMachineOvercommit(in *Input, cl *cluster, m *machineState, plan *Plan) {
	all := p.victims(in, cl, m, true)
	for i := range all {
		all[i].size = in.Running[all[i].number].Resources
	}
	chosen, _, _ := selectVictims(all, m.declaredFreeAfterStops, inventory.Resources{})
	for _, v := range chosen {
		p.evict(in, cl, v.number, fmt.Sprintf("VM %q is committed beyond what it has", m.Name), plan)
	}
}

// preempt reserves the machine with the least eviction cost for an urgent task
// and evicts the victims there. The task starts in a later plan, once the
// victims have ended.
func (p *Planner) preempt(in *Input, cl *cluster, d *candidate, plan *Plan) {
	count := len(cl.machines)
	first := int(xxhash.Sum64String(d.Task) % uint64(count))
	best, found := -1, false
	var bestVictims []victim
	var bestCost evictionCost
	for k := 0; k < min(count, maxPreemptionScans); k++ {
		i := (first + k) % count
		m := &cl.machines[i]
		if m.Draining || firstCommon(d.Avoid, m.Services) != "" || !p.admissible(m, d) {
			continue
		}
		victims, cost, ok := selectVictims(p.victims(in, cl, m, false), m.freeAfterStops, d.size)
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
	cl.allocate(best, d.size, false)
}

func (p *Planner) evict(in *Input, cl *cluster, number int, reason string, plan *Plan) {
	r := &in.Running[number]
	p.evicted[r.Task] = true
	plan.Evictions = append(plan.Evictions, Eviction{Task: r.Task, Reason: reason})
	cl.recordEviction(r, p.estimator.size(&r.Demand, cl.largest))
}
