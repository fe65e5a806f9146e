package dispatch

import (
	"cmp"
	"fmt"
	"maps"
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
	// RunAttempt is the attempt of that run; zero if it is Attempt.
	RunAttempt int `json:"r,omitempty"`
	// Second is the task's second run; nil if there is none. Copied is set if a copy of
	// the task has been requested.
	Second *RunProgress `json:"c2,omitempty"`
	Copied bool         `json:"cp,omitempty"`
	// Unresolved is the number of runs that were given up without a listed end.
	Unresolved int `json:"u,omitempty"`
}

// RunProgress is the stored state of a second run of a task.
type RunProgress struct {
	Worker  string `json:"w"`
	Boot    int64  `json:"b,omitempty"`
	Attempt int    `json:"a"`
}

// progressOf returns the stored state of a run.
func progressOf(r *Run) RunProgress {
	p := RunProgress{Worker: r.Worker.Entry.ID, Attempt: r.Attempt}
	if !r.Worker.Entry.Draining { // the end of its boot is planned
		p.Boot = r.boot
	}
	return p
}

// runs returns the recorded runs of a task.
func (tp TaskProgress) runs() []RunProgress {
	var runs []RunProgress
	if tp.Worker != "" {
		runs = append(runs, RunProgress{tp.Worker, tp.Boot, cmp.Or(tp.RunAttempt, tp.Attempt)})
	}
	if tp.Second != nil {
		runs = append(runs, *tp.Second)
	}
	return runs
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
		if t.Attempt == 0 && !t.Done || j.hosted && t.elsewhere {
			continue
		}
		tp := TaskProgress{
			Occurrence: t.ID.Occurrence, Step: t.ID.Step, Index: t.ID.Index,
			Done: t.Done, Attempt: t.Attempt, Failures: t.Failures, Crashes: t.Crashes,
		}
		if !t.Done {
			tp.Checkpoint = t.Checkpoint
			var runs []RunProgress
			for _, r := range t.Runs {
				runs = append(runs, progressOf(r))
			}
			// A next owner must look for these, too.
			inherited := t.recordedRuns[:min(len(t.recordedRuns), max(0, maxRuns-len(runs)))]
			runs = append(runs, inherited...)
			tp.Copied, tp.Unresolved = t.copied, max(0, t.unresolvedRuns-len(inherited))
			if len(runs) > 0 {
				tp.Worker, tp.Boot = runs[0].Worker, runs[0].Boot
				if runs[0].Attempt != t.Attempt {
					tp.RunAttempt = runs[0].Attempt
				}
			}
			if len(runs) > 1 {
				tp.Second = &runs[1]
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
		t.copied = t.copied || tp.Copied
		t.unresolvedRuns = tp.Unresolved + len(tp.runs())
		t.placedOn, t.recordedRuns = nil, tp.runs()
		for _, run := range t.recordedRuns {
			t.placedOn = append(t.placedOn, run.Worker)
			e.recordedOn[run.Worker] = append(e.recordedOn[run.Worker], t)
		}
		t.hasRun = t.hasRun || tp.Attempt > 0
		if tp.Done && !t.Done {
			t.setDone()
			o := j.occurrences[tp.Occurrence]
			o.pending[tp.Step]--
		}
	}
	j.presumeRuns()
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

// presumeRuns marks the tasks of each step of a former owner that presumably have run.
func (j *Job) presumeRuns() {
	for _, o := range j.occurrences {
		for _, tasks := range o.tasks {
			presumeStepHasRun(tasks)
		}
	}
}

// presumeStepHasRun marks all tasks of a former owner's service step as having run if any of them
// has: the last starts before a takeover may not have been committed. A step without any known
// start waits like a new one, because callers have been told only that it is accepted;
// otherwise each takeover of a full cell would let all services that wait for capacity displace
// running tasks.
func presumeStepHasRun(tasks []*Task) {
	if !tasks[0].Step.Service || !slices.ContainsFunc(tasks, func(t *Task) bool { return t.hasRun }) {
		return
	}
	for _, t := range tasks {
		t.hasRun = true
	}
}

// restoreBoot counts a crash for each worker on which a former owner last started a task and
// that has restarted since, or expects the worker to show that.
func (e *Engine) restoreBoot(j *Job, tp TaskProgress) {
	if tp.Done {
		return
	}
	id := job.TaskID{Job: j.Spec.ID, Occurrence: tp.Occurrence, Step: tp.Step, Index: tp.Index}
	for _, recorded := range tp.runs() {
		if recorded.Boot == 0 {
			continue
		}
		run := silentRun{task: id.String(), attempt: recorded.Attempt, boot: recorded.Boot}
		w := e.workers[recorded.Worker]
		if w != nil {
			run.address = w.Entry.Address
		}
		e.expectBoot(recorded.Worker, run)
		if w != nil {
			e.handleBootEnded(recorded.Worker, w.boot)
		}
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
			for _, id := range t.placedOn {
				if w := e.workers[id]; w == nil || !w.contacted {
					e.uncontacted[id] = deadline
				}
			}
		}
	}
}

// ExpectRecordedRuns records that the former owner has recorded where all its runs may be,
// after it had stopped starting tasks.
func (e *Engine) ExpectRecordedRuns() { e.runsRecorded = true }

// KnowsAllRuns reports whether the progress of the jobs shows all workers that may run their
// tasks: those of former owners have answered or are gone, and no run or end of an unknown job
// is listed.
func (e *Engine) KnowsAllRuns(now time.Time) bool {
	for _, w := range e.workerList {
		if len(w.unmatchedEnds) > 0 {
			return false // the job may be read later
		}
	}
	return len(e.uncontacted) == 0 && !now.Before(e.directoryCompleteAt) && len(e.unknownRunCounts) == 0
}

// mayRunElsewhere reports whether a former owner may have started the task on a worker that
// has not answered this owner, or that the list lacks. An uncontacted worker may also list the
// end of a run that a former owner was told of and did not commit.
//
// A former owner starts a task only when no run of it can be live. So if this owner has started
// one, or has seen one running, there is no other, unless the step allows copies.
func (e *Engine) mayRunElsewhere(t *Task, now time.Time) bool {
	switch {
	case !t.inherited || (len(e.uncontacted) == 0 && !now.Before(e.directoryCompleteAt)):
		return false
	case e.runsRecorded:
		return e.recordedOnUncontacted(t)
	}
	return !t.runSeen || now.Sub(e.takeoverAt) < handoverWindow
}

// resolveRecorded records that a worker lists all that runs there of former owners, or can no
// longer run it.
func (e *Engine) resolveRecorded(id string) {
	delete(e.uncontacted, id)
	for _, t := range e.recordedOn[id] {
		t.recordedRuns = slices.DeleteFunc(t.recordedRuns, func(r RunProgress) bool { return r.Worker == id })
	}
	delete(e.recordedOn, id)
}

// recordedOnUncontacted reports whether a former owner has recorded a run of the task on a
// worker that has not answered this owner.
func (e *Engine) recordedOnUncontacted(t *Task) bool {
	return slices.ContainsFunc(t.placedOn, func(id string) bool {
		_, waiting := e.uncontacted[id]
		return waiting
	})
}

// inheritedRunsDeadline is when the longest lease that a former owner granted has expired
// on the slowest clock.
func (e *Engine) inheritedRunsDeadline() time.Time { return e.takeoverAt.Add(e.inheritedRunsWait()) }

// inheritedRunsWait is the longest lease on the slowest clock.
func (e *Engine) inheritedRunsWait() time.Duration {
	return time.Duration(float64(e.options.MaxLease)/clockRate) + leaseSlack
}

// ExpectUnlistedWorkers records that the list of workers may be incomplete until a time.
// Workers that are added to it until then may run tasks of a former owner.
func (e *Engine) ExpectUnlistedWorkers(until time.Time) { e.directoryCompleteAt = until }

// leaseSlack is added to the longest lease for a call of a former owner that was
// in flight when the ownership changed.
const leaseSlack = time.Second

// Uncontacted returns the number of workers that may run tasks of a former owner.
func (e *Engine) Uncontacted() int { return len(e.uncontacted) }

// UncontactedWorkers returns the IDs of those workers, sorted.
func (e *Engine) UncontactedWorkers() []string { return slices.Sorted(maps.Keys(e.uncontacted)) }

// noteFormerRun records that a worker has listed a run of a task, or the end of one. If this
// owner has requested none, a former one has.
func (t *Task) noteFormerRun() {
	if t.hasRun || !t.inherited {
		return
	}
	t.hasRun = true
	presumeStepHasRun(t.siblings())
}
