package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/verdict"
)

// jobRetryAfter is the Retry-After of responses to job requests when the daemon,
// the table service or the owner of a shard is unavailable.
const jobRetryAfter = 2 * time.Second

// jobs implements entry.Jobs. Accepted jobs are written to the table, and task
// states are read from the daemon that owns the job's shard. It is safe for
// concurrent use.
type jobs struct{ c *controller }

// Submit implements entry.Jobs.
func (j jobs) Submit(ctx context.Context, job batch.Job) (batch.Job, error) {
	snapshot := j.c.publisher.Load()
	if ok, reason := snapshot.Serving(time.Now()); !ok {
		return batch.Job{}, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, jobRetryAfter, "the daemon is not ready: %s", reason)
	}
	if !snapshot.Members[job.Member] {
		return batch.Job{}, verdict.Refuse(verdict.CodeUnknownMember, http.StatusForbidden, 0, "field member: member %q does not exist", job.Member)
	}
	return batch.SubmitFeasible(ctx, j.c.platform, j.c.directories.get(snapshot), job)
}

// List implements entry.Jobs.
func (j jobs) List(ctx context.Context, member, after string, limit int) (batch.JobList, error) {
	return batch.ListJobs(ctx, j.c.platform, member, after, limit)
}

// Describe implements entry.Jobs.
func (j jobs) Describe(ctx context.Context, member, key string) (batch.JobStatus, error) {
	job, err := j.read(ctx, member, key)
	if err != nil {
		return batch.JobStatus{}, err
	}
	tasks, err := j.tasks(ctx, job, false)
	if len(tasks) > 0 {
		return batch.JobStatus{Job: job, Tasks: tasks}, nil
	}
	result, readErr := batch.ReadResult(ctx, j.c.platform, job.ID())
	switch {
	case readErr == nil && len(result) > 0:
		return batch.JobStatus{Job: job, Tasks: result}, nil
	case err != nil:
		return batch.JobStatus{}, err
	}
	return batch.JobStatus{Job: job, Tasks: job.PendingTasks()}, nil
}

// Cancel implements entry.Jobs. The cancellation is stored first, so that it
// survives a failure of the shard's owner. Notifying the owner only shortens
// the delay.
func (j jobs) Cancel(ctx context.Context, member, key string) (batch.JobStatus, error) {
	job, err := j.read(ctx, member, key)
	if err != nil {
		return batch.JobStatus{}, err
	}
	if err := j.c.canceller.Cancel(ctx, job); err != nil {
		return batch.JobStatus{}, err
	}
	if _, err := j.tasks(ctx, job, true); err != nil {
		return batch.JobStatus{Job: job, Tasks: job.PendingTasks()}, nil //nolint:nilerr // the cancellation is stored for the next owner
	}
	return j.Describe(ctx, member, key)
}

// read returns an accepted job. The error is a refusal if the job does not
// exist or the table is unavailable.
func (j jobs) read(ctx context.Context, member, key string) (batch.Job, error) {
	job, err := batch.ReadJob(ctx, j.c.platform, member, key)
	if err != nil {
		e := verdict.Refuse(verdict.CodeStoreUnavailable, http.StatusServiceUnavailable, jobRetryAfter, "the table service is unavailable")
		e.Err = err
		return batch.Job{}, e
	}
	if job == nil {
		return batch.Job{}, verdict.Refuse(verdict.CodeNotFound, http.StatusNotFound, 0, "job %q of member %q does not exist", key, member)
	}
	return *job, nil
}

// tasks returns the job's tasks from this daemon if it owns the shard, or else
// from the first peer that does. With cancel set, the owner cancels the job.
func (j jobs) tasks(ctx context.Context, job batch.Job, cancel bool) ([]batch.TaskStatus, error) {
	var tasks []batch.TaskStatus
	var owned bool
	var peers []string
	err := j.c.loop.Do(ctx, func() {
		tasks, owned = j.c.batch.JobTasks(job.Shard, job.ID(), cancel)
		peers = j.c.peerAddresses(time.Now())
	})
	if err != nil || owned {
		return tasks, err
	}
	req := &peerpb.Request{Kind: &peerpb.Request_Job{Job: &peerpb.JobRequest{Shard: job.Shard, Job: job.ID(), Cancel: cancel}}}
	for _, address := range peers {
		resp, err := j.c.pool.Call(ctx, address, req)
		if err == nil {
			return fromProto(resp.GetJob()), nil
		}
	}
	return nil, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, jobRetryAfter, "shard %q has no owner at the moment", job.Shard)
}

// handleJob answers a peer's request for a job's tasks, which it refuses if
// this daemon does not own the shard. It may be called on any goroutine.
func (c *controller) handleJob(ctx context.Context, r *peerpb.JobRequest) *peerpb.Response {
	var tasks []batch.TaskStatus
	var owned bool
	err := c.loop.Do(ctx, func() { tasks, owned = c.batch.JobTasks(r.GetShard(), r.GetJob(), r.GetCancel()) })
	if err != nil {
		return peer.Refuse("%v", err)
	}
	if !owned {
		return peer.Refuse("shard %q is not owned here", r.GetShard())
	}
	return &peerpb.Response{Kind: &peerpb.Response_Job{Job: toProto(tasks)}}
}

func toProto(tasks []batch.TaskStatus) *peerpb.JobReply {
	reply := &peerpb.JobReply{}
	for _, t := range tasks {
		reply.Tasks = append(reply.Tasks, &peerpb.JobTask{Id: t.ID, State: t.State, Vm: t.VM, Attempt: uint32(t.Attempt), Reason: t.Reason})
	}
	return reply
}

func fromProto(reply *peerpb.JobReply) []batch.TaskStatus {
	var tasks []batch.TaskStatus
	for _, t := range reply.GetTasks() {
		tasks = append(tasks, batch.TaskStatus{ID: t.GetId(), State: t.GetState(), VM: t.GetVm(), Attempt: int(t.GetAttempt()), Reason: t.GetReason()})
	}
	return tasks
}
