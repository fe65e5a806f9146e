package batch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// retryAfterStore is the Retry-After of responses to requests that failed at the
// table service.
const retryAfterStore = 2 * time.Second

// Submit accepts a job on one of the shards, or returns the job that was accepted
// before under the same key. It is safe for concurrent use. The error is a
// *verdict.RequestError.
func Submit(ctx context.Context, table platform.Table, shards []string, job Job) (Job, error) {
	if len(shards) == 0 {
		return Job{}, verdict.Refuse(verdict.CodeNoTarget, http.StatusServiceUnavailable, retryAfterStore, "no rack has workers")
	}
	names := sampleShards(job.ID(), shards)
	loads, err := readLoads(ctx, table, names)
	if err != nil {
		return Job{}, storeError(verdict.NotRun, err)
	}
	job.Shard = chooseShard(job.ID(), names, loads)
	value, err := json.Marshal(job)
	if err != nil {
		return Job{}, err
	}
	key := platform.JobKey(job.Member, job.Key)
	_, err = table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key}},
		Puts: []platform.Put{
			{Key: key, Value: value},
			{Key: platform.InboxKey(job.Shard, job.Member, job.Key), Value: value},
		},
	})
	if err == nil {
		return job, nil
	}
	return readBack(ctx, table, job, err)
}

// SubmitFeasible accepts a job on a shard of the directory that could run it. A job
// that was accepted before is returned even if no shard could run it any more.
func SubmitFeasible(ctx context.Context, table platform.Table, d *Directory, job Job) (Job, error) {
	shards, err := d.Feasible(job)
	if err == nil {
		return Submit(ctx, table, shards, job)
	}
	refusal := verdict.Refuse(verdict.CodeBadRequest, http.StatusUnprocessableEntity, 0, "the job can never run: %v", err)
	stored, readErr := ReadJob(ctx, table, job.Member, job.Key)
	if readErr != nil || stored == nil {
		return Job{}, refusal
	}
	return matchStored(*stored, job)
}

// readBack determines the outcome of a failed commit. It returns the stored job if
// the same job was accepted, by an earlier submission or by this one with a lost
// reply.
func readBack(ctx context.Context, table platform.Table, job Job, cause error) (Job, error) {
	stored, err := ReadJob(ctx, table, job.Member, job.Key)
	if err != nil {
		return Job{}, storeError(verdict.MayHaveRun, errors.Join(cause, err))
	}
	if stored == nil {
		return Job{}, storeError(commitVerdict(cause), cause)
	}
	return matchStored(*stored, job)
}

// commitVerdict returns the verdict on a failed write: whether it may still take
// effect.
func commitVerdict(err error) verdict.Verdict {
	var unavailable *platform.UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.Verdict
	}
	return verdict.NotRun
}

// matchStored returns the stored job if the submitted one equals it.
func matchStored(stored, job Job) (Job, error) {
	job.Shard = stored.Shard
	if !sameJob(stored, job) {
		return Job{}, verdict.Refuse(verdict.CodeKeyReused, http.StatusUnprocessableEntity, 0,
			"key %q of member %q belongs to another job", job.Key, job.Member)
	}
	return stored, nil
}

func sameJob(a, b Job) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// ReadJob returns an accepted job, or nil if there is none.
func ReadJob(ctx context.Context, table platform.Table, member, key string) (*Job, error) {
	rows, err := table.Get(ctx, platform.JobKey(member, key))
	if err != nil {
		return nil, err
	}
	if rows[0].Version == 0 {
		return nil, nil
	}
	var job Job
	if err := json.Unmarshal(rows[0].Value, &job); err != nil {
		return nil, err
	}
	return &job, nil
}

// ListJobs returns a page of at most limit accepted jobs in the order of member and
// key, of one member or of all if member is empty. The page starts after the given
// position, the Next of an earlier page.
func ListJobs(ctx context.Context, table platform.Table, member, after string, limit int) (JobList, error) {
	prefix := platform.JobPrefix
	if member != "" {
		prefix += member + "/"
	}
	if after != "" {
		after = platform.JobPrefix + after
	}
	rows, err := table.Scan(ctx, prefix, after, limit)
	if err != nil {
		return JobList{}, storeError(verdict.NotRun, err)
	}
	list := JobList{Jobs: []Job{}}
	for _, row := range rows {
		var job Job
		if err := json.Unmarshal(row.Value, &job); err != nil {
			return JobList{}, storeError(verdict.NotRun, err)
		}
		list.Jobs = append(list.Jobs, job)
	}
	if len(rows) == limit {
		list.Next = rows[len(rows)-1].Key[len(platform.JobPrefix):]
	}
	return list, nil
}

func storeError(v verdict.Verdict, err error) error {
	return &verdict.RequestError{
		Code:       verdict.CodeStoreUnavailable,
		Message:    "the table service is unavailable",
		Verdict:    v,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfterStore,
		Err:        err,
	}
}
