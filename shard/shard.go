// Package shard holds the state of one shard of workers: the resources
// committed on each VM, the state of every task, and the leases.
//
// A State changes only by applying records. The owner writes the records to the
// table service before it applies them; a new owner recovers the same state by
// applying the stored records in order.
package shard

import (
	"fmt"
	"slices"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/inventory"
)

// TaskID names a task: its job's ID, a slash, and its index in the job.
type TaskID string

// Spec is a task as the caller submitted it.
type Spec struct {
	ID     TaskID `json:"id"`
	Job    string `json:"job"`
	Member string `json:"member"`
	// Kind groups tasks that behave alike, so that they share learned
	// estimates.
	Kind      string              `json:"kind"`
	Resources inventory.Resources `json:"resources"`
	// RunTimeMS is the declared run time in milliseconds.
	RunTimeMS int64 `json:"run_time_ms"`
	// DeadlineUnixMS is when the task should have finished, in milliseconds
	// since 1970 UTC.
	DeadlineUnixMS int64 `json:"deadline_unix_ms"`
	Urgent         bool  `json:"urgent,omitempty"`
	// Avoid lists services that the task must not share a VM with.
	Avoid []string `json:"avoid,omitempty"`
	// Payload is passed to the worker without interpretation.
	Payload string `json:"payload,omitempty"`
}

// Record is one change of a shard's state.
type Record struct {
	// Event is an event of the task chart, or RecordAccept for a new task.
	Event chart.Event `json:"event"`
	Task  TaskID      `json:"task"`
	// Spec is set on RecordAccept.
	Spec *Spec `json:"spec,omitempty"`
	// Moved is set instead of Spec when the task comes from another shard.
	Moved *Task `json:"moved,omitempty"`
	// VM is set on a start, RecordClaim and RecordFree, Attempt on a start.
	VM      string `json:"vm,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	// Worker is the address of the VM's worker, set on a start.
	Worker string `json:"worker,omitempty"`
	// StartByUnixMS is set on a start: a worker refuses the start after this
	// time, in milliseconds since 1970 UTC.
	StartByUnixMS int64 `json:"start_by_unix_ms,omitempty"`
	// Checkpoint is set when a stopped task saved one.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Reason says why the task changed its state; it may be empty.
	Reason string `json:"reason,omitempty"`
}

// Events of records that are not in the task chart.
const (
	// RecordAccept adds a task.
	RecordAccept chart.Event = "accept"
	// RecordForget removes a task that has ended.
	RecordForget chart.Event = "forget"
	// RecordMove removes a task that has moved to another shard.
	RecordMove chart.Event = "move"
	// RecordClaim adds a VM to the shard, RecordFree removes it.
	RecordClaim chart.Event = "claim"
	RecordFree  chart.Event = "free"
)

// Task is the state of one task.
type Task struct {
	Spec    Spec        `json:"spec"`
	State   chart.State `json:"state"`
	VM      string      `json:"vm,omitempty"`
	Attempt int         `json:"attempt,omitempty"`
	// Worker is the address at which the attempt was started.
	Worker string `json:"worker,omitempty"`
	// StartByUnixMS is the time after which the attempt can no longer start, in
	// milliseconds since 1970 UTC.
	StartByUnixMS int64 `json:"start_by_unix_ms,omitempty"`
	// Checkpoint is what the next attempt resumes from, or empty.
	Checkpoint string `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
	// FailedOn lists the VMs on which the task has failed, each once.
	FailedOn []string `json:"failed_on,omitempty"`
	// Failures counts the failed attempts that were retried.
	Failures int `json:"failures,omitempty"`
}

// recordFailure records a failed attempt.
func (t *Task) recordFailure() {
	t.Failures++
	if !slices.Contains(t.FailedOn, t.VM) {
		t.FailedOn = append(t.FailedOn, t.VM)
	}
}

// OccupiesVM reports whether the task occupies its VM.
func (t Task) OccupiesVM() bool {
	return t.State == charts.TaskRunning || t.State == charts.TaskStopping || t.State == charts.TaskCancelling
}

// State is the state of one shard. It is not safe for concurrent use.
type State struct {
	Tasks map[TaskID]*Task
	// Committed is the sum of the resources of the tasks that occupy each VM,
	// by VM name.
	Committed map[string]inventory.Resources
	// VMs are the VMs that the shard has claimed.
	VMs map[string]bool
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Tasks: map[TaskID]*Task{}, Committed: map[string]inventory.Resources{}, VMs: map[string]bool{}}
}

// RecordError reports a record that cannot be applied to the state.
type RecordError struct {
	Record Record
	Reason string
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %q of task %q: %s", e.Record.Event, e.Record.Task, e.Reason)
}

// Apply applies one record to the state. On error the state is unchanged.
func (s *State) Apply(r Record) error {
	switch r.Event {
	case RecordAccept:
		return s.accept(r)
	case RecordClaim:
		s.VMs[r.VM] = true
		return nil
	case RecordFree:
		return s.free(r)
	}
	t, ok := s.Tasks[r.Task]
	if !ok {
		return &RecordError{r, "task does not exist in the shard"}
	}
	if r.Event == RecordForget || r.Event == RecordMove {
		return s.remove(t, r)
	}
	next, err := charts.Task.Next(t.State, r.Event)
	if err != nil {
		return &RecordError{r, err.Error()}
	}
	if r.Event == charts.TaskStart {
		return s.start(t, r, next)
	}
	if r.Event == charts.TaskRetry {
		t.recordFailure()
	}
	occupied := t.OccupiesVM()
	t.State = next
	t.Reason = r.Reason
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
	if occupied && !t.OccupiesVM() {
		s.release(t)
	}
	return nil
}

func (s *State) accept(r Record) error {
	if r.Spec == nil && r.Moved == nil {
		return &RecordError{r, "spec is missing"}
	}
	if _, ok := s.Tasks[r.Task]; ok {
		return &RecordError{r, "task already exists"}
	}
	if r.Moved == nil {
		s.Tasks[r.Task] = &Task{Spec: *r.Spec, State: charts.Task.Initial()}
		return nil
	}
	if r.Moved.OccupiesVM() {
		return &RecordError{r, "moved task occupies a VM"}
	}
	moved := *r.Moved
	s.Tasks[r.Task] = &moved
	return nil
}

func (s *State) free(r Record) error {
	if _, ok := s.Committed[r.VM]; ok {
		return &RecordError{r, fmt.Sprintf("VM %q has tasks", r.VM)}
	}
	delete(s.VMs, r.VM)
	return nil
}

func (s *State) remove(t *Task, r Record) error {
	if t.OccupiesVM() || r.Event == RecordForget && !charts.Task.IsFinal(t.State) {
		return &RecordError{r, fmt.Sprintf("task is in state %q", t.State)}
	}
	delete(s.Tasks, r.Task)
	return nil
}

func (s *State) start(t *Task, r Record, next chart.State) error {
	if r.Attempt != t.Attempt+1 {
		return &RecordError{r, fmt.Sprintf("attempt %d does not follow attempt %d", r.Attempt, t.Attempt)}
	}
	t.State, t.VM, t.Worker = next, r.VM, r.Worker
	t.Attempt, t.StartByUnixMS = r.Attempt, r.StartByUnixMS
	s.Committed[r.VM] = s.Committed[r.VM].Add(t.Spec.Resources)
	return nil
}

func (s *State) release(t *Task) {
	remaining := s.Committed[t.VM].Sub(t.Spec.Resources)
	if remaining == (inventory.Resources{}) {
		delete(s.Committed, t.VM)
	} else {
		s.Committed[t.VM] = remaining
	}
	t.VM, t.Worker = "", ""
}
