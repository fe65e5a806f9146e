package place

import (
	"strings"

	"github.com/bambooyard/bambooyard/inventory"
)

// cluster is the machines during one plan: what is free now, what will be free
// once the tasks that are being stopped have gone, and an index over it.
type cluster struct {
	machines []machineState
	byName   map[string]int
	classes  []class
	// jobTasks counts the tasks of each job in each rack.
	jobTasks map[jobRack]int
	largest  inventory.Resources
}

type jobRack struct{ job, rack string }

// class is the machines that carry the same services.
type class struct {
	services []string
	index    *fitIndex
	members  []int
}

// machineState is one machine during a plan.
type machineState struct {
	*Machine
	number int
	class  int
	// position is the machine's number in its class.
	position int
	// free is what may be given to a task now, by corrected sizes.
	free inventory.Resources
	// soon is free once the stopping tasks have gone, less what is kept for
	// urgent tasks that wait for them.
	soon inventory.Resources
	// promised is the declared free size once the stopping tasks have gone;
	// negative when the VM is committed beyond what it has.
	promised inventory.Resources
	tasks    []int // running tasks, by number in the input
	started  int   // tasks started in this plan
	kinds    []kindLoad
}

// kindLoad is the processors that a kind of task holds on a machine.
type kindLoad struct {
	kind            string
	milliProcessors int64
}

// newCluster describes the machines of an input with the sizes that c expects.
func newCluster(in *Input, c *corrections) *cluster {
	cl := &cluster{
		machines: make([]machineState, len(in.Machines)),
		byName:   make(map[string]int, len(in.Machines)),
		jobTasks: make(map[jobRack]int, len(in.Running)),
	}
	for i := range in.Machines {
		m := &in.Machines[i]
		cl.machines[i] = machineState{Machine: m, number: i, free: m.Free, soon: m.Free, promised: m.Free}
		cl.byName[m.Name] = i
		cl.largest = maxResources(cl.largest, m.Capacity)
	}
	for i := range in.Running {
		cl.addRunning(i, &in.Running[i], c)
	}
	cl.classify()
	return cl
}

// addRunning counts a running task. Its declared size is committed already.
func (cl *cluster) addRunning(number int, r *RunningTask, c *corrections) {
	i, ok := cl.byName[r.Machine]
	if !ok {
		return
	}
	m := &cl.machines[i]
	m.tasks = append(m.tasks, number)
	excess := c.size(&r.Demand, cl.largest).Sub(r.Resources)
	m.free = m.free.Sub(excess)
	if r.Stopping {
		m.soon = m.soon.Add(r.Resources)
		m.promised = m.promised.Add(r.Resources)
	} else {
		m.soon = m.soon.Sub(excess)
		m.addLoad(r.Kind, throttled(r.Resources.MilliProcessors, r.ThrottlePerMille))
	}
	cl.jobTasks[jobRack{r.Job, m.Rack}]++
}

// throttled is the processors of a task under a limit in thousandths.
func throttled(milliProcessors int64, perMille int) int64 {
	if perMille <= 0 {
		return milliProcessors
	}
	return milliProcessors * int64(perMille) / wholePerMille
}

func (m *machineState) addLoad(kind string, milliProcessors int64) {
	for i := range m.kinds {
		if m.kinds[i].kind == kind {
			m.kinds[i].milliProcessors += milliProcessors
			return
		}
	}
	m.kinds = append(m.kinds, kindLoad{kind, milliProcessors})
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
		m.class, m.position = n, len(cl.classes[n].members)
		cl.classes[n].members = append(cl.classes[n].members, i)
	}
	for n := range cl.classes {
		c := &cl.classes[n]
		c.index = newFitIndex(len(c.members))
		for position, i := range c.members {
			if m := &cl.machines[i]; !m.Draining {
				c.index.insert(position, m.available())
			}
		}
	}
}

// available is what a task may take now.
func (m *machineState) available() inventory.Resources { return minResources(m.free, m.soon) }

// live counts the machines that may receive work.
func (cl *cluster) live() int {
	n := 0
	for i := range cl.machines {
		if !cl.machines[i].Draining {
			n++
		}
	}
	return n
}

// evict records that a running task will be stopped.
func (cl *cluster) evict(r *RunningTask, size inventory.Resources) {
	i := cl.byName[r.Machine]
	m := &cl.machines[i]
	m.promised = m.promised.Add(r.Resources)
	cl.use(i, inventory.Resources{}.Sub(size), false)
}

// use takes resources of a machine: now for a task that starts, or only of
// what will be free for one that waits.
func (cl *cluster) use(i int, r inventory.Resources, now bool) {
	m := &cl.machines[i]
	index := cl.classes[m.class].index
	if !m.Draining {
		index.remove(m.position)
	}
	if now {
		m.free = m.free.Sub(r)
	}
	m.soon = m.soon.Sub(r)
	if !m.Draining {
		index.insert(m.position, m.available())
	}
}

// start records that a task starts on a machine.
func (cl *cluster) start(i int, d *Demand, size inventory.Resources, perMille int) {
	cl.use(i, size, true)
	m := &cl.machines[i]
	m.started++
	m.addLoad(d.Kind, throttled(d.Resources.MilliProcessors, perMille))
	cl.jobTasks[jobRack{d.Job, m.Rack}]++
}
