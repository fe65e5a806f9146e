// Package job describes batch and long-running work: jobs made of steps, steps
// made of tasks. It checks what callers submit and makes no decisions.
package job

import (
	"fmt"
	"time"
)

// State is what callers are told of a job.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Resources are what a task needs or a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"cpu,omitempty"`
	// MemoryMB is in units of 1,000,000 bytes or 1,048,576; the platform decides.
	MemoryMB int64 `json:"mem,omitempty"`
	// GPU is a number of accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Add returns the sum of two resources.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns the difference of two resources.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Step is a number of like tasks.
type Step struct {
	Tasks     int       `json:"tasks"`
	Resources Resources `json:"res"`
	// EstimateMS is the declared run time of a task in milliseconds.
	EstimateMS int64 `json:"est,omitempty"`
	// After lists the earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set when tasks save their progress and can be resumed.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang is set when the tasks work only all together.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set when the tasks run slower on more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is one that the worker must have; empty is no demand.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the data; empty is none.
	DataRack string `json:"rack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; zero is no bound.
	MaxPerWorker int `json:"spread,omitempty"`
	// Speculative is set when copies of a task may run at the same time.
	Speculative bool `json:"spec,omitempty"`
	// Service is set when tasks run until the job is cancelled.
	Service bool `json:"service,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetLatencyMS bounds the tail latency of a service task; zero is none.
	TargetLatencyMS float64 `json:"target,omitempty"`
	// BestEffort is set when the tasks take the processors that others leave,
	// so that MilliCPU is not counted against a worker.
	BestEffort bool `json:"best_effort,omitempty"`
	// MaxUnavailable bounds how many service tasks the scheduler may take away
	// at a time; negative is no bound.
	MaxUnavailable int `json:"max_away"`
}

// Schedule repeats a job's steps. The zero value runs them once, at once.
type Schedule struct {
	// Times is the number of occurrences; zero is a job without a schedule.
	Times int `json:"times,omitempty"`
	// FirstUnixMS is when the first occurrence is due.
	FirstUnixMS int64 `json:"first,omitempty"`
	// IntervalMS lies between the due times of two occurrences.
	IntervalMS int64 `json:"every,omitempty"`
}

// Spec is a job as submitted.
type Spec struct {
	ID string `json:"id"`
	// Queue is the name of the queue that it was submitted to.
	Queue string `json:"queue"`
	// Payload is handed to the workers as it is.
	Payload  string   `json:"payload,omitempty"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
	// AcceptedUnixMS is the time of day at the entry that accepted the job. It
	// orders jobs and decides nothing else.
	AcceptedUnixMS int64 `json:"accepted"`
}

// FieldError reports a field of a submitted job that is not valid.
type FieldError struct {
	Field string
	Value any
	Want  string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("job field %s is %v, want %s", e.Field, e.Value, e.Want)
}

// Limits of a job, which keep its rows within what the store takes.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 1000
	maxIDBytes      = 100
)

// Validate returns a *FieldError for the first field that is not valid.
func (s Spec) Validate() error {
	if s.ID == "" || len(s.ID) > maxIDBytes {
		return &FieldError{"id", s.ID, fmt.Sprintf("1 to %d bytes", maxIDBytes)}
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return &FieldError{"steps", len(s.Steps), fmt.Sprintf("1 to %d steps", MaxSteps)}
	}
	for i, step := range s.Steps {
		if err := step.validate(i); err != nil {
			return err
		}
	}
	if s.Schedule.Times < 0 {
		return &FieldError{"schedule.times", s.Schedule.Times, "zero or more"}
	}
	if s.Schedule.Times > 1 && s.Schedule.IntervalMS <= 0 {
		return &FieldError{"schedule.interval", s.Schedule.IntervalMS, "more than zero"}
	}
	return nil
}

func (s Step) validate(number int) error {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", number, name) }
	if s.Tasks < 1 || s.Tasks > MaxTasksPerStep {
		return &FieldError{field("tasks"), s.Tasks, fmt.Sprintf("1 to %d", MaxTasksPerStep)}
	}
	if s.Resources.MilliCPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.GPU < 0 {
		return &FieldError{field("resources"), s.Resources, "no negative amount"}
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return &FieldError{field("after"), before, "the number of an earlier step"}
		}
	}
	return nil
}

// Occurrences returns how often the steps run.
func (s Spec) Occurrences() int { return max(1, s.Schedule.Times) }

// DueUnixMS returns when an occurrence is due, or zero if at once.
func (s Spec) DueUnixMS(occurrence int) int64 {
	if s.Schedule.Times == 0 {
		return 0
	}
	return s.Schedule.FirstUnixMS + int64(occurrence)*s.Schedule.IntervalMS
}

// Queue is what operators have set for a queue.
type Queue struct {
	Name string
	// Pool names the workers that run the queue's tasks.
	Pool string
	// Priority orders queues; zero comes first.
	Priority int
	// MaxAttempts bounds the failed runs of a task; zero is no bound.
	MaxAttempts int
	// Stretch and Slack give a job's latency objective: Stretch times its
	// longest chain of work, and Slack more.
	Stretch float64
	Slack   time.Duration
	// Advisor says which workers may run a step; nil if all may.
	Advisor *Advisor
}

// Advisor gives the costs of asking which workers may run a step.
type Advisor struct {
	DecisionTime  time.Duration
	PerWorkerTime time.Duration
	// TicketTTL is how long a ticket may be used.
	TicketTTL time.Duration
}

// TaskID names a task within the cell.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name as workers know it.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// RemainingCriticalPath returns, for each step, the declared run time of the longest chain
// of steps that begins with it.
func (s Spec) RemainingCriticalPath() []time.Duration {
	remaining := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		remaining[i] += time.Duration(s.Steps[i].EstimateMS) * time.Millisecond
		for _, before := range s.Steps[i].After {
			remaining[before] = max(remaining[before], remaining[i])
		}
	}
	return remaining
}
