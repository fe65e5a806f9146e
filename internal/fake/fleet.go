package fake

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Fleet stands in for the platform's workers and for its lists of them. Every
// worker keeps the platform's rules: it refuses lower epochs and late orders,
// ends what has no lease and lists what has ended until that is acknowledged.
// The fleet watches all workers at once and notes each breach of what a
// scheduler promises. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	now     func() time.Time
	workers map[string]*fleetWorker // by address
	// work is how long a task runs, by its name.
	work func(task string) time.Duration
	// fails reports whether an attempt fails at its end.
	fails    func(task string, attempt int) bool
	running  map[string]int  // runs of a task on workers that are up
	done     map[string]bool // tasks whose end as done was acknowledged
	starts   map[string]int
	breaches []string
}

// FleetOptions describe the work.
type FleetOptions struct {
	Now          func() time.Time
	TaskDuration func(task string) time.Duration
	Fails        func(task string, attempt int) bool
}

type fleetWorker struct {
	entry    port.WorkerEntry
	fleet    *Fleet
	born     time.Time
	epoch    int64
	leaseEnd time.Duration // on its clock
	runs     map[string]*fleetRun
	ended    []port.EndedTask
	last     int64
	highest  map[string]int // highest attempt that ended or was stopped, by task
	dead     bool
	cut      bool
	// late makes the next start orders be carried out after a delay, without a
	// response.
	late time.Duration
}

type fleetRun struct {
	attempt int
	began   time.Time
	due     time.Duration
}

// NewFleet returns a fleet without workers.
func NewFleet(o FleetOptions) *Fleet {
	if o.Fails == nil {
		o.Fails = func(string, int) bool { return false }
	}
	return &Fleet{
		now: o.Now, work: o.TaskDuration, fails: o.Fails, workers: map[string]*fleetWorker{},
		running: map[string]int{}, done: map[string]bool{}, starts: map[string]int{},
	}
}

// Add adds a worker; its address is its ID.
func (f *Fleet) Add(id, pool string, capacity job.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = f.newWorker(port.WorkerEntry{ID: id, Pool: pool, Address: id, Capacity: capacity, Boot: 1})
}

func (f *Fleet) newWorker(entry port.WorkerEntry) *fleetWorker {
	return &fleetWorker{entry: entry, fleet: f, born: f.now(), runs: map[string]*fleetRun{}, highest: map[string]int{}}
}

// Kill ends a worker and all that it runs; the lists lose it.
func (f *Fleet) Kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].kill()
}

// Restart ends a worker and starts it again under its ID.
func (f *Fleet) Restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.kill()
	entry := w.entry
	entry.Boot++
	f.workers[id] = f.newWorker(entry)
}

// SetUnreachable makes a worker unreachable, or reachable again; what it runs goes on.
func (f *Fleet) SetUnreachable(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].cut = cut
}

// DelayStarts makes a worker carry out start orders so much later, unanswered; zero
// ends it.
func (f *Fleet) DelayStarts(id string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].late = d
}

// Drain marks a worker as leaving.
func (f *Fleet) Drain(id string, remaining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].entry.Draining, f.workers[id].entry.Remaining = true, remaining
}

// Violations returns what went against a scheduler's promises.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.breaches)
}

// Starts returns how often a task has begun to run.
func (f *Fleet) Starts(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// Running returns the number of tasks that run now.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		w.settle()
		n += len(w.runs)
	}
	return n
}

func (f *Fleet) breach(format string, args ...any) {
	f.breaches = append(f.breaches, fmt.Sprintf(format, args...))
}

// List implements port.Directory.
func (f *Fleet) List(context.Context) ([]port.WorkerEntry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []port.WorkerEntry
	for _, w := range f.workers {
		if !w.dead {
			entries = append(entries, w.entry)
		}
	}
	slices.SortFunc(entries, func(a, b port.WorkerEntry) int { return strings.Compare(a.ID, b.ID) })
	return entries, nil
}

// Alive implements port.Machines.
func (f *Fleet) Alive(context.Context) (map[string]bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	alive := map[string]bool{}
	for _, w := range f.workers {
		if !w.dead {
			alive[w.entry.ID] = true
		}
	}
	return alive, nil
}

func (w *fleetWorker) clock() time.Duration { return w.fleet.now().Sub(w.born) + time.Second }

func (w *fleetWorker) kill() {
	w.settle()
	w.dead = true
	for task := range w.runs {
		w.fleet.running[task]--
	}
	w.runs = map[string]*fleetRun{}
}

// settle brings the worker up to date: runs that are done, and lapsed leases.
func (w *fleetWorker) settle() {
	if w.dead {
		return
	}
	clock := w.clock()
	for task, r := range w.runs {
		switch {
		case r.due <= clock && r.due <= w.leaseEnd:
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
	w.highest[task] = max(w.highest[task], r.attempt)
	w.last++
	w.ended = append(w.ended, port.EndedTask{Sequence: w.last, Task: task, Attempt: r.attempt, Reason: reason})
}

// reach returns the worker at an address, brought up to date, under the lock.
func (f *Fleet) reach(ctx context.Context, op string, to port.Target) (*fleetWorker, error) {
	f.mu.Lock()
	w := f.workers[to.Address]
	if w == nil || w.dead {
		f.mu.Unlock()
		return nil, &port.UnansweredError{Op: op, NotSent: true, Err: errNoResponse}
	}
	if w.cut {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, &port.UnansweredError{Op: op, Err: ctx.Err()}
	}
	w.settle()
	return w, nil
}

func (w *fleetWorker) refuse(op string, reason port.Refusal) error {
	return &port.RefusedError{Op: op, Reason: reason, ClockMS: w.clock().Milliseconds()}
}

// Start implements port.Workers.
func (f *Fleet) Start(ctx context.Context, to port.Target, o port.StartRequest) (int64, error) {
	w, err := f.reach(ctx, "start", to)
	if err != nil {
		return 0, err
	}
	if late := w.late; late > 0 {
		f.mu.Unlock()
		time.AfterFunc(late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			w.settle()
			_ = w.start(o)
		})
		<-ctx.Done()
		return 0, &port.UnansweredError{Op: "start", Err: ctx.Err()}
	}
	defer f.mu.Unlock()
	err = w.start(o)
	return w.clock().Milliseconds(), err
}

func (w *fleetWorker) start(o port.StartRequest) error {
	clock := w.clock()
	switch {
	case w.dead:
		return nil
	case o.Epoch < w.epoch:
		return w.refuse("start", port.RefusedEpoch)
	case time.Duration(o.NotAfterMS)*time.Millisecond < clock:
		return w.refuse("start", port.RefusedExpired)
	case o.Attempt <= w.highest[o.Task]:
		return w.refuse("start", port.RefusedStale)
	}
	w.epoch = o.Epoch
	w.leaseEnd = max(w.leaseEnd, time.Duration(o.NotAfterMS)*time.Millisecond)
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return nil
	}
	f := w.fleet
	for _, other := range f.workers {
		other.settle() // also those that nobody reaches
	}
	f.starts[o.Task]++
	if f.running[o.Task]++; f.running[o.Task] > 1 {
		f.breach("task %s runs on two workers", o.Task)
	}
	if f.done[o.Task] {
		f.breach("task %s started after its end was acknowledged", o.Task)
	}
	w.runs[o.Task] = &fleetRun{attempt: o.Attempt, began: f.now(), due: clock + f.work(o.Task)}
	return nil
}

// Stop implements port.Workers.
func (f *Fleet) Stop(ctx context.Context, to port.Target, task string, attempt int, epoch int64) error {
	w, err := f.reach(ctx, "stop", to)
	if err != nil {
		return err
	}
	defer f.mu.Unlock()
	if epoch < w.epoch {
		return w.refuse("stop", port.RefusedEpoch)
	}
	w.epoch = epoch
	w.highest[task] = max(w.highest[task], attempt)
	if r := w.runs[task]; r != nil && r.attempt <= attempt {
		w.end(task, port.EndStopped)
	}
	return nil
}

// Throttle implements port.Workers. It slows nothing down.
func (f *Fleet) Throttle(ctx context.Context, to port.Target, _ string, _ int, epoch int64, _ int) error {
	w, err := f.reach(ctx, "throttle", to)
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

// listPoll is how often a waiting listing looks for an end.
const listPoll = 10 * time.Millisecond

// listing answers a request for a listing at once, and reports whether it holds
// an end. A boot other than zero is the life that must answer.
func (f *Fleet) listing(ctx context.Context, to port.Target, o port.ListRequest, boot int64) (port.Listing, bool, error) {
	w, err := f.reach(ctx, "list", to)
	if err != nil {
		return port.Listing{}, false, err
	}
	defer f.mu.Unlock()
	if boot != 0 && boot != w.entry.Boot {
		// The connection ended with the life that it was opened to.
		return port.Listing{}, false, &port.UnansweredError{Op: "list", Err: errNoResponse}
	}
	if o.Epoch < w.epoch {
		return port.Listing{}, false, w.refuse("list", port.RefusedEpoch)
	}
	w.epoch = o.Epoch
	w.leaseEnd = max(w.leaseEnd, time.Duration(o.LeaseUntilMS)*time.Millisecond)
	if boot == 0 { // on arrival, and not again while the response waits
		w.acknowledge(o.Acknowledge)
	}
	l := port.Listing{ClockMS: w.clock().Milliseconds(), Boot: w.entry.Boot, Ended: slices.Clone(w.ended)}
	for task, r := range w.runs {
		l.Running = append(l.Running, port.RunningTask{Task: task, Attempt: r.attempt, Percent: w.percent(r)})
	}
	return l, len(w.ended) > 0, nil
}

func (w *fleetWorker) percent(r *fleetRun) int {
	whole := r.due - (r.began.Sub(w.born) + time.Second)
	if whole <= 0 {
		return 100
	}
	return int(min(100, 100*w.fleet.now().Sub(r.began)/whole))
}

func (w *fleetWorker) acknowledge(number int64) {
	w.ended = slices.DeleteFunc(w.ended, func(e port.EndedTask) bool {
		if e.Sequence > number {
			return false
		}
		if e.Reason == port.EndDone {
			w.fleet.done[e.Task] = true
		}
		return true
	})
}

// FleetWorkers is the fleet as workers that take orders; Fleet itself lists them.
type FleetWorkers struct{ *Fleet }

// List implements port.Workers.
func (f FleetWorkers) List(ctx context.Context, to port.Target, o port.ListRequest) (port.Listing, error) {
	deadline := f.now().Add(o.Wait)
	boot := int64(0)
	for {
		l, ended, err := f.listing(ctx, to, o, boot)
		if err != nil || ended || !f.now().Before(deadline) {
			return l, err
		}
		boot = l.Boot
		select {
		case <-time.After(listPoll):
		case <-ctx.Done():
			return port.Listing{}, &port.UnansweredError{Op: "list", Err: ctx.Err()}
		}
	}
}
