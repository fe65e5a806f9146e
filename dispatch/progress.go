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
	// Done are further tasks that are done, by the numbers that job.Spec.Numbering gives them.
	Done job.Ranges `json:"done,omitempty"`
	// AttemptBase is the highest attempt of tasks that are neither in Tasks nor in Done.
	AttemptBase int `json:"base,omitempty"`
}

// Append adds stored states of tasks of a job. Of tasks that are neither services nor running, and
// have neither failed nor saved a checkpoint, only the attempt is kept.
func (p *Progress) Append(spec job.Spec, tasks []TaskProgress) {
	for _, tp := range tasks {
		if tp.Step < len(spec.Steps) && !spec.Steps[tp.Step].Service && tp.onlyAttempt() {
			p.AttemptBase = max(p.AttemptBase, tp.Attempt)
		} else {
			p.Tasks = append(p.Tasks, tp)
		}
	}
}

// onlyAttempt reports whether the record tells nothing but the attempt of a task.
func (tp TaskProgress) onlyAttempt() bool {
	return !tp.Done && len(tp.Failures)+len(tp.Crashes) == 0 && tp.Checkpoint == "" && tp.Worker == "" && tp.Second == nil && !tp.Copied && tp.Unresolved == 0
}

// started reports whether a worker has confirmed a run of any task.
func (p Progress) started() bool {
	return p.Started || len(p.Done) > 0 || slices.ContainsFunc(p.Tasks, func(tp TaskProgress) bool { return tp.Done || len(tp.Failures) > 0 })
}

// Progress returns the state to store for the job.
func (j *Job) Progress() Progress {
	p := Progress{Started: j.Started, Done: j.doneRanges(), AttemptBase: j.attemptBase}
	for t := range j.allTasks() {
		if !t.hasRun && !t.Done && t.Attempt <= j.attemptBase || j.hosted && t.elsewhere {
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

// doneRanges returns the numbers of the tasks of the steps that are done.
func (j *Job) doneRanges() job.Ranges {
	numbers := j.Spec.Numbering()
	var done []job.Range
	for _, r := range j.ended {
		done = append(done, job.Range{numbers.Number(r[0], 0, 0), numbers.Number(r[1], 0, 0)})
	}
	for _, o := range j.occurrences {
		for s := range o.pending {
			if o.pending[s] == 0 {
				done = append(done, numbers.Step(o.number, s))
			}
		}
	}
	return job.NewRanges(done)
}

// attemptGap is added to the attempts that a former owner recorded, because it may
// have had no time to record its last starts.
const attemptGap = 16

// Restore applies a former owner's stored state to a job that has just been added.
// Every task of the job may still run somewhere, whether recorded or not.
func (e *Engine) Restore(j *Job, p Progress) error {
	j.inherited, j.attemptBase = true, max(j.attemptBase, p.AttemptBase)
	for t := range j.allTasks() {
		t.inherited, t.Attempt = true, max(t.Attempt, j.attemptBase)
	}
	for _, r := range p.Done {
		e.restoreDone(j, r)
	}
	for _, tp := range p.Tasks {
		id := job.TaskID{Job: j.Spec.ID, Occurrence: tp.Occurrence, Step: tp.Step, Index: tp.Index}
		if !j.hasTask(id) {
			return fmt.Errorf("progress of job %s has unknown task %s", j.Spec.ID, id)
		}
		if t := e.taskOf(j, id); t != nil {
			e.restoreTask(t, tp)
		}
	}
	e.endRestoredSteps(j)
	j.presumeRuns()
	if len(p.Tasks)+len(p.Done) > 0 {
		j.requested, j.State = true, job.Running
	}
	if !j.Started && p.started() {
		e.countStarted(j)
		j.Started = true
	}
	for t := range j.allTasks() {
		t.Attempt += attemptGap
	}
	j.attemptBase += attemptGap
	for _, tp := range p.Tasks {
		e.restoreBoot(j, tp)
	}
	if j.complete() {
		e.finish(j, job.Completed)
	}
	return nil
}

// endRestoredSteps ends the steps whose tasks have all been restored as done.
func (e *Engine) endRestoredSteps(j *Job) {
	for _, o := range slices.Clone(j.occurrences) {
		for s := range o.tasks {
			if o.tasks[s] != nil && o.pending[s] == 0 {
				e.endStep(j, o, s)
			}
		}
	}
}

// restoreTask applies the stored state of a task.
func (e *Engine) restoreTask(t *Task, tp TaskProgress) {
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
	if tp.Done {
		t.restoreAsDone()
	}
}

// restoreAsDone marks a task as done. Its step is not ended.
func (t *Task) restoreAsDone() {
	if !t.Done {
		t.setDone()
		t.occurrence.pending[t.ID.Step]--
	}
}

// restoreDone marks a range of tasks as done. Those of whole steps and occurrences are not created.
func (e *Engine) restoreDone(j *Job, r job.Range) {
	numbers := j.Spec.Numbering()
	each := numbers.PerOccurrence()
	end := min(r[1], j.Spec.Occurrences()*each)
	for n := max(0, r[0]); n < end; {
		k, s, i := numbers.At(n)
		if whole := (end - n) / each; s == 0 && i == 0 && whole > 0 {
			e.endOccurrences(j, k, k+whole)
			n += whole * each
			continue
		}
		step := numbers.Step(k, s)
		next := min(end, step[1])
		if o := e.begin(j, k); o != nil && n == step[0] && next == step[1] {
			e.endStep(j, o, s)
		} else if o != nil {
			for ; n < next; n++ {
				if t := e.taskOf(j, job.TaskID{Job: j.Spec.ID, Occurrence: k, Step: s, Index: n - step[0]}); t != nil {
					t.restoreAsDone()
				}
			}
		}
		n = next
	}
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
	if len(tasks) == 0 || !tasks[0].Step.Service || !slices.ContainsFunc(tasks, func(t *Task) bool { return t.hasRun }) {
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
