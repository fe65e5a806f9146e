package batch

import (
	"sort"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/place"
	"github.com/bambooyard/bambooyard/shard"
)

// planInput returns the planner's view of the shard.
func (o *owner) planInput(now time.Time) place.Input {
	in := place.Input{NowUnixMS: now.UnixMilli(), Machines: o.machines(), Quotas: o.manager.directory.quotasOf(o.name)}
	for _, id := range o.taskIDs() {
		t := o.state.Tasks[id]
		switch {
		case t.State == charts.TaskPending:
			d := demand(t)
			d.FailedOn = o.failedOn(t)
			in.Pending = append(in.Pending, d)
		case t.OccupiesVM():
			in.Running = append(in.Running, place.RunningTask{
				Demand:        demand(t),
				Machine:       t.VM,
				StartedUnixMS: t.StartByUnixMS - startWindow.Milliseconds(),
				Stopping:      t.State != charts.TaskRunning,

				ThrottlePerMille: o.throttlePerMille[id],
			})
		}
	}
	return in
}

// demand returns the planner's view of a task.
func demand(t *shard.Task) place.Demand {
	return place.Demand{
		Task:           string(t.Spec.ID),
		Job:            t.Spec.Job,
		Member:         t.Spec.Member,
		Kind:           t.Spec.Kind,
		Resources:      t.Spec.Resources,
		RunTimeMS:      t.Spec.RunTimeMS,
		DeadlineUnixMS: t.Spec.DeadlineUnixMS,
		Urgent:         t.Spec.Urgent,
		Avoid:          t.Spec.Avoid,
	}
}

// machines returns the planner's view of the shard's VMs, sorted by name.
func (o *owner) machines() []place.Machine {
	machines := make([]place.Machine, 0, len(o.vms))
	for name, vm := range o.vms {
		m := o.manager.directory.describe(vm)
		m.Free = m.Capacity.Sub(o.state.Committed[name])
		m.Draining = !o.schedulable(vm)
		machines = append(machines, m)
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
	return machines
}
