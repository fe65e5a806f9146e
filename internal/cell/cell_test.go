package cell

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/job"
)

func halfSecond(string) time.Duration { return 500 * time.Millisecond }

func TestJobRunsToCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 1, 3, 4, halfSecond, nil)
		defer cl.stopAll()
		cl.awaitOwner()
		spec := cl.spec(6)
		cl.submit("d1", spec)
		cl.awaitState(spec.ID, job.Completed, 5*time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1)
		is.Equal(cl.fleet.Starts(spec.ID+".0.1.5"), 1)
		cl.check()
	})
}

func TestJobIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 2, 3, 4, func(string) time.Duration { return time.Hour }, nil)
		defer cl.stopAll()
		cl.awaitOwner()
		spec := cl.spec(4)
		cl.submit("d0", spec)
		time.Sleep(time.Second)
		is.Equal(cl.fleet.Running(), 4)
		is.NoErr(cl.daemons["d2"].cell.Cancel(context.Background(), spec.ID))
		time.Sleep(time.Second)
		is.Equal(cl.fleet.Running(), 0)
		is.Equal(cl.state(spec.ID), job.Cancelled)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1) // not started again from rows that are not deleted yet
		cl.check()
	})
}

func TestUnknownJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, 2, 1, halfSecond, nil)
		defer cl.stopAll()
		cl.awaitOwner()
		_, err := cl.daemons["d1"].cell.State(context.Background(), "nothing")
		is.True(errors.Is(err, ErrNoJob))
		is.True(errors.Is(cl.daemons["d0"].cell.Cancel(context.Background(), "nothing"), ErrNoJob))
	})
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 4, 3, 4, func(string) time.Duration { return 3 * time.Second }, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		spec := cl.spec(8)
		cl.submit(first, spec)
		time.Sleep(time.Second)
		cl.kill(first)
		began := time.Now()
		is.True(cl.awaitOwner() != first)
		t.Logf("taken over after %s", time.Since(began))
		cl.awaitState(spec.ID, job.Completed, 10*time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1) // kept running during the takeover
		cl.check()
	})
}

func TestOwnerCutOffFromTheStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 5, 3, 4, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		cl.daemons[first].storeUnreachable.Store(true)
		time.Sleep(6 * time.Second)
		replaced := false
		for _, name := range cl.names() {
			replaced = replaced || name != first && cl.daemons[name].cell.View().IsOwner
		}
		is.True(replaced)
		cl.daemons[first].storeUnreachable.Store(false)
		time.Sleep(2 * time.Second)
		spec := cl.spec(6)
		cl.submit(first, spec)
		cl.awaitState(spec.ID, job.Completed, 5*time.Second)
		cl.check()
	})
}

func TestReleasedCellIsTakenOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 6, 3, 4, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		is.NoErr(cl.daemons[first].cell.Release(context.Background()))
		began := time.Now()
		is.True(cl.awaitOwner() != first)
		is.True(time.Since(began) < time.Second)
	})
}

func TestResubmissionAfterTheEndDoesNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 7, 3, 4, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		spec := cl.spec(3)
		cl.submit(first, spec)
		cl.awaitState(spec.ID, job.Completed, 5*time.Second)
		for _, name := range cl.names() { // only the store still holds the job
			cl.kill(name)
		}
		time.Sleep(time.Second)
		cl.start("d0")
		cl.start("d1")
		cl.awaitOwner()
		cl.submit("d0", spec)
		cl.submit("d1", spec)
		time.Sleep(3 * time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1)
		is.Equal(cl.state(spec.ID), job.Completed)
		cl.check()
	})
}

func TestTasksOfUnresponsiveWorkerRunElsewhereAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 8, 2, 2, func(string) time.Duration { return 20 * time.Second }, nil)
		defer cl.stopAll()
		cl.awaitOwner()
		spec := cl.spec(4)
		spec.Steps = spec.Steps[:1]
		cl.submit("d0", spec)
		time.Sleep(time.Second)
		cl.fleet.SetUnreachable("w0", true)
		cl.fleet.SetUnreachable("w1", true)
		cl.fleet.Add("w2", "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
		time.Sleep(10 * time.Second)
		for _, task := range []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.0.3"} {
			is.Equal(cl.fleet.Starts(spec.ID+task), 2)
		}
		cl.check()
	})
}

func TestStoreOutageDoesNotStopRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 9, 3, 4, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		spec := cl.spec(4)
		cl.submit(owner, spec)
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultRefused })
		time.Sleep(5 * time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.1.0"), 1) // the second step ran without the store
		is.Equal(cl.owner(), owner)
		is.True(cl.trySubmit(owner, cl.spec(1)) != nil)
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
		cl.awaitState(spec.ID, job.Completed, 5*time.Second)
		cl.check()
	})
}

func TestDelayedRequestRunsNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 10, 2, 2, halfSecond, nil)
		defer cl.stopAll()
		cl.awaitOwner()
		cl.fleet.DelayStarts("w0", 3*time.Second)
		var specs []job.Spec
		for range 5 {
			spec := cl.spec(6)
			cl.submit("d1", spec)
			specs = append(specs, spec)
			time.Sleep(300 * time.Millisecond)
		}
		for _, spec := range specs {
			cl.awaitState(spec.ID, job.Completed, 30*time.Second)
		}
		cl.check()
	})
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 11, 2, 4, halfSecond, func(string, int) bool { return true })
		defer cl.stopAll()
		cl.awaitOwner()
		spec := cl.spec(1)
		cl.submit("d0", spec)
		cl.awaitState(spec.ID, job.Failed, 20*time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 3)
		is.Equal(cl.fleet.Starts(spec.ID+".0.1.0"), 0)
	})
}

func TestCompactionOfChangesLosesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 12, 2, 2, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		other := "d0"
		if owner == other {
			other = "d1"
		}
		cl.daemons[other].isolated.Store(true) // its notifications reach no daemon
		time.Sleep(time.Second)
		cl.daemons[other].isolated.Store(false)
		spec := cl.spec(2)
		value := encode(jobRecord{Spec: &spec})
		cl.store.Put(tableJobs, cl.daemons[owner].cell.jobPartition(spec.ID), spec.ID, value)
		cl.store.Compact()
		cl.awaitState(spec.ID, job.Completed, 10*time.Second)
		cl.check()
	})
}

// Guards against stale states: a final state that the owner's daemon learned while it
// handled a request was not sent to the other daemons, which reported the job as running
// from then on.
func TestFinalStateLearnedByARequestReachesFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 13, 3, 4, func(string) time.Duration { return time.Hour }, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		spec := cl.spec(4)
		cl.submit(owner, spec)
		time.Sleep(time.Second)
		is.NoErr(cl.daemons[owner].cell.Cancel(context.Background(), spec.ID))
		time.Sleep(2 * time.Second)
		for _, name := range cl.names() {
			state, err := cl.daemons[name].cell.State(context.Background(), spec.ID)
			is.NoErr(err)
			is.Equal(state, job.Cancelled)
		}
	})
}
