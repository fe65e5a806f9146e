// Package batch accepts jobs and runs their tasks on the shards of workers
// that this daemon owns.
package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/shard"
	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of one job.
const (
	maxTasksPerJob  = 1000
	retryAfterStore = 2 * time.Second
)

// Job is what a caller submits.
type Job struct {
	Member string `json:"member"`
	// Key makes the submission idempotent.
	Key       string              `json:"key"`
	Kind      string              `json:"kind"`
	Tasks     int                 `json:"tasks"`
	Resources inventory.Resources `json:"resources"`
	// RunTimeMS is the declared run time of one task in milliseconds.
	RunTimeMS int64 `json:"run_time_ms"`
	// DeadlineUnixMS is when the job should be done, in milliseconds since 1970 UTC.
	DeadlineUnixMS int64    `json:"deadline_unix_ms"`
	Urgent         bool     `json:"urgent,omitempty"`
	Avoid          []string `json:"avoid,omitempty"`
	// Payload is handed to the workers unread.
	Payload string `json:"payload,omitempty"`
	// Shard is chosen at acceptance.
	Shard string `json:"shard,omitempty"`
}

// ID names the job: its member, a colon, and its key.
func (j Job) ID() string { return j.Member + ":" + j.Key }

// TaskStatus is the state of one task.
type TaskStatus struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	VM      string `json:"vm,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// JobStatus is a job with the states of its tasks.
type JobStatus struct {
	Job   Job          `json:"job"`
	Tasks []TaskStatus `json:"tasks"`
}

// Check returns every mistake in the job, joined; each is an *inventory.FieldError.
func (j Job) Check() error {
	var errs []error
	add := func(field, value, reason string) {
		errs = append(errs, &inventory.FieldError{Field: field, Value: value, Reason: reason})
	}
	if j.Key == "" {
		add("key", j.Key, "must not be empty")
	}
	if j.Tasks < 1 || j.Tasks > maxTasksPerJob {
		add("tasks", strconv.Itoa(j.Tasks), fmt.Sprintf("must be between 1 and %d", maxTasksPerJob))
	}
	if j.Resources.MilliProcessors <= 0 {
		add("resources.milli_processors", strconv.FormatInt(j.Resources.MilliProcessors, 10), "must be positive")
	}
	if j.RunTimeMS <= 0 {
		add("run_time_ms", strconv.FormatInt(j.RunTimeMS, 10), "must be positive")
	}
	return errors.Join(errs...)
}

// specs returns the job's tasks.
func (j Job) specs() []shard.Spec {
	specs := make([]shard.Spec, j.Tasks)
	for i := range specs {
		specs[i] = shard.Spec{
			ID:             shard.TaskID(j.ID() + "/" + strconv.Itoa(i)),
			Job:            j.ID(),
			Member:         j.Member,
			Kind:           j.Kind,
			Resources:      j.Resources,
			RunTimeMS:      j.RunTimeMS,
			DeadlineUnixMS: j.DeadlineUnixMS,
			Urgent:         j.Urgent,
			Avoid:          j.Avoid,
			Payload:        j.Payload,
		}
	}
	return specs
}

// Submit accepts a job, or returns the job that was accepted before under the
// same key. It runs on any goroutine. The error is a *verdict.RequestError.
func Submit(ctx context.Context, table platform.Table, shards []string, job Job) (Job, error) {
	if len(shards) == 0 {
		return Job{}, verdict.Refuse(verdict.CodeNoTarget, http.StatusServiceUnavailable, retryAfterStore, "no rack has workers")
	}
	job.Shard = shards[xxhash.Sum64String(job.ID())%uint64(len(shards))]
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

// readBack tells an earlier submission, or one whose reply was lost, from a
// failed one.
func readBack(ctx context.Context, table platform.Table, job Job, cause error) (Job, error) {
	stored, err := ReadJob(ctx, table, job.Member, job.Key)
	if err != nil {
		return Job{}, storeError(verdict.MayHaveRun, errors.Join(cause, err))
	}
	if stored == nil {
		return Job{}, storeError(verdict.NotRun, cause)
	}
	job.Shard = stored.Shard
	if !same(*stored, job) {
		return Job{}, verdict.Refuse(verdict.CodeKeyReused, http.StatusUnprocessableEntity, 0,
			"key %q of member %q belongs to another job", job.Key, job.Member)
	}
	return *stored, nil
}

func same(a, b Job) bool {
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
