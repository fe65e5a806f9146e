package batch

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// resultPrefix is the key prefix of the rows that hold the final states of forgotten
// jobs' tasks.
const resultPrefix = "results/"

func resultKey(job string) string { return resultPrefix + job }

// ReadResult returns the final states of a job's tasks once the job has left its
// shard's state, and nil before. It is safe for concurrent use.
func ReadResult(ctx context.Context, table platform.Table, job string) ([]TaskStatus, error) {
	rows, err := table.Get(ctx, resultKey(job))
	if err != nil || rows[0].Version == 0 {
		return nil, err
	}
	var tasks []TaskStatus
	err = json.Unmarshal(rows[0].Value, &tasks)
	return tasks, err
}

// forgetEnded removes jobs from the state whose tasks have all ended for at least
// the retention. The same transaction writes their results.
func (o *owner) forgetEnded(now time.Time) {
	open := map[string]bool{}
	ended := map[string][]shard.TaskID{}
	for id, t := range o.state.Tasks {
		if !charts.Task.IsFinal(t.State) {
			open[t.Spec.Job] = true
			continue
		}
		if _, ok := o.endedAt[id]; !ok {
			o.endedAt[id] = now
		}
		if now.Sub(o.endedAt[id]) < o.opts.Retention {
			open[t.Spec.Job] = true
			continue
		}
		ended[t.Spec.Job] = append(ended[t.Spec.Job], id)
	}
	for _, job := range slices.Sorted(maps.Keys(ended)) {
		if !open[job] && len(o.records) < maxUnwrittenRecords {
			o.forget(job, ended[job])
		}
	}
}

func (o *owner) forget(job string, ids []shard.TaskID) {
	value, err := json.Marshal(o.jobTasks(job))
	if err != nil {
		o.log.WithError(err).Error("cannot encode the job's result; keeping the job in the state")
		return
	}
	slices.Sort(ids)
	for _, id := range ids {
		o.record(shard.Record{Event: shard.RecordForget, Task: id})
		delete(o.endedAt, id)
	}
	o.puts = append(o.puts, platform.Put{Key: resultKey(job), Value: value})
}
