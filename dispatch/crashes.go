package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// A task may crash every worker that starts it. The tasks that are lost with a crashed
// worker are suspects, because nothing tells which of them caused the crash, or whether
// the worker failed by itself. Suspects are kept apart, so that a task that causes
// crashes does not add to the crashes of others, and a task is given up after maxCrashes.
const (
	// maxCrashes is the number of workers that have crashed under a task after which its
	// job fails. The platform allows it from two on, and two more starts after three; a
	// new owner may not know of the last crashes under a former one.
	maxCrashes = 3
	// isolatedCrashes is the number of crashes from which a task is started on a worker
	// without other suspects.
	isolatedCrashes = 2
	// isolationWait is how long a task waits for such a worker. By then service tasks
	// that are no longer suspects have made room.
	isolationWait = crashFreePeriod
	// serviceIsolationWait replaces isolationWait for service tasks, which may be
	// interrupted for a few seconds only. It ends before other tasks are stopped for them.
	serviceIsolationWait = evictAfter - 200*time.Millisecond
	// crashFreePeriod is how long a service task must run to be no suspect any more:
	// over its life it survives many failures of workers that it did not cause.
	crashFreePeriod = 10 * time.Second
	// silentRunRetention is how long a silent worker is expected to show whether it has
	// crashed.
	silentRunRetention = time.Minute
)

// silentRun is a run whose worker has to show whether it has crashed: the worker was
// silent until the lease had expired, or a former owner recorded the run.
type silentRun struct {
	task    string
	attempt int
	boot    int64 // of the worker when the run was started
	// address is the worker's; empty if it is not known.
	address string
	// since is when the run was lost or restored; zero until forgetSilentRuns is called.
	since time.Time
}

// recordCrash counts a crash of a worker under a run of a task, and fails the job after
// maxCrashes.
func (e *Engine) recordCrash(t *Task, attempt int) {
	if t.Done || t.Job.State.Final() || slices.Contains(t.Crashes, attempt) {
		return
	}
	t.Crashes = append(t.Crashes, attempt)
	e.markChanged(t.Job, true)
	if len(t.Crashes) >= maxCrashes && !t.Job.hosted { // otherwise the home cell gives it up
		e.out.GivenUp = append(e.out.GivenUp, t)
		e.finish(t.Job, job.Failed)
	}
}

// recordIfCrashed counts a crash if the boot of the worker that a run was started on has
// ended unexpectedly, or remembers a silent run until the worker shows that.
func (e *Engine) recordIfCrashed(r *Run, reason LossReason) {
	w := r.Worker
	switch {
	case w.Entry.Draining:
	case reason == LossWorkerGone, r.boot < w.boot:
		e.recordCrash(r.Task, r.Attempt)
	case reason == LossLeaseExpired && e.replaced(w):
		e.recordCrash(r.Task, r.Attempt)
	case reason == LossLeaseExpired:
		e.expectBoot(w.Entry.ID, silentRun{task: r.Task.name(), attempt: r.Attempt, boot: r.boot, address: w.Entry.Address})
	}
}

// replaced reports whether another worker has a worker's address.
func (e *Engine) replaced(w *Worker) bool {
	return slices.ContainsFunc(e.workerList, func(other *Worker) bool {
		return other.Listed && other != w && other.Entry.Address == w.Entry.Address && other.Entry.ID != w.Entry.ID
	})
}

// expectBoot records a run whose worker has to show whether it has crashed.
func (e *Engine) expectBoot(worker string, run silentRun) {
	e.silentRuns[worker] = append(e.silentRuns[worker], run)
}

// handleBootEnded counts the crashes under the silent runs on a worker whose boots before
// the given one have ended.
func (e *Engine) handleBootEnded(worker string, before int64) {
	runs := e.silentRuns[worker]
	delete(e.silentRuns, worker)
	for _, run := range runs {
		t := e.tasks[run.task]
		switch {
		case t == nil:
		case run.boot < before:
			e.recordCrash(t, run.attempt)
		default:
			e.expectBoot(worker, run)
		}
	}
}

// handleNewWorker counts the crashes under the silent runs on a worker's former boots, and
// on another worker that had its address.
func (e *Engine) handleNewWorker(entry port.WorkerEntry) {
	for id, runs := range e.silentRuns {
		if id != entry.ID && runs[0].address == entry.Address {
			e.handleBootEnded(id, math.MaxInt64)
		}
	}
	e.handleBootEnded(entry.ID, entry.Boot)
}

// handleBootAlive forgets the silent runs on a worker that has answered: it lists their
// ends, or their leases have expired.
func (e *Engine) handleBootAlive(worker string) { delete(e.silentRuns, worker) }

// forgetSilentRuns forgets the silent runs of tasks that are done or whose jobs have ended,
// and those that are old.
func (e *Engine) forgetSilentRuns(now time.Time) {
	for worker, runs := range e.silentRuns {
		for i := range runs {
			if runs[i].since.IsZero() {
				runs[i].since = now
			}
		}
		runs = slices.DeleteFunc(runs, func(run silentRun) bool {
			t := e.tasks[run.task]
			return t == nil || t.Done || now.Sub(run.since) > silentRunRetention
		})
		if e.silentRuns[worker] = runs; len(runs) == 0 {
			delete(e.silentRuns, worker)
		}
	}
}

// clearCrashes forgets the crashes under a service task that has run for
// crashFreePeriod.
func (e *Engine) clearCrashes(r *Run, now time.Time) {
	t := r.Task
	if len(t.Crashes) == 0 || !t.Step.Service || now.Sub(r.confirmedAt) < crashFreePeriod {
		return
	}
	t.Crashes = nil
	e.markChanged(t.Job, false)
	r.Worker.countSuspect(r, -1)
	r.crashes = 0
}

// suspect reports whether a worker has crashed under the task.
func (t *Task) suspect() bool { return len(t.Crashes) > 0 }

// isolated reports whether the task is to run without other suspects.
func (t *Task) isolated() bool { return len(t.Crashes) >= isolatedCrashes }

// mustAvoid reports whether a task may not be started on a worker, and still waits for
// another one, because of the suspects there. sharing is set if tasks of the same gang
// are about to be started there.
func (t *Task) mustAvoid(w *Worker, sharing bool, now time.Time) bool {
	switch {
	case !t.keepsApart(now):
		return false
	case t.isolated():
		return w.suspects > 0 || sharing
	}
	return w.isolatedRuns > 0
}

// keepsApart reports whether the task is a suspect that still waits for a worker on which
// it is kept apart from others.
func (t *Task) keepsApart(now time.Time) bool {
	wait := isolationWait
	if t.Step.Service {
		wait = serviceIsolationWait
	}
	return t.suspect() && now.Sub(t.readyAt) < wait
}

// countSuspect adds a run to the worker's counts of suspects, or removes it with -1.
func (w *Worker) countSuspect(r *Run, n int) {
	if r.crashes > 0 {
		w.suspects += n
	}
	if r.crashes >= isolatedCrashes {
		w.isolatedRuns += n
	}
}

// Penalties that keep suspects apart from each other and from other tasks.
const (
	// penaltyBesideSuspect applies to a suspect on a worker with another one, and to
	// any task beside one that is to run without other suspects.
	penaltyBesideSuspect = 1e8
	// penaltyPerNeighbour applies per run beside a task that is to run without other
	// suspects: if it crashes the worker, they are lost.
	penaltyPerNeighbour = 1e6
)

// crashPenalty returns the penalty of a worker for the neighbours that a task would have
// there.
func crashPenalty(t *Task, w *Worker) float64 {
	p := 0.0
	if w.isolatedRuns > 0 {
		p += penaltyBesideSuspect
	}
	if t.suspect() && w.suspects > 0 {
		p += penaltyBesideSuspect
	}
	if t.isolated() {
		p += penaltyPerNeighbour * float64(len(w.runs))
	}
	return p
}
