package place

import (
	"fmt"
	"sort"
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
	maxFailures       = 6
	firstProbeDelayMS = 10_000
	maxProbeDelayMS   = 600_000
	// maxFailuresKept bounds the failures remembered of one worker or job.
	maxFailuresKept = 16
)

// faults tells bad workers from bad tasks.
type faults struct {
	workers map[string]*workerRecord
	jobs    map[string]*jobRecord
	live    int // workers that may receive work
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
	return &faults{workers: map[string]*workerRecord{}, jobs: map[string]*jobRecord{}}
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
	j := f.job(e.Job)
	if !j.finished {
		j.finished = true
		f.judgeAll(e.EndedUnixMS)
	}
}

func (f *faults) failed(e *TaskEnd) {
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
	return ok && !j.finished && len(j.failedOn) >= f.atMostLive(suspectMachines)
}

// atMostLive bounds a number of workers by those that there are.
func (f *faults) atMostLive(n int) int {
	if f.live == 0 {
		return n
	}
	return min(n, f.live)
}

// healthy counts the workers that may receive work and are not quarantined.
func (f *faults) healthy() int {
	n := f.live
	for _, w := range f.workers {
		if w.quarantined {
			n--
		}
	}
	return max(n, 0)
}

// judgeAll releases and quarantines workers. A release happens when the
// failures turn out to be a job's own. At most half of the workers are
// quarantined, so that the others can tell bad tasks from bad workers.
func (f *faults) judgeAll(now int64) {
	quarantined := 0
	var bad []string
	for name, w := range f.workers {
		blame := f.blamed(w) >= quarantineFailures
		w.quarantined = w.quarantined && blame
		switch {
		case w.quarantined:
			quarantined++
		case blame:
			bad = append(bad, name)
		}
	}
	sort.Strings(bad)
	for _, name := range bad {
		if f.live > 0 && quarantined >= f.live/2 {
			return
		}
		w := f.workers[name]
		w.quarantined, w.probeAfterUnixMS = true, now+w.probeDelayMS
		quarantined++
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
// quarantined worker is probed with one task at a time. A task that has failed
// before is taken only when no other came for another delay, and an urgent one
// only when all workers are quarantined.
func (f *faults) accepts(m *machineState, d *candidate, now int64) bool {
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

// final tells whether a task that has failed is to end as failed, and why.
// Failures on quarantined workers speak against these, not the task.
func (f *faults) final(failedOn []string, failures int) (reason string, final bool) {
	var distinct []string
	for _, machine := range failedOn {
		w, ok := f.workers[machine]
		if (!ok || !w.quarantined) && !contains(distinct, machine) {
			distinct = append(distinct, machine)
		}
	}
	needed := f.atMostLive(finalMachines)
	if n := f.healthy(); n > 0 {
		needed = min(needed, n)
	}
	switch {
	case len(distinct) >= needed:
		return fmt.Sprintf("failed on %d VMs (%s)", len(distinct), strings.Join(distinct, ", ")), true
	case failures >= maxFailures:
		return fmt.Sprintf("failed %d times", failures), true
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
