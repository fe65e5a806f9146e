// Package job defines batch and long-running jobs: a job consists of steps, and a
// step of tasks. It validates submitted jobs and makes no scheduling decisions.
package job

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// State is the state of a job as reported to callers.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state of a job never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Resources are the resources that a task requests or a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"cpu,omitempty"`
	// MemoryMB is in units of 1,000,000 bytes or 1,048,576; the platform decides.
	MemoryMB int64 `json:"mem,omitempty"`
	// GPU is the number of accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

// Fits reports whether no resource in r exceeds the one in free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Step is a group of identical tasks.
type Step struct {
	Tasks     int       `json:"tasks"`
	Resources Resources `json:"res"`
	// EstimateMS is the declared run time of a task in milliseconds.
	EstimateMS int64 `json:"est,omitempty"`
	// After lists the indexes of the earlier steps whose tasks must all have completed
	// first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set when tasks save their progress and can be resumed.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang is set when all tasks must run at the same time.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set when the tasks run slower on more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the worker must have, or empty.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the tasks' data, or empty.
	DataRack string `json:"rack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; zero means no limit.
	MaxPerWorker int `json:"spread,omitempty"`
	// Speculative is set when several copies of a task may run at the same time.
	Speculative bool `json:"spec,omitempty"`
	// Service is set when tasks run until the job is cancelled.
	Service bool `json:"service,omitempty"`
	// Image is the name of the image that the tasks run. Tasks of one image are
	// assumed to behave alike.
	Image string `json:"image,omitempty"`
	// TargetLatencyMS bounds the tail latency of a service task; zero means no bound.
	TargetLatencyMS float64 `json:"target,omitempty"`
	// BestEffort is set when the tasks use processors that other tasks leave idle, so
	// that MilliCPU is not subtracted from a worker's free resources.
	BestEffort bool `json:"best_effort,omitempty"`
	// MaxUnavailable bounds how many service tasks the scheduler may make unavailable at
	// a time; negative means no limit.
	MaxUnavailable int `json:"max_away"`
}

// Schedule repeats a job's steps. The zero value runs them once, immediately.
type Schedule struct {
	// Times is the number of occurrences; zero means no schedule.
	Times int `json:"times,omitempty"`
	// FirstUnixMS is when the first occurrence is due.
	FirstUnixMS int64 `json:"first,omitempty"`
	// IntervalMS is the time between the due times of two occurrences.
	IntervalMS int64 `json:"every,omitempty"`
}

// Spec is the specification of a submitted job.
type Spec struct {
	ID string `json:"id"`
	// Queue is the name of the queue that the job was submitted to.
	Queue string `json:"queue"`
	// Payload is passed to the workers unchanged.
	Payload  string   `json:"payload,omitempty"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
	// AcceptedUnixMS is when a daemon accepted the job, by its wall clock, in
	// milliseconds since 1970 UTC. It orders jobs and affects no other decision.
	AcceptedUnixMS int64 `json:"accepted"`
	// QueueSettings are those of the queue when the job was accepted, or later ones. They
	// are nil if a daemon of an earlier version has stored the job.
	QueueSettings *QueueSettings `json:"queue_settings,omitempty"`
}

// QueueSettings are the settings of a queue as of a version of the operators' configuration.
type QueueSettings struct {
	Version int64 `json:"version"`
	Queue   Queue `json:"queue"`
}

// FieldError reports an invalid field of a submitted job.
type FieldError struct {
	Field string
	Value any
	Want  string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("job field %s is %v, want %s", e.Field, e.Value, e.Want)
}

// PeakMilliCPU returns the processors that the widest step requests, in thousandths of a
// core: those that count against the capacity of workers, and those of best-effort tasks.
func (s Spec) PeakMilliCPU() (reserved, bestEffort int64) {
	for _, step := range s.Steps {
		width := int64(step.Tasks) * step.Resources.MilliCPU
		if step.BestEffort {
			bestEffort = max(bestEffort, width)
		} else {
			reserved = max(reserved, width)
		}
	}
	return reserved, bestEffort
}

// MemoryBeside returns the memory, in the unit of Resources.MemoryMB, of the widest step that
// is not best-effort. reserved is the request of that step, as PeakMilliCPU returns it.
func (s Spec) MemoryBeside(reserved int64) int64 {
	memory := int64(0)
	for _, step := range s.Steps {
		if !step.BestEffort && int64(step.Tasks)*step.Resources.MilliCPU == reserved {
			memory = max(memory, int64(step.Tasks)*step.Resources.MemoryMB)
		}
	}
	return memory
}

// Limits of a job. They keep its rows within the store's size limit.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 1000
	maxIDBytes      = 100
	// maxOccurrences keeps the numbers of a job's tasks within an int.
	maxOccurrences = 1 << 40
)

// Validate returns a *FieldError for the first invalid field.
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
	if s.Schedule.Times > maxOccurrences {
		return &FieldError{"schedule.times", s.Schedule.Times, fmt.Sprintf("up to %d", maxOccurrences)}
	}
	if s.Schedule.Times > 1 && s.Schedule.IntervalMS <= 0 {
		return &FieldError{"schedule.interval", s.Schedule.IntervalMS, "more than zero"}
	}
	return nil
}

func (s Step) validate(index int) error {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", index, name) }
	if s.Tasks < 1 || s.Tasks > MaxTasksPerStep {
		return &FieldError{field("tasks"), s.Tasks, fmt.Sprintf("1 to %d", MaxTasksPerStep)}
	}
	if s.Resources.MilliCPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.GPU < 0 {
		return &FieldError{field("resources"), s.Resources, "no negative amount"}
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return &FieldError{field("after"), dependency, "the number of an earlier step"}
		}
	}
	return nil
}

// Occurrences returns the number of times that the steps run.
func (s Spec) Occurrences() int { return max(1, s.Schedule.Times) }

// DueUnixMS returns when an occurrence is due, in milliseconds since 1970 UTC, or
// zero if immediately.
func (s Spec) DueUnixMS(occurrence int) int64 {
	if s.Schedule.Times == 0 {
		return 0
	}
	first, interval := s.Schedule.FirstUnixMS, s.Schedule.IntervalMS
	if interval > 0 && int64(occurrence) > (math.MaxInt64-max(0, first))/interval {
		return math.MaxInt64
	}
	return first + int64(occurrence)*interval
}

// Queue is the configuration of a queue.
type Queue struct {
	Name string
	// Pool is the name of the worker pool that runs the queue's tasks.
	Pool string
	// GuardsCapacity is set if the pool's workers refuse tasks that do not fit. Others run
	// whatever they are told to.
	GuardsCapacity bool
	// Priority orders the queues; zero is the highest.
	Priority int
	// MaxAttempts bounds the failed attempts of a task; zero means no limit.
	MaxAttempts int
	// Stretch and Slack define a job's latency objective: Stretch times its critical
	// path, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Advisor decides which workers may run a step; nil if all may.
	Advisor *Advisor
}

// Advisor describes an advisor that decides which workers may run a step: the time
// that its decisions take and how long they are valid.
type Advisor struct {
	// DecisionTime is the fixed time of one decision, and PerWorkerTime the time for
	// each worker that it covers.
	DecisionTime  time.Duration
	PerWorkerTime time.Duration
	// TicketTTL is how long a ticket, the permission to run a step on a worker, is
	// valid.
	TicketTTL time.Duration
}

// TaskID identifies a task within the cell.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name as used by the workers.
func (t TaskID) String() string {
	name := make([]byte, 0, len(t.Job)+maxNumbersBytes)
	name = append(name, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		name = append(name, '.')
		name = strconv.AppendInt(name, int64(n), 10)
	}
	return string(name)
}

// ParseTaskID returns the ID of the task with a name that TaskID.String returned. It reports false
// if the name is not valid.
func ParseTaskID(name string) (TaskID, bool) {
	var id TaskID
	rest := name
	for _, n := range [...]*int{&id.Index, &id.Step, &id.Occurrence} {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			return TaskID{}, false
		}
		number, err := strconv.Atoi(rest[dot+1:])
		if err != nil || number < 0 {
			return TaskID{}, false
		}
		*n, rest = number, rest[:dot]
	}
	id.Job = rest
	return id, true
}

// maxNumbersBytes is the space for the numbers in a task's name. Longer names are
// valid, but need a second allocation.
const maxNumbersBytes = 16

// RemainingCriticalPath returns, for each step, the declared run time of the longest
// chain of dependent steps that begins with it.
func (s Spec) RemainingCriticalPath() []time.Duration {
	remaining := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		remaining[i] += time.Duration(s.Steps[i].EstimateMS) * time.Millisecond
		for _, dependency := range s.Steps[i].After {
			remaining[dependency] = max(remaining[dependency], remaining[i])
		}
	}
	return remaining
}
