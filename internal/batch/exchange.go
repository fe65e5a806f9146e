package batch

import (
	"context"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// exchangeAll renews the leases of every VM that holds tasks.
func (o *owner) exchangeAll(now time.Time) {
	interval := o.opts.LeaseTTL / renewalsByTTL
	held := o.held()
	for vm, refs := range held {
		if o.exchanging[vm] || now.Sub(o.exchanged[vm]) < min(interval, pollInterval) {
			continue
		}
		o.exchange(now, vm, refs)
	}
	for vm, refs := range o.ended {
		if len(refs) > 0 && held[vm] == nil && !o.exchanging[vm] {
			o.exchange(now, vm, nil)
		}
	}
}

// pollInterval is how often a VM with running tasks is asked for their states.
const pollInterval = 500 * time.Millisecond

// held returns the leases that occupy each VM.
func (o *owner) held() map[string][]platform.LeaseRef {
	held := map[string][]platform.LeaseRef{}
	for id, t := range o.state.Tasks {
		if t.Holds() {
			held[t.VM] = append(held[t.VM], platform.LeaseRef{Task: string(id), Attempt: t.Attempt})
		}
	}
	return held
}

func (o *owner) exchange(now time.Time, vm string, renew []platform.LeaseRef) {
	o.exchanging[vm] = true
	o.exchanged[vm] = now
	until := o.promise(now, vm)
	e := platform.Exchange{
		Shard:            o.name,
		Epoch:            o.head.Epoch,
		LeaseUntilUnixMS: until.UnixMilli(),
		Renew:            renew,
		Acknowledge:      o.ended[vm],
	}
	worker := o.opts.Workers(o.vms[vm].WorkerAddress)
	epoch := o.head.Epoch
	control.Async(o.opts.Loop, func(ctx context.Context) (platform.Report, error) {
		return worker.Exchange(ctx, e)
	}, func(r platform.Report, err error) {
		if o.head.Epoch != epoch || !o.owning() {
			return
		}
		o.exchanging[vm] = false
		if err != nil {
			o.log.WithField("event", "exchange_failed").WithField("vm", vm).WithError(err).Warn("no report")
			return
		}
		o.ended[vm] = o.ended[vm][len(e.Acknowledge):]
		o.reported(vm, r)
	})
}

// promise extends the leases of a VM and returns their new end.
func (o *owner) promise(now time.Time, vm string) time.Time {
	until := now.Add(o.opts.LeaseTTL)
	if until.After(o.leaseUntil[vm]) {
		o.leaseUntil[vm] = until
	}
	return until
}

// reported turns a worker's report into records.
func (o *owner) reported(vm string, r platform.Report) {
	known := make(map[platform.LeaseRef]bool, len(r.Leases))
	for _, l := range r.Leases {
		known[l.LeaseRef] = true
		if l.State == platform.LeaseRunning {
			o.stopIfUnwanted(vm, l)
			continue
		}
		o.ended[vm] = append(o.ended[vm], l.LeaseRef)
		t, ok := o.state.Tasks[shard.TaskID(l.Task)]
		if ok && t.Holds() && t.VM == vm && t.Attempt == l.Attempt {
			o.taskEnded(t, l)
		}
	}
	o.lapseUnstarted(vm, known)
}

// lapseUnstarted gives up starts that the worker never received and must
// refuse by now.
func (o *owner) lapseUnstarted(vm string, known map[platform.LeaseRef]bool) {
	now := o.opts.Now()
	for id, t := range o.state.Tasks {
		ref := platform.LeaseRef{Task: string(id), Attempt: t.Attempt}
		late := now.After(time.UnixMilli(t.StartByUnixMS).Add(clockSkew))
		if t.Holds() && t.VM == vm && late && !known[ref] {
			o.record(shard.Record{Event: charts.TaskLapse, Task: id, Reason: "worker never started the task"})
		}
	}
}

// stopIfUnwanted stops a lease whose task is being evicted or cancelled.
func (o *owner) stopIfUnwanted(vm string, l platform.Lease) {
	t, ok := o.state.Tasks[shard.TaskID(l.Task)]
	if ok && t.State == charts.TaskRunning && t.VM == vm && t.Attempt == l.Attempt {
		return
	}
	order := platform.StopOrder{
		Shard:      o.name,
		Epoch:      o.head.Epoch,
		Task:       l.Task,
		Attempt:    l.Attempt,
		Checkpoint: ok && t.State == charts.TaskStopping,
	}
	worker := o.opts.Workers(o.vms[vm].WorkerAddress)
	control.Async(o.opts.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, worker.Stop(ctx, order)
	}, func(_ struct{}, err error) {
		if err != nil {
			o.log.WithField("event", "stop_failed").WithField("task", l.Task).WithError(err).Warn("stop is tried again")
		}
	})
}

func (o *owner) taskEnded(t *shard.Task, l platform.Lease) {
	r := shard.Record{Task: t.Spec.ID, Checkpoint: l.Checkpoint, Reason: l.Reason}
	switch l.State {
	case platform.LeaseFinished:
		r.Event = charts.TaskFinish
	case platform.LeaseFailed:
		r.Event = charts.TaskFail
		if t.State != charts.TaskRunning {
			r.Event = charts.TaskStopped
		}
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
	for id, t := range o.state.Tasks {
		if t.Holds() && now.After(o.leaseUntil[t.VM].Add(clockSkew)) {
			o.record(shard.Record{Event: charts.TaskLapse, Task: id, Reason: "lease of VM " + t.VM + " ran out"})
		}
	}
}
