package cell

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/job"
)

// recoveryBound is the time after a fault within which the platform's time bounds
// hold again for a daemon: 4 s on known installations.
const recoveryBound = 4 * time.Second

// TestCellStartsTasksAgainAfterItsOwnerIsLost measures how long a cell starts no
// new tasks after each kind of owner failure.
func TestCellStartsTasksAgainAfterItsOwnerIsLost(t *testing.T) {
	failures := []struct {
		name   string
		inject func(cl *cluster, owner string)
	}{
		{"killed", func(cl *cluster, owner string) { cl.kill(owner) }},
		{"frozen", func(cl *cluster, owner string) {
			cl.daemons[owner].loop.Post(func() { time.Sleep(recoveryBound) })
		}},
		{"cut off from the store", func(cl *cluster, owner string) { cl.daemons[owner].storeUnreachable.Store(true) }},
		{"cut off from everybody", func(cl *cluster, owner string) { cl.daemons[owner].isolated.Store(true) }},
	}
	for n, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, uint64(100+n), 3, 4, halfSecond, nil)
				defer cl.stopAll()
				first := cl.awaitOwner()
				time.Sleep(2 * time.Second)
				failure.inject(cl, first)
				began := time.Now()
				id := cl.submitElsewhere(first)
				t.Logf("the next task was started after %s", cl.awaitStart(id, began))
				cl.awaitState(id, job.Completed, 10*time.Second)
				cl.check()
			})
		})
	}
}

// awaitStart waits for the first task of a job to start and returns the time that
// has passed since from. It fails the test after recoveryBound.
func (cl *cluster) awaitStart(id string, from time.Time) time.Duration {
	cl.t.Helper()
	for cl.fleet.Starts(id+".0.0.0") == 0 {
		if time.Since(from) >= recoveryBound {
			cl.t.Fatalf("no task of job %s has started after %s", id, time.Since(from))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(from)
}

// submitElsewhere submits a job of one task to daemons other than the given one
// until one accepts it, and returns the job's ID.
func (cl *cluster) submitElsewhere(except string) string {
	spec := cl.spec(1)
	for {
		for _, name := range cl.names() {
			if name != except && cl.trySubmit(name, spec) == nil {
				return spec.ID
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// An owner that reaches the store but no worker keeps the cell, because no other
// daemon knows that it would reach the workers. Accepted jobs start after the
// partition heals.
func TestOwnerCutOffFromWorkersContinuesAfterReconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 110, 3, 4, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		cl.daemons[first].workersUnreachable.Store(true)
		id := cl.submitElsewhere(first)
		time.Sleep(5 * time.Second)
		is.Equal(cl.fleet.Starts(id+".0.0.0"), 0)
		cl.daemons[first].workersUnreachable.Store(false)
		t.Logf("the next task was started %s after the partition healed", cl.awaitStart(id, time.Now()))
		cl.awaitState(id, job.Completed, 10*time.Second)
		cl.check()
	})
}

func TestLearnedDataSurvivesTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 111, 3, 2, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		learned := dispatch.Learned{
			Services: []dispatch.LearnedService{{Image: "desk", BaselineTail: 0.2, PeakLoad: 0.7}},
			Pairs:    []dispatch.LearnedPair{{Service: "desk", BestEffort: "scan", Permille: []int{5, 5, 5, 5, 5, 970, 5}}},
		}
		cell := cl.daemons[first].cell
		is.NoErr(cell.Loop.Do(context.Background(), func() { is.NoErr(cell.term.engine.RestoreLearned(learned)) }))
		time.Sleep(2 * learnedInterval)
		cl.kill(first)
		next := cl.daemons[cl.awaitOwner()].cell
		time.Sleep(time.Second)
		is.NoErr(next.Loop.Do(context.Background(), func() {
			is.Equal(next.term.engine.Learned(), learned)
		}))
	})
}

// A cancellation that was acknowledged while the cell had no owner is applied by
// the next owner.
func TestCancellationSurvivesTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 112, 3, 2, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		time.Sleep(time.Second)
		cl.kill(first)
		id := cl.submitElsewhere(first)
		is.NoErr(cl.daemons[cl.names()[0]].cell.Cancel(context.Background(), id))
		cl.awaitOwner()
		time.Sleep(3 * time.Second)
		is.Equal(cl.fleet.Starts(id+".0.0.0"), 0)
		is.Equal(cl.state(id), job.Cancelled)
	})
}

// Guards against UNASKED: a daemon that had stored a cancellation itself, and then acquired
// the cell, did not stop the job's runs at once, and recorded no outcome.
func TestOwnerStopsJobThatItCancelledAsAFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 118, 2, 2, func(string) time.Duration { return time.Minute }, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		spec := cl.spec(4)
		cl.submit(first, spec)
		time.Sleep(time.Second)
		is.Equal(cl.fleet.Running(), 4)
		cl.kill(first)
		next := cl.daemons[cl.names()[0]]
		is.NoErr(next.cell.Cancel(context.Background(), spec.ID))
		is.Equal(cl.awaitOwner(), next.name)
		time.Sleep(time.Second)
		is.Equal(cl.fleet.Running(), 0)
		is.Equal(len(cl.store.Rows(tableOutcomes, "c0")), 1)
	})
}

// An owner does not restart an ended job whose row was not compacted before the
// takeover.
func TestNextOwnerDoesNotRestartEndedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 113, 3, 2, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		id := cl.submitElsewhere(first)
		for !cl.state(id).Final() {
			time.Sleep(time.Millisecond)
		}
		cl.kill(first)
		cl.awaitOwner()
		time.Sleep(3 * time.Second)
		is.Equal(cl.fleet.Starts(id+".0.0.0"), 1)
		is.Equal(cl.state(id), job.Completed)
		cl.check()
	})
}

// Guards against lost work: an owner stopped renewing leases 1.5 s after its last commit,
// so that runs ended in store outages that their longest leases would have survived.
func TestRunsSurviveStoreOutageForTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 115, 3, 4, func(string) time.Duration { return 12 * time.Second }, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		spec := cl.spec(4)
		cl.submit(owner, spec)
		time.Sleep(time.Second)
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultRefused })
		time.Sleep(6500 * time.Millisecond) // the longest lease is 6 s
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
		cl.awaitState(spec.ID, job.Completed, 30*time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1)
		is.Equal(cl.fleet.Starts(spec.ID+".0.1.0"), 1)
		cl.check()
	})
}

// Guards against TWICE: a former owner that is cut off from the store and from the other
// daemons must not renew leases on a worker for longer than its successor, which does not
// reach that worker, waits before it starts the tasks elsewhere.
func TestFormerOwnersLeasesEndBeforeTasksStartElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 116, 3, 2, func(string) time.Duration { return time.Minute }, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		spec := cl.spec(8)
		spec.Steps = spec.Steps[:1]
		cl.submit(owner, spec)
		time.Sleep(time.Second)
		for _, name := range cl.names() {
			if d := cl.daemons[name]; name == owner {
				d.storeUnreachable.Store(true)
			} else {
				d.unreachableWorkers.Store("w0", true)
				d.unreachablePeers.Store(owner, true)
			}
		}
		time.Sleep(20 * time.Second)
		restarted := 0
		for n := range 8 {
			restarted += cl.fleet.Starts(fmt.Sprintf("%s.0.0.%d", spec.ID, n)) - 1
		}
		is.True(restarted > 0) // the tasks of w0
		cl.check()
	})
}

// An owner that reaches neither the store nor a follower may have been replaced
// without its knowledge: it starts no tasks until a commit succeeds.
func TestOwnerStartsNothingWhileUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 114, 2, 2, func(string) time.Duration { return 3 * time.Second }, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		spec := cl.spec(1)
		second := spec.Steps[0]
		second.After = []int{0}
		spec.Steps = []job.Step{spec.Steps[0], second}
		cl.submit(owner, spec)
		time.Sleep(time.Second)
		cl.daemons[owner].storeUnreachable.Store(true)
		for _, name := range cl.names() {
			if name != owner {
				cl.kill(name)
			}
		}
		time.Sleep(5 * time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1)
		is.Equal(cl.fleet.Starts(spec.ID+".0.1.0"), 0) // ready for two seconds
		cl.daemons[owner].storeUnreachable.Store(false)
		cl.awaitState(spec.ID, job.Completed, 10*time.Second)
		cl.check()
	})
}

// Guards against TWICE: a commit that was sent before the VM was suspended, and answered
// afterwards, confirmed an ownership that another daemon may have taken meanwhile.
func TestCommitFromBeforeASuspensionConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 117, 1, 2, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.daemons[cl.awaitOwner()]
		time.Sleep(time.Second)
		owner.commitDelay.Store(int64(800 * time.Millisecond))
		stalled := func() (stalled, committing bool) {
			is.NoErr(owner.loop.Do(t.Context(), func() {
				stalled, committing = owner.cell.term.suspended, owner.cell.term.committing
			}))
			return stalled, committing
		}
		for _, committing := stalled(); !committing; _, committing = stalled() {
			time.Sleep(time.Millisecond)
		}
		owner.suspended.Store(int64(time.Minute))
		time.Sleep(100 * time.Millisecond)
		before, _ := stalled()
		is.True(before)
		time.Sleep(800 * time.Millisecond) // the commit has been answered, the next one has not
		after, _ := stalled()
		is.True(after)
		time.Sleep(time.Second)
		later, _ := stalled()
		is.True(!later)
	})
}
