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

// world is a few daemons' batch managers over one stand-in platform and a few
// workers, in virtual time.
type world struct {
	clock    *fake.Clock
	rand     *rand.Rand
	platform *fake.Platform
	objects  *tearing
	vms      []*vm
	doc      document.Document
	revision document.Revision
	daemons  []*daemon
	jobs     []Job // accepted
	check    *checker
}

// daemon is one batch manager with its control goroutine.
type daemon struct {
	id      string
	x       *fake.Executor
	m       *Manager
	leaving bool
	// goneSince is when the daemon was killed or frozen, or zero.
	goneSince time.Time
	// noStoreSince is since when the store does not answer this daemon, or zero.
	noStoreSince time.Time
}

// vm is a worker and the network path to it.
type vm struct {
	name   string
	worker *fake.Worker
	check  *checker
	cut    bool          // orders do not arrive
	mute   bool          // orders arrive and replies are lost
	late   time.Duration // start orders arrive so late, without a reply
	// only is the one daemon that reaches the VM, or nil.
	only *daemon
}

// path is the network path from a daemon to a VM.
type path struct {
	*vm
	from *daemon
}

// table is the table service as one daemon reaches it.
type table struct {
	*fake.Platform
	from *daemon
}

var errNoStore = &platform.UnavailableError{Op: "table", Verdict: verdict.MayHaveRun, Err: context.DeadlineExceeded}

func (t table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if !t.from.noStoreSince.IsZero() {
		return nil, errNoStore
	}
	return t.Platform.Get(ctx, keys...)
}

func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if !t.from.noStoreSince.IsZero() {
		return nil, errNoStore
	}
	return t.Platform.Scan(ctx, prefix, after, limit)
}

func (t table) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	if !t.from.noStoreSince.IsZero() {
		return 0, errNoStore
	}
	return t.Platform.Commit(ctx, txn)
}

func newWorld(seed uint64, racks, vmsPerRack int) *world {
	clock := fake.NewClock(seed)
	w := &world{clock: clock, rand: rand.New(rand.NewPCG(seed, 1)), platform: fake.NewPlatform()}
	w.objects = &tearing{ObjectStore: w.platform.Objects()}
	w.check = newChecker(w)
	for i := range racks * vmsPerRack {
		skew := w.skew()
		v := &vm{name: fmt.Sprintf("w%d", i), check: w.check}
		v.worker = fake.NewWorker(testCapacity, func() time.Time { return clock.Now().Add(skew) })
		v.worker.Observe(func(o platform.StartRequest) { w.check.started(v, o) })
		w.vms = append(w.vms, v)
		w.doc.Inventory.VMs = append(w.doc.Inventory.VMs, inventory.VM{
			Name: v.name, Rack: fmt.Sprintf("r%d", i%racks), WorkerAddress: v.name, Capacity: testCapacity,
		})
	}
	w.platform.Observe(w.check.committed)
	return w
}

func (w *world) skew() time.Duration {
	return time.Duration(w.rand.Int64N(int64(2*testMaxSkew))) - testMaxSkew
}

func (w *world) startDaemon() {
	d := &daemon{id: fmt.Sprintf("d%d", len(w.daemons)), x: fake.NewExecutor(w.clock, testDelay)}
	d.x.SetSkew(w.skew())
	d.m = NewManager(Options{
		Loop: d.x, Table: table{w.platform, d}, Objects: w.objects, Now: d.x.Now,
		Workers:  func(address string) platform.Worker { return path{w.worker(address), d} },
		Log:      &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Self:     func() membership.Session { return membership.Session{ID: d.id, Leaving: d.leaving} },
		Live:     func(time.Time) []membership.Session { return w.live(d) },
		LeaseTTL: testLeaseTTL, OwnerTTL: testOwnerTTL, RenewalGrace: testGrace, Retention: testRetention, SnapshotRows: testSnapshotRows,
	})
	w.daemons = append(w.daemons, d)
	d.m.Adopt(document.Head{Revision: w.revision}, w.doc)
	d.x.Every(testTick, d.m.Tick)
}

func (w *world) lately(t time.Time) bool {
	return t.IsZero() || w.clock.Now().Sub(t) < testSessionTTL
}

// live returns the sessions that have not expired, as a daemon sees them.
func (w *world) live(self *daemon) []membership.Session {
	var live []membership.Session
	for _, d := range w.daemons {
		if d == self || w.lately(d.goneSince) && w.lately(d.noStoreSince) {
			live = append(live, membership.Session{ID: d.id, Leaving: d.leaving})
		}
	}
	return live
}

func (w *world) kill(d *daemon) {
	d.x.Kill()
	d.goneSince = w.clock.Now()
}

// running returns the daemons that are neither dead nor frozen nor leaving.
func (w *world) running() []*daemon {
	var up []*daemon
	for _, d := range w.daemons {
		if d.goneSince.IsZero() && !d.leaving {
			up = append(up, d)
		}
	}
	return up
}

// submit accepts a job, and remembers it when the acceptance is known.
func (w *world) submit(job Job) {
	accepted, err := Submit(context.Background(), w.platform, ShardNames(w.doc.Inventory), job)
	if err == nil {
		w.jobs = append(w.jobs, accepted)
	}
}

// apply gives every daemon the changed inventory, each after its own delay.
func (w *world) apply(change func(vms []inventory.VM) []inventory.VM) {
	w.revision++
	vms := append([]inventory.VM(nil), w.doc.Inventory.VMs...)
	w.doc.Inventory.VMs = change(vms)
	head, doc := document.Head{Revision: w.revision}, w.doc
	for _, d := range w.running() {
		w.clock.After(time.Duration(w.rand.Int64N(int64(2*time.Second))), func() {
			d.x.Post(func() { d.m.Adopt(head, doc) })
		})
	}
}

// worker returns the VM with a worker's address.
func (w *world) worker(address string) *vm {
	for _, v := range w.vms {
		if v.name == address {
			return v
		}
	}
	return &vm{cut: true}
}

var errCut = &platform.UnavailableError{Op: "worker", Verdict: verdict.MayHaveRun, Err: context.DeadlineExceeded}

func carry[T any](v path, order func() (T, error)) (T, error) {
	var none T
	if v.cut || v.only != nil && v.only != v.from {
		return none, errCut
	}
	reply, err := order()
	if v.mute {
		return none, errCut
	}
	return reply, err
}

func (v path) Start(ctx context.Context, o platform.StartRequest) error {
	if v.late > 0 {
		v.check.w.clock.After(v.late, func() { _ = v.worker.Start(ctx, o) })
		return errCut
	}
	_, err := carry(v, func() (struct{}, error) { return struct{}{}, v.worker.Start(ctx, o) })
	return err
}

func (v path) Stop(ctx context.Context, o platform.StopRequest) error {
	_, err := carry(v, func() (struct{}, error) { return struct{}{}, v.worker.Stop(ctx, o) })
	return err
}

func (v path) Throttle(ctx context.Context, o platform.ThrottleRequest) error {
	_, err := carry(v, func() (struct{}, error) { return struct{}{}, v.worker.Throttle(ctx, o) })
	return err
}

func (v path) Exchange(ctx context.Context, e platform.ExchangeRequest) (platform.ExchangeReply, error) {
	return carry(v, func() (platform.ExchangeReply, error) {
		v.check.acknowledged(e)
		return v.worker.Exchange(ctx, e)
	})
}

// tearing is an object store whose next write may be cut short unnoticed, and
// of whose objects one may be damaged later.
type tearing struct {
	platform.ObjectStore
	tear    bool
	latest  string
	damaged string
}

// damage damages the latest object, once.
func (t *tearing) damage() {
	if t.damaged == "" {
		t.damaged = t.latest
	}
}

func (t *tearing) Get(ctx context.Context, key string) ([]byte, error) {
	body, err := t.ObjectStore.Get(ctx, key)
	if key == t.damaged {
		return bytes.ReplaceAll(body, []byte(`"running"`), []byte(`"pending"`)), err
	}
	return body, err
}

func (t *tearing) Put(ctx context.Context, key string, body []byte) error {
	t.latest = key
	if t.tear {
		t.tear = false
		body = body[:len(body)/2]
	}
	return t.ObjectStore.Put(ctx, key, body)
}
