package dispatch

import "github.com/bambooyard/bambooyard/job"

// TaskBytes is about the memory that a task takes, in bytes.
const TaskBytes = 600

// Budget bounds what the engines of a process hold in memory. All engines that share it must be used
// on one goroutine.
type Budget struct {
	limit int
	tasks int // tasks, and occurrences that have begun
	jobs  int // weight of the open jobs
}

// NewBudget returns a budget for a number of tasks, and for jobs that take as much memory as these. The
// limit must be at least MinBudget.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// MinBudget is the smallest limit of a Budget, in tasks: four steps of the largest size, so that one
// such step does not keep the tasks of all other jobs waiting.
const MinBudget = 4 * job.MaxTasksPerStep

// JobPercent returns the share of the memory for open jobs that these take, in percent. The Budget may
// be nil.
func (b *Budget) JobPercent() int {
	if b == nil {
		return 0
	}
	return 100 * b.jobs / b.limit
}

// FitsJob reports whether a job that is stored already can be held. A job that is accepted just before
// the daemons know that the budget is used up still fits. The Budget may be nil.
func (b *Budget) FitsJob(spec job.Spec) bool {
	return b == nil || b.jobs+weight(spec) <= b.limit+b.limit/4
}

// HasRoom reports whether jobs that did not fit can be read again. The Budget may be nil.
func (b *Budget) HasRoom() bool { return b == nil || b.jobs < b.limit-b.limit/10 }

// Usage returns the number of tasks in memory, the weight of the open jobs, in tasks that take as much
// memory, and the limit of each. The Budget may be nil.
func (b *Budget) Usage() (tasks, jobs, limit int) {
	if b == nil {
		return 0, 0, 0
	}
	return b.tasks, b.jobs, b.limit
}

// weight returns the memory that an open job takes without its tasks, in tasks that take as much.
func weight(spec job.Spec) int {
	const stepBytes = 350
	return 2 + (len(spec.Payload)+stepBytes*len(spec.Steps))/TaskBytes
}

// Close returns what the engine holds to the budget. What it does afterwards is not counted.
func (e *Engine) Close() {
	for _, j := range e.jobs {
		e.countJob(j, -1)
	}
	e.countHeld(-e.held)
	e.options.Budget = nil
}

// countHeld adds to the number of tasks and occurrences that the engine holds.
func (e *Engine) countHeld(n int) {
	e.held += n
	if e.options.Budget != nil {
		e.options.Budget.tasks += n
	}
}

// countJob adds a job to the open jobs, n times.
func (e *Engine) countJob(j *Job, n int) {
	if e.options.Budget != nil {
		e.options.Budget.jobs += n * weight(j.Spec)
	}
}
