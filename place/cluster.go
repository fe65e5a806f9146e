package place

import (
	"strings"

	"github.com/bambooyard/bambooyard/inventory"
)

// cluster is the state of the shard's machines during one plan: what is free
// now, what will be free once the stopping tasks have ended, and an index by
// free resources.
type cluster struct {
	machines []machineState
	byName   map[string]int
	classes  []class
	// jobTasks counts the tasks of each job in each rack.
	jobTasks map[jobRack]int
	// largest is the greatest capacity of any machine in each dimension.
	largest inventory.Resources
}

type jobRack struct{ job, rack string }

// class groups the machines that carry the same services.
type class struct {
	services []string
	index    *fitIndex
	machines []int // indexes in cluster.machines, by position
}

// machineState is the state of one machine during a plan.
type machineState struct {
	*Machine
	number int
	class  int
	// position is the machine's index in its class.
	position int
	// free is what a task may take now, by estimated sizes.
	free inventory.Resources
	// freeAfterStops is what will be free once the stopping tasks have ended,
	// less what is reserved for urgent tasks that wait for them.
	freeAfterStops inventory.Resources
	// declaredFreeAfterStops is what will be free, by declared sizes, once the
	// stopping tasks have ended. It is negative when the VM is overcommitted.
	declaredFreeAfterStops inventory.Resources
	tasks                  []int // indexes in Input.Running
	started                int   // tasks started in this plan
	loadByKind             []kindLoad
}

// kindLoad is the processors that tasks of one kind use on a machine, in
// thousandths.
type kindLoad struct {
	kind            string
	milliProcessors int64
}

// newCluster returns the state of an input's machines, with task sizes as
// estimated by est.
func newCluster(in *Input, est *estimator) *cluster {
	cl := &cluster{
		machines: make([]machineState, len(in.Machines)),
		byName:   make(map[string]int, len(in.Machines)),
		jobTasks: make(map[jobRack]int, len(in.Running)),
	}
	for i := range in.Machines {
		m := &in.Machines[i]
		cl.machines[i] = machineState{Machine: m, number: i, free: m.Free, freeAfterStops: m.Free, declaredFreeAfterStops: m.Free}
		cl.byName[m.Name] = i
		cl.largest = maxResources(cl.largest, m.Capacity)
	}
	for i := range in.Running {
		cl.addRunning(i, &in.Running[i], est)
	}
	cl.classify()
	return cl
}

// addRunning records a running task. Its declared size is already excluded from
// the machine's free resources, so only the excess of its estimated size is
// subtracted.
func (cl *cluster) addRunning(number int, r *RunningTask, est *estimator) {
	i, ok := cl.byName[r.Machine]
	if !ok {
		return
	}
	m := &cl.machines[i]
	m.tasks = append(m.tasks, number)
	excess := est.size(&r.Demand, cl.largest).Sub(r.Resources)
	m.free = m.free.Sub(excess)
	if r.Stopping {
		m.freeAfterStops = m.freeAfterStops.Add(r.Resources)
		m.declaredFreeAfterStops = m.declaredFreeAfterStops.Add(r.Resources)
	} else {
		m.freeAfterStops = m.freeAfterStops.Sub(excess)
		m.addLoad(r.Kind, throttledMilliProcessors(r.Resources.MilliProcessors, r.ThrottlePerMille))
	}
	cl.jobTasks[jobRack{r.Job, m.Rack}]++
}

// throttledMilliProcessors returns the processors that a task may use under a
// limit in thousandths; a limit of zero is none.
func throttledMilliProcessors(milliProcessors int64, perMille int) int64 {
	if perMille <= 0 {
		return milliProcessors
	}
	return milliProcessors * int64(perMille) / fullPerMille
}

func (m *machineState) addLoad(kind string, milliProcessors int64) {
	for i := range m.loadByKind {
		if m.loadByKind[i].kind == kind {
			m.loadByKind[i].milliProcessors += milliProcessors
			return
		}
	}
	m.loadByKind = append(m.loadByKind, kindLoad{kind, milliProcessors})
}

// classify groups the machines by their services and indexes each group.
func (cl *cluster) classify() {
	byServices := map[string]int{}
	for i := range cl.machines {
		m := &cl.machines[i]
		key := strings.Join(m.Services, "\x00")
		n, ok := byServices[key]
		if !ok {
			n = len(cl.classes)
			byServices[key] = n
			cl.classes = append(cl.classes, class{services: m.Services})
		}
		m.class, m.position = n, len(cl.classes[n].machines)
		cl.classes[n].machines = append(cl.classes[n].machines, i)
	}
	for n := range cl.classes {
		c := &cl.classes[n]
		c.index = newFitIndex(len(c.machines))
		for position, i := range c.machines {
			if m := &cl.machines[i]; !m.Draining {
				c.index.insert(position, m.available())
			}
		}
	}
}

// available returns what a task that starts now may take.
func (m *machineState) available() inventory.Resources { return minResources(m.free, m.freeAfterStops) }

// schedulable returns the number of machines that may receive work.
func (cl *cluster) schedulable() int {
	n := 0
	for i := range cl.machines {
		if !cl.machines[i].Draining {
			n++
		}
	}
	return n
}

// recordEviction records that a running task of the given estimated size will
// be stopped.
func (cl *cluster) recordEviction(r *RunningTask, size inventory.Resources) {
	i := cl.byName[r.Machine]
	m := &cl.machines[i]
	m.declaredFreeAfterStops = m.declaredFreeAfterStops.Add(r.Resources)
	cl.allocate(i, inventory.Resources{}.Sub(size), false)
}

// allocate takes resources of a machine from what will be free after the stops
// and, if immediately is set, from what is free now. A negative amount returns
// resources.
func (cl *cluster) allocate(i int, r inventory.Resources, immediately bool) {
	m := &cl.machines[i]
	index := cl.classes[m.class].index
	if !m.Draining {
		index.remove(m.position)
	}
	if immediately {
		m.free = m.free.Sub(r)
	}
	m.freeAfterStops = m.freeAfterStops.Sub(r)
	if !m.Draining {
		index.insert(m.position, m.available())
	}
}

// recordStart records that a task starts on a machine.
func (cl *cluster) recordStart(i int, d *Demand, size inventory.Resources, perMille int) {
	cl.allocate(i, size, true)
	m := &cl.machines[i]
	m.started++
	m.addLoad(d.Kind, throttledMilliProcessors(d.Resources.MilliProcessors, perMille))
	cl.jobTasks[jobRack{d.Job, m.Rack}]++
}
