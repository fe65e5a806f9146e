package batch

import (
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/place"
	"github.com/bambooyard/bambooyard/shard"
)

// plan runs the planner while this daemon's ownership is confirmed and no
// transaction is pending.
func (o *owner) plan(now time.Time) {
	if !o.ownershipConfirmed(now) || o.releasing || o.pending != nil {
		return
	}
	if !o.changed && now.Sub(o.plannedAt) < planInterval {
		return
	}
	o.changed, o.plannedAt = false, now
	o.forgetEnded(now)
	o.evictFromRemovedVMs()
	o.freeVMs()
	if len(o.vms) == 0 {
		o.reassign(func(string) bool { return true })
		return
	}
	o.applyPlan(now)
}

// applyPlan computes a plan and records its decisions.
func (o *owner) applyPlan(now time.Time) {
	plan := o.planner.Plan(o.planInput(now))
	o.reject(plan.Rejections)
	for _, e := range plan.Evictions {
		o.record(shard.Record{Event: charts.TaskEvict, Task: shard.TaskID(e.Task), Reason: e.Reason})
	}
	for _, s := range plan.Starts {
		id := shard.TaskID(s.Task)
		delete(o.throttlePerMille, id) // share of an earlier attempt
		if o.recordStart(now, id, s.Machine) && s.ThrottlePerMille > 0 {
			o.throttlePerMille[id] = s.ThrottlePerMille
		}
	}
	for _, t := range plan.Throttles {
		o.throttlePerMille[shard.TaskID(t.Task)] = t.PerMille
		o.throttle(shard.TaskID(t.Task))
	}
}

// reject rejects the tasks that no VM of the shard can run, except that jobs which
// another shard could run are moved there.
func (o *owner) reject(rejections []place.Rejection) {
	elsewhere := map[string]bool{}
	for _, r := range rejections {
		spec := o.state.Tasks[shard.TaskID(r.Task)].Spec
		if len(o.feasibleElsewhere(Job{Member: spec.Member, Resources: spec.Resources, Avoid: spec.Avoid})) > 0 {
			elsewhere[spec.Job] = true
			continue
		}
		o.record(shard.Record{Event: charts.TaskReject, Task: spec.ID, Reason: r.Reason})
	}
	if len(elsewhere) > 0 {
		o.reassign(func(job string) bool { return elsewhere[job] })
	}
}

// feasibleElsewhere returns the other shards that could run the job's tasks.
func (o *owner) feasibleElsewhere(job Job) []string {
	names, err := o.manager.directory.Feasible(job)
	if err != nil {
		return nil // no shard could run the job
	}
	return slices.DeleteFunc(names, func(name string) bool { return name == o.name })
}

// schedulable reports whether new tasks may be placed on the VM.
func (o *owner) schedulable(vm inventory.VM) bool {
	return !vm.Draining && !o.unreachable[vm.Name] && o.state.VMs[vm.Name]
}

// load returns the shard's free capacity and pending demand.
func (o *owner) load() shard.Load {
	var l shard.Load
	for name, vm := range o.vms {
		if o.schedulable(vm) {
			l.FreeMilliProcessors += max(0, vm.Usable().Sub(o.state.Committed[name]).MilliProcessors)
		}
	}
	for _, t := range o.state.Tasks {
		if t.State == charts.TaskPending {
			l.PendingMilliProcessors += t.Spec.Resources.MilliProcessors
		}
	}
	return l
}

// recordStart records a start and queues its request. It checks the VM's capacity
// itself and does not rely on the planner.
func (o *owner) recordStart(now time.Time, id shard.TaskID, vm string) bool {
	t, v := o.state.Tasks[id], o.vms[vm]
	if t == nil || !o.state.VMs[vm] || !o.state.Committed[vm].Add(t.Spec.Resources).Fits(v.Usable()) {
		o.log.WithField("event", "start_refused").WithField("task", id).Warn("task does not fit VM " + vm + ", or the shard has not claimed the VM")
		return false
	}
	startBy := now.Add(startWindow).UnixMilli()
	ok := o.record(shard.Record{
		Event: charts.TaskStart, Task: id, VM: vm, Worker: v.WorkerAddress, Attempt: t.Attempt + 1, StartByUnixMS: startBy,
	})
	if !ok {
		return false
	}
	o.startRequests = append(o.startRequests, platform.StartRequest{
		Shard:            o.name,
		Epoch:            o.head.Epoch,
		Task:             string(id),
		Attempt:          t.Attempt,
		StartByUnixMS:    startBy,
		LeaseUntilUnixMS: o.leases.Extend(vm, now).UnixMilli(),
		Resources:        t.Spec.Resources,
		Checkpoint:       t.Checkpoint,
		Payload:          t.Spec.Payload,
	})
	return true
}

// evictFromRemovedVMs evicts the tasks of VMs that have left the inventory. The
// planner selects the evictions from VMs whose capacity was reduced.
func (o *owner) evictFromRemovedVMs() {
	for _, id := range o.taskIDs() {
		t := o.state.Tasks[id]
		if _, listed := o.vms[t.VM]; !listed && t.State == charts.TaskRunning {
			o.record(shard.Record{Event: charts.TaskEvict, Task: id, Reason: "VM " + t.VM + " has left the inventory"})
		}
	}
}
