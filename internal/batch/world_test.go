package batch

import (
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
}

// vm is a worker and the network path to it.
type vm struct {
	name   string
	worker *fake.Worker
	cut    bool // orders do not arrive
	mute   bool // orders arrive and replies are lost
}

func newWorld(seed uint64, racks, vmsPerRack int) *world {
	clock := fake.NewClock(seed)
	w := &world{clock: clock, rand: rand.New(rand.NewPCG(seed, 1)), platform: fake.NewPlatform()}
	w.objects = &tearing{ObjectStore: w.platform.Objects()}
	w.check = newChecker(w)
	for i := range racks * vmsPerRack {
		skew := w.skew()
		v := &vm{name: fmt.Sprintf("w%d", i)}
		v.worker = fake.NewWorker(testCapacity, func() time.Time { return clock.Now().Add(skew) })
		v.worker.Observe(func(o platform.StartOrder) { w.check.started(v, o) })
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
		Loop: d.x, Table: w.platform, Objects: w.objects, Now: d.x.Now, Workers: w.worker,
		Log:      &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Self:     func() membership.Session { return membership.Session{ID: d.id, Leaving: d.leaving} },
		Live:     func(time.Time) []membership.Session { return w.live() },
		LeaseTTL: testLeaseTTL, OwnerTTL: testOwnerTTL, RenewalGrace: testGrace, Retention: testRetention, SnapshotRows: testSnapshotRows,
	})
	w.daemons = append(w.daemons, d)
	d.m.Adopt(document.Head{Revision: w.revision}, w.doc)
	d.x.Every(testTick, d.m.Tick)
}

// live returns the sessions that have not expired.
func (w *world) live() []membership.Session {
	var live []membership.Session
	for _, d := range w.daemons {
		if d.goneSince.IsZero() || w.clock.Now().Sub(d.goneSince) < testSessionTTL {
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

// worker implements platform.Workers.
func (w *world) worker(address string) platform.Worker {
	for _, v := range w.vms {
		if v.name == address {
			return v
		}
	}
	return &vm{cut: true}
}

var errCut = &platform.UnavailableError{Op: "worker", Verdict: verdict.MayHaveRun, Err: context.DeadlineExceeded}

func carry[T any](v *vm, order func() (T, error)) (T, error) {
	var none T
	if v.cut {
		return none, errCut
	}
	reply, err := order()
	if v.mute {
		return none, errCut
	}
	return reply, err
}

func (v *vm) Start(ctx context.Context, o platform.StartOrder) error {
	_, err := carry(v, func() (struct{}, error) { return struct{}{}, v.worker.Start(ctx, o) })
	return err
}

func (v *vm) Stop(ctx context.Context, o platform.StopOrder) error {
	_, err := carry(v, func() (struct{}, error) { return struct{}{}, v.worker.Stop(ctx, o) })
	return err
}

func (v *vm) Throttle(ctx context.Context, o platform.ThrottleOrder) error {
	_, err := carry(v, func() (struct{}, error) { return struct{}{}, v.worker.Throttle(ctx, o) })
	return err
}

func (v *vm) Exchange(ctx context.Context, e platform.Exchange) (platform.Report, error) {
	return carry(v, func() (platform.Report, error) { return v.worker.Exchange(ctx, e) })
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
		return body[:len(body)/2], err
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
