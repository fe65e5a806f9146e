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

// resultPrefix begins the rows that hold the final states of forgotten jobs.
const resultPrefix = "results/"

func resultKey(job string) string { return resultPrefix + job }

// ReadResult returns the final states of a job's tasks after the job has left
// its shard's record, or nil while it has not. It runs on any goroutine.
func ReadResult(ctx context.Context, table platform.Table, job string) ([]TaskStatus, error) {
	rows, err := table.Get(ctx, resultKey(job))
	if err != nil || rows[0].Version == 0 {
		return nil, err
	}
	var tasks []TaskStatus
	err = json.Unmarshal(rows[0].Value, &tasks)
	return tasks, err
}

// forgetEnded removes jobs from the record whose tasks have all ended for
// longer than the retention. Their result is written by the same transaction.
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
		if !open[job] && len(o.records) < maxRecords {
			o.forget(job, ended[job])
		}
	}
}

func (o *owner) forget(job string, ids []shard.TaskID) {
	value, err := json.Marshal(o.jobTasks(job))
	if err != nil {
		o.log.WithError(err).Error("result")
		return
	}
	slices.Sort(ids)
	for _, id := range ids {
		o.record(shard.Record{Event: shard.RecordForget, Task: id})
		delete(o.endedAt, id)
	}
	o.puts = append(o.puts, platform.Put{Key: resultKey(job), Value: value})
}
