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

// Rate limits of the exchanges with one VM.
const (
	minPollInterval   = 500 * time.Millisecond // minimum time between two exchanges
	bytesPerLease     = 170                    // size of one lease in an exchange and its report
	maxBytesPerSecond = 2000                   // bandwidth limit for exchanges with one VM
)

// pollInterval returns the interval between exchanges with a VM that has the given
// number of leases.
func (o *owner) pollInterval(leases int) time.Duration {
	interval := time.Duration(leases) * bytesPerLease * time.Second / maxBytesPerSecond
	return min(o.opts.LeaseTTL/renewalsPerTTL, max(minPollInterval, interval))
}

// exchangeAll renews the leases of every VM that has tasks. It stops when the next
// owner of the shard may assume that leases are no longer renewed, and while a
// release is in flight.
func (o *owner) exchangeAll(now time.Time) {
	if !o.manager.timing.MayRenew(o.expires, now) || o.pending != nil && o.pending.releasesShard {
		return
	}
	leases := o.leasesByVM()
	for _, vm := range slices.Sorted(maps.Keys(leases)) {
		if !o.exchangeInFlight[vm] && now.Sub(o.lastExchange[vm]) >= o.pollInterval(len(leases[vm])) {
			o.exchange(now, vm, leases[vm])
		}
	}
	for _, vm := range o.idleVMs(leases) {
		if !o.exchangeInFlight[vm] && now.Sub(o.lastExchange[vm]) >= minPollInterval {
			o.exchange(now, vm, nil)
		}
	}
}

// idleVMs returns the sorted VMs without tasks that have leases to acknowledge, or
// that are probed because they were unreachable.
func (o *owner) idleVMs(leases map[string][]platform.LeaseRef) []string {
	var vms []string
	for vm := range o.unacknowledged {
		if leases[vm] == nil {
			vms = append(vms, vm)
		}
	}
	for vm := range o.unreachable {
		if _, listed := o.vms[vm]; listed && leases[vm] == nil && o.unacknowledged[vm] == nil {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// leasesByVM returns the leases that occupy each VM.
func (o *owner) leasesByVM() map[string][]platform.LeaseRef {
	leases := map[string][]platform.LeaseRef{}
	for _, id := range o.taskIDs() {
		if t := o.state.Tasks[id]; t.OccupiesVM() {
			leases[t.VM] = append(leases[t.VM], platform.LeaseRef{Task: string(id), Attempt: t.Attempt})
		}
	}
	return leases
}

func (o *owner) exchange(now time.Time, vm string, renew []platform.LeaseRef) {
	o.exchangeInFlight[vm] = true
	o.lastExchange[vm] = now
	req := platform.ExchangeRequest{Shard: o.name, Epoch: o.head.Epoch, Acknowledge: o.leasesToAcknowledge(vm)}
	if len(renew) > 0 && o.inContact(vm, now) {
		req.Renew = renew
		req.LeaseUntilUnixMS = o.leases.Extend(vm, now).UnixMilli()
	}
	worker := o.worker(vm)
	control.Async(o.opts.Loop, func(ctx context.Context) (platform.ExchangeReply, error) {
		return worker.Exchange(ctx, req)
	}, func(r platform.ExchangeReply, err error) {
		if o.head.Epoch != req.Epoch || !o.owning() {
			return
		}
		o.exchangeInFlight[vm] = false
		if err != nil {
			o.handleExchangeError(vm, err)
			return
		}
		o.unacknowledged[vm] = slices.DeleteFunc(o.unacknowledged[vm], func(ref platform.LeaseRef) bool {
			return slices.Contains(req.Acknowledge, ref)
		})
		if len(o.unacknowledged[vm]) == 0 {
			delete(o.unacknowledged, vm)
		}
		if o.unreachable[vm] {
			delete(o.unreachable, vm)
			o.changed = true
		}
		o.lastReport[vm] = o.opts.Now()
		o.handleReport(vm, now, r)
	})
}

// inContact reports whether the VM's last report is recent. A VM without recent
// reports gets no renewals, since they might reach it although its replies do not,
// and its leases would never expire.
func (o *owner) inContact(vm string, now time.Time) bool {
	last, ok := o.lastReport[vm]
	if !ok {
		o.lastReport[vm] = now
		return true
	}
	return now.Sub(last) < o.opts.LeaseTTL/2
}

// handleExchangeError excludes an unreachable VM from new tasks. If the worker has
// seen a newer epoch, it makes the shard check its ownership.
func (o *owner) handleExchangeError(vm string, err error) {
	o.log.WithField("event", "exchange_failed").WithField("vm", vm).WithError(err).Warn("exchange with the worker failed")
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		o.generation = -1
	}
	o.unreachable[vm] = true
	delete(o.unacknowledged, vm) // the next report lists them again
}

// leasesToAcknowledge returns the ended leases of a VM whose end is committed to the
// log.
func (o *owner) leasesToAcknowledge(vm string) []platform.LeaseRef {
	var refs []platform.LeaseRef
	for _, ref := range o.unacknowledged[vm] {
		if !o.unwritten[shard.TaskID(ref.Task)] {
			refs = append(refs, ref)
		}
	}
	return refs
}

// handleReport turns a worker's report into records. The report reflects the
// worker's state no earlier than issued, when the exchange was sent, and says
// nothing about later starts.
func (o *owner) handleReport(vm string, issued time.Time, r platform.ExchangeReply) {
	known := make(map[platform.LeaseRef]bool, len(r.Leases))
	for _, l := range r.Leases {
		known[l.LeaseRef] = true
		if l.State == platform.LeaseRunning {
			o.observeUsage(l, r.MeasuredUnixMS)
			o.stopIfUnwanted(vm, l)
			continue
		}
		if !slices.Contains(o.unacknowledged[vm], l.LeaseRef) {
			o.unacknowledged[vm] = append(o.unacknowledged[vm], l.LeaseRef)
		}
		t, ok := o.state.Tasks[shard.TaskID(l.Task)]
		if ok && t.OccupiesVM() && t.VM == vm && t.Attempt == l.Attempt {
			o.recordTaskEnd(t, l)
		}
	}
	o.lapseUnknownTasks(vm, issued, known)
}

// lapseUnknownTasks lapses tasks that the worker did not know when their start
// requests had already expired.
func (o *owner) lapseUnknownTasks(vm string, issued time.Time, known map[platform.LeaseRef]bool) {
	for _, id := range o.taskIDs() {
		t := o.state.Tasks[id]
		ref := platform.LeaseRef{Task: string(id), Attempt: t.Attempt}
		startExpired := o.manager.timing.HasPassed(time.UnixMilli(t.StartByUnixMS), issued)
		if t.OccupiesVM() && t.VM == vm && startExpired && !known[ref] {
			o.record(shard.Record{Event: charts.TaskLapse, Task: id, Reason: "worker does not know the task"})
		}
	}
}

// stopIfUnwanted stops a lease whose task is being evicted or cancelled, is unknown,
// or runs on another VM or as another attempt.
func (o *owner) stopIfUnwanted(vm string, l platform.Lease) {
	t, ok := o.state.Tasks[shard.TaskID(l.Task)]
	if o.unwritten[shard.TaskID(l.Task)] {
		return // the state is not committed yet and may be discarded
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

// stop sends a stop request for a task that is being evicted or cancelled.
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

// sendStop sends the request and, once the worker has accepted it, requests a report
// without delay.
func (o *owner) sendStop(vm string, req platform.StopRequest) {
	worker := o.worker(vm)
	control.Async(o.opts.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, worker.Stop(ctx, req)
	}, func(_ struct{}, err error) {
		if o.head.Epoch != req.Epoch || !o.owning() {
			return
		}
		if err != nil {
			o.log.WithField("event", "stop_failed").WithField("task", req.Task).WithError(err).Warn("stop request failed; will retry")
			return
		}
		delete(o.lastExchange, vm)
	})
}

func (o *owner) recordTaskEnd(t *shard.Task, l platform.Lease) {
	r := shard.Record{Task: t.Spec.ID, Checkpoint: l.Checkpoint, Reason: l.Reason}
	o.observeEnd(t, l)
	switch l.State {
	case platform.LeaseFinished:
		r.Event = charts.TaskFinish
	case platform.LeaseFailed:
		r.Event, r.Reason = o.failureEvent(t, l.Reason)
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

// lapseExpired lapses the tasks on VMs whose leases must have expired.
func (o *owner) lapseExpired(now time.Time) {
	for _, id := range o.taskIDs() {
		if t := o.state.Tasks[id]; t.OccupiesVM() && o.leases.Expired(t.VM, now) {
			o.record(shard.Record{Event: charts.TaskLapse, Task: id, Reason: "lease of VM " + t.VM + " ran out"})
		}
	}
}
