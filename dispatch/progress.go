package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// TaskProgress is the stored state of a task that has been started.
type TaskProgress struct {
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
	Done       bool   `json:"d,omitempty"`
	Attempt    int    `json:"a"`
	Failures   []int  `json:"f,omitempty"`
	Crashes    []int  `json:"x,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Worker is where the task was last started; empty if nothing runs. Boot is the
	// worker's boot at that time; zero if the worker is about to leave.
	Worker string `json:"w,omitempty"`
	Boot   int64  `json:"b,omitempty"`
}

// Progress is the stored state of an open job, for the next owner.
type Progress struct {
	Tasks []TaskProgress `json:"tasks"`
	// Started is set if a worker has confirmed a run of any task.
	Started bool `json:"started,omitempty"`
}

// started reports whether a worker has confirmed a run of any task.
func (p Progress) started() bool {
	return p.Started || slices.ContainsFunc(p.Tasks, func(tp TaskProgress) bool { return tp.Done || len(tp.Failures) > 0 })
}

// Progress returns the state to store for the job.
func (j *Job) Progress() Progress {
	p := Progress{Started: j.Started}
	for t := range j.allTasks() {
		if t.Attempt == 0 && !t.Done {
			continue
		}
		tp := TaskProgress{
			Occurrence: t.ID.Occurrence, Step: t.ID.Step, Index: t.ID.Index,
			Done: t.Done, Attempt: t.Attempt, Failures: t.Failures, Crashes: t.Crashes,
		}
		if !t.Done {
			tp.Checkpoint = t.Checkpoint
			if len(t.Runs) > 0 {
				w := t.Runs[0].Worker.Entry
				tp.Worker = w.ID
				if !w.Draining { // the end of its boot is planned
					tp.Boot = t.Runs[0].boot
				}
			}
		}
		p.Tasks = append(p.Tasks, tp)
	}
	return p
}

// attemptGap is added to the attempts that a former owner recorded, because it may
// have had no time to record its last starts.
const attemptGap = 16

// Restore applies a former owner's stored state to a job that has just been added.
// Every task of the job may still run somewhere, whether recorded or not.
func (e *Engine) Restore(j *Job, p Progress) error {
	for t := range j.allTasks() {
		t.inherited = true
	}
	for _, tp := range p.Tasks {
		id := job.TaskID{Job: j.Spec.ID, Occurrence: tp.Occurrence, Step: tp.Step, Index: tp.Index}
		t := e.tasks[id.String()]
		if t == nil {
			return fmt.Errorf("progress of job %s has unknown task %s", j.Spec.ID, id)
		}
		t.Attempt = max(t.Attempt, tp.Attempt)
		t.Failures, t.Crashes = slices.Clone(tp.Failures), slices.Clone(tp.Crashes)
		t.Checkpoint = tp.Checkpoint
		t.placedOn = tp.Worker
		t.hasRun = tp.Attempt > 0
		if tp.Done && !t.Done {
			t.setDone()
			o := j.occurrences[tp.Occurrence]
			o.pending[tp.Step]--
		}
	}
	if len(p.Tasks) > 0 {
		j.requested, j.State = true, job.Running
	}
	if !j.Started && p.started() {
		e.countStarted(j)
		j.Started = true
	}
	for t := range j.allTasks() {
		t.Attempt += attemptGap
	}
	for _, tp := range p.Tasks {
		e.restoreBoot(j, tp)
	}
	return nil
}

// restoreBoot counts a crash if the worker on which a former owner last started a task has
// restarted since, or expects the worker to show that.
func (e *Engine) restoreBoot(j *Job, tp TaskProgress) {
	if tp.Boot == 0 || tp.Done {
		return
	}
	id := job.TaskID{Job: j.Spec.ID, Occurrence: tp.Occurrence, Step: tp.Step, Index: tp.Index}
	run := silentRun{task: id.String(), attempt: tp.Attempt, boot: tp.Boot}
	w := e.workers[tp.Worker]
	if w != nil {
		run.address = w.Entry.Address
	}
	e.expectBoot(tp.Worker, run)
	if w != nil {
		e.handleBootEnded(tp.Worker, w.boot)
	}
}

// ExpectInheritedRuns records that workers may run tasks of a former owner until
// they are contacted, or until the longest lease has expired on the slowest clock.
func (e *Engine) ExpectInheritedRuns(ids []string, now time.Time) {
	e.takeoverAt = now
	deadline := e.inheritedRunsDeadline()
	for _, id := range ids {
		if w := e.workers[id]; w == nil || !w.contacted {
			e.uncontacted[id] = deadline
		}
	}
	for _, j := range e.jobs {
		for t := range j.allTasks() {
			if t.placedOn != "" && (e.workers[t.placedOn] == nil || !e.workers[t.placedOn].contacted) {
				e.uncontacted[t.placedOn] = deadline
			}
		}
	}
}

// inheritedRunsDeadline is when the longest lease that a former owner granted has expired
// on the slowest clock.
func (e *Engine) inheritedRunsDeadline() time.Time {
	return e.takeoverAt.Add(time.Duration(float64(e.options.MaxLease)/clockRate) + leaseSlack)
}

// ExpectUnlistedWorkers records that the list of workers may be incomplete until a time.
// Workers that are added to it until then may run tasks of a former owner.
func (e *Engine) ExpectUnlistedWorkers(until time.Time) { e.directoryCompleteAt = until }

// leaseSlack is added to the longest lease for a call of a former owner that was
// in flight when the ownership changed.
const leaseSlack = time.Second

// Uncontacted returns the number of workers that may run tasks of a former owner.
func (e *Engine) Uncontacted() int { return len(e.uncontacted) }
