package dispatch

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Worker is one boot of a worker.
type Worker struct {
	Entry port.WorkerEntry
	// Listed is set while the worker is in the platform's list.
	Listed bool

	recorded  bool // the next owner knows of the worker though the platform may not list it
	boot      int64
	contacted bool      // a listing has been received under this epoch
	clockMS   int64     // lower bound of its clock at clockAt
	clockAt   time.Time // zero if its clock is not known
	// leaseUntilMS is the latest time on the worker's clock until which a run may
	// continue.
	leaseUntilMS int64
	lastEnd      int64 // highest sequence number of a handled end
	runs         map[runKey]*Run
	// runOrder are the runs in a fixed order; nil after a change of runs.
	runOrder      []*Run
	unknownRuns   map[runKey]trackedUnknownRun
	unmatchedEnds []unmatchedEnd
	used          job.Resources
	// reservedUse are the resources that are reserved for tasks without a run there.
	reservedUse job.Resources
	// reservedBy are these tasks.
	reservedBy []*Task
	// advance is the part of an advance reservation; nil if there is none.
	advance *advancePart

	// lastContact is when the worker last answered any call.
	lastContact time.Time
	// unansweredSince is when the oldest call without a response was sent.
	unansweredSince time.Time
	// roundTrip is the shortest observed duration of a start request.
	roundTrip           time.Duration
	consecutiveFailures int
	// backoffUntil is when the worker gets work again. barredUntil is when, within that
	// time, an interrupted service task that has no other worker may be started.
	backoffUntil, barredUntil time.Time
	latency                   latencyState
	// leavesAt is the earliest time at which a draining worker may leave; zero if it does not
	// drain.
	leavesAt time.Time
	// coldUntil is the time until which the worker is or was cold.
	coldUntil time.Time
	// recentShares are the CPU shares of best-effort images, and serviceLoads the
	// loads of service images.
	recentShares shareAverages
	serviceLoads map[string]serviceLoad
	colocation   colocation
	// suspects is the number of runs of tasks under which a worker has crashed, and
	// isolatedRuns the number of those that are to run without other suspects.
	suspects, isolatedRuns int
	// unansweredStarts is the number of consecutive start requests without response.
	unansweredStarts int
	speedHistory     speedHistory
}

type runKey struct {
	task    string
	attempt int
}

// RunCount returns the number of runs on the worker.
func (w *Worker) RunCount() int { return len(w.runs) }

// HasHistory reports whether the worker has runs, or has listed ends, under this owner.
func (w *Worker) HasHistory() bool {
	return len(w.runs)+len(w.unknownRuns)+len(w.unmatchedEnds) > 0 || w.lastEnd > 0
}

// Recorded reports whether tasks may start on the worker as far as the record for the next owner
// is concerned.
func (w *Worker) Recorded() bool { return w.recorded }

// MarkRecorded allows starts on a worker that the record for the next owner names.
func (e *Engine) MarkRecorded(id string) {
	if w := e.workers[id]; w != nil {
		w.recorded = true
	}
}

// Contacted reports whether the worker has answered a listing under this epoch.
func (w *Worker) Contacted() bool { return w.contacted }

// HasUnacknowledgedRuns reports whether the existence of any run is not known.
func (w *Worker) HasUnacknowledgedRuns() bool {
	for _, r := range w.runs {
		if r.State == RunUnacknowledged {
			return true
		}
	}
	return false
}

// Colocated reports whether best-effort tasks run beside a service.
func (w *Worker) Colocated() bool {
	services, bestEffort := w.countColocated()
	return services > 0 && bestEffort > 0
}

// OverLatencyTarget reports whether a service on the worker exceeds its target.
func (w *Worker) OverLatencyTarget() bool { return !w.latency.overSince.IsZero() }

// Target returns the worker's address.
func (w *Worker) Target() port.Target { return port.Target{ID: w.Entry.ID, Address: w.Entry.Address} }

// LastEnd returns the sequence number of the last end that may be acknowledged
// once it is committed, and the boot that it belongs to.
func (w *Worker) LastEnd() (number, boot int64) {
	number = w.lastEnd
	for _, u := range w.unmatchedEnds {
		number = min(number, u.end.Sequence-1)
	}
	return number, w.boot
}

// ClockMS returns a lower bound of the worker's clock now; zero if it is not known.
func (w *Worker) ClockMS(now time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clockMS + int64(clockRate*float64(now.Sub(w.clockAt).Milliseconds()))
}

// setClock updates the worker's clock from a response received now.
func (w *Worker) setClock(ms int64, now time.Time) {
	if ms <= 0 || ms < w.ClockMS(now) {
		return
	}
	w.clockMS, w.clockAt = ms, now
}

// ExtendLease returns and records a lease on the worker's clock that ends after d.
// It returns zero if the clock is not known.
func (w *Worker) ExtendLease(now time.Time, d time.Duration) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	until := w.ClockMS(now) + d.Milliseconds()
	w.leaseUntilMS = max(w.leaseUntilMS, until)
	return until
}

// cpuShareOf returns an amount as a share of the worker's processors.
func (w *Worker) cpuShareOf(milliCPU int64) float64 {
	return float64(milliCPU) / max(1, float64(w.Entry.Capacity.MilliCPU))
}

// cpuShare returns the share of the worker's processors that a task of a step
// requests.
func (w *Worker) cpuShare(s *job.Step) float64 { return w.cpuShareOf(s.Resources.MilliCPU) }

// free returns the resources that no run uses.
func (w *Worker) free() job.Resources { return w.Entry.Capacity.Sub(w.used) }

// demand returns the resources that a run counts against its worker's capacity.
func demand(s *job.Step) job.Resources {
	r := s.Resources
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

func (w *Worker) attach(r *Run) {
	w.runs[runKey{r.Task.name(), r.Attempt}] = r
	w.runOrder = nil
	w.used = w.used.Add(demand(r.Task.Step))
	w.colocation.valid = false
	r.crashes = len(r.Task.Crashes)
	w.countSuspect(r, 1)
	r.Task.addRun(r)
}

func (w *Worker) detach(r *Run) {
	key := runKey{r.Task.name(), r.Attempt}
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.runOrder = nil
	w.used = w.used.Sub(demand(r.Task.Step))
	w.colocation.valid = false
	w.countSuspect(r, -1)
	r.Task.removeRun(r)
}

// Workers returns all workers; the caller must not change them.
func (e *Engine) Workers() map[string]*Worker { return e.workers }

// Worker returns a worker by its ID, or nil.
func (e *Engine) Worker(id string) *Worker { return e.workers[id] }

// SetWorkers applies the platform's list. Workers that are not in it get no more
// work; they are removed once nothing can run on them.
func (e *Engine) SetWorkers(list []port.WorkerEntry, now time.Time) {
	for _, w := range e.workers {
		w.Listed = false
	}
	for _, entry := range list {
		w := e.workers[entry.ID]
		if w == nil {
			w = &Worker{runs: map[runKey]*Run{}, unknownRuns: map[runKey]trackedUnknownRun{}, serviceLoads: map[string]serviceLoad{}, boot: entry.Boot, recorded: !e.options.RecordedWorkersOnly}
			e.workers[entry.ID] = w
			e.handleNewWorker(entry)
			if now.Before(e.directoryCompleteAt) {
				e.uncontacted[entry.ID] = e.inheritedRunsDeadline()
			}
		}
		if entry.Boot > w.boot {
			e.handleNewBoot(w, entry.Boot)
		}
		if entry.Boot >= w.boot {
			w.Entry = entry
			w.setCold(entry.WarmUp, e.workersReadAt)
			w.setLeaving(e.workersReadAt, now)
		}
		w.Listed = true
	}
	for id, w := range e.workers {
		if !w.Listed && len(w.runs)+len(w.unknownRuns) == 0 {
			if _, expected := e.uncontacted[id]; !expected {
				delete(e.workers, id)
			}
		}
	}
	e.workerList = slices.Collect(maps.Values(e.workers))
}

// handleNewBoot records that a worker has restarted: the runs that the former boot
// listed have ended, and their ends will not be listed. Start requests of other runs
// may have reached the new boot, or may still arrive.
func (e *Engine) handleNewBoot(w *Worker, boot int64) {
	w.boot = boot
	if w.Entry.Draining {
		e.handleBootAlive(w.Entry.ID) // it has left as planned
	}
	e.handleBootEnded(w.Entry.ID, boot)
	w.contacted = false // the new boot knows no epoch and would accept a former owner
	w.clockAt, w.clockMS = time.Time{}, 0
	w.lastEnd = 0
	w.leaseUntilMS = 0
	w.unmatchedEnds = nil
	e.dropUnknownRuns(w, func(runKey) bool { return true })
	w.consecutiveFailures = 0
	w.backoffUntil = time.Time{}
	w.speedHistory = speedHistory{}
	w.leavesAt = time.Time{}
	for _, r := range w.sortedRuns() {
		if r.listedByBoot {
			e.markLost(r, LossWorkerRestarted)
			continue
		}
		// The request may have reached the new boot, or may still reach it. Its
		// expiry refers to a clock that no longer exists, so only a stop prevents it.
		if w.Entry.Draining {
			r.boot = boot
		}
		r.State = RunUnacknowledged
		r.notAfterMS = math.MaxInt64
		r.stopInFlight, r.stopAckedAt = false, time.Time{}
		if r.confirmedAt.IsZero() {
			e.stop(r, StopUnacknowledged)
		}
	}
}

// UnresponsiveFor returns the observations, in the order of their IDs, of the workers that have
// runs, or may have those of a former owner, and have not answered for at least d. They include
// workers that the platform no longer lists.
func (e *Engine) UnresponsiveFor(now time.Time, d time.Duration) []Observation {
	var found []Observation
	for id, w := range e.workers {
		_, expected := e.uncontacted[id]
		if (len(w.runs) > 0 || expected) && !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) >= d {
			found = append(found, w.Observe(now))
		}
	}
	for id := range e.uncontacted {
		if e.workers[id] == nil && now.Sub(e.takeoverAt) >= d {
			found = append(found, e.Observe(id, now))
		}
	}
	slices.SortFunc(found, func(a, b Observation) int { return strings.Compare(a.worker, b.worker) })
	return found
}

// sortedRuns returns the runs in a fixed order. The caller must not change the slice,
// which stays as it is when runs are attached or detached.
func (w *Worker) sortedRuns() []*Run {
	if w.runOrder != nil {
		return w.runOrder
	}
	runs := make([]*Run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *Run) int {
		if c := a.requestedAt.Compare(b.requestedAt); c != 0 {
			return c
		}
		return compareRunNames(a, b)
	})
	w.runOrder = runs
	return runs
}

// Expire gives up the runs on workers whose leases have expired. It stops waiting for
// uncontacted workers, and forgets ended jobs and unmatched ends, after their time
// limits.
func (e *Engine) Expire(now time.Time) {
	e.forgetFinalJobs(now)
	for id, until := range e.uncontacted {
		if now.After(until) {
			e.resolveRecorded(id)
		}
	}
	for _, w := range e.workerList {
		w.expireUnmatchedEnds(now, e.jobsKnownAt)
		if len(w.runs)+len(w.unknownRuns) == 0 || w.clockAt.IsZero() {
			continue
		}
		if w.ClockMS(now) > w.leaseUntilMS {
			e.dropUnknownRuns(w, func(runKey) bool { return true })
			for _, r := range w.sortedRuns() {
				if r.State == RunStarting || w.ClockMS(now) <= r.notAfterMS {
					continue
				}
				e.markLost(r, LossLeaseExpired)
			}
		}
	}
}

// forgetFinalInterval is the interval at which ended jobs are checked for their
// retention. There are many, and the retention is minutes.
const forgetFinalInterval = time.Second

// forgetFinalJobs forgets the jobs that ended more than endedRetention ago.
func (e *Engine) forgetFinalJobs(now time.Time) {
	if now.Sub(e.finalJobsCheckedAt) < forgetFinalInterval {
		return
	}
	e.finalJobsCheckedAt = now
	e.forgetSilentRuns(now)
	for id, at := range e.finalJobs {
		switch {
		case at.IsZero():
			e.finalJobs[id] = now // ended before the first call of Plan
		case now.Sub(at) > endedRetention:
			delete(e.finalJobs, id)
		}
	}
}
