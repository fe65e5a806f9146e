// Package dispatch decides which task of which job runs on which worker.
//
// An Engine holds what one cell's owner believes: open jobs, workers and the
// runs on them. Events go in through its methods, each with the time of the
// steady clock; orders and changed jobs come out of Take. It does no input or
// output, starts no goroutine and is not safe for concurrent use.
package dispatch

import (
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Options are the bounds that the platform sets for an installation.
type Options struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StartWindow is how long after it is given a start order may be carried out.
	StartWindow time.Duration
	// MaxViolation is how long a service may be over its target because of others.
	MaxViolation time.Duration
}

// clockRate is the slowest that a worker's clock may run against ours; the
// platform allows 2%.
const clockRate = 0.98

// RunState is what is known of a run.
type RunState int

// States of a run.
const (
	// RunStarting means that the start order has no response yet.
	RunStarting RunState = iota
	// RunUnknown means that the start order got no response: the run may
	// exist, or may come to exist until the order's time limit.
	RunUnknown
	// RunActive means that the worker has confirmed the run.
	RunActive
)

// Run is one attempt of a task on a worker.
type Run struct {
	Task    *Task
	Worker  *Worker
	Attempt int
	State   RunState
	// Ticket is the advisor's permission; empty if the queue needs none.
	Ticket string
	// FirstOfJob is set for the first run of any task of the job, under this owner.
	FirstOfJob bool
	// ConfirmedLimit is the percentage at which the run may work, as last confirmed.
	ConfirmedLimit int
	// Progress is the percentage of the work that is done, as last listed; a
	// service task serves when it is 100.
	Progress int
	// Metric is the tail latency in milliseconds for a service task and the
	// processors in use for others, as last listed.
	Metric float64

	orderedAt   time.Time
	confirmedAt time.Time
	notAfterMS  int64
	stopping    bool
	stopReason  StopReason
	stopSent    bool // a stop order is on its way
	stoppedAt   time.Time
	missing     int  // listings in a row that lacked the run
	listed      bool // by the worker's present life
	// progressAt is when the progress last changed, and progressFrom what it was
	// at sampledAt, from which the speed is measured.
	progressAt, sampledAt time.Time
	progressFrom          int

	limit  int  // the percentage at which the run should work
	pacing bool // a throttle order is on its way
}

// Engine is the state of a cell's owner.
type Engine struct {
	options Options
	jobs    map[string]*Job
	tasks   map[string]*Task // of open jobs, by name
	workers map[string]*Worker
	// final are jobs that became final in this engine's life: late news of them
	// must not begin them anew.
	final  map[string]time.Time
	queues map[string]job.Queue
	// silent are workers that a former owner may have left tasks on and that
	// have not been heard of, with the time when those tasks are gone.
	silent map[string]time.Time
	// tookOver is when the engine was told to expect runs of a former owner.
	tookOver     time.Time
	interference interference
	noRoom       noRoom
	// strayTasks counts the listed runs of tasks that have no record of them.
	strayTasks map[string]int
	sorted     []*Job // the open jobs as of the last plan
	// shared is set once best-effort tasks have been started.
	shared         bool
	consolidatedAt time.Time
	openQuestions  int // of the advisor
	// now is the time of the last plan.
	now time.Time
	out Output
}

// Output is what the owner has to do.
type Output struct {
	Starts         []*Run
	Stops          []*Run
	OrphanRuns     []OrphanRun
	Throttles      []Throttle
	AdviceRequests []AdviceRequest
	// Changed are jobs whose progress is to be committed. The value is true
	// when an end is among the changes, false when the commit may wait.
	Changed map[*Job]bool
	// Finished are jobs that have become final.
	Finished []*Job
}

// OrphanRun is a run that must not be, and whose task has no record of it.
type OrphanRun struct {
	Worker  *Worker
	Task    string
	Attempt int
}

// Throttle limits a run to a percentage of its processors.
type Throttle struct {
	Run     *Run
	Percent int
}

// NewEngine returns an engine without jobs and workers.
func NewEngine(o Options) *Engine {
	return &Engine{
		options: o,
		jobs:    map[string]*Job{},
		tasks:   map[string]*Task{},
		workers: map[string]*Worker{},
		final:   map[string]time.Time{},
		queues:  map[string]job.Queue{},
		silent:  map[string]time.Time{},

		interference: newInterference(),
		noRoom:       noRoom{},
		strayTasks:   map[string]int{},

		out: Output{Changed: map[*Job]bool{}},
	}
}

// TakeOutput returns the orders and changes since the last call.
func (e *Engine) TakeOutput() Output {
	out := e.out
	e.out = Output{Changed: map[*Job]bool{}}
	return out
}

// Jobs returns all open jobs; the caller must not change them.
func (e *Engine) Jobs() map[string]*Job { return e.jobs }

// SetQueues takes in the operators' queues. A queue that is gone keeps its last
// settings for the jobs that it has left.
func (e *Engine) SetQueues(queues []job.Queue) {
	for _, q := range queues {
		e.queues[q.Name] = q
	}
	for _, j := range e.jobs {
		if q, ok := e.queues[j.Spec.Queue]; ok {
			j.Queue = q
		}
	}
}

// endedRetention is how long an ended job is remembered. Late news of a job
// comes within seconds of its end, and the store's rows are gone by then.
const endedRetention = 5 * time.Minute

// Add takes in an accepted job. A job that is known already is left as it is.
// It returns nil for a job that has ended.
func (e *Engine) Add(spec job.Spec, now time.Time, wallMS int64) *Job {
	if j := e.jobs[spec.ID]; j != nil {
		return j
	}
	if _, ended := e.final[spec.ID]; ended {
		return nil
	}
	j := &Job{Spec: spec, Queue: e.queues[spec.Queue], State: job.Queued, arrived: now}
	// A former owner that does not know yet may have been told of it, too.
	contested := len(e.silent) > 0 && now.Sub(e.tookOver) < handoverWindow
	for k := range spec.Occurrences() {
		o := &occurrence{number: k, due: now}
		if due := spec.DueUnixMS(k); due > 0 {
			o.due = now.Add(time.Duration(due-wallMS) * time.Millisecond)
		}
		for s := range spec.Steps {
			step := &j.Spec.Steps[s]
			row := make([]*Task, step.Tasks)
			for i := range row {
				id := job.TaskID{Job: spec.ID, Occurrence: k, Step: s, Index: i}
				t := &Task{ID: id, Job: j, Step: step, label: id.String(), inherited: contested}
				row[i] = t
				e.tasks[t.name()] = t
			}
			o.tasks = append(o.tasks, row)
			o.left = append(o.left, step.Tasks)
		}
		j.occurrences = append(j.occurrences, o)
	}
	j.setObjective()
	e.jobs[spec.ID] = j
	e.claimStrays(j, now)
	return j
}

// handoverWindow is how long after a take-over a former owner may still give
// orders: it calls workers many times a second, and those that have been called
// under the new epoch refuse it.
const handoverWindow = time.Second

// MarkEnded takes in that a job has ended under a former owner.
func (e *Engine) MarkEnded(id string, now time.Time) { e.final[id] = now }

// Cancel ends a job at its caller's wish: nothing of it starts any more and
// what runs is stopped. It reports false for a job that is not open.
func (e *Engine) Cancel(id string) bool {
	j := e.jobs[id]
	if j == nil {
		return false
	}
	e.finish(j, job.Cancelled)
	return true
}

// finish makes a job final and stops what it still runs.
func (e *Engine) finish(j *Job, state job.State) {
	if j.State.Final() {
		return
	}
	j.State = state
	e.out.Finished = append(e.out.Finished, j)
	delete(e.out.Changed, j)
	delete(e.jobs, j.Spec.ID)
	e.final[j.Spec.ID] = e.now
	for t := range j.allTasks() {
		delete(e.tasks, t.name())
		for _, r := range t.Runs {
			e.stop(r, StopEnded)
		}
	}
}

// changed marks a job's progress for a commit.
func (e *Engine) changed(j *Job, ended bool) {
	if !j.State.Final() {
		e.out.Changed[j] = e.out.Changed[j] || ended
	}
}
