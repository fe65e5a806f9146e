package batch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// Pace of the exchanges with one VM.
const (
	pollInterval  = 500 * time.Millisecond // least time between two
	bytesByLease  = 170                    // of a lease in an exchange and its report
	bytesBySecond = 2000                   // what a VM may spend on control
)

// pollInterval returns how often a VM with so many leases is asked for their
// states.
func (o *owner) pollInterval(leases int) time.Duration {
	interval := time.Duration(leases) * bytesByLease * time.Second / bytesBySecond
	return min(o.opts.LeaseTTL/renewalsByTTL, max(pollInterval, interval))
}

// exchangeAll renews the leases of every VM that holds tasks, for as long as
// the next owner of the shard reckons with it, and not after a release.
func (o *owner) exchangeAll(now time.Time) {
	if !o.manager.timing.MayRenew(o.expires, now) || o.pending != nil && o.pending.release {
		return
	}
	held := o.held()
	for _, vm := range slices.Sorted(maps.Keys(held)) {
		if !o.exchanging[vm] && now.Sub(o.exchanged[vm]) >= o.pollInterval(len(held[vm])) {
			o.exchange(now, vm, held[vm])
		}
	}
	for _, vm := range o.idleVMs(held) {
		if !o.exchanging[vm] && now.Sub(o.exchanged[vm]) >= pollInterval {
			o.exchange(now, vm, nil)
		}
	}
}

// idleVMs returns the VMs without tasks that have something to be told or are
// probed because they were silent.
func (o *owner) idleVMs(held map[string][]platform.LeaseRef) []string {
	var vms []string
	for vm := range o.ended {
		if held[vm] == nil {
			vms = append(vms, vm)
		}
	}
	for vm := range o.silent {
		if _, listed := o.vms[vm]; listed && held[vm] == nil && o.ended[vm] == nil {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// held returns the leases that occupy each VM.
func (o *owner) held() map[string][]platform.LeaseRef {
	held := map[string][]platform.LeaseRef{}
	for _, id := range o.taskIDs() {
		if t := o.state.Tasks[id]; t.OccupiesVM() {
			held[t.VM] = append(held[t.VM], platform.LeaseRef{Task: string(id), Attempt: t.Attempt})
		}
	}
	return held
}

func (o *owner) exchange(now time.Time, vm string, renew []platform.LeaseRef) {
	o.exchanging[vm] = true
	o.exchanged[vm] = now
	e := platform.ExchangeRequest{Shard: o.name, Epoch: o.head.Epoch, Acknowledge: o.acknowledged(vm)}
	if len(renew) > 0 && o.heard(vm, now) {
		e.Renew = renew
		e.LeaseUntilUnixMS = o.leases.Extend(vm, now).UnixMilli()
	}
	worker := o.worker(vm)
	control.Async(o.opts.Loop, func(ctx context.Context) (platform.ExchangeReply, error) {
		return worker.Exchange(ctx, e)
	}, func(r platform.ExchangeReply, err error) {
		if o.head.Epoch != e.Epoch || !o.owning() {
			return
		}
		o.exchanging[vm] = false
		if err != nil {
			o.exchangeFailed(vm, err)
			return
		}
		o.ended[vm] = slices.DeleteFunc(o.ended[vm], func(ref platform.LeaseRef) bool {
			return slices.Contains(e.Acknowledge, ref)
		})
		if len(o.ended[vm]) == 0 {
			delete(o.ended, vm)
		}
		if o.silent[vm] {
			delete(o.silent, vm)
			o.changed = true
		}
		o.reportedAt[vm] = o.opts.Now()
		o.reported(vm, now, r)
	})
}

// heard reports whether the VM has reported of late. Without reports it gets
// no renewals, which may arrive all the same, so that its leases run out.
func (o *owner) heard(vm string, now time.Time) bool {
	last, ok := o.reportedAt[vm]
	if !ok {
		o.reportedAt[vm] = now
		return true
	}
	return now.Sub(last) < o.opts.LeaseTTL/2
}

// exchangeFailed keeps new tasks from a silent VM, and has the shard's own row
// checked when a worker has seen a later owner.
func (o *owner) exchangeFailed(vm string, err error) {
	o.log.WithField("event", "exchange_failed").WithField("vm", vm).WithError(err).Warn("no report")
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		o.generation = -1
	}
	o.silent[vm] = true
	delete(o.ended, vm) // listed again by the next report
}

// acknowledged returns the ended leases of a VM whose end has been written.
func (o *owner) acknowledged(vm string) []platform.LeaseRef {
	var refs []platform.LeaseRef
	for _, ref := range o.ended[vm] {
		if !o.unwritten[shard.TaskID(ref.Task)] {
			refs = append(refs, ref)
		}
	}
	return refs
}

// reported turns a worker's report into records. The exchange was sent at
// issued, so the report says nothing about starts that came later.
func (o *owner) reported(vm string, issued time.Time, r platform.ExchangeReply) {
	known := make(map[platform.LeaseRef]bool, len(r.Leases))
	for _, l := range r.Leases {
		known[l.LeaseRef] = true
		if l.State == platform.LeaseRunning {
			o.observeUsage(l, r.MeasuredUnixMS)
			o.stopIfUnwanted(vm, l)
			continue
		}
		if !slices.Contains(o.ended[vm], l.LeaseRef) {
			o.ended[vm] = append(o.ended[vm], l.LeaseRef)
		}
		t, ok := o.state.Tasks[shard.TaskID(l.Task)]
		if ok && t.OccupiesVM() && t.VM == vm && t.Attempt == l.Attempt {
			o.taskEnded(t, l)
		}
	}
	o.lapseUnknown(vm, issued, known)
}

// lapseUnknown gives up tasks that the worker did not know at a time when it
// would have refused their start orders.
func (o *owner) lapseUnknown(vm string, issued time.Time, known map[platform.LeaseRef]bool) {
	for _, id := range o.taskIDs() {
		t := o.state.Tasks[id]
		ref := platform.LeaseRef{Task: string(id), Attempt: t.Attempt}
		late := o.manager.timing.HasPassed(time.UnixMilli(t.StartByUnixMS), issued)
		if t.OccupiesVM() && t.VM == vm && late && !known[ref] {
			o.record(shard.Record{Event: charts.TaskLapse, Task: id, Reason: "worker does not know the task"})
		}
	}
}

// stopIfUnwanted stops a lease whose task is being evicted or cancelled, or
// runs under another attempt.
func (o *owner) stopIfUnwanted(vm string, l platform.Lease) {
	t, ok := o.state.Tasks[shard.TaskID(l.Task)]
	if o.unwritten[shard.TaskID(l.Task)] {
		return // the record may come to nothing
	}
	if ok && t.State == charts.TaskRunning && t.VM == vm && t.Attempt == l.Attempt {
		return
	}
	o.sendStop(vm, platform.StopRequest{
		Shard:      o.name,
		Epoch:      o.head.Epoch,
		Task:       l.Task,
		Attempt:    l.Attempt,
		Checkpoint: ok && t.State == charts.TaskStopping,
	})
}

// stop stops a task that is being evicted or cancelled.
func (o *owner) stop(id shard.TaskID) {
	t := o.state.Tasks[id]
	if t == nil || t.State != charts.TaskStopping && t.State != charts.TaskCancelling {
		return
	}
	o.sendStop(t.VM, platform.StopRequest{
		Shard:      o.name,
		Epoch:      o.head.Epoch,
		Task:       string(id),
		Attempt:    t.Attempt,
		Checkpoint: t.State == charts.TaskStopping,
	})
}

// sendStop gives the order and asks for a report at once when it was taken.
func (o *owner) sendStop(vm string, order platform.StopRequest) {
	worker := o.worker(vm)
	control.Async(o.opts.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, worker.Stop(ctx, order)
	}, func(_ struct{}, err error) {
		if o.head.Epoch != order.Epoch || !o.owning() {
			return
		}
		if err != nil {
			o.log.WithField("event", "stop_failed").WithField("task", order.Task).WithError(err).Warn("stop is tried again")
			return
		}
		delete(o.exchanged, vm)
	})
}

func (o *owner) taskEnded(t *shard.Task, l platform.Lease) {
	r := shard.Record{Task: t.Spec.ID, Checkpoint: l.Checkpoint, Reason: l.Reason}
	o.observeEnd(t, l)
	switch l.State {
	case platform.LeaseFinished:
		r.Event = charts.TaskFinish
	case platform.LeaseFailed:
		r.Event, r.Reason = o.failure(t, l.Reason)
	case platform.LeaseStopped:
		r.Event = charts.TaskStopped
		if t.State == charts.TaskRunning {
			r.Event = charts.TaskLapse
		}
	default:
		r.Event = charts.TaskLapse
	}
	o.record(r)
}

// lapseAll gives up leases that must have run out at a worker that is silent.
func (o *owner) lapseAll(now time.Time) {
	for _, id := range o.taskIDs() {
		if t := o.state.Tasks[id]; t.OccupiesVM() && o.leases.Expired(t.VM, now) {
			o.record(shard.Record{Event: charts.TaskLapse, Task: id, Reason: "lease of VM " + t.VM + " ran out"})
		}
	}
}
