package cell

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/job"
)

// Guards against TWICE: daemons that start after an outage of the store read a directory that
// lacks a live worker, on which the former owner has started tasks without recording them.
func TestUnlistedWorkerIsExpectedByDaemonsThatHaveJustStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		work := func(task string) time.Duration {
			if strings.Contains(task, ".0.1.") {
				return 9 * time.Second
			}
			return time.Second
		}
		cl := newCluster(t, 130, 3, 2, work, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		spec := cl.spec(1)
		cl.submit(owner, spec)
		time.Sleep(700 * time.Millisecond)
		for _, name := range cl.names() {
			cl.daemons[name].storeUnreachable.Store(true)
		}
		cl.awaitStarts(spec.ID+".0.1.0", 1, time.Second)
		for n := range 2 { // its entry has expired in the outage
			id := fmt.Sprintf("w%d", n)
			cl.fleet.SetUnlisted(id, cl.fleet.RunningOn(id) > 0)
		}
		time.Sleep(2 * time.Second)
		for _, name := range cl.names() {
			cl.kill(name)
			cl.start(name)
		}
		time.Sleep(1800 * time.Millisecond)
		for n := range 2 {
			cl.fleet.SetUnlisted(fmt.Sprintf("w%d", n), false)
		}
		cl.awaitState(spec.ID, job.Completed, 20*time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.1.0"), 1)
		cl.check()
	})
}

// awaitStarts waits until a task has been started a number of times.
func (cl *cluster) awaitStarts(task string, starts int, within time.Duration) {
	cl.t.Helper()
	deadline := time.Now().Add(within)
	for cl.fleet.Starts(task) < starts {
		if time.Now().After(deadline) {
			cl.t.Fatalf("task %s was started %d times within %s, want %d", task, cl.fleet.Starts(task), within, starts)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against TWICE: a start on a worker that no committed row names, where the next owner
// does not expect it.
func TestTasksStartOnlyOnRecordedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 131, 2, 1, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		cl.daemons[owner].storeUnreachable.Store(true)
		cl.fleet.Add("late", "other", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
		d := cl.daemons[owner]
		is.NoErr(d.loop.Do(t.Context(), func() {
			term := d.cell.term
			workers, err := cl.fleet.List(t.Context())
			is.NoErr(err)
			term.setWorkers(workerList{workers, d.cell.Now()})
			is.True(term.engine.Worker("w0").Recorded())
			is.True(!term.engine.Worker("late").Recorded())
		}))
		d.storeUnreachable.Store(false)
		time.Sleep(2 * time.Second)
		is.NoErr(d.loop.Do(t.Context(), func() { is.True(d.cell.term.engine.Worker("late").Recorded()) }))
	})
}

// Guards against LOST: workers that have left stay in the record, and each later owner waits for
// them.
func TestWorkersThatHaveLeftAreRemovedFromTheRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 132, 2, 40, halfSecond, nil)
		defer cl.stopAll()
		cl.awaitOwner()
		time.Sleep(2 * time.Second)
		is.Equal(len(cl.roster()), 40)
		for n := range 30 {
			cl.fleet.Kill(fmt.Sprintf("w%d", n))
		}
		time.Sleep(3 * time.Second)
		is.Equal(len(cl.roster()), 10)
	})
}

// Guards against workers that are missing from the roster after commits without a response,
// which may or may not have been applied.
func TestRosterIsCompleteAfterCommitsWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 133, 2, 20, halfSecond, nil)
		defer cl.stopAll()
		cl.awaitOwner()
		time.Sleep(2 * time.Second)
		lost := 0
		cl.store.SetFault(func(string) fake.StoreFault { // runs under the store's lock
			if lost++; lost%2 == 0 {
				return fake.FaultResponseLost
			}
			return fake.FaultNone
		})
		for n := range 10 {
			cl.fleet.Kill(fmt.Sprintf("w%d", n))
			cl.fleet.Add(fmt.Sprintf("x%d", n), "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
			time.Sleep(time.Second)
		}
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
		time.Sleep(12 * time.Second)
		// An owner that has taken over meanwhile keeps silent workers of its predecessor until it has
		// recovered: the read of the state, and the longest lease on the slowest clock.
		for recovered, waited := false, 0; !recovered; waited++ {
			is.True(waited < 10)
			time.Sleep(time.Second)
			owner := cl.daemons[cl.awaitOwner()]
			is.NoErr(owner.loop.Do(t.Context(), func() { recovered = owner.cell.term != nil && owner.cell.term.recovered }))
		}
		time.Sleep(2 * time.Second)
		roster := cl.roster()
		is.Equal(len(roster), 20)
		for n := range 10 {
			is.True(roster[fmt.Sprintf("x%d", n)])
		}
	})
}

// roster returns the workers that the store's rows name.
func (cl *cluster) roster() map[string]bool {
	cl.t.Helper()
	ids := map[string]bool{}
	for _, row := range cl.store.Rows(tableRoster, "c0") {
		record, err := decode[rosterRecord](row)
		if err != nil {
			cl.t.Fatal(err)
		}
		for _, id := range record.Workers {
			ids[id] = true
		}
	}
	return ids
}
