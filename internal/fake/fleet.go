package fake

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Fleet simulates the platform's workers and its lists of them. Every worker
// follows the platform's rules: it refuses requests with a lower epoch and start
// requests that arrive too late, ends tasks whose lease has expired, and lists
// ended tasks until they are acknowledged. The fleet records violations of the
// scheduler's guarantees across all workers. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	now     func() time.Time
	workers map[string]*fleetWorker // by address
	// taskDuration returns how long a task runs, by its ID.
	taskDuration func(task string) time.Duration
	// fails reports whether an attempt fails when it ends.
	fails func(task string, attempt int) bool
	// demand returns what a task counts against its worker's capacity; nil if that is not
	// checked.
	demand func(task string) job.Resources
	// serves reports whether a task is one of a service, which serves from its start on; nil
	// if there are none.
	serves      func(task string) bool
	crashing    crashing
	speculation speculation
	// endsPerListing is the number of ends that a worker lists at a time.
	endsPerListing int
	// aliveDelay is how late the list of VMs is answered.
	aliveDelay time.Duration
	// evacuations are those in force, by data centre.
	evacuations map[string]evacuation
	running     map[string]int       // current runs of a task on live workers
	done        map[string]time.Time // tasks whose completion was acknowledged, with the time of the first
	starts      map[string]int
	violations  []string
}

// FleetOptions describe the tasks that a fleet runs; Fails, Crashes and Serves may be nil. If
// Demand is nil, the capacities of workers are not checked. EndsPerListing is the number of ends
// that a worker lists at a time, 500 if it is zero.
type FleetOptions struct {
	Now          func() time.Time
	TaskDuration func(task string) time.Duration
	Fails        func(task string, attempt int) bool
	Demand       func(task string) job.Resources
	Serves       func(task string) bool

	EndsPerListing int
	CrashOptions
	SpeculationOptions
}

// fleetWorker is one worker of a Fleet, guarded by the fleet's mutex.
type fleetWorker struct {
	entry          port.WorkerEntry
	fleet          *Fleet
	startedAt      time.Time
	epoch          int64
	leaseEnd       time.Duration // on the worker's clock
	runs           map[string]*fleetRun
	ended          []port.EndedTask // not yet acknowledged
	lastSequence   int64            // of the last ended task
	highestAttempt map[string]int   // highest attempt that ended or was stopped, by task
	// doneEnds are the ends of tasks that are done and not yet acknowledged, by sequence.
	doneEnds    map[int64]*doneEnd
	dead        bool
	crashed     bool // dead, and to be restarted
	unreachable bool
	unlisted    bool
	// startDelay, if not zero, delays start requests and leaves them unanswered.
	startDelay time.Duration
	// capacities are the capacities that the worker has had, in order; empty if it has had
	// only one.
	capacities []capacityChange
}

type fleetRun struct {
	attempt   int
	startedAt time.Time
	endsAt    time.Duration // on the worker's clock
}

// NewFleet returns a fleet without workers.
func NewFleet(o FleetOptions) *Fleet {
	if o.Fails == nil {
		o.Fails = func(string, int) bool { return false }
	}
	return &Fleet{
		now: o.Now, taskDuration: o.TaskDuration, fails: o.Fails, demand: o.Demand, serves: o.Serves, workers: map[string]*fleetWorker{},
		running: map[string]int{}, done: map[string]time.Time{}, starts: map[string]int{},
		crashing: newCrashing(o.CrashOptions), speculation: newSpeculation(o.SpeculationOptions),
		evacuations:    map[string]evacuation{},
		endsPerListing: cmp.Or(o.EndsPerListing, defaultEndsPerListing),
	}
}

const defaultEndsPerListing = 500

// Add adds a worker, whose ID is also its address.
func (f *Fleet) Add(id, pool string, capacity job.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = f.newWorker(port.WorkerEntry{ID: id, Pool: pool, Address: id, Capacity: capacity, Boot: 1})
}

// AddTo adds a worker, whose ID is also its address, to a rack of a data centre.
func (f *Fleet) AddTo(dataCentre, rack, id, pool string, capacity job.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = f.newWorker(port.WorkerEntry{
		ID: id, Pool: pool, Address: id, Capacity: capacity, Boot: 1, DataCentre: dataCentre, Rack: rack, Labels: []string{rack},
	})
}

func (f *Fleet) newWorker(entry port.WorkerEntry) *fleetWorker {
	return &fleetWorker{entry: entry, fleet: f, startedAt: f.now(), runs: map[string]*fleetRun{}, highestAttempt: map[string]int{}, doneEnds: map[int64]*doneEnd{}}
}

// Kill ends a worker and its tasks, and removes it from the lists.
func (f *Fleet) Kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].kill()
}

// Restart kills a worker and starts it again with the same ID and a new boot
// number.
func (f *Fleet) Restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.kill()
	w.restart()
}

// RestartWithBoot is like Restart with a given boot number, which may be an earlier one: the
// worker's clock has been set back.
func (f *Fleet) RestartWithBoot(id string, boot int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.kill()
	w.entry.Boot = boot - 1
	w.restart()
}

// restart replaces a dead worker by its next boot.
func (w *fleetWorker) restart() {
	entry := w.entry
	entry.Boot++
	if w.fleet.crashing.NewID {
		entry.ID, entry.Boot = entry.ID+"'", 1
	}
	w.fleet.workers[entry.Address] = w.fleet.newWorker(entry)
}

// SetUnreachable makes a worker unreachable or reachable again. Its tasks continue.
func (f *Fleet) SetUnreachable(id string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unreachable = unreachable
}

// SetUnlisted removes a worker from the directory or adds it again. Its tasks continue.
func (f *Fleet) SetUnlisted(id string, unlisted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unlisted = unlisted
}

// DelayStarts makes a worker execute start requests d after they arrive, without
// a response. Zero restores normal operation.
func (f *Fleet) DelayStarts(id string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].startDelay = d
}

// Drain marks a worker as draining, to end after the remaining time.
func (f *Fleet) Drain(id string, remaining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].entry.Draining, f.workers[id].entry.Remaining = true, remaining
}

// Violations returns the recorded violations of the scheduler's guarantees.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Starts returns how often a task has been started.
func (f *Fleet) Starts(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// StartsOfJob returns how often tasks of a job have been started.
func (f *Fleet) StartsOfJob(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for task, n := range f.starts {
		if jobID, _, _ := strings.Cut(task, "."); jobID == id {
			sum += n
		}
	}
	return sum
}

// Acknowledged reports whether the completion of a task was acknowledged.
func (f *Fleet) Acknowledged(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, done := f.done[task]
	return done
}

// Running returns the number of running tasks.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		w.advance()
		n += len(w.runs)
	}
	return n
}

// RunningOn returns the number of tasks that run on a worker.
func (f *Fleet) RunningOn(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.advance()
	return len(w.runs)
}

func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// List implements port.Directory.
func (f *Fleet) List(context.Context) ([]port.WorkerEntry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []port.WorkerEntry
	for _, w := range f.workers {
		if !w.unlisted && (!w.dead || w.crashed && f.crashing.StayListed) {
			entries = append(entries, f.withEvacuation(w.entry))
		}
	}
	slices.SortFunc(entries, func(a, b port.WorkerEntry) int { return strings.Compare(a.ID, b.ID) })
	return entries, nil
}

func (w *fleetWorker) kill() {
	w.advance()
	w.dead, w.crashed = true, false
	for task := range w.runs {
		w.fleet.running[task]--
		w.fleet.crashing.under[task]++
	}
	w.runs = map[string]*fleetRun{}
}

// advance ends the tasks that have finished or whose lease has expired by now.
func (w *fleetWorker) advance() {
	if w.dead {
		return
	}
	clock := w.clock()
	defer w.lapseEnds(clock)
	for task, r := range w.runs {
		switch {
		case r.endsAt <= clock && r.endsAt <= w.leaseEnd:
			reason := port.EndDone
			if w.fleet.fails(task, r.attempt) {
				reason = port.EndFailed
			}
			w.end(task, reason)
		case w.leaseEnd < clock:
			w.end(task, port.EndLeaseExpired)
		}
	}
}

func (w *fleetWorker) end(task string, reason port.EndReason) {
	r := w.runs[task]
	delete(w.runs, task)
	w.fleet.running[task]--
	w.highestAttempt[task] = max(w.highestAttempt[task], r.attempt)
	w.lastSequence++
	w.ended = append(w.ended, port.EndedTask{Sequence: w.lastSequence, Task: task, Attempt: r.attempt, Reason: reason})
	if reason == port.EndDone {
		w.doneEnds[w.lastSequence] = &doneEnd{task: task, at: w.startedAt.Add(r.endsAt - time.Second)}
	}
}

// lockWorker locks the fleet and returns the worker at to.Address, advanced to
// now. The caller must unlock f.mu unless an error is returned.
func (f *Fleet) lockWorker(ctx context.Context, op string, to port.Target) (*fleetWorker, error) {
	f.mu.Lock()
	w := f.workers[to.Address]
	if w == nil || w.dead {
		f.mu.Unlock()
		return nil, &port.UnansweredError{Op: op, NotSent: true, Err: errNoResponse}
	}
	if w.unreachable {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, &port.UnansweredError{Op: op, Err: ctx.Err()}
	}
	w.advance()
	if to.ID != w.entry.ID {
		f.mu.Unlock()
		return nil, &port.RefusedError{Op: op, Reason: port.RefusedIncarnation}
	}
	return w, nil
}

func (w *fleetWorker) refuse(op string, reason port.Refusal) error {
	return &port.RefusedError{Op: op, Reason: reason, ClockMS: w.clock().Milliseconds()}
}

// Start implements port.Workers.
func (f *Fleet) Start(ctx context.Context, to port.Target, req port.StartRequest) (int64, error) {
	w, err := f.lockWorker(ctx, "start", to)
	if err != nil {
		return 0, err
	}
	if delay := w.startDelay; delay > 0 {
		f.mu.Unlock()
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			w.advance()
			_ = w.start(req)
		})
		<-ctx.Done()
		return 0, &port.UnansweredError{Op: "start", Err: ctx.Err()}
	}
	defer f.mu.Unlock()
	err = w.start(req)
	if w.dead {
		return 0, &port.UnansweredError{Op: "start", Err: errNoResponse}
	}
	return w.clock().Milliseconds(), err
}

func (w *fleetWorker) start(req port.StartRequest) error {
	clock := w.clock()
	switch {
	case w.dead:
		return nil
	case req.Epoch < w.epoch:
		return w.refuse("start", port.RefusedEpoch)
	case time.Duration(req.NotAfterMS)*time.Millisecond < clock:
		return w.refuse("start", port.RefusedExpired)
	case req.Attempt <= w.highestAttempt[req.Task]:
		return w.refuse("start", port.RefusedStale)
	}
	w.epoch = req.Epoch
	w.extendLease(req.NotAfterMS)
	if r := w.runs[req.Task]; r != nil && r.attempt == req.Attempt {
		return nil
	}
	f := w.fleet
	for _, other := range f.workers {
		other.advance() // unreachable workers, too
	}
	f.starts[req.Task]++
	f.running[req.Task]++
	w.checkStart(req)
	if !f.speculation.Speculative(req.Task) {
		f.recordStartAfterEnd(req.Task, w.entry.ID, req.Attempt)
	}
	f.checkEvacuation(w, req.Task)
	w.runs[req.Task] = &fleetRun{attempt: req.Attempt, startedAt: f.now(), endsAt: clock + f.speculation.slowed(w.entry.ID, f.taskDuration(req.Task))}
	w.checkCapacity(req.Task)
	w.scheduleCrash(req.Task)
	return nil
}

// Stop implements port.Workers.
func (f *Fleet) Stop(ctx context.Context, to port.Target, task string, attempt int, epoch int64) error {
	w, err := f.lockWorker(ctx, "stop", to)
	if err != nil {
		return err
	}
	defer f.mu.Unlock()
	if epoch < w.epoch {
		return w.refuse("stop", port.RefusedEpoch)
	}
	w.epoch = epoch
	w.highestAttempt[task] = max(w.highestAttempt[task], attempt)
	if r := w.runs[task]; r != nil && r.attempt <= attempt {
		w.end(task, port.EndStopped)
	}
	return nil
}

// Throttle implements port.Workers. It does not slow the task down.
func (f *Fleet) Throttle(ctx context.Context, to port.Target, _ string, _ int, epoch int64, _ int) error {
	w, err := f.lockWorker(ctx, "throttle", to)
	if err != nil {
		return err
	}
	defer f.mu.Unlock()
	if epoch < w.epoch {
		return w.refuse("throttle", port.RefusedEpoch)
	}
	w.epoch = epoch
	return nil
}

// listPollInterval is how often a waiting List checks for ended tasks.
const listPollInterval = 10 * time.Millisecond

// listOnce returns a listing without waiting, and reports whether it has ended
// tasks. If boot is not zero, only that incarnation of the worker answers.
func (f *Fleet) listOnce(ctx context.Context, to port.Target, req port.ListRequest, boot int64) (port.Listing, bool, error) {
	w, err := f.lockWorker(ctx, "list", to)
	if err != nil {
		return port.Listing{}, false, err
	}
	defer f.mu.Unlock()
	if boot != 0 && boot != w.entry.Boot {
		// The connection was to an earlier incarnation and ended with it.
		return port.Listing{}, false, &port.UnansweredError{Op: "list", Err: errNoResponse}
	}
	if req.Epoch < w.epoch {
		return port.Listing{}, false, w.refuse("list", port.RefusedEpoch)
	}
	w.epoch = req.Epoch
	w.extendLease(req.LeaseUntilMS)
	if boot == 0 { // on the first call only, not while the response waits
		w.acknowledge(req.Acknowledge)
	}
	l := port.Listing{ClockMS: w.clock().Milliseconds(), Boot: w.entry.Boot, Ended: slices.Clone(w.ended[:min(len(w.ended), f.endsPerListing)])}
	l.MoreEnds = len(l.Ended) == f.endsPerListing
	for _, end := range l.Ended {
		f.speculation.recordListed(end, req.Epoch)
	}
	for task, r := range w.runs {
		l.Running = append(l.Running, port.RunningTask{Task: task, Attempt: r.attempt, Percent: w.percent(task, r)})
	}
	return l, len(w.ended) > 0, nil
}

// percent returns the progress of a run, from 0 to 100.
func (w *fleetWorker) percent(task string, r *fleetRun) int {
	if w.fleet.serves != nil && w.fleet.serves(task) {
		return 100
	}
	total := r.endsAt - (r.startedAt.Sub(w.startedAt) + time.Second)
	if total <= 0 {
		return 100
	}
	return int(min(100, 100*w.fleet.now().Sub(r.startedAt)/total))
}

// FleetWorkers implements port.Workers on a Fleet. Fleet itself implements
// port.Directory, whose List method differs, and port.Machines.
type FleetWorkers struct{ *Fleet }

// List implements port.Workers.
func (f FleetWorkers) List(ctx context.Context, to port.Target, req port.ListRequest) (port.Listing, error) {
	deadline := f.now().Add(req.Wait)
	boot := int64(0)
	for {
		l, ended, err := f.listOnce(ctx, to, req, boot)
		if err != nil || ended || !f.now().Before(deadline) {
			return l, err
		}
		boot = l.Boot
		select {
		case <-time.After(listPollInterval):
		case <-ctx.Done():
			return port.Listing{}, &port.UnansweredError{Op: "list", Err: ctx.Err()}
		}
	}
}
