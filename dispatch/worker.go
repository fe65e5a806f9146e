package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Worker is one life of a worker.
type Worker struct {
	Entry port.WorkerEntry
	// Listed is set while the platform's list has the worker.
	Listed bool

	boot    int64
	heard   bool      // a listing has been taken under our epoch
	clockMS int64     // its clock at clockAt, at the least
	clockAt time.Time // zero if its clock is not known
	// leaseMS is the latest time on its clock until which anything may run.
	leaseMS int64
	seenEnd int64 // highest number of an end taken in
	runs    map[runKey]*Run
	strays  map[runKey]stray
	orphans []orphan
	used    job.Resources

	// answeredAt is when the worker last answered anything.
	answeredAt time.Time
	// unansweredSince is when the oldest call without a response was sent.
	unansweredSince time.Time
	// roundTrip is the shortest time that a start order took.
	roundTrip    time.Duration
	failures     int // failed ends in a row
	refusedUntil time.Time
	sharing      sharing
	// recent are the shares of best-effort images, and loads those of service
	// images.
	recent recentShares
	loads  map[string]ownLoad
	mix    mixture
	// lostStarts is the number of start orders in a row without a response.
	lostStarts int
	speeds     speeds
}

type runKey struct {
	task    string
	attempt int
}

// RunCount returns the number of runs on the worker.
func (w *Worker) RunCount() int { return len(w.runs) }

// Contacted reports whether the worker has been heard of under our epoch.
func (w *Worker) Contacted() bool { return w.heard }

// HasUnknownRuns reports whether it is not known whether a run exists.
func (w *Worker) HasUnknownRuns() bool {
	for _, r := range w.runs {
		if r.State == RunUnknown {
			return true
		}
	}
	return false
}

// Colocated reports whether best-effort tasks run beside a service with a target.
func (w *Worker) Colocated() bool {
	services, bestEffort := w.neighbours()
	return services > 0 && bestEffort > 0
}

// OverLatencyTarget reports whether a service on the worker is over its target.
func (w *Worker) OverLatencyTarget() bool { return !w.sharing.overSince.IsZero() }

// Target returns the worker's address.
func (w *Worker) Target() port.Target { return port.Target{ID: w.Entry.ID, Address: w.Entry.Address} }

// LastEnd returns the number of the last end taken in, which may be
// acknowledged once it is committed, and the boot that it belongs to.
func (w *Worker) LastEnd() (number, boot int64) {
	number = w.seenEnd
	for _, o := range w.orphans {
		number = min(number, o.end.Sequence-1)
	}
	return number, w.boot
}

// ClockMS returns the least that the worker's clock can show now; zero if it
// is not known.
func (w *Worker) ClockMS(now time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clockMS + int64(clockRate*float64(now.Sub(w.clockAt).Milliseconds()))
}

// setClock takes in the worker's clock from a response received now.
func (w *Worker) setClock(ms int64, now time.Time) {
	if ms <= 0 || ms < w.ClockMS(now) {
		return
	}
	w.clockMS, w.clockAt = ms, now
}

// ExtendLease returns a lease on the worker's clock that ends after d, and remembers
// it; zero while its clock is not known.
func (w *Worker) ExtendLease(now time.Time, d time.Duration) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	until := w.ClockMS(now) + d.Milliseconds()
	w.leaseMS = max(w.leaseMS, until)
	return until
}

// shareOf returns the share of the worker's processors that an amount is.
func (w *Worker) shareOf(milliCPU int64) float64 {
	return float64(milliCPU) / max(1, float64(w.Entry.Capacity.MilliCPU))
}

// share returns the share of the worker's processors that a task of a step asks
// for.
func (w *Worker) share(s *job.Step) float64 { return w.shareOf(s.Resources.MilliCPU) }

// free returns what no run occupies.
func (w *Worker) free() job.Resources { return w.Entry.Capacity.Sub(w.used) }

// demand is what a run counts against its worker's capacity.
func demand(s *job.Step) job.Resources {
	r := s.Resources
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

func (w *Worker) attach(r *Run) {
	w.runs[runKey{r.Task.name(), r.Attempt}] = r
	w.used = w.used.Add(demand(r.Task.Step))
	w.mix.valid = false
	r.Task.Runs = append(r.Task.Runs, r)
}

func (w *Worker) detach(r *Run) {
	key := runKey{r.Task.name(), r.Attempt}
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.used = w.used.Sub(demand(r.Task.Step))
	w.mix.valid = false
	r.Task.Runs = slices.DeleteFunc(r.Task.Runs, func(o *Run) bool { return o == r })
}

// Workers returns all workers; the caller must not change them.
func (e *Engine) Workers() map[string]*Worker { return e.workers }

// Worker returns a worker by its ID, or nil.
func (e *Engine) Worker(id string) *Worker { return e.workers[id] }

// SetWorkers takes in the platform's list. Workers that it lacks get no more
// work; they are forgotten once nothing can run on them.
func (e *Engine) SetWorkers(list []port.WorkerEntry, now time.Time) {
	for _, w := range e.workers {
		w.Listed = false
	}
	for _, entry := range list {
		w := e.workers[entry.ID]
		if w == nil {
			w = &Worker{runs: map[runKey]*Run{}, strays: map[runKey]stray{}, loads: map[string]ownLoad{}, boot: entry.Boot}
			e.workers[entry.ID] = w
		}
		if entry.Boot > w.boot {
			e.reborn(w, entry.Boot)
		}
		if entry.Boot >= w.boot {
			w.Entry = entry
		}
		w.Listed = true
	}
	for id, w := range e.workers {
		if !w.Listed && len(w.runs)+len(w.strays) == 0 {
			if _, silent := e.silent[id]; !silent {
				delete(e.workers, id)
			}
		}
	}
}

// reborn takes in that a worker has started again: what was confirmed on it
// has ended without a trace. Orders without a response may still arrive.
func (e *Engine) reborn(w *Worker, boot int64) {
	w.boot = boot
	w.heard = false // the new life has seen no epoch, and would obey a former owner
	w.clockAt, w.clockMS = time.Time{}, 0
	w.seenEnd = 0
	w.leaseMS = 0
	w.orphans = nil
	e.dropStrays(w, func(runKey) bool { return true })
	w.failures = 0
	w.refusedUntil = time.Time{}
	w.speeds = speeds{}
	for _, r := range w.sortedRuns() {
		if r.listed {
			e.lost(r)
			continue
		}
		// The order may have reached the new life, or may still do so: it was
		// written for a clock that no longer exists, so only a stop prevents that.
		r.State = RunUnknown
		r.notAfterMS = math.MaxInt64
		r.stopSent, r.stoppedAt = false, time.Time{}
		if r.confirmedAt.IsZero() {
			e.stop(r, StopUnknown)
		}
	}
}

// UnresponsiveFor returns the workers that hold runs, or may hold a former owner's,
// and have not answered for a time.
func (e *Engine) UnresponsiveFor(now time.Time, d time.Duration) []string {
	var ids []string
	for id, w := range e.workers {
		_, expected := e.silent[id]
		if (len(w.runs) > 0 || expected) && !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) >= d {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// sortedRuns returns the runs in a fixed order.
func (w *Worker) sortedRuns() []*Run {
	runs := make([]*Run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *Run) int {
		if c := a.orderedAt.Compare(b.orderedAt); c != 0 {
			return c
		}
		return compareNames(a, b)
	})
	return runs
}

// Expire gives up runs on workers whose leases have run out, and the caution
// towards workers that a former owner may have left tasks on.
func (e *Engine) Expire(now time.Time) {
	for id, at := range e.final {
		switch {
		case at.IsZero():
			e.final[id] = now // ended before the first plan
		case now.Sub(at) > endedRetention:
			delete(e.final, id)
		}
	}
	for id, until := range e.silent {
		if now.After(until) {
			delete(e.silent, id)
		}
	}
	for _, w := range e.workers {
		w.expireOrphans(now)
		if len(w.runs)+len(w.strays) == 0 || w.clockAt.IsZero() {
			continue
		}
		if w.ClockMS(now) > w.leaseMS {
			e.dropStrays(w, func(runKey) bool { return true })
			for _, r := range w.sortedRuns() {
				if r.State == RunStarting || w.ClockMS(now) <= r.notAfterMS {
					continue
				}
				e.lost(r)
			}
		}
	}
}

// lost takes in that a run has ended without a word of it.
func (e *Engine) lost(r *Run) {
	r.Worker.detach(r)
	r.Task.readyAt = time.Time{}
	e.breakGang(r)
	e.changed(r.Task.Job, false)
}
