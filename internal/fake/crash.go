package fake

import (
	"strings"
	"time"
)

// CrashOptions describe the tasks that crash their workers; all may be zero.
type CrashOptions struct {
	// Crashes reports whether every run of a task crashes its worker.
	Crashes func(task string) bool
	// CrashAfter is the time from the start of such a run to the crash. If it is zero,
	// the worker dies before it answers the start request.
	CrashAfter time.Duration
	// RestartAfter is how long a crashed worker is dead before its next boot.
	RestartAfter time.Duration
	// StayListed keeps crashed workers in the directory, under the boot that has crashed.
	StayListed bool
	// NewID gives restarted workers another ID at their address.
	NewID bool
}

// A task under which crashesToGiveUp workers have crashed may be started startsAfterCrashes
// times more, and the next start breaks the rule.
const (
	crashesToGiveUp    = 3
	startsAfterCrashes = 2
)

// crashing is what a fleet knows of the tasks that crash their workers, guarded by the
// fleet's mutex.
type crashing struct {
	CrashOptions
	crashes     int            // crashes of all workers
	under       map[string]int // workers that were killed or crashed while they ran a task, by task
	startsAfter map[string]int // starts after crashesToGiveUp crashes, by task
}

func newCrashing(o CrashOptions) crashing {
	if o.Crashes == nil {
		o.Crashes = func(string) bool { return false }
	}
	return crashing{CrashOptions: o, under: map[string]int{}, startsAfter: map[string]int{}}
}

// Crashes returns how many workers have crashed.
func (f *Fleet) Crashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashing.crashes
}

// CrashesUnder returns how many workers were killed or have crashed while they ran a task.
func (f *Fleet) CrashesUnder(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashing.under[task]
}

// MostCrashes returns the highest CrashesUnder of the tasks of a job.
func (f *Fleet) MostCrashes(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for task, n := range f.crashing.under {
		if id, _, _ := strings.Cut(task, "."); id == job {
			most = max(most, n)
		}
	}
	return most
}

// Crash crashes a live worker, for no reason of its tasks.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; !w.dead {
		w.advance()
		w.crash()
	}
}

// scheduleCrash crashes the worker if the task that it has just started does so.
func (w *fleetWorker) scheduleCrash(task string) {
	f := w.fleet
	if !f.crashing.Crashes(task) {
		return
	}
	f.recordStartOfCrashing(task)
	if f.crashing.CrashAfter == 0 {
		w.crash()
		return
	}
	r := w.runs[task]
	time.AfterFunc(f.crashing.CrashAfter, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.advance()
		if w.runs[task] == r { // it has not ended or been stopped, and the worker lives
			w.crash()
		}
	})
}

// recordStartOfCrashing records a violation if a task that crashes its workers is started
// too often.
func (f *Fleet) recordStartOfCrashing(task string) {
	if f.crashing.under[task] < crashesToGiveUp {
		return
	}
	f.crashing.startsAfter[task]++
	if n := f.crashing.startsAfter[task]; n == startsAfterCrashes+1 { // once for each task
		f.recordViolation("task %s started %d times after three workers crashed under it", task, n)
	}
}

// crash kills the worker until its next boot.
func (w *fleetWorker) crash() {
	f := w.fleet
	f.crashing.crashes++
	w.kill()
	w.crashed = true
	time.AfterFunc(f.crashing.RestartAfter, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.crashed && f.workers[w.entry.Address] == w { // not killed or restarted since
			w.restart()
		}
	})
}
