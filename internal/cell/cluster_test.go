package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/logfmt"
	"google.golang.org/protobuf/proto"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// cluster is a cell with several daemons, a store and a fleet of workers, in
// virtual time. It must be created and used within one synctest bubble.
type cluster struct {
	t       *testing.T
	rng     *rand.Rand
	store   *fake.RowStore
	fleet   *fake.Fleet
	mu      sync.Mutex
	daemons map[string]*daemon // running daemons by name
	boots   int
	jobs    int
	// configChanges is the number of changes of the configuration.
	configChanges atomic.Int64
	// configBytes is the size to which the configuration is padded, if it is not zero.
	configBytes atomic.Int64
	// queueRemovedIn is the version of the configuration from which the queue is missing; zero
	// if there is none.
	queueRemovedIn atomic.Int64
	// queuesOf returns the queues of a version of the configuration; nil means that each has the
	// queue "batch".
	queuesOf func(version int64) []job.Queue
	// milliCPU is the capacity of each daemon; nil if capacities are not known.
	milliCPU func(name string) int64
	// divided is set if the daemons divide the workers into cells.
	divided bool
	// storedDirectory is set if the directory is read from the store, with its faults.
	storedDirectory bool
	// maxEvacuation is the bound of evacuations, where these are in force. The workers guard
	// their capacity then, so that no other bound limits the age of the list.
	maxEvacuation time.Duration
	// machines tells which workers are up; nil if there is no such list.
	machines port.Machines
	// answerDelay returns how late the next answer of a worker arrives; nil if none is late.
	answerDelay atomic.Pointer[func() time.Duration]
	// heldLimit is the limit of the budget of daemons that are started after it is set; zero means none.
	heldLimit int
	// logTo receives the events of daemons that are started after it is set; it may
	// be nil.
	logTo log.Handler
}

// daemon is one boot of a daemon.
type daemon struct {
	name string
	// cell is the only cell, or the lead cell of group.
	cell  *Cell
	group *Group
	loop  *control.Loop
	// storeUnreachable and workersUnreachable make the daemon's calls to the store or
	// to the workers time out; isolated does so for these and all calls between daemons.
	storeUnreachable, workersUnreachable, isolated atomic.Bool
	// unreachableWorkers holds the IDs of workers, and unreachablePeers the names of
	// daemons, to which calls time out.
	unreachableWorkers, unreachablePeers sync.Map
	// silentCell is the number of a cell for whose load requests time out; zero means none.
	silentCell atomic.Int64
	// unreadable reports whether reads of a table in a partition fail; the partition is empty
	// for reads of changes. It may be nil.
	unreadable atomic.Pointer[func(table, partition string) bool]
	// configVersion is the version of the configuration that the daemon reads; zero means the
	// newest.
	configVersion atomic.Int64
	// scanDelay is the duration of each read of a table other than the owner's row, in
	// nanoseconds.
	scanDelay atomic.Int64
	// link, if set, is between the daemon's region and that of the store.
	link atomic.Pointer[regionLink]
	// commitDelay is the duration of each commit of the owner, in nanoseconds.
	commitDelay atomic.Int64
	// commitHook, if set, is called in place of each commit of the owner.
	commitHook atomic.Pointer[commitHook]
	// txnHook, if set, is called in place of each commit.
	txnHook atomic.Pointer[txnHook]
	// suspended is the time for which the VM was suspended, in nanoseconds: it counts as
	// uptime, but the monotonic clock stood still.
	suspended atomic.Int64
	// clockLag is how far the monotonic clock is behind because of calls of suspend, in
	// nanoseconds.
	clockLag atomic.Int64
	// acquireBusy is how long the control loop is busy after each acquisition of the
	// cell, in nanoseconds, and acquired the epoch of the last acquisition.
	acquireBusy, acquired atomic.Int64
}

// commitHook handles a commit, which it may pass on to commit.
type commitHook func(ctx context.Context, commit func() (int64, error)) (int64, error)

func newCluster(t *testing.T, seed uint64, daemons, workers int, work func(task string) time.Duration, fails func(string, int) bool) *cluster {
	t.Helper()
	return newSizedCluster(t, seed, daemons, workers, work, fails, nil)
}

// newSizedCluster returns a cluster whose daemons have the given capacities.
func newSizedCluster(t *testing.T, seed uint64, daemons, workers int, work func(task string) time.Duration, fails func(string, int) bool, milliCPU func(name string) int64) *cluster {
	t.Helper()
	return newClusterOf(t, seed, daemons, workers, fake.FleetOptions{Now: time.Now, TaskDuration: work, Fails: fails}, milliCPU)
}

// newClusterOf returns a cluster with a fleet of the given options.
func newClusterOf(t *testing.T, seed uint64, daemons, workers int, o fake.FleetOptions, milliCPU func(name string) int64) *cluster {
	t.Helper()
	cl := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 1)), store: fake.NewRowStore(), daemons: map[string]*daemon{}, milliCPU: milliCPU}
	o.Speculative = speculativeTask
	cl.fleet = fake.NewFleet(o)
	if o.NewID { // the list of VMs alone shows that a worker is gone
		cl.machines = cl.fleet
	}
	for i := range workers {
		cl.fleet.Add(fmt.Sprintf("w%d", i), "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
	}
	for i := range daemons {
		cl.start(fmt.Sprintf("d%d", i))
	}
	return cl
}

// start boots a daemon under a name.
func (cl *cluster) start(name string) {
	cl.boots++
	d := &daemon{name: name, loop: control.NewLoop()}
	began := time.Now()
	seed := cl.rng.Uint64()
	rng := rand.New(rand.NewPCG(seed, 2))
	var milliCPU int64
	if cl.milliCPU != nil {
		milliCPU = cl.milliCPU(name)
	}
	options := Options{
		MilliCPU:  milliCPU,
		Partition: "c0",
		Self:      Identity{Name: name, Boot: fmt.Sprintf("%s-%d", name, cl.boots), Address: name},
		Loop:      d.loop,
		Store:     daemonStore{cl.store, d},
		Workers:   daemonWorkers{fake.FleetWorkers{Fleet: cl.fleet}, cl, d},
		Directory: cl.fleet, Machines: cl.machines,
		Configs: clusterConfig{cl, d},
		Peers:   clusterPeers{cl, d},
		Log:     cl.logger(name),
		Engine:  dispatch.Options{MaxLease: 6 * time.Second, StartWindow: 1500 * time.Millisecond, MaxViolation: 4 * time.Second, CapacityTTL: 4 * time.Second},
		Lease:   4500 * time.Millisecond, Retention: 4 * time.Minute,
		Now: func() time.Time { return time.Now().Add(-time.Duration(d.clockLag.Load())) }, Wall: time.Now,
		Uptime: func() time.Duration { return time.Since(began) + time.Duration(d.suspended.Load()) },
		Random: rng.Float64,
	}
	if cl.maxEvacuation > 0 {
		options.Engine.MaxEvacuation, options.Engine.CapacityTTL = cl.maxEvacuation, 0
	}
	if cl.heldLimit > 0 {
		options.Engine.Budget = dispatch.NewBudget(cl.heldLimit)
	}
	if cl.storedDirectory {
		options.Directory = storedDirectory{cl, d}
	}
	if cl.divided {
		d.group = newDividedGroup(name, options)
		d.cell = d.group.lead
	} else {
		d.cell = New(options)
	}
	cl.mu.Lock()
	cl.daemons[name] = d
	cl.mu.Unlock()
	go d.loop.Run()
	if d.group != nil {
		d.group.Start()
	} else {
		d.cell.Start()
	}
}

// suspend stops the daemon's control loop and its monotonic clock for a time. Calls that
// are in flight go on.
func (d *daemon) suspend(duration time.Duration) {
	d.loop.Post(func() {
		time.Sleep(duration)
		d.clockLag.Add(int64(duration))
	})
}

// jobs returns the daemon's job API.
func (d *daemon) jobs() port.Jobs {
	if d.group != nil {
		return d.group
	}
	return d.cell
}

// traceLogs prints the logs of the daemons, to debug a failed history.
var traceLogs = flag.Bool("trace", false, "print what the daemons of a history log")

func (cl *cluster) logger(name string) log.Interface {
	if cl.logTo != nil {
		return &log.Logger{Handler: cl.logTo, Level: log.InfoLevel}
	}
	if !*traceLogs {
		return &log.Logger{Handler: discard.New()}
	}
	return (&log.Logger{Handler: logfmt.New(os.Stderr), Level: log.DebugLevel}).WithField("daemon", name)
}

// kill stops a daemon without a graceful shutdown.
func (cl *cluster) kill(name string) {
	cl.mu.Lock()
	d := cl.daemons[name]
	delete(cl.daemons, name)
	cl.mu.Unlock()
	if d != nil {
		d.loop.Stop()
	}
}

// stopAll stops all daemons. It must be called before the synctest bubble ends.
func (cl *cluster) stopAll() {
	for _, name := range cl.names() {
		cl.kill(name)
	}
}

func (cl *cluster) names() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var names []string
	for i := range 16 {
		if name := fmt.Sprintf("d%d", i); cl.daemons[name] != nil {
			names = append(names, name)
		}
	}
	return names
}

// owner returns the name of the daemon that owns the cell, or "".
func (cl *cluster) owner() string {
	for _, name := range cl.names() {
		if cl.daemons[name].cell.View().IsOwner {
			return name
		}
	}
	return ""
}

// awaitOwner waits until a daemon owns the cell.
func (cl *cluster) awaitOwner() string {
	cl.t.Helper()
	for range 600 {
		if name := cl.owner(); name != "" {
			return name
		}
		time.Sleep(50 * time.Millisecond)
	}
	cl.t.Fatal("no daemon owns the cell")
	return ""
}

// spec returns a job of two steps, the second after the first.
func (cl *cluster) spec(tasks int) job.Spec {
	cl.jobs++
	step := job.Step{Tasks: tasks, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 1000}, EstimateMS: 500}
	second := step
	second.After = []int{0}
	return job.Spec{ID: fmt.Sprintf("job%04d", cl.jobs), Queue: "batch", Steps: []job.Step{step, second}}
}

// submit submits a job to a daemon, with retries until it is accepted.
func (cl *cluster) submit(name string, spec job.Spec) {
	cl.t.Helper()
	for range 100 {
		if err := cl.trySubmit(name, spec); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	cl.t.Fatalf("job %s was not accepted", spec.ID)
}

func (cl *cluster) trySubmit(name string, spec job.Spec) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	cl.mu.Lock()
	d := cl.daemons[name]
	cl.mu.Unlock()
	if d == nil {
		return errors.New("the daemon is not running")
	}
	return d.jobs().Submit(ctx, spec)
}

// state reads a job's state from every daemon and returns the last one, or "" if all
// reads fail.
func (cl *cluster) state(id string) job.State {
	var last job.State
	for _, name := range cl.names() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		state, err := cl.daemons[name].jobs().State(ctx, id)
		cancel()
		if err == nil {
			last = state
		}
	}
	return last
}

// awaitState waits until a job has a state.
func (cl *cluster) awaitState(id string, want job.State, within time.Duration) {
	cl.t.Helper()
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if cl.state(id) == want {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	cl.t.Fatalf("job %s is %q after %s, want %q", id, cl.state(id), within, want)
}

// check fails the test if the fleet has detected a violated invariant.
func (cl *cluster) check() {
	cl.t.Helper()
	for _, violation := range cl.fleet.Violations() {
		cl.t.Errorf("violated invariant: %s", violation)
	}
}

// clusterConfig is a daemon's access to the configuration. The body is the
// version in decimal.
type clusterConfig struct {
	cl *cluster
	d  *daemon
}

func (c clusterConfig) Read(ctx context.Context, known *port.Config) (*port.Config, error) {
	if err := (daemonStore{c.cl.store, c.d}).blockIfUnreachable(ctx, "range"); err != nil {
		return nil, err
	}
	version := c.d.configVersion.Load()
	if version == 0 {
		version = 1 + c.cl.configChanges.Load()
	}
	body := []byte(strconv.FormatInt(version, 10))
	if size := c.cl.configBytes.Load(); size > 0 {
		if known != nil && known.Version == 1+c.cl.configChanges.Load() {
			return known, nil // large bodies are not read again
		}
		body = padConfig(body, int(size))
		if err := c.d.transfer(ctx, len(body)*4/3); err != nil { // in base64
			return nil, &port.UnansweredError{Op: "range", Err: err}
		}
	}
	return c.Decode(body)
}

func (c clusterConfig) Decode(body []byte) (*port.Config, error) {
	version, err := strconv.ParseInt(string(body[bytes.LastIndexByte(body, '\n')+1:]), 10, 64)
	if err != nil {
		return nil, err
	}
	queue := job.Queue{Name: "batch", Pool: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second}
	config := &port.Config{Version: version, Body: body, Routes: []port.Route{{Queue: queue}}}
	if c.cl.queuesOf != nil {
		config.Routes = nil
		for _, q := range c.cl.queuesOf(version) {
			config.Routes = append(config.Routes, port.Route{Queue: q})
		}
	}
	if removed := c.cl.queueRemovedIn.Load(); removed > 0 && version >= removed {
		config.Routes = nil
	}
	return config, nil
}

// clusterPeers calls the handlers of other daemons directly.
type clusterPeers struct {
	cl   *cluster
	from *daemon
}

var errNotRunning = fmt.Errorf("the daemon is not running: %w", syscall.ECONNREFUSED)

func (p clusterPeers) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error) {
	p.cl.mu.Lock()
	to := p.cl.daemons[address]
	p.cl.mu.Unlock()
	if to == nil {
		return nil, errNotRunning
	}
	_, cut := p.from.unreachablePeers.Load(address)
	if load := req.GetCellLoad(); load != nil && load.GetCell() != 0 && int64(load.GetCell()) == p.from.silentCell.Load() {
		cut = true
	}
	if cut || p.from.isolated.Load() || to.isolated.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	handle := to.cell.Handle
	if to.group != nil {
		handle = to.group.Handle
	}
	resp := handle(ctx, req)
	if err := transferBetween(ctx, p.from, to, proto.Size(resp)); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err() // the response arrives too late
	}
	if resp.GetRefusal() != nil {
		return nil, &peer.RefusedError{Reason: resp.GetRefusal().GetReason()}
	}
	return resp, nil
}

// daemonStore is a daemon's connection to the store.
type daemonStore struct {
	port.Store
	d *daemon
}

func (s daemonStore) blockIfUnreachable(ctx context.Context, op string) error {
	if !s.d.storeUnreachable.Load() && !s.d.isolated.Load() {
		if err := s.d.transfer(ctx, 500); err != nil {
			return &port.UnansweredError{Op: op, Err: err}
		}
		return nil
	}
	<-ctx.Done()
	return &port.UnansweredError{Op: op, Err: ctx.Err()}
}

func (s daemonStore) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	if err := s.blockIfUnreachable(ctx, "commit"); err != nil {
		return 0, err
	}
	delay := 4 * time.Millisecond
	if slices.ContainsFunc(txn.Puts, func(p port.Put) bool { return p.Table == tableOwners }) {
		delay += time.Duration(s.d.commitDelay.Load())
	}
	time.Sleep(delay)
	commit := func() (int64, error) {
		version, err := s.Store.Commit(ctx, txn)
		if err == nil {
			s.d.simulateRestore(txn)
		}
		return version, err
	}
	if hook := s.d.commitHook.Load(); hook != nil && slices.ContainsFunc(txn.Puts, func(p port.Put) bool { return p.Table == tableOwners }) {
		return (*hook)(ctx, commit)
	}
	if hook := s.d.txnHook.Load(); hook != nil {
		return (*hook)(ctx, txn, commit)
	}
	return commit()
}

// simulateRestore keeps the control loop busy if the transaction has acquired the
// cell, as the processing of the recovery data does on a small VM.
func (d *daemon) simulateRestore(txn port.Txn) {
	busy := time.Duration(d.acquireBusy.Load())
	for _, put := range txn.Puts {
		var record ownerRecord
		if busy == 0 || put.Table != tableOwners || json.Unmarshal(put.Value, &record) != nil {
			continue
		}
		if d.acquired.Swap(record.Epoch) != record.Epoch {
			time.AfterFunc(time.Millisecond, func() { d.loop.Post(func() { time.Sleep(busy) }) })
		}
	}
}

func (s daemonStore) Range(ctx context.Context, table, partition, from, to string, limit int) (port.Page, error) {
	if err := s.blockIfUnreachable(ctx, "range"); err != nil {
		return port.Page{}, err
	}
	if fails := s.d.unreadable.Load(); fails != nil && (*fails)(table, partition) {
		return port.Page{}, &port.RefusedError{Op: "range", Reason: port.RefusedBusy}
	}
	delay := 4 * time.Millisecond
	if table != tableOwners {
		delay += time.Duration(s.d.scanDelay.Load())
	}
	if err := sleep(ctx, delay); err != nil {
		return port.Page{}, &port.UnansweredError{Op: "range", Err: err}
	}
	return s.Store.Range(ctx, table, partition, from, to, limit)
}

func (s daemonStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (port.Page, error) {
	if err := s.blockIfUnreachable(ctx, "changes"); err != nil {
		return port.Page{}, err
	}
	if fails := s.d.unreadable.Load(); fails != nil && (*fails)(table, "") {
		return port.Page{}, &port.RefusedError{Op: "changes", Reason: port.RefusedBusy}
	}
	return s.Store.Changes(ctx, table, after, wait)
}

// daemonWorkers is a daemon's connection to the workers. Throttle requests pass even
// if the workers are unreachable.
type daemonWorkers struct {
	port.Workers
	cl *cluster
	d  *daemon
}

// delayAnswer delays an answer that a worker has sent.
func (c daemonWorkers) delayAnswer(ctx context.Context, op string) error {
	delay := c.cl.answerDelay.Load()
	if delay == nil {
		return nil
	}
	select {
	case <-time.After((*delay)()):
		return nil
	case <-ctx.Done():
		return &port.UnansweredError{Op: op, Err: ctx.Err()}
	}
}

func (c daemonWorkers) blockIfUnreachable(ctx context.Context, op, worker string) error {
	_, cut := c.d.unreachableWorkers.Load(worker)
	if !cut && !c.d.workersUnreachable.Load() && !c.d.isolated.Load() {
		return nil
	}
	<-ctx.Done()
	return &port.UnansweredError{Op: op, Err: ctx.Err()}
}

func (c daemonWorkers) Start(ctx context.Context, to port.Target, req port.StartRequest) (int64, error) {
	if err := c.blockIfUnreachable(ctx, "start", to.ID); err != nil {
		return 0, err
	}
	time.Sleep(time.Millisecond)
	clock, err := c.Workers.Start(ctx, to, req)
	if lateErr := c.delayAnswer(ctx, "start"); lateErr != nil {
		return 0, lateErr
	}
	return clock, err
}

func (c daemonWorkers) Stop(ctx context.Context, to port.Target, task string, attempt int, epoch int64) error {
	if err := c.blockIfUnreachable(ctx, "stop", to.ID); err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	err := c.Workers.Stop(ctx, to, task, attempt, epoch)
	if lateErr := c.delayAnswer(ctx, "stop"); lateErr != nil {
		return lateErr
	}
	return err
}

func (c daemonWorkers) List(ctx context.Context, to port.Target, req port.ListRequest) (port.Listing, error) {
	if err := c.blockIfUnreachable(ctx, "list", to.ID); err != nil {
		return port.Listing{}, err
	}
	time.Sleep(time.Millisecond)
	l, err := c.Workers.List(ctx, to, req)
	if lateErr := c.delayAnswer(ctx, "list"); lateErr != nil {
		return port.Listing{}, lateErr
	}
	return l, err
}
