package dispatch

import (
	"iter"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/urgency"
)

// Task is one task of a job.
type Task struct {
	ID   job.TaskID
	Job  *Job
	Step *job.Step
	// occurrence is that of the task. It may have ended.
	occurrence *occurrence
	Done       bool
	Attempt    int // highest attempt number so far
	Failures   []int
	// Crashes are the attempts under which a worker has crashed.
	Crashes []int
	// Checkpoint is the last known one; empty if there is none.
	Checkpoint string
	Runs       []*Run
	// inherited is set if a former owner may have started the task.
	inherited bool
	// runSeen is set once this owner has started a run or has seen one of a former owner, if
	// the step does not allow copies.
	runSeen bool
	// placedOn are the workers that a former owner last recorded for the task.
	placedOn []string
	// recordedRuns are the runs that a former owner last recorded, on workers that have not
	// answered this owner.
	recordedRuns []RunProgress
	// movedFrom is the worker that the task was last moved away from.
	movedFrom     string
	failedWorkers map[string]bool // workers on which the task has failed
	fullName      string
	notBefore     time.Time
	readyAt       time.Time // when the task was found ready; zero if it is not
	hasRun        bool      // a run of the task was requested, by this owner or a former one
	// reserved is the capacity that is reserved for the task; nil if there is none.
	reserved *capacityReservation
	// copied is set once a copy of the task has been requested that may have begun, under
	// this owner or a former one. copyNotBefore is the earliest time of the next one.
	copied        bool
	copyNotBefore time.Time
	// unresolvedRuns is the number of runs that were given up without a listed end, or that
	// a former owner recorded and no worker has listed; they may have failed.
	unresolvedRuns int
	// advance is the advance reservation for the task; nil if there is none.
	// notReservedBefore is when one may be made again.
	advance           *advanceReservation
	notReservedBefore time.Time
	// starvedReportedAt is when the task was last reported as starved.
	starvedReportedAt time.Time
	// relocationRound is the last round in which services were searched that make way for the
	// task.
	relocationRound int
	// elsewhere is set while another cell runs the task, and held while it is being transferred.
	elsewhere, held bool
}

// ReadySince returns when a task that has just been started became ready.
func (t *Task) ReadySince(now time.Time) time.Time {
	if t.readyAt.IsZero() {
		return now
	}
	return t.readyAt
}

// Arrived returns when this owner received the job.
func (j *Job) Arrived() time.Time { return j.arrived }

// waiting reports whether the task is neither done nor elsewhere and has no run. After a change,
// the job's count must be updated.
func (t *Task) waiting() bool { return !t.Done && !t.elsewhere && len(t.Runs) == 0 }

// setDone marks the task as done.
func (t *Task) setDone() {
	if t.waiting() {
		t.Job.countWaiting(t.ID.Step, -1)
	}
	t.Done = true
}

// addRun adds a run to the task.
func (t *Task) addRun(r *Run) {
	if t.waiting() {
		t.Job.countWaiting(t.ID.Step, -1)
	}
	t.Runs = append(t.Runs, r)
	t.hasRun = true
	t.runSeen = t.runSeen || !allowsCopies(t.Step)
}

// removeRun removes one of the task's runs.
func (t *Task) removeRun(r *Run) {
	t.Runs = slices.DeleteFunc(t.Runs, func(o *Run) bool { return o == r })
	if t.waiting() {
		t.Job.countWaiting(t.ID.Step, 1)
	}
}

// countWaiting adds to the number of waiting tasks of a step.
func (j *Job) countWaiting(step, n int) {
	j.waiting += n
	j.waitingOf[step] += n
}

// name returns the task's name on workers.
func (t *Task) name() string { return t.fullName }

// Job is an open job or one that has just become final.
type Job struct {
	Spec  job.Spec
	Queue job.Queue
	State job.State
	// Started is set once a worker has confirmed a run of any task, and requested once
	// a start of any task has been requested.
	Started   bool
	requested bool
	// occurrences are those that have begun and are not done, in ascending order, and ended are
	// those that are done. The others are from next on.
	occurrences []*occurrence
	ended       job.Ranges
	next        int
	objective   time.Time
	// arrived is when this owner received the job, and arrivedUnixMS its wall clock at that time.
	arrived       time.Time
	arrivedUnixMS int64
	// mayCreate is set if tasks of occurrences that have begun may have to be created, and created is
	// the number of tasks that are held.
	mayCreate bool
	created   int
	// displacedAt is when tasks of the job last made way for those of another one.
	displacedAt time.Time
	// inherited is set if a former owner may have started any task of the job. attemptBase is the
	// attempt from which those of tasks without a recorded start count.
	inherited   bool
	attemptBase int
	// remaining is the predicted length of the longest chain of work from each step on.
	remaining []time.Duration
	// latestStart is when the job's longest chain must start to meet the objective.
	latestStart time.Time
	service     bool // a step is a service, which runs until the job is cancelled
	// held is set while the job is being given to another cell; none of its tasks starts.
	held bool
	// hosted is set if the job is one of another cell, for which this one runs some tasks.
	hosted bool
	// interrupted is set during a plan if a service task of the job is interrupted.
	interrupted bool
	// profile holds what the job's rank follows from, as of profiledAt; class and rank are
	// those at the last plan. The rank is kept up to date while tasks wait.
	profile    urgency.Profile
	profiledAt time.Time
	class      urgency.Class
	rank       urgency.Rank
	// work is the predicted work in core-seconds, and chain the length of the longest chain.
	work  float64
	chain time.Duration
	// stepTimes are the run times of tasks of the job that have ended, by step.
	stepTimes []observedTimes
	// waiting is the number of created tasks that are neither done nor elsewhere and have no run, and
	// waitingOf that of each step.
	waiting   int
	waitingOf []int
	// inPlanOrder is set while the job is in the engine's planOrder.
	inPlanOrder bool
	// stepAdvice is the advisor's responses by step; nil if there are none.
	stepAdvice map[stepKey]*advice
	speeds     map[stepKey]stepSpeeds
	// finishedRuns are the run times of completed runs, by step that allows copies.
	finishedRuns map[stepKey][]time.Duration
}

// hasInterruptedTask reports whether a service task of the job is interrupted.
func (j *Job) hasInterruptedTask() bool {
	for t := range j.allTasks() {
		if t.interrupted() {
			return true
		}
	}
	return false
}

// allTasks yields the tasks of the job that have been created and not dropped.
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

// stepKey identifies a step of one occurrence.
type stepKey struct{ occurrence, step int }

func (t *Task) stepKey() stepKey { return stepKey{t.ID.Occurrence, t.ID.Step} }

// siblings returns all tasks of the task's step, including itself, or nil if all of them are done.
func (t *Task) siblings() []*Task { return t.occurrence.tasks[t.ID.Step] }

// unavailableSiblings counts the other tasks of a service step that do not serve.
func (t *Task) unavailableSiblings() int {
	unavailable := 0
	for _, other := range t.siblings() {
		if other != t && !other.serving() {
			unavailable++
		}
	}
	return unavailable
}

// Job returns an open job, or nil.
func (e *Engine) Job(id string) *Job { return e.jobs[id] }

// slack returns how long a task may wait without its job missing the objective;
// it is negative if the job is late.
func (t *Task) slack(now time.Time) time.Duration {
	return t.Job.objective.Sub(now) - t.Job.remaining[t.ID.Step]
}

// urgent reports whether waiting for a better worker would make the task's job
// miss its objective. A job that is already late loses nothing by waiting.
func (t *Task) urgent(now time.Time) bool {
	return t.Job.class == urgency.OnTime && t.slack(now) < urgentSlack
}
