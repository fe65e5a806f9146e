package batch

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/membership"
)

const (
	testLeaseTTL = 10 * time.Second
	testOwnerTTL = 6 * time.Second
	testDelay    = 5 * time.Millisecond
)

// yard is a few daemons' batch managers over one stand-in platform and worker.
type yard struct {
	clock    *fake.Clock
	platform *fake.Platform
	worker   *fake.Worker
	doc      document.Document
	alive    map[string]*fake.Executor
}

func newYard(seed uint64) *yard {
	clock := fake.NewClock(seed)
	capacity := inventory.Resources{MilliProcessors: 4000, MemoryMB: 4000}
	return &yard{
		clock:    clock,
		platform: fake.NewPlatform(),
		worker:   fake.NewWorker(capacity, clock.Now),
		doc: document.Document{Inventory: inventory.Inventory{
			VMs: []inventory.VM{{Name: "w1", Rack: "r1", WorkerAddress: "127.0.0.1:1", Capacity: capacity}},
		}},
		alive: map[string]*fake.Executor{},
	}
}

func (y *yard) startDaemon(id string) *Manager {
	x := fake.NewExecutor(y.clock, testDelay)
	y.alive[id] = x
	m := NewManager(Options{
		Loop: x, Table: y.platform, Now: y.clock.Now,
		Workers:  func(string) platform.Worker { return y.worker },
		Log:      &log.Logger{Handler: discard.New()},
		Self:     func() membership.Session { return membership.Session{ID: id} },
		Live:     func(now time.Time) []membership.Session { return y.live(now) },
		LeaseTTL: testLeaseTTL, OwnerTTL: testOwnerTTL,
	})
	m.Adopt(document.Head{Revision: 1}, y.doc)
	x.Every(100*time.Millisecond, m.Tick)
	return m
}

func (y *yard) live(now time.Time) []membership.Session {
	var all []membership.Session
	for id := range y.alive {
		all = append(all, membership.Session{ID: id, ExpiresUnixMS: now.Add(time.Second).UnixMilli()})
	}
	return membership.Live(all, now)
}

func (y *yard) kill(id string) {
	y.alive[id].Kill()
	delete(y.alive, id)
}

func TestKilledOwnersTasksFinishUnderAnother(t *testing.T) {
	is := is.New(t)
	y := newYard(1)
	y.startDaemon("a")
	job := Job{Member: "m", Key: "k", Tasks: 6, RunTimeMS: 3000, Payload: "run=3s",
		Resources: inventory.Resources{MilliProcessors: 1000, MemoryMB: 100}}
	_, err := Submit(context.Background(), y.platform, []string{"r1"}, job)
	is.NoErr(err)
	y.clock.Run(2 * time.Second)
	is.Equal(len(y.worker.Running()), 4) // the VM is full
	y.kill("a")
	b := y.startDaemon("b")
	y.clock.Run(30 * time.Second)
	tasks, owned := b.JobTasks("r1", job.ID(), false)
	is.True(owned)
	for _, task := range tasks {
		is.Equal(task.State, "finished")
	}
	is.Equal(len(y.worker.Breaches()), 0)
}
