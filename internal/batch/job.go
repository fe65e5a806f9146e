// Package batch accepts jobs and runs their tasks on the shards of workers that this
// daemon owns.
package batch

import (
	"strconv"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/shard"
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
	// DeadlineUnixMS is when the job should have finished, in milliseconds since 1970
	// UTC; zero means no deadline.
	DeadlineUnixMS int64    `json:"deadline_unix_ms"`
	Urgent         bool     `json:"urgent,omitempty"`
	Avoid          []string `json:"avoid,omitempty"`
	// Payload is passed to the workers without interpretation.
	Payload string `json:"payload,omitempty"`
	// Shard is set when the job is accepted.
	Shard string `json:"shard,omitempty"`
}

// ID returns the job's ID: its member, a colon, and its key.
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

// PendingTasks returns the job's tasks as pending, for a job that its shard's owner
// has not accepted yet.
func (j Job) PendingTasks() []TaskStatus {
	tasks := make([]TaskStatus, j.Tasks)
	for i := range tasks {
		tasks[i] = TaskStatus{ID: j.taskID(i), State: string(charts.Task.Initial()), Reason: "waits for the owner of the shard"}
	}
	return tasks
}

func (j Job) taskID(index int) string { return j.ID() + "/" + strconv.Itoa(index) }

// JobList is one page of the accepted jobs.
type JobList struct {
	Jobs []Job `json:"jobs"`
	// Next is the position after which the list continues, or empty on the last
	// page.
	Next string `json:"next,omitempty"`
}

// specs returns the specs of the job's tasks.
func (j Job) specs() []shard.Spec {
	specs := make([]shard.Spec, j.Tasks)
	for i := range specs {
		specs[i] = shard.Spec{
			ID:             shard.TaskID(j.taskID(i)),
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
