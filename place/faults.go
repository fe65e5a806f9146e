package place

import (
	"fmt"
	"sort"
	"strings"
)

// Limits for quarantine and task failures.
const (
	// quarantineFailures is the number of distinct tasks that must fail on a
	// worker, with none finishing in between, before it is quarantined.
	quarantineFailures = 3
	// jobFaultWorkers is the number of workers that a job must fail on, with no
	// task finished, before its failures are attributed to the job.
	jobFaultWorkers = 3
	// finalFailureWorkers is the number of workers that a task must fail on to
	// end as failed.
	finalFailureWorkers = 3
	// maxTaskFailures is the number of failures after which a task ends as
	// failed, on whichever workers they were.
	maxTaskFailures = 6
	// firstProbeDelayMS and maxProbeDelayMS bound the delay in milliseconds
	// between probes of a quarantined worker. It doubles with each failure.
	firstProbeDelayMS = 10_000
	maxProbeDelayMS   = 600_000
	// maxFailureHistory bounds the failures that are kept for one worker or
	// job.
	maxFailureHistory = 16
)

// faultTracker distinguishes faulty workers from faulty tasks.
type faultTracker struct {
	workers            map[string]*workerRecord
	jobs               map[string]*jobRecord
	schedulableWorkers int // workers that may receive work
}

// workerRecord is the failure history of a worker since a task last finished on
// it.
type workerRecord struct {
	failures     []taskFailure
	quarantined  bool
	probeDelayMS int64
	// probeAfterUnixMS is the earliest time of the next probe, in milliseconds
	// since 1970 UTC.
	probeAfterUnixMS int64
}

type taskFailure struct{ task, job string }

type jobRecord struct {
	failedOn []string // distinct VMs
	finished bool     // a task of the job has finished
}

func newFaultTracker() *faultTracker {
	return &faultTracker{workers: map[string]*workerRecord{}, jobs: map[string]*jobRecord{}}
}

// observeEnd records the outcome of an attempt. Stopped attempts are ignored.
func (f *faultTracker) observeEnd(e *TaskEnd) {
	switch e.Outcome {
	case Finished:
		f.taskFinished(e)
	case Failed:
		f.taskFailed(e)
	}
}

func (f *faultTracker) taskFinished(e *TaskEnd) {
	delete(f.workers, e.Machine)
	j := f.jobRecord(e.Job)
	if !j.finished {
		j.finished = true
		f.updateQuarantine(e.EndedUnixMS)
	}
}

func (f *faultTracker) taskFailed(e *TaskEnd) {
	j := f.jobRecord(e.Job)
	if !contains(j.failedOn, e.Machine) && len(j.failedOn) < maxFailureHistory {
		j.failedOn = append(j.failedOn, e.Machine)
	}
	w, ok := f.workers[e.Machine]
	if !ok {
		w = &workerRecord{probeDelayMS: firstProbeDelayMS}
		f.workers[e.Machine] = w
	}
	if len(w.failures) == maxFailureHistory {
		w.failures = w.failures[1:]
	}
	w.failures = append(w.failures, taskFailure{e.Task, e.Job})
	if w.quarantined {
		w.probeDelayMS = min(2*w.probeDelayMS, maxProbeDelayMS)
		w.probeAfterUnixMS = e.EndedUnixMS + w.probeDelayMS
	}
	f.updateQuarantine(e.EndedUnixMS)
}

func (f *faultTracker) jobRecord(name string) *jobRecord {
	j, ok := f.jobs[name]
	if !ok {
		j = &jobRecord{}
		f.jobs[name] = j
	}
	return j
}

// jobAtFault reports whether the job's failures are attributed to the job
// rather than to workers.
func (f *faultTracker) jobAtFault(job string) bool {
	j, ok := f.jobs[job]
	return ok && !j.finished && len(j.failedOn) >= f.limitToWorkers(jobFaultWorkers)
}

// limitToWorkers bounds a number of workers by the number that may receive
// work.
func (f *faultTracker) limitToWorkers(n int) int {
	if f.schedulableWorkers == 0 {
		return n
	}
	return min(n, f.schedulableWorkers)
}

// healthy returns the number of workers that may receive work and are not
// quarantined.
func (f *faultTracker) healthy() int {
	n := f.schedulableWorkers
	for _, w := range f.workers {
		if w.quarantined {
			n--
		}
	}
	return max(n, 0)
}

// updateQuarantine releases and quarantines workers. A worker is released when
// its failures are attributed to jobs. At most half of the workers are
// quarantined, so that the others can distinguish faulty tasks from faulty
// workers.
func (f *faultTracker) updateQuarantine(now int64) {
	quarantined := 0
	var newlyFaulty []string
	for name, w := range f.workers {
		faulty := f.attributedFailures(w) >= quarantineFailures
		w.quarantined = w.quarantined && faulty
		switch {
		case w.quarantined:
			quarantined++
		case faulty:
			newlyFaulty = append(newlyFaulty, name)
		}
	}
	sort.Strings(newlyFaulty)
	for _, name := range newlyFaulty {
		if f.schedulableWorkers > 0 && quarantined >= f.schedulableWorkers/2 {
			return
		}
		w := f.workers[name]
		w.quarantined, w.probeAfterUnixMS = true, now+w.probeDelayMS
		quarantined++
	}
}

// attributedFailures returns the number of distinct tasks whose failure is
// attributed to the worker.
func (f *faultTracker) attributedFailures(w *workerRecord) int {
	n := 0
	for i, failure := range w.failures {
		if !f.jobAtFault(failure.job) && !containsTask(w.failures[:i], failure.task) {
			n++
		}
	}
	return n
}

func containsTask(failures []taskFailure, task string) bool {
	for _, f := range failures {
		if f.task == task {
			return true
		}
	}
	return false
}

// admits reports whether the health of a machine's worker allows the task to
// start on it. A quarantined worker is probed with one task at a time. A task
// that has failed before probes it only if no other task did so for another
// delay, and an urgent task only if all workers are quarantined.
func (f *faultTracker) admits(m *machineState, d *candidate, now int64) bool {
	w, ok := f.workers[m.Name]
	if !ok || !w.quarantined {
		return true
	}
	probeAfter := w.probeAfterUnixMS
	if len(d.FailedOn) > 0 {
		probeAfter += w.probeDelayMS
	}
	idle := len(m.tasks)+m.started == 0
	return idle && now >= probeAfter && (!d.Urgent || f.healthy() == 0)
}

// isFinal reports whether a task that has failed must end as failed, and why.
// Failures on quarantined workers are attributed to those workers, not to the
// task.
func (f *faultTracker) isFinal(failedOn []string, failures int) (reason string, final bool) {
	var distinct []string
	for _, machine := range failedOn {
		w, ok := f.workers[machine]
		if (!ok || !w.quarantined) && !contains(distinct, machine) {
			distinct = append(distinct, machine)
		}
	}
	needed := f.limitToWorkers(finalFailureWorkers)
	if n := f.healthy(); n > 0 {
		needed = min(needed, n)
	}
	switch {
	case len(distinct) >= needed:
		return fmt.Sprintf("failed on %d VMs (%s)", len(distinct), strings.Join(distinct, ", ")), true
	case failures >= maxTaskFailures:
		return fmt.Sprintf("failed %d times", failures), true
	}
	return "", false
}

// prune updates the number of schedulable workers and removes the records of
// workers and jobs that are no longer in the input.
func (f *faultTracker) prune(in *Input, cl *cluster) {
	f.schedulableWorkers = cl.schedulable()
	for name := range f.workers {
		if _, ok := cl.byName[name]; !ok {
			delete(f.workers, name)
		}
	}
	if len(f.jobs) == 0 {
		return
	}
	jobs := map[string]bool{}
	for i := range in.Pending {
		jobs[in.Pending[i].Job] = true
	}
	for i := range in.Running {
		jobs[in.Running[i].Job] = true
	}
	retainKeys(f.jobs, jobs)
}

// retainKeys deletes the keys of m that are not in wanted.
func retainKeys[V any](m map[string]V, wanted map[string]bool) {
	for name := range m {
		if !wanted[name] {
			delete(m, name)
		}
	}
}
