package batch

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// Limits of moving jobs to other shards.
const (
	shardNamePrefix   = "shardnames/"
	shardNameInterval = 10 * time.Minute // between two scans of the shard names
	maxShardNames     = 10_000           // names read in one scan
	maxMovedJobs      = 20               // jobs moved by one transaction
)

// jobMove is a job to be moved to another shard, with its tasks.
type jobMove struct {
	job   Job
	tasks []shard.TaskID
}

// discoverShards reads the names of all shards that ever had an owner, so that the
// jobs of a shard which has left the inventory are still run.
func (m *Manager) discoverShards(now time.Time) {
	if !m.ownerLease.valid(now) || !m.namesReadAt.IsZero() && now.Sub(m.namesReadAt) < shardNameInterval {
		return
	}
	m.namesReadAt = now
	control.Async(m.opts.Loop, func(ctx context.Context) ([]platform.Row, error) {
		return m.opts.Table.Scan(ctx, shardNamePrefix, "", maxShardNames)
	}, func(rows []platform.Row, err error) {
		if err != nil {
			m.namesReadAt = time.Time{}
			return
		}
		for _, row := range rows {
			m.owner(row.Key[len(shardNamePrefix):])
		}
	})
}

// reassign moves the selected jobs to other shards, once none of a job's tasks
// occupies a VM.
func (o *owner) reassign(wanted func(job string) bool) {
	if o.moveInFlight || len(o.manager.shardsWithVMs()) == 0 {
		return
	}
	jobs := o.movableJobs(wanted)
	if len(jobs) == 0 {
		return
	}
	o.moveInFlight = true
	epoch := o.head.Epoch
	control.Async(o.opts.Loop, func(ctx context.Context) ([]jobMove, error) {
		return o.readMoves(ctx, jobs)
	}, func(moves []jobMove, err error) {
		if !o.owning() || o.head.Epoch != epoch {
			return
		}
		o.moveInFlight = false
		if err != nil {
			o.log.WithField("event", "move_failed").WithError(err).Warn("cannot read the jobs to move; will retry")
			return
		}
		for _, mv := range moves {
			o.moveJob(mv)
		}
	})
}

// movableJobs returns the selected jobs that have not ended and whose tasks occupy
// no VM, in the order of their first task, and at most maxMovedJobs.
func (o *owner) movableJobs(wanted func(job string) bool) []jobMove {
	byJob := map[string][]shard.TaskID{}
	open, occupiesVM := map[string]bool{}, map[string]bool{}
	var ordered []string
	for _, id := range o.taskIDs() {
		t := o.state.Tasks[id]
		if byJob[t.Spec.Job] == nil {
			ordered = append(ordered, t.Spec.Job)
		}
		byJob[t.Spec.Job] = append(byJob[t.Spec.Job], id)
		open[t.Spec.Job] = open[t.Spec.Job] || !charts.Task.IsFinal(t.State)
		occupiesVM[t.Spec.Job] = occupiesVM[t.Spec.Job] || t.OccupiesVM()
	}
	var jobs []jobMove
	for _, job := range ordered {
		if wanted(job) && open[job] && !occupiesVM[job] && len(jobs) < maxMovedJobs {
			member := o.state.Tasks[byJob[job][0]].Spec.Member
			jobs = append(jobs, jobMove{job: Job{Member: member, Key: job[len(member)+1:]}, tasks: byJob[job]})
		}
	}
	return jobs
}

// readMoves fills in the jobs from their rows.
func (o *owner) readMoves(ctx context.Context, moves []jobMove) ([]jobMove, error) {
	keys := make([]string, len(moves))
	for i, mv := range moves {
		keys[i] = platform.JobKey(mv.job.Member, mv.job.Key)
	}
	rows, err := o.opts.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &moves[i].job); err != nil {
			return nil, err
		}
	}
	return moves, nil
}

// moveJob removes a job from the shard's state and puts it into another shard's
// inbox, in one transaction with the job's row.
func (o *owner) moveJob(mv jobMove) {
	targets := o.feasibleElsewhere(mv.job)
	if len(targets) == 0 && len(o.vms) == 0 {
		targets = o.manager.shardsWithVMs()
	}
	if len(targets) == 0 {
		return
	}
	var tasks []shard.Task
	for _, id := range mv.tasks {
		t := o.state.Tasks[id]
		if t == nil || t.OccupiesVM() {
			return
		}
		tasks = append(tasks, *t)
	}
	mv.job.Shard = targets[xxhash.Sum64String(mv.job.ID())%uint64(len(targets))]
	row, errRow := json.Marshal(mv.job)
	msg, errMsg := json.Marshal(inboxMessage{Job: mv.job, Moved: tasks})
	if errRow != nil || errMsg != nil {
		o.log.WithField("event", "move_failed").Error(mv.job.ID())
		return
	}
	for _, id := range mv.tasks {
		o.record(shard.Record{Event: shard.RecordMove, Task: id})
		delete(o.endedAt, id)
	}
	o.puts = append(o.puts,
		platform.Put{Key: platform.JobKey(mv.job.Member, mv.job.Key), Value: row},
		platform.Put{Key: platform.InboxKey(mv.job.Shard, mv.job.Member, mv.job.Key), Value: msg})
}

// shardsWithVMs returns the names of the shards that have VMs, sorted.
func (m *Manager) shardsWithVMs() []string {
	return slices.DeleteFunc(slices.Clone(m.names()), func(name string) bool { return len(m.owners[name].vms) == 0 })
}
