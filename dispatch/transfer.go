package dispatch

import (
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// A service task that finds no worker in its job's cell, the home cell, can be run by
// another one, the host cell. Each task is run by one cell at a time; for the others it is
// elsewhere. See docs/design/task-transfers.md.
const (
	// transferAfter is how long an interrupted service task must have found no worker before
	// it may be transferred. By then, tasks that could make way have been stopped for it.
	transferAfter = time.Second
	// transferNewAfter replaces transferAfter for a service task that has not run yet.
	transferNewAfter = 2500 * time.Millisecond
)

// TransferredTask is the state of a task that goes with it to another cell.
type TransferredTask struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s,omitempty"`
	Index      int `json:"i,omitempty"`
	// Attempt is the highest attempt so far.
	Attempt int   `json:"a"`
	Crashes []int `json:"x,omitempty"`
}

// ID returns the ID of the task of a job.
func (s TransferredTask) ID(jobID string) job.TaskID {
	return job.TaskID{Job: jobID, Occurrence: s.Occurrence, Step: s.Step, Index: s.Index}
}

// transferState returns the state of a task to transfer.
func (t *Task) transferState() TransferredTask {
	return TransferredTask{t.ID.Occurrence, t.ID.Step, t.ID.Index, t.Attempt, slices.Clone(t.Crashes)}
}

// AddHosted adds a job of another cell, none of whose tasks this cell runs yet. It returns the
// existing job if the ID is known, and nil if the job has ended.
func (e *Engine) AddHosted(spec job.Spec, now time.Time, wallMS int64) *Job {
	if j := e.jobs[spec.ID]; j != nil {
		return j
	}
	return e.add(spec, now, wallMS, true)
}

// Hosted reports whether the job is one of another cell.
func (j *Job) Hosted() bool { return j.hosted }

// setElsewhere records whether another cell runs the task.
func (t *Task) setElsewhere(elsewhere bool) {
	if t.waiting() {
		t.Job.countWaiting(t.ID.Step, -1)
	}
	t.elsewhere = elsewhere
	if t.waiting() {
		t.Job.countWaiting(t.ID.Step, 1)
	}
}

// TakeIn makes this cell run a task that another one has run. The task must run nowhere.
func (e *Engine) TakeIn(j *Job, s TransferredTask, now time.Time) {
	t, _ := e.find(s.ID(j.Spec.ID).String())
	switch {
	case t == nil:
		return
	case !t.elsewhere: // a former owner has taken it in
		if t.inherited {
			t.Attempt = max(t.Attempt, s.Attempt+attemptGap)
		}
		return
	}
	e.addLoad(j, -1)
	t.setElsewhere(false)
	e.addLoad(j, 1)
	t.held, t.readyAt = false, time.Time{}
	t.Attempt = max(t.Attempt, s.Attempt)
	t.hasRun = t.hasRun || s.Attempt > 0
	e.markChanged(j, true)
	crashes := slices.Clone(s.Crashes)
	t.Crashes = nil
	for _, attempt := range crashes {
		e.recordCrash(t, attempt)
	}
	if !j.State.Final() {
		e.claimRunsAndEnds(j, now)
	}
}

// GiveAway records that another cell runs a task.
func (e *Engine) GiveAway(id job.TaskID) {
	t, _ := e.find(id.String())
	if t == nil || t.elsewhere {
		return
	}
	e.unreserve(t)
	if t.advance != nil {
		e.release(t.advance, ReservationNotWaiting, e.now)
	}
	for _, r := range t.Runs {
		e.stop(r, StopEnded)
	}
	e.addLoad(t.Job, -1)
	t.setElsewhere(true)
	e.addLoad(t.Job, 1)
	t.held = false
	if !t.Job.hosted {
		e.markStarted(t.Job)
	}
	e.markChanged(t.Job, false)
}

// HoldTask keeps a task from being started until ReleaseTask, TakeIn or GiveAway.
func (e *Engine) HoldTask(id job.TaskID) {
	if t, _ := e.find(id.String()); t != nil {
		e.unreserve(t)
		t.held = true
	}
}

// ReleaseTask ends a HoldTask.
func (e *Engine) ReleaseTask(id job.TaskID) {
	if t := e.tasks[id.String()]; t != nil {
		t.held = false
	}
}

// Elsewhere reports whether another cell runs any task of the job, and whether this one runs
// any.
func (j *Job) Elsewhere() (some, all bool) {
	all = true
	for t := range j.allTasks() {
		some, all = some || t.elsewhere, all && t.elsewhere
	}
	if !j.allCreated() { // the others run where the job is at home
		some, all = some || j.hosted, all && j.hosted
	}
	return some, all
}

// allCreated reports whether all tasks of the job are held.
func (j *Job) allCreated() bool {
	return j.created == j.Spec.Occurrences()*j.Spec.Numbering().PerOccurrence()
}

// TasksHere returns the IDs of the tasks of a hosted job that this cell runs.
func (e *Engine) TasksHere(j *Job) []job.TaskID {
	var here []job.TaskID
	for t := range j.allTasks() {
		if !t.elsewhere {
			here = append(here, t.ID)
		}
	}
	return here
}

// TransferableStep are tasks of one step that another cell could run.
type TransferableStep struct {
	Step  *job.Step
	Tasks []TransferredTask
	// Interrupted is set if the tasks have run before.
	Interrupted bool
	// GivenUp is set if workers have crashed under the tasks so often that only the home cell
	// handles them.
	GivenUp bool
	// Since is when the task that has waited longest for a worker became ready.
	Since time.Time
}

// SameKind reports whether the other tasks are of the same step, and transferred for the same
// reason.
func (s TransferableStep) SameKind(other TransferableStep) bool {
	return s.Step == other.Step && s.Interrupted == other.Interrupted && s.GivenUp == other.GivenUp
}

// Transferable returns the tasks of a job that run nowhere for certain and find no worker in this
// cell, by step, those that have run before first. A job that can move as a whole has none.
func (e *Engine) Transferable(j *Job, now time.Time) []TransferableStep {
	if !j.service || j.held || j.waiting == 0 || j.State.Final() || e.MayMove(j) {
		return nil
	}
	var interrupted, others []TransferableStep
	for _, o := range j.occurrences {
		for s := range j.Spec.Steps {
			step := &j.Spec.Steps[s]
			if !divisible(step) || o.pending[s] == 0 || now.Before(o.due) || !o.ready(step) {
				continue
			}
			if found := e.transferableOf(step, o.tasks[s], true, now); len(found.Tasks) > 0 {
				interrupted = append(interrupted, found)
			}
			if found := e.transferableOf(step, o.tasks[s], false, now); len(found.Tasks) > 0 {
				others = append(others, found)
			}
		}
	}
	return append(interrupted, others...)
}

// divisible reports whether the tasks of a step may run in several cells.
func divisible(step *job.Step) bool { return step.Service && !step.Gang && !step.SameRack }

// transferableOf returns the tasks of a step that can be transferred together: those that have
// run before, or the others, and either those that are given up, or the others.
func (e *Engine) transferableOf(step *job.Step, tasks []*Task, interrupted bool, now time.Time) TransferableStep {
	found := TransferableStep{Step: step, Interrupted: interrupted}
	for _, t := range tasks {
		if !t.waiting() || t.held || t.hasRun != interrupted {
			continue
		}
		// A plan does not try the other new tasks of a step once one of them fits nowhere.
		beside := len(found.Tasks) > 0 && !found.Interrupted && t.reserved == nil && e.mayStart(t, now)
		if !t.givenUp() && !beside && !e.starved(t, now) {
			continue
		}
		if len(found.Tasks) == 0 {
			found.GivenUp = t.givenUp()
		}
		if t.givenUp() == found.GivenUp {
			found.Tasks = append(found.Tasks, t.transferState())
			if found.Since.IsZero() || t.readyAt.Before(found.Since) {
				found.Since = t.readyAt
			}
		}
	}
	return found
}

// givenUp reports whether a hosted task is not started any more because of crashes.
func (t *Task) givenUp() bool { return t.Job.hosted && len(t.Crashes) >= maxCrashes }

// starved reports whether a service task that may start has found no worker for a while.
func (e *Engine) starved(t *Task, now time.Time) bool {
	wait := transferNewAfter
	if t.hasRun {
		wait = transferAfter
	}
	return t.reserved == nil && e.mayStart(t, now) && now.Sub(t.readyAt) >= wait
}
