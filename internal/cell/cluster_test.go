package cell

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/logfmt"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// world is a cell with several daemons, a store and a fleet, in virtual time.
// It must be made and used within one synctest bubble.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	store   *fake.RowStore
	fleet   *fake.Fleet
	mu      sync.Mutex
	daemons map[string]*daemon // by name; only those that run
	boots   int
	jobs    int
	// configChanges is how often operators have changed the configuration.
	configChanges atomic.Int64
}

// daemon is one start of a daemon.
type daemon struct {
	name string
	cell *Cell
	loop *control.Loop
	// cutStore, cutFleet and cutAll silence the daemon's calls of the store, of
	// the workers, and of everybody.
	cutStore, cutFleet, cutAll atomic.Bool
}

func newWorld(t *testing.T, seed uint64, daemons, workers int, work func(task string) time.Duration, fails func(string, int) bool) *world {
	t.Helper()
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), store: fake.NewRowStore(), daemons: map[string]*daemon{}}
	w.fleet = fake.NewFleet(fake.FleetOptions{Now: time.Now, TaskDuration: work, Fails: fails})
	for i := range workers {
		w.fleet.Add(fmt.Sprintf("w%d", i), "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
	}
	for i := range daemons {
		w.start(fmt.Sprintf("d%d", i))
	}
	return w
}

// start starts a daemon.
func (w *world) start(name string) {
	w.boots++
	d := &daemon{name: name, loop: control.NewLoop()}
	began := time.Now()
	seed := w.rng.Uint64()
	rng := rand.New(rand.NewPCG(seed, 2))
	d.cell = New(Options{
		Partition: "c0",
		Self:      Identity{Name: name, Boot: fmt.Sprintf("%s-%d", name, w.boots), Address: name},
		Loop:      d.loop,
		Store:     cutStore{w.store, d},
		Workers:   cutWorkers{fake.FleetWorkers{Fleet: w.fleet}, d},
		Directory: w.fleet, Machines: nil,
		Configs: worldConfig{w, d},
		Peers:   peers{w, d},
		Log:     w.logger(name),
		Engine:  dispatch.Options{MaxLease: 6 * time.Second, StartWindow: 1500 * time.Millisecond, MaxViolation: 4 * time.Second},
		Lease:   4500 * time.Millisecond, Retention: 4 * time.Minute,
		Now: time.Now, Wall: time.Now,
		Uptime: func() time.Duration { return time.Since(began) },
		Random: rng.Float64,
	})
	w.mu.Lock()
	w.daemons[name] = d
	w.mu.Unlock()
	go d.loop.Run()
	d.cell.Start()
}

// traceLogs prints what daemons log, to follow a history that failed.
var traceLogs = flag.Bool("trace", false, "print what the daemons of a history log")

func (w *world) logger(name string) log.Interface {
	if !*traceLogs {
		return &log.Logger{Handler: discard.New()}
	}
	return (&log.Logger{Handler: logfmt.New(os.Stderr), Level: log.DebugLevel}).WithField("daemon", name)
}

// kill ends a daemon without a word.
func (w *world) kill(name string) {
	w.mu.Lock()
	d := w.daemons[name]
	delete(w.daemons, name)
	w.mu.Unlock()
	if d != nil {
		d.loop.Stop()
	}
}

// stopAll ends the world; every bubble must call it.
func (w *world) stopAll() {
	for _, name := range w.names() {
		w.kill(name)
	}
}

func (w *world) names() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for i := range 16 {
		if name := fmt.Sprintf("d%d", i); w.daemons[name] != nil {
			names = append(names, name)
		}
	}
	return names
}

// owner returns the name of the daemon that owns the cell, or "".
func (w *world) owner() string {
	for _, name := range w.names() {
		if w.daemons[name].cell.View().IsOwner {
			return name
		}
	}
	return ""
}

// awaitOwner waits until a daemon owns the cell.
func (w *world) awaitOwner() string {
	w.t.Helper()
	for range 600 {
		if name := w.owner(); name != "" {
			return name
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatal("nobody owns the cell")
	return ""
}

// spec returns a job of two steps, the second after the first.
func (w *world) spec(tasks int) job.Spec {
	w.jobs++
	step := job.Step{Tasks: tasks, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 1000}, EstimateMS: 500}
	second := step
	second.After = []int{0}
	return job.Spec{ID: fmt.Sprintf("job%04d", w.jobs), Queue: "batch", Steps: []job.Step{step, second}}
}

// submit hands a job in at a daemon until it is accepted.
func (w *world) submit(name string, spec job.Spec) {
	w.t.Helper()
	for range 100 {
		if err := w.trySubmit(name, spec); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("job %s is not accepted", spec.ID)
}

func (w *world) trySubmit(name string, spec job.Spec) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	w.mu.Lock()
	d := w.daemons[name]
	w.mu.Unlock()
	if d == nil {
		return errors.New("the daemon does not run")
	}
	return d.cell.Submit(ctx, spec)
}

// state asks every daemon for a job's state and returns the last answer.
func (w *world) state(id string) job.State {
	var last job.State
	for _, name := range w.names() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		state, err := w.daemons[name].cell.State(ctx, id)
		cancel()
		if err == nil {
			last = state
		}
	}
	return last
}

// awaitState waits until a job has a state.
func (w *world) awaitState(id string, want job.State, within time.Duration) {
	w.t.Helper()
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if w.state(id) == want {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("job %s is %q after %s, want %q", id, w.state(id), within, want)
}

// check fails the test if the fleet has seen a breach.
func (w *world) check() {
	w.t.Helper()
	for _, b := range w.fleet.Violations() {
		w.t.Errorf("breach: %s", b)
	}
}

// worldConfig is the configuration as one daemon sees it. Its body is its
// version.
type worldConfig struct {
	w *world
	d *daemon
}

func (c worldConfig) Read(ctx context.Context, _ *port.Config) (*port.Config, error) {
	if err := (cutStore{c.w.store, c.d}).silent(ctx, "range"); err != nil {
		return nil, err
	}
	return c.Decode([]byte(strconv.FormatInt(1+c.w.configChanges.Load(), 10)))
}

func (worldConfig) Decode(body []byte) (*port.Config, error) {
	version, err := strconv.ParseInt(string(body), 10, 64)
	if err != nil {
		return nil, err
	}
	queue := job.Queue{Name: "batch", Pool: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second}
	return &port.Config{Version: version, Body: body, Routes: []port.Route{{Queue: queue}}}, nil
}

// peers calls other daemons of the world directly.
type peers struct {
	w    *world
	from *daemon
}

var errUnreachable = errors.New("unreachable")

func (p peers) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error) {
	p.w.mu.Lock()
	to := p.w.daemons[address]
	p.w.mu.Unlock()
	if to == nil {
		return nil, errUnreachable
	}
	if p.from.cutAll.Load() || to.cutAll.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	resp := to.cell.Handle(ctx, req)
	if resp.GetRefusal() != nil {
		return nil, errors.New(resp.GetRefusal().GetReason())
	}
	return resp, nil
}

// cutStore is the store as one daemon sees it.
type cutStore struct {
	port.Store
	d *daemon
}

func (s cutStore) silent(ctx context.Context, op string) error {
	if !s.d.cutStore.Load() && !s.d.cutAll.Load() {
		return nil
	}
	<-ctx.Done()
	return &port.UnansweredError{Op: op, Err: ctx.Err()}
}

func (s cutStore) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	if err := s.silent(ctx, "commit"); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Millisecond)
	return s.Store.Commit(ctx, txn)
}

func (s cutStore) Range(ctx context.Context, table, partition, from, to string, limit int) (port.Page, error) {
	if err := s.silent(ctx, "range"); err != nil {
		return port.Page{}, err
	}
	time.Sleep(4 * time.Millisecond)
	return s.Store.Range(ctx, table, partition, from, to, limit)
}

func (s cutStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (port.Page, error) {
	if err := s.silent(ctx, "changes"); err != nil {
		return port.Page{}, err
	}
	return s.Store.Changes(ctx, table, after, wait)
}

// cutWorkers are the workers as one daemon sees them.
type cutWorkers struct {
	port.Workers
	d *daemon
}

func (c cutWorkers) silent(ctx context.Context, op string) error {
	if !c.d.cutFleet.Load() && !c.d.cutAll.Load() {
		return nil
	}
	<-ctx.Done()
	return &port.UnansweredError{Op: op, Err: ctx.Err()}
}

func (c cutWorkers) Start(ctx context.Context, to port.Target, o port.StartRequest) (int64, error) {
	if err := c.silent(ctx, "start"); err != nil {
		return 0, err
	}
	time.Sleep(time.Millisecond)
	return c.Workers.Start(ctx, to, o)
}

func (c cutWorkers) Stop(ctx context.Context, to port.Target, task string, attempt int, epoch int64) error {
	if err := c.silent(ctx, "stop"); err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	return c.Workers.Stop(ctx, to, task, attempt, epoch)
}

func (c cutWorkers) List(ctx context.Context, to port.Target, o port.ListRequest) (port.Listing, error) {
	if err := c.silent(ctx, "list"); err != nil {
		return port.Listing{}, err
	}
	time.Sleep(time.Millisecond)
	return c.Workers.List(ctx, to, o)
}
