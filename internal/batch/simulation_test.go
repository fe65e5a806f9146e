package batch

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/membership"
	"github.com/bambooyard/bambooyard/verdict"
)

const (
	testLeaseTTL     = 4 * time.Second
	testOwnerTTL     = 3 * time.Second
	testGrace        = 4 * time.Second
	testSessionTTL   = 3 * time.Second
	testDelay        = 20 * time.Millisecond
	testTick         = 100 * time.Millisecond
	testRetention    = 5 * time.Second
	testSnapshotRows = 4
	testMaxSkew      = clockSkew / 2 // of each VM, in either direction
)

var testCapacity = inventory.Resources{MilliProcessors: 4000, MemoryMB: 4000}

// simulation runs the batch managers of a few daemons against one fake platform and
// a few fake workers, in virtual time.
type simulation struct {
	clock    *fake.Clock
	rand     *rand.Rand
	platform *fake.Platform
	objects  *faultyObjectStore
	vms      []*vm
	doc      document.Document
	revision document.Revision
	daemons  []*daemon
	jobs     []Job // accepted
	check    *checker
}

// daemon is one batch manager with its control loop.
type daemon struct {
	id       string
	executor *fake.Executor
	manager  *Manager
	leaving  bool
	// downSince is when the daemon was killed or paused, or zero.
	downSince time.Time
	// storeLostSince is when the store became unreachable for this daemon, or zero.
	storeLostSince time.Time
}

// vm is a worker and the state of the network path to it.
type vm struct {
	name        string
	worker      *fake.Worker
	check       *checker
	unreachable bool          // requests do not arrive
	dropReplies bool          // requests arrive, but replies are lost
	startDelay  time.Duration // start requests arrive after this delay, without a reply
	// reachableFrom is the only daemon that can reach the VM, or nil for all.
	reachableFrom *daemon
}

// workerConn is the connection of one daemon to a VM's worker.
type workerConn struct {
	*vm
	from *daemon
}

// table is the table service as seen by one daemon.
type table struct {
	*fake.Platform
	from *daemon
}

var errStoreUnreachable = &platform.UnavailableError{Op: "table", Verdict: verdict.MayHaveRun, Err: context.DeadlineExceeded}

func (t table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if !t.from.storeLostSince.IsZero() {
		return nil, errStoreUnreachable
	}
	return t.Platform.Get(ctx, keys...)
}

func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if !t.from.storeLostSince.IsZero() {
		return nil, errStoreUnreachable
	}
	return t.Platform.Scan(ctx, prefix, after, limit)
}

func (t table) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	if !t.from.storeLostSince.IsZero() {
		return 0, errStoreUnreachable
	}
	return t.Platform.Commit(ctx, txn)
}

func newSimulation(seed uint64, racks, vmsPerRack int) *simulation {
	clock := fake.NewClock(seed)
	sim := &simulation{clock: clock, rand: rand.New(rand.NewPCG(seed, 1)), platform: fake.NewPlatform()}
	sim.objects = &faultyObjectStore{ObjectStore: sim.platform.Objects()}
	sim.check = newChecker(sim)
	for i := range racks * vmsPerRack {
		skew := sim.randomSkew()
		v := &vm{name: fmt.Sprintf("w%d", i), check: sim.check}
		v.worker = fake.NewWorker(testCapacity, func() time.Time { return clock.Now().Add(skew) })
		v.worker.Observe(func(req platform.StartRequest) { sim.check.onStart(v, req) })
		sim.vms = append(sim.vms, v)
		sim.doc.Inventory.VMs = append(sim.doc.Inventory.VMs, inventory.VM{
			Name: v.name, Rack: fmt.Sprintf("r%d", i%racks), WorkerAddress: v.name, Capacity: testCapacity,
		})
	}
	sim.platform.Observe(sim.check.onCommit)
	return sim
}

func (sim *simulation) randomSkew() time.Duration {
	return time.Duration(sim.rand.Int64N(int64(2*testMaxSkew))) - testMaxSkew
}

func (sim *simulation) startDaemon() {
	d := &daemon{id: fmt.Sprintf("d%d", len(sim.daemons)), executor: fake.NewExecutor(sim.clock, testDelay)}
	d.executor.SetSkew(sim.randomSkew())
	d.manager = NewManager(Options{
		Loop: d.executor, Table: table{sim.platform, d}, Objects: sim.objects, Now: d.executor.Now,
		Workers:  func(address string) platform.Worker { return workerConn{sim.worker(address), d} },
		Log:      &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Self:     func() membership.Session { return membership.Session{ID: d.id, Leaving: d.leaving} },
		Live:     func(time.Time) []membership.Session { return sim.live(d) },
		LeaseTTL: testLeaseTTL, OwnerTTL: testOwnerTTL, RenewalGrace: testGrace, Retention: testRetention, SnapshotRows: testSnapshotRows,
	})
	sim.daemons = append(sim.daemons, d)
	d.manager.Adopt(document.Head{Revision: sim.revision}, sim.doc)
	d.executor.Every(testTick, d.manager.Tick)
}

func (sim *simulation) inSessionTTL(t time.Time) bool {
	return t.IsZero() || sim.clock.Now().Sub(t) < testSessionTTL
}

// live returns the live sessions as seen by a daemon.
func (sim *simulation) live(self *daemon) []membership.Session {
	var live []membership.Session
	for _, d := range sim.daemons {
		if d == self || sim.inSessionTTL(d.downSince) && sim.inSessionTTL(d.storeLostSince) {
			live = append(live, membership.Session{ID: d.id, Leaving: d.leaving})
		}
	}
	return live
}

func (sim *simulation) kill(d *daemon) {
	d.executor.Kill()
	d.downSince = sim.clock.Now()
}

// running returns the daemons that are not killed, paused or leaving.
func (sim *simulation) running() []*daemon {
	var up []*daemon
	for _, d := range sim.daemons {
		if d.downSince.IsZero() && !d.leaving {
			up = append(up, d)
		}
	}
	return up
}

// submit submits a job and records it if the acceptance is confirmed.
func (sim *simulation) submit(job Job) {
	accepted, err := Submit(context.Background(), sim.platform, ShardNames(sim.doc.Inventory), job)
	if err == nil {
		sim.jobs = append(sim.jobs, accepted)
	}
}

// changeInventory changes the inventory and delivers it to every running daemon
// after a random delay.
func (sim *simulation) changeInventory(change func(vms []inventory.VM) []inventory.VM) {
	sim.revision++
	vms := append([]inventory.VM(nil), sim.doc.Inventory.VMs...)
	sim.doc.Inventory.VMs = change(vms)
	head, doc := document.Head{Revision: sim.revision}, sim.doc
	for _, d := range sim.running() {
		sim.clock.After(time.Duration(sim.rand.Int64N(int64(2*time.Second))), func() {
			d.executor.Post(func() { d.manager.Adopt(head, doc) })
		})
	}
}

// worker returns the VM with the given worker address.
func (sim *simulation) worker(address string) *vm {
	for _, v := range sim.vms {
		if v.name == address {
			return v
		}
	}
	return &vm{unreachable: true}
}

var errWorkerUnreachable = &platform.UnavailableError{Op: "worker", Verdict: verdict.MayHaveRun, Err: context.DeadlineExceeded}

func call[T any](v workerConn, request func() (T, error)) (T, error) {
	var none T
	if v.unreachable || v.reachableFrom != nil && v.reachableFrom != v.from {
		return none, errWorkerUnreachable
	}
	reply, err := request()
	if v.dropReplies {
		return none, errWorkerUnreachable
	}
	return reply, err
}

func (v workerConn) Start(ctx context.Context, req platform.StartRequest) error {
	if v.startDelay > 0 {
		v.check.sim.clock.After(v.startDelay, func() { _ = v.worker.Start(ctx, req) })
		return errWorkerUnreachable
	}
	_, err := call(v, func() (struct{}, error) { return struct{}{}, v.worker.Start(ctx, req) })
	return err
}

func (v workerConn) Stop(ctx context.Context, req platform.StopRequest) error {
	_, err := call(v, func() (struct{}, error) { return struct{}{}, v.worker.Stop(ctx, req) })
	return err
}

func (v workerConn) Throttle(ctx context.Context, req platform.ThrottleRequest) error {
	_, err := call(v, func() (struct{}, error) { return struct{}{}, v.worker.Throttle(ctx, req) })
	return err
}

func (v workerConn) Exchange(ctx context.Context, req platform.ExchangeRequest) (platform.ExchangeReply, error) {
	return call(v, func() (platform.ExchangeReply, error) {
		v.check.onExchange(req)
		return v.worker.Exchange(ctx, req)
	})
}

// faultyObjectStore is an object store that can truncate the next write without an
// error and corrupt one stored object.
type faultyObjectStore struct {
	platform.ObjectStore
	truncateNext bool
	latestKey    string
	corruptKey   string
}

// corruptLatest corrupts reads of the object written last. It has an effect only
// once.
func (t *faultyObjectStore) corruptLatest() {
	if t.corruptKey == "" {
		t.corruptKey = t.latestKey
	}
}

func (t *faultyObjectStore) Get(ctx context.Context, key string) ([]byte, error) {
	body, err := t.ObjectStore.Get(ctx, key)
	if key == t.corruptKey {
		return bytes.ReplaceAll(body, []byte(`"running"`), []byte(`"pending"`)), err
	}
	return body, err
}

func (t *faultyObjectStore) Put(ctx context.Context, key string, body []byte) error {
	t.latestKey = key
	if t.truncateNext {
		t.truncateNext = false
		body = body[:len(body)/2]
	}
	return t.ObjectStore.Put(ctx, key, body)
}
