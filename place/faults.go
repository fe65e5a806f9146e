package place

import (
	"fmt"
	"strings"
)

// Bounds of quarantine and of a task's failures.
const (
	// quarantineFailures is how many distinct tasks must fail on a worker, with
	// none finishing between, before it is quarantined.
	quarantineFailures = 3
	// suspectMachines is how many workers a job must fail on, with no task
	// finished, before its failures are held to be its own.
	suspectMachines = 3
	// finalMachines is how many workers a task must fail on to end as failed.
	finalMachines = 3
	// maxFailures ends a task whatever the workers.
	maxFailures       = 8
	firstProbeDelayMS = 10_000
	maxProbeDelayMS   = 600_000
	// maxFailuresKept bounds the failures remembered of one worker or job.
	maxFailuresKept = 16
)

// faults tells bad workers from bad tasks.
type faults struct {
	workers map[string]*workerRecord
	jobs    map[string]*jobRecord
	tasks   map[string][]string // VMs that each task failed on, in order
	live    int                 // workers that may receive work
}

// workerRecord is what is known of a worker since a task last finished on it.
type workerRecord struct {
	failures     []taskFailure
	quarantined  bool
	probeDelayMS int64
	// probeAfterUnixMS is the earliest time of the next probe.
	probeAfterUnixMS int64
}

type taskFailure struct{ task, job string }

type jobRecord struct {
	failedOn []string // distinct VMs
	finished bool     // a task of the job has finished
}

func newFaults() *faults {
	return &faults{workers: map[string]*workerRecord{}, jobs: map[string]*jobRecord{}, tasks: map[string][]string{}}
}

// observeEnd learns from an attempt.
func (f *faults) observeEnd(e *TaskEnd) {
	switch e.Outcome {
	case Finished:
		f.finished(e)
	case Failed:
		f.failed(e)
	}
}

func (f *faults) finished(e *TaskEnd) {
	delete(f.workers, e.Machine)
	delete(f.tasks, e.Task)
	j := f.job(e.Job)
	if !j.finished {
		j.finished = true
		f.judgeAll(e.EndedUnixMS)
	}
}

func (f *faults) failed(e *TaskEnd) {
	f.tasks[e.Task] = append(f.tasks[e.Task], e.Machine)
	j := f.job(e.Job)
	if !contains(j.failedOn, e.Machine) && len(j.failedOn) < maxFailuresKept {
		j.failedOn = append(j.failedOn, e.Machine)
	}
	w, ok := f.workers[e.Machine]
	if !ok {
		w = &workerRecord{probeDelayMS: firstProbeDelayMS}
		f.workers[e.Machine] = w
	}
	if len(w.failures) == maxFailuresKept {
		w.failures = w.failures[1:]
	}
	w.failures = append(w.failures, taskFailure{e.Task, e.Job})
	if w.quarantined {
		w.probeDelayMS = min(2*w.probeDelayMS, maxProbeDelayMS)
		w.probeAfterUnixMS = e.EndedUnixMS + w.probeDelayMS
	}
	f.judgeAll(e.EndedUnixMS)
}

func (f *faults) job(name string) *jobRecord {
	j, ok := f.jobs[name]
	if !ok {
		j = &jobRecord{}
		f.jobs[name] = j
	}
	return j
}

// suspect tells whether the job's failures are held to be its own.
func (f *faults) suspect(job string) bool {
	j, ok := f.jobs[job]
	return ok && !j.finished && len(j.failedOn) >= f.needed(suspectMachines)
}

// needed bounds a number of distinct workers by those that there are.
func (f *faults) needed(workers int) int {
	if f.live == 0 {
		return workers
	}
	return min(workers, f.live)
}

// judgeAll quarantines and releases workers. A release happens when the
// failures turn out to be a job's own.
func (f *faults) judgeAll(now int64) {
	for _, w := range f.workers {
		bad := f.blamed(w) >= quarantineFailures
		if bad && !w.quarantined {
			w.probeAfterUnixMS = now + w.probeDelayMS
		}
		w.quarantined = bad
	}
}

// blamed counts the distinct tasks whose failure speaks against the worker.
func (f *faults) blamed(w *workerRecord) int {
	n := 0
	for i, failure := range w.failures {
		if !f.suspect(failure.job) && !hasTask(w.failures[:i], failure.task) {
			n++
		}
	}
	return n
}

func hasTask(failures []taskFailure, task string) bool {
	for _, f := range failures {
		if f.task == task {
			return true
		}
	}
	return false
}

// accepts tells whether a machine's health lets the task start on it. A
// quarantined worker is probed with one task at a time, never an urgent one.
// A task that has failed before is taken for a probe only when no other task
// came for another delay, so that it does not wait for ever.
func (f *faults) accepts(m *machineState, d *candidate, now int64) bool {
	w, ok := f.workers[m.Name]
	if !ok || !w.quarantined {
		return true
	}
	probeAfter := w.probeAfterUnixMS
	if len(f.tasks[d.Task])+len(d.FailedOn) > 0 {
		probeAfter += w.probeDelayMS
	}
	idle := len(m.tasks)+m.started == 0
	return idle && now >= probeAfter && !d.Urgent
}

func (f *faults) failedOn(task, machine string) bool { return contains(f.tasks[task], machine) }

// final tells whether a task that has failed is to end as failed, and why.
// Failures on quarantined workers speak against these, not the task.
func (f *faults) final(task string) (reason string, final bool) {
	var distinct []string
	for _, machine := range f.tasks[task] {
		w, ok := f.workers[machine]
		if (!ok || !w.quarantined) && !contains(distinct, machine) {
			distinct = append(distinct, machine)
		}
	}
	switch {
	case len(distinct) >= f.needed(finalMachines):
		return fmt.Sprintf("failed on %d VMs: %s", len(distinct), strings.Join(distinct, ", ")), true
	case len(f.tasks[task]) >= maxFailures:
		return fmt.Sprintf("failed %d times", len(f.tasks[task])), true
	}
	return "", false
}

// prune forgets what the input no longer holds.
func (f *faults) prune(in *Input, cl *cluster) {
	f.live = cl.live()
	for name := range f.workers {
		if _, ok := cl.byName[name]; !ok {
			delete(f.workers, name)
		}
	}
	if len(f.tasks) == 0 && len(f.jobs) == 0 {
		return
	}
	tasks, jobs := map[string]bool{}, map[string]bool{}
	see := func(d *Demand) { tasks[d.Task], jobs[d.Job] = true, true }
	for i := range in.Pending {
		see(&in.Pending[i])
	}
	for i := range in.Running {
		see(&in.Running[i].Demand)
	}
	keep(f.tasks, tasks)
	keep(f.jobs, jobs)
}

// keep deletes the keys of m that are not in wanted.
func keep[V any](m map[string]V, wanted map[string]bool) {
	for name := range m {
		if !wanted[name] {
			delete(m, name)
		}
	}
}
