package batch

import (
	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/shard"
)

// observeRecord counts a committed record in the error budget report. A task that
// finishes after its deadline counts as late; each eviction counts once.
func (o *owner) observeRecord(r shard.Record) {
	t := o.state.Tasks[r.Task]
	if t == nil || o.opts.Observe == nil {
		return
	}
	now := o.opts.Now()
	var outcome burn.Outcome
	switch r.Event {
	case charts.TaskFinish:
		if t.Spec.DeadlineUnixMS > 0 && now.UnixMilli() > t.Spec.DeadlineUnixMS {
			outcome = burn.OutcomeLate
		}
	case charts.TaskFail:
		outcome = burn.OutcomeFailed
	case charts.TaskReject:
		outcome = burn.OutcomeRefused
	case charts.TaskEvict:
		outcome = burn.OutcomeEvicted
	default:
		return
	}
	o.opts.Observe(burn.Observation{
		At:      now,
		Series:  burn.Series{Service: burn.BatchService, Member: t.Spec.Member},
		Outcome: outcome,
	})
}
