package batch

import (
	"context"
	"slices"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/place"
	"github.com/bambooyard/bambooyard/shard"
)

// failureEvent returns the event and the reason to record for a failed attempt. A
// task is retried on other VMs before it fails for good, since the worker may be at
// fault.
func (o *owner) failureEvent(t *shard.Task, reason string) (chart.Event, string) {
	if t.State != charts.TaskRunning {
		return charts.TaskStopped, reason
	}
	failedOn := append(slices.Clone(t.FailedOn), t.VM)
	if why, final := o.planner.FailureIsFinal(failedOn, t.Failures+1); final {
		return charts.TaskFail, why + ": " + reason
	}
	return charts.TaskRetry, reason
}

// failedOn returns the VMs that a task should not be placed on again, or nil when it
// has failed on every VM that is not draining.
func (o *owner) failedOn(t *shard.Task) []string {
	for name, vm := range o.vms {
		if !vm.Draining && !slices.Contains(t.FailedOn, name) {
			return t.FailedOn
		}
	}
	return nil
}

var outcomes = map[platform.LeaseState]place.Outcome{
	platform.LeaseFinished: place.Finished,
	platform.LeaseFailed:   place.Failed,
	platform.LeaseStopped:  place.Stopped,
	platform.LeaseExpired:  place.Stopped,
}

// observeEnd reports the end of an attempt to the planner.
func (o *owner) observeEnd(t *shard.Task, l platform.Lease) {
	delete(o.throttlePerMille, t.Spec.ID)
	o.planner.ObserveEnd(place.TaskEnd{
		Task:              string(t.Spec.ID),
		Job:               t.Spec.Job,
		Member:            t.Spec.Member,
		Kind:              t.Spec.Kind,
		Machine:           t.VM,
		Outcome:           outcomes[l.State],
		DeclaredRunTimeMS: t.Spec.RunTimeMS,
		RanMS:             l.RanMS,
		EndedUnixMS:       o.opts.Now().UnixMilli(),
	})
}

// observeUsage reports a resource measurement, which may lag, to the planner.
func (o *owner) observeUsage(l platform.Lease, measuredUnixMS int64) {
	t, ok := o.state.Tasks[shard.TaskID(l.Task)]
	if !ok || t.Attempt != l.Attempt {
		return
	}
	o.planner.ObserveUsage(place.TaskUsage{
		Task:           l.Task,
		Member:         t.Spec.Member,
		Kind:           t.Spec.Kind,
		Declared:       t.Spec.Resources,
		Used:           l.Usage,
		MeasuredUnixMS: measuredUnixMS,
	})
}

// throttle sends the worker of a running task its processor share. A lost request is
// sent again when the planner changes the share.
func (o *owner) throttle(id shard.TaskID) {
	t := o.state.Tasks[id]
	if t == nil || !t.OccupiesVM() {
		return
	}
	req := platform.ThrottleRequest{
		Shard:    o.name,
		Epoch:    o.head.Epoch,
		Task:     string(id),
		Attempt:  t.Attempt,
		PerMille: o.throttlePerMille[id],
	}
	worker := o.worker(t.VM)
	control.Async(o.opts.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, worker.Throttle(ctx, req)
	}, func(_ struct{}, err error) {
		if err != nil {
			delete(o.throttlePerMille, id)
			o.log.WithField("event", "throttle_failed").WithField("task", id).WithError(err).Warn("throttle request failed; the planner will decide again")
		}
	})
}
