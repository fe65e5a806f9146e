package cell

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// evacuationBound is the bound after which no task may start in an evacuated data centre.
const evacuationBound = 5 * time.Second

// newEvacuationCluster returns a divided cluster with two data centres in each region, where
// evacuations are in force.
func newEvacuationCluster(t *testing.T, seed uint64) *cluster {
	t.Helper()
	return newSizedEvacuationCluster(t, seed, smallMilliCPU)
}

// newSizedEvacuationCluster returns such a cluster whose daemons have the given capacity.
func newSizedEvacuationCluster(t *testing.T, seed uint64, milliCPU int64) *cluster {
	t.Helper()
	cl := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), store: fake.NewRowStore(), daemons: map[string]*daemon{},
		milliCPU: func(string) int64 { return milliCPU }, divided: true, storedDirectory: true, maxEvacuation: evacuationBound,
	}
	isService := func(task string) bool { return strings.HasPrefix(task, "service") }
	cl.fleet = fake.NewFleet(fake.FleetOptions{Now: time.Now, Serves: isService, TaskDuration: func(task string) time.Duration {
		if isService(task) {
			return time.Hour
		}
		return halfSecond(task)
	}})
	for r := range dividedRacks {
		for i := range workersPerRack {
			cl.addWorker(r, fmt.Sprintf("w%d-%d", r, i))
		}
	}
	for i := range 6 {
		cl.start(fmt.Sprintf("d%d", i))
	}
	return cl
}

// addWorker adds a worker to a rack.
func (cl *cluster) addWorker(rack int, id string) {
	dataCentre := fmt.Sprintf("%s-%d", regionOfRack(rack), 1+rack%2)
	cl.fleet.AddTo(dataCentre, fmt.Sprintf("r%d", rack), id, "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
}

// feed submits jobs until the returned function is called.
func (cl *cluster) feed() (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-time.After(60 * time.Millisecond):
				_ = cl.trySubmit(fmt.Sprintf("d%d", i%6), cl.spec(4)) // refused while a daemon is down
			}
		}
	}()
	return func() { close(quit); <-done }
}

// awaitRunningIn waits until a data centre has running tasks, or has none.
func (cl *cluster) awaitRunningIn(dataCentre string, running bool, within time.Duration) {
	cl.t.Helper()
	deadline := time.Now().Add(within)
	for (cl.fleet.RunningIn(dataCentre) > 0) != running {
		if time.Now().After(deadline) {
			cl.t.Fatalf("%d tasks run in %s after %s", cl.fleet.RunningIn(dataCentre), dataCentre, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// playEvacuation evacuates a data centre under load while something else happens, and fails
// the test if a task starts there too late, or none does after the withdrawal.
func playEvacuation(t *testing.T, seed uint64, during func(cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newEvacuationCluster(t, seed)
		defer cl.stopAll()
		cl.awaitCells()
		defer cl.feed()()
		cl.awaitRunningIn("east-1", true, 10*time.Second)
		time.Sleep(2 * time.Second)
		cl.fleet.Evacuate("east-1", evacuationBound)
		during(cl)
		time.Sleep(2 * evacuationBound)
		cl.check()
		cl.awaitRunningIn("east-1", false, time.Second)
		cl.awaitRunningIn("west-2", true, 5*time.Second) // the others go on
		cl.fleet.WithdrawEvacuation("east-1")
		cl.awaitRunningIn("east-1", true, evacuationBound)
		cl.check()
	})
}

// Guards against EVAC: the owners of the cells do not get to know of an evacuation.
func TestNoStartsInAnEvacuatedDataCentre(t *testing.T) {
	playEvacuation(t, 600, func(*cluster) {})
}

// Guards against EVAC: reads that take almost as long as they may.
func TestEvacuationWhileTheStoreIsSlow(t *testing.T) {
	playEvacuation(t, 601, func(cl *cluster) {
		for _, name := range cl.names() {
			cl.daemons[name].scanDelay.Store(int64(storeTimeout * 4 / 5))
		}
		time.Sleep(2 * evacuationBound)
		cl.check()
		for _, name := range cl.names() {
			cl.daemons[name].scanDelay.Store(0)
		}
	})
}

// Guards against EVAC: owners whose commits succeed, and whose reads of the directory time
// out, went on with a list that they had read before the evacuation.
func TestEvacuationWhileTheDirectoryCannotBeRead(t *testing.T) {
	playEvacuation(t, 602, func(cl *cluster) {
		for _, name := range cl.names() {
			cl.daemons[name].scanDelay.Store(int64(2 * storeTimeout))
		}
		time.Sleep(2 * evacuationBound)
		cl.check()
		for _, name := range cl.names() {
			cl.daemons[name].scanDelay.Store(0)
		}
	})
}

// Guards against EVAC: daemons that cannot reach the store, or have just reached it again,
// start tasks on what they knew before.
func TestEvacuationWhileTheStoreIsAway(t *testing.T) {
	playEvacuation(t, 603, func(cl *cluster) {
		for _, name := range cl.names() {
			cl.daemons[name].storeUnreachable.Store(true)
		}
		time.Sleep(8 * time.Second)
		for _, name := range cl.names() {
			cl.daemons[name].storeUnreachable.Store(false)
		}
	})
}

// Guards against EVAC: the owners are lost right after the operator's write, before they
// have read it, and their successors start tasks on older lists.
func TestOwnersKilledRightAfterAnEvacuation(t *testing.T) {
	playEvacuation(t, 604, func(cl *cluster) {
		lead := cl.daemons[cl.owner()]
		cl.kill(lead.name)
		for n := range lead.cellMap().Cells {
			if d := cl.ownerOf(n); d != nil && n%2 == 1 {
				cl.kill(d.name)
			}
		}
		time.Sleep(6 * time.Second)
		for i := range 6 {
			if name := fmt.Sprintf("d%d", i); cl.daemons[name] == nil {
				cl.start(name)
			}
		}
	})
}

// Guards against EVAC: an evacuation that is known only to processes that have ended.
func TestAllDaemonsRestartedDuringAnEvacuation(t *testing.T) {
	playEvacuation(t, 605, func(cl *cluster) {
		time.Sleep(2 * evacuationBound)
		cl.check()
		names := cl.names()
		cl.stopAll()
		time.Sleep(time.Second)
		for _, name := range names {
			cl.start(name)
		}
		cl.awaitCells()
	})
}

// Guards against EVAC: workers that are new, or have just started again, do not count among
// those of the data centre.
func TestNewWorkersOfAnEvacuatedDataCentre(t *testing.T) {
	playEvacuation(t, 606, func(cl *cluster) {
		time.Sleep(evacuationBound)
		for r := 0; r < dividedRacks; r += 2 {
			cl.addWorker(r, fmt.Sprintf("new-%d", r))
			cl.fleet.Restart(fmt.Sprintf("w%d-0", r))
		}
	})
}

// Guards against EVAC: the end of one of two evacuations ends both. A whole region is
// evacuated, whose cells have no capacity then, and jobs go to the other region.
func TestOverlappingEvacuationsOfAWholeRegion(t *testing.T) {
	playEvacuation(t, 607, func(cl *cluster) {
		time.Sleep(2 * time.Second)
		cl.fleet.Evacuate("east-2", evacuationBound)
		time.Sleep(2 * evacuationBound)
		cl.check()
		is := is.New(cl.t)
		is.Equal(cl.fleet.RunningIn("east-1")+cl.fleet.RunningIn("east-2"), 0)
		j := job.Spec{ID: "elsewhere", Queue: "batch", Steps: []job.Step{{Tasks: 2, EstimateMS: 500, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 1000}}}}
		cl.submit("d0", j)
		cl.awaitState(j.ID, job.Completed, 5*time.Second)
		cl.fleet.WithdrawEvacuation("east-2")
		cl.awaitRunningIn("east-2", true, evacuationBound)
	})
}

// Guards against EVAC: a list without evacuations, of a daemon of an earlier version, was
// taken for one that shows that there are none.
func TestListsOfEarlierVersionsAreNotUsed(t *testing.T) {
	is := is.New(t)
	o := Options{}
	o.Engine.MaxEvacuation = evacuationBound
	g := NewGroup(GroupOptions{Lead: o})
	now := time.Unix(1000, 0)
	g.receiveWorkers(workersTold(7, 0, 4000), 1, now)
	is.Equal(len(g.workersOf(1)), 0)

	sender := NewGroup(GroupOptions{Lead: o})
	sender.keepOwnRead(1, []port.WorkerEntry{{ID: "w", DataCentre: "a", Evacuating: true}}, now)
	told := sender.directories[1].encode(&peerpb.WorkersVersion{Cell: 1, Version: 5}, sender.readsEvacuations(), now)
	g.receiveWorkers(told, 1, now)
	is.Equal(g.workersOf(1), sender.workersOf(1))
	is.True(g.workersOf(1)[0].Evacuating)
}

// Guards against an evacuation that operators cannot follow: each owner logs its begin and end
// once, the gauges show what still runs, and every daemon knows the state of every cell.
func TestEvacuationsAreLoggedAndShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var entries []*log.Entry
		cl := newEvacuationCluster(t, 608)
		defer cl.stopAll()
		for _, name := range cl.names() {
			cl.kill(name)
		}
		cl.logTo = log.HandlerFunc(func(e *log.Entry) error {
			mu.Lock()
			defer mu.Unlock()
			entries = append(entries, e)
			return nil
		})
		for i := range 6 {
			cl.start(fmt.Sprintf("d%d", i))
		}
		m := cl.awaitCells()
		events := func(name string) (cells []any) {
			mu.Lock()
			defer mu.Unlock()
			for _, e := range entries {
				if e.Fields.Get("event") == name {
					is.Equal(e.Fields.Get("data_centre"), "east-1")
					is.True(e.Fields.Get("workers").(int) > 0)
					cells = append(cells, e.Fields.Get("cell"))
				}
			}
			return cells
		}
		evacuated := func(name string) (workers, tasks, known int) {
			states, err := cl.daemons[name].group.States(t.Context())
			is.NoErr(err)
			is.Equal(len(states), len(m.Cells))
			for _, s := range states {
				if s.Known && s.Owner != "" {
					known++
				}
				for _, ev := range s.Evacuations {
					is.Equal(ev.DataCentre, "east-1")
					workers += ev.Workers
					tasks += ev.Tasks
				}
			}
			return workers, tasks, known
		}
		stop := cl.feed()
		cl.awaitRunningIn("east-1", true, 10*time.Second)
		time.Sleep(2 * time.Second)
		stop()
		cl.fleet.SetTaskDuration(func(string) time.Duration { return 10 * time.Second })
		for i := range 12 {
			cl.submit("d0", job.Spec{ID: fmt.Sprintf("long%d", i), Queue: "batch", Steps: []job.Step{{Tasks: 8, EstimateMS: 9000, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 1000}}}})
		}
		time.Sleep(2 * time.Second)
		cl.fleet.Evacuate("east-1", evacuationBound)
		time.Sleep(4 * time.Second)
		size := dividedRacks / 4 * workersPerRack
		gauges := func() (workers, runs int) {
			for _, name := range cl.names() {
				m := cl.daemons[name].cell.instruments
				workers += int(m.evacuatingWorkers.Value())
				runs += int(m.evacuatingRuns.Value())
			}
			return workers, runs
		}
		workers, runs := gauges()
		is.Equal(workers, size)
		is.Equal(runs, cl.fleet.RunningIn("east-1"))
		is.True(runs > 0)
		for _, name := range cl.names() {
			workers, tasks, known := evacuated(name)
			is.Equal(workers, size)
			is.Equal(tasks, runs)
			is.Equal(known, len(m.Cells))
		}
		time.Sleep(10 * time.Second)
		begun := events("evacuation_begins")
		is.True(len(begun) > 0)
		is.Equal(len(events("evacuation_ended")), 0)
		cl.fleet.WithdrawEvacuation("east-1")
		time.Sleep(4 * time.Second)
		is.Equal(events("evacuation_begins"), begun) // each once
		is.Equal(len(events("evacuation_ended")), len(begun))
		workers, runs = gauges()
		is.Equal(workers+runs, 0)
		for _, name := range cl.names() {
			workers, tasks, known := evacuated(name)
			is.Equal(workers+tasks, 0)
			is.Equal(known, len(m.Cells))
		}
	})
}

// Guards against a state that is shown as present although its owner has long been silent.
func TestStateOfASilentOwnerIsNotKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newEvacuationCluster(t, 609)
		defer cl.stopAll()
		m := cl.awaitCells()
		time.Sleep(2 * time.Second)
		lead := cl.owner()
		other := "d0"
		if lead == other {
			other = "d1"
		}
		for _, name := range cl.names() {
			if name != other {
				cl.kill(name)
			}
		}
		time.Sleep(1200 * time.Millisecond) // nobody has taken over yet
		time.Sleep(time.Second)
		states, err := cl.daemons[other].group.States(t.Context())
		is.NoErr(err)
		is.Equal(len(states), len(m.Cells))
		g := cl.daemons[other].group
		for n, s := range states {
			is.True(!s.Known || g.cell(n).View().IsOwner)
		}
		// A cell that it has taken over is known once its state has been read.
		time.Sleep(recoveryBound)
		states, err = g.States(t.Context())
		is.NoErr(err)
		owned := 0
		for n, s := range states {
			is.Equal(s.Known, g.cell(n).View().IsOwner)
			owned += boolToInt(s.Known)
		}
		is.True(owned > 0)
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against AVAIL and LOST: services leave an evacuated data centre under load, past a
// change of the owners, and no step ever has more than one task away.
func TestServicesLeaveAnEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newSizedEvacuationCluster(t, 610, 2*smallMilliCPU) // a cell has both data centres of a region
		defer cl.stopAll()
		cl.awaitCells()
		time.Sleep(2 * time.Second)
		const services, tasks = 8, 4
		for i := range services {
			step := job.Step{Tasks: tasks, Service: true, Image: "desk", MaxUnavailable: 1, TargetLatencyMS: 50, Resources: job.Resources{MilliCPU: 2000, MemoryMB: 1000}}
			cl.submit("d0", job.Spec{ID: fmt.Sprintf("service%d", i), Queue: "batch", Steps: []job.Step{step}})
		}
		defer cl.feed()()
		time.Sleep(5 * time.Second)
		is.True(cl.serviceTasksIn("east-1") > 0)
		cl.fleet.Evacuate("east-1", evacuationBound)
		for i := range 1500 {
			time.Sleep(10 * time.Millisecond)
			if i == 100 {
				cl.kill(cl.owner())
			}
			for s := range services {
				is.True(cl.fleet.RunningTasksOf(fmt.Sprintf("service%d", s)) >= tasks-1)
			}
		}
		is.Equal(cl.serviceTasksIn("east-1"), 0)
		for s := range services {
			is.Equal(cl.fleet.RunningTasksOf(fmt.Sprintf("service%d", s)), tasks)
		}
		cl.check()
	})
}

// serviceTasksIn returns the number of service tasks in a data centre, as the owners of the
// cells know it.
func (cl *cluster) serviceTasksIn(dataCentre string) int {
	n := 0
	for _, name := range cl.names() {
		g := cl.daemons[name].group
		_ = g.lead.Loop.Do(cl.t.Context(), func() {
			for _, c := range append(g.others(), g.lead) {
				if c.term != nil {
					n += c.term.engine.CountIn(dataCentre).Services
				}
			}
		})
	}
	return n
}
