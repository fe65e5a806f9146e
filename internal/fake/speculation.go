package fake

import (
	"math"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// SpeculationOptions describe the tasks that may have copies, and why they have some; all
// may be zero.
type SpeculationOptions struct {
	// Speculative reports whether a task may have two runs at the same time.
	Speculative func(task string) bool
	// Slowdown returns the factor by which tasks on a worker take longer.
	Slowdown func(worker string) int
	// MaxAttempts is the number of failed ends after which a task may not be started again;
	// zero if that is not checked. An end counts for an epoch in which it was listed, and
	// for all once it was acknowledged: one that is lost with its worker is not known.
	MaxAttempts int
}

// lateStart is how long after the end of a task was acknowledged a run of a speculative
// task may still start.
const lateStart = time.Second

// speculation is what a fleet knows of the runs of tasks, guarded by the fleet's mutex.
type speculation struct {
	SpeculationOptions
	// failed are the attempts of a task that ended failed, each with the highest epoch in
	// which it was listed. copies is the number of starts of tasks that were running already.
	failed map[string]map[int]int64
	copies int
}

func newSpeculation(o SpeculationOptions) speculation {
	if o.Speculative == nil {
		o.Speculative = func(string) bool { return false }
	}
	return speculation{SpeculationOptions: o, failed: map[string]map[int]int64{}}
}

// slowed returns the duration of a task on a worker.
func (s *speculation) slowed(worker string, d time.Duration) time.Duration {
	if s.Slowdown == nil {
		return d
	}
	return d * time.Duration(s.Slowdown(worker))
}

// acknowledgedFailure replaces the epoch of a failed end that was acknowledged.
const acknowledgedFailure = math.MaxInt64

// recordListed records that an end was listed in an epoch.
func (s *speculation) recordListed(end port.EndedTask, epoch int64) {
	if end.Reason != port.EndFailed {
		return
	}
	if s.failed[end.Task] == nil {
		s.failed[end.Task] = map[int]int64{}
	}
	s.failed[end.Task][end.Attempt] = max(s.failed[end.Task][end.Attempt], epoch)
}

// failures returns the number of failed attempts of a task that the owner of an epoch must
// know.
func (s *speculation) failures(task string, epoch int64) int {
	n := 0
	for _, listed := range s.failed[task] {
		if listed >= epoch {
			n++
		}
	}
	return n
}

// Copies returns the number of starts of tasks that were running already.
func (f *Fleet) Copies() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.speculation.copies
}

// checkStart records a violation if a start, which is already counted, gives a task too many
// runs, or follows too late after its end or its last failure.
func (w *fleetWorker) checkStart(req port.StartRequest) {
	f, task := w.fleet, req.Task
	ended, done := f.done[task]
	if f.speculation.Speculative(task) {
		if f.running[task] > 1 {
			f.speculation.copies++
		}
		if f.running[task] > 2 {
			f.recordViolation("task %s has %d runs", task, f.running[task])
		}
		if w.runs[task] != nil {
			f.recordViolation("task %s has two runs on worker %s", task, w.entry.ID)
		}
		if done && f.now().Sub(ended) > lateStart {
			f.recordViolation("task %s started %s after its end was acknowledged", task, f.now().Sub(ended))
		}
	} else {
		if f.running[task] > 1 {
			f.recordViolation("task %s runs on two workers", task)
		}
		if done {
			f.recordViolation("task %s started after its end was acknowledged", task)
		}
	}
	if n := f.speculation.failures(task, req.Epoch); f.speculation.MaxAttempts > 0 && n >= f.speculation.MaxAttempts {
		f.recordViolation("task %s started after %d failed attempts", task, n)
	}
}
