package dispatch

import (
	"iter"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Task is one task of a job.
type Task struct {
	ID       job.TaskID
	Job      *Job
	Step     *job.Step
	Done     bool
	Attempt  int // highest number given so far
	Failures []int
	// Checkpoint is the last one known; empty if none.
	Checkpoint string
	Runs       []*Run
	// inherited is set for a task that a former owner may have started.
	inherited bool
	// placedOn is the worker that a former owner last recorded for the task.
	placedOn string
	// leaving is the worker that the task was last moved away from.
	leaving   string
	avoid     map[string]bool // workers that failed the task
	label     string
	notBefore time.Time
	readyAt   time.Time // when its turn was seen to have come; zero if it has not
}

// ReadySince returns when the turn of a task just started was seen to have come.
func (t *Task) ReadySince(now time.Time) time.Time {
	if t.readyAt.IsZero() {
		return now
	}
	return t.readyAt
}

// Arrived returns when the job became known to this owner.
func (j *Job) Arrived() time.Time { return j.arrived }

// name returns the task's name as workers know it.
func (t *Task) name() string { return t.label }

// Job is an open job or one that has just become final.
type Job struct {
	Spec  job.Spec
	Queue job.Queue
	State job.State
	// Started is set once any task has been started.
	Started     bool
	occurrences []*occurrence
	objective   time.Time
	arrived     time.Time
	// remaining is the longest chain of work that begins with each step.
	remaining []time.Duration
	// latestStart is when the job's longest chain must start to meet the objective.
	latestStart time.Time
	service     bool // a step runs until the job is cancelled
	prospect    prospect
	// advice is what the queue's advisor has said of steps; nil if nothing.
	advice map[stepKey]*advice
	speeds map[stepKey]stepSpeed
}

// occurrence is one run of a job's steps.
type occurrence struct {
	number int
	due    time.Time
	tasks  [][]*Task
	left   []int // tasks not done, by step
}

// allTasks yields every task of the job.
func (j *Job) allTasks() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, o := range j.occurrences {
			for _, row := range o.tasks {
				for _, t := range row {
					if !yield(t) {
						return
					}
				}
			}
		}
	}
}

// stepKey names a step of one occurrence of a job's steps.
type stepKey struct{ occurrence, step int }

func (t *Task) stepKey() stepKey { return stepKey{t.ID.Occurrence, t.ID.Step} }

// siblings returns the tasks of the task's step, itself among them.
func (t *Task) siblings() []*Task { return t.Job.occurrences[t.ID.Occurrence].tasks[t.ID.Step] }

// siblingsAway counts the other tasks of a service step that do not serve.
func (t *Task) siblingsAway() int {
	away := 0
	for _, other := range t.siblings() {
		if other != t && !other.atWork() {
			away++
		}
	}
	return away
}

func (o *occurrence) done() bool {
	for _, n := range o.left {
		if n > 0 {
			return false
		}
	}
	return true
}

// ready reports whether all predecessors of a step are done.
func (o *occurrence) ready(step *job.Step) bool {
	for _, before := range step.After {
		if o.left[before] > 0 {
			return false
		}
	}
	return true
}

// Job returns an open job, or nil.
func (e *Engine) Job(id string) *Job { return e.jobs[id] }

// setObjective works out when the job should be done.
func (j *Job) setObjective() {
	j.remaining = j.Spec.Remaining()
	chain := slices.Max(j.remaining)
	stretch := j.Queue.Stretch
	if stretch == 0 {
		stretch = 1
	}
	j.objective = j.arrived.Add(time.Duration(stretch*float64(chain)) + j.Queue.Slack)
	j.latestStart = j.objective.Add(-chain)
	j.service = slices.ContainsFunc(j.Spec.Steps, func(s job.Step) bool { return s.Service })
}

// slack returns how long a task may wait for its job to meet the objective; it
// is negative when the job is late.
func (t *Task) slack(now time.Time) time.Duration {
	return t.Job.objective.Sub(now) - t.Job.remaining[t.ID.Step]
}

// hurried reports whether a task cannot wait for a better place if its job is
// to be in time. A job that is late already loses nothing by waiting.
func (t *Task) hurried(now time.Time) bool { return t.Job.prospect == inTime && t.slack(now) < hurry }
