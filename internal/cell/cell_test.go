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

func TestJobRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1, 3, 4, halfSecond, nil)
		defer w.stopAll()
		w.awaitOwner()
		spec := w.spec(6)
		w.submit("d1", spec)
		w.awaitState(spec.ID, job.Completed, 5*time.Second)
		is.Equal(w.fleet.Starts(spec.ID+".0.0.0"), 1)
		is.Equal(w.fleet.Starts(spec.ID+".0.1.5"), 1)
		w.check()
	})
}

func TestJobIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 3, 4, func(string) time.Duration { return time.Hour }, nil)
		defer w.stopAll()
		w.awaitOwner()
		spec := w.spec(4)
		w.submit("d0", spec)
		time.Sleep(time.Second)
		is.Equal(w.fleet.Running(), 4)
		is.NoErr(w.daemons["d2"].cell.Cancel(context.Background(), spec.ID))
		time.Sleep(time.Second)
		is.Equal(w.fleet.Running(), 0)
		is.Equal(w.state(spec.ID), job.Cancelled)
		is.Equal(w.fleet.Starts(spec.ID+".0.0.0"), 1) // not begun anew by rows that are still there
		w.check()
	})
}

func TestUnknownJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3, 2, 1, halfSecond, nil)
		defer w.stopAll()
		w.awaitOwner()
		_, err := w.daemons["d1"].cell.State(context.Background(), "nothing")
		is.True(errors.Is(err, ErrNoJob))
		is.True(errors.Is(w.daemons["d0"].cell.Cancel(context.Background(), "nothing"), ErrNoJob))
	})
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 4, 3, 4, func(string) time.Duration { return 3 * time.Second }, nil)
		defer w.stopAll()
		first := w.awaitOwner()
		spec := w.spec(8)
		w.submit(first, spec)
		time.Sleep(time.Second)
		w.kill(first)
		began := time.Now()
		is.True(w.awaitOwner() != first)
		t.Logf("replaced after %s", time.Since(began))
		w.awaitState(spec.ID, job.Completed, 10*time.Second)
		is.Equal(w.fleet.Starts(spec.ID+".0.0.0"), 1) // went on over the take-over
		w.check()
	})
}

func TestOwnerCutOffFromTheStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 5, 3, 4, halfSecond, nil)
		defer w.stopAll()
		first := w.awaitOwner()
		w.daemons[first].cutStore.Store(true)
		time.Sleep(6 * time.Second)
		replaced := false
		for _, name := range w.names() {
			replaced = replaced || name != first && w.daemons[name].cell.View().IsOwner
		}
		is.True(replaced)
		w.daemons[first].cutStore.Store(false)
		time.Sleep(2 * time.Second)
		spec := w.spec(6)
		w.submit(first, spec)
		w.awaitState(spec.ID, job.Completed, 5*time.Second)
		w.check()
	})
}

func TestReleasedCellIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 6, 3, 4, halfSecond, nil)
		defer w.stopAll()
		first := w.awaitOwner()
		is.NoErr(w.daemons[first].cell.Release(context.Background()))
		began := time.Now()
		is.True(w.awaitOwner() != first)
		is.True(time.Since(began) < time.Second)
	})
}

func TestResubmissionAfterTheEndDoesNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 7, 3, 4, halfSecond, nil)
		defer w.stopAll()
		first := w.awaitOwner()
		spec := w.spec(3)
		w.submit(first, spec)
		w.awaitState(spec.ID, job.Completed, 5*time.Second)
		for _, name := range w.names() { // nobody remembers it but the store
			w.kill(name)
		}
		time.Sleep(time.Second)
		w.start("d0")
		w.start("d1")
		w.awaitOwner()
		w.submit("d0", spec)
		w.submit("d1", spec)
		time.Sleep(3 * time.Second)
		is.Equal(w.fleet.Starts(spec.ID+".0.0.0"), 1)
		is.Equal(w.state(spec.ID), job.Completed)
		w.check()
	})
}

func TestSilentWorkersTasksRunElsewhereWhenItsLeaseIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 8, 2, 2, func(string) time.Duration { return 20 * time.Second }, nil)
		defer w.stopAll()
		w.awaitOwner()
		spec := w.spec(4)
		spec.Steps = spec.Steps[:1]
		w.submit("d0", spec)
		time.Sleep(time.Second)
		w.fleet.SetUnreachable("w0", true)
		w.fleet.SetUnreachable("w1", true)
		w.fleet.Add("w2", "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
		time.Sleep(10 * time.Second)
		for _, task := range []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.0.3"} {
			is.Equal(w.fleet.Starts(spec.ID+task), 2)
		}
		w.check()
	})
}

func TestStoreOutageDoesNotStopWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 9, 3, 4, halfSecond, nil)
		defer w.stopAll()
		owner := w.awaitOwner()
		spec := w.spec(4)
		w.submit(owner, spec)
		w.store.SetFault(func(string) fake.StoreFault { return fake.FaultRefused })
		time.Sleep(5 * time.Second)
		is.Equal(w.fleet.Starts(spec.ID+".0.1.0"), 1) // the second step ran without the store
		is.Equal(w.owner(), owner)
		is.True(w.trySubmit(owner, w.spec(1)) != nil)
		w.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
		w.awaitState(spec.ID, job.Completed, 5*time.Second)
		w.check()
	})
}

func TestLateOrderRunsNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 10, 2, 2, halfSecond, nil)
		defer w.stopAll()
		w.awaitOwner()
		w.fleet.DelayStarts("w0", 3*time.Second)
		var specs []job.Spec
		for range 5 {
			spec := w.spec(6)
			w.submit("d1", spec)
			specs = append(specs, spec)
			time.Sleep(300 * time.Millisecond)
		}
		for _, spec := range specs {
			w.awaitState(spec.ID, job.Completed, 30*time.Second)
		}
		w.check()
	})
}

func TestHopelessJobFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 11, 2, 4, halfSecond, func(string, int) bool { return true })
		defer w.stopAll()
		w.awaitOwner()
		spec := w.spec(1)
		w.submit("d0", spec)
		w.awaitState(spec.ID, job.Failed, 20*time.Second)
		is.Equal(w.fleet.Starts(spec.ID+".0.0.0"), 3)
		is.Equal(w.fleet.Starts(spec.ID+".0.1.0"), 0)
	})
}

func TestLostHistoryLosesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12, 2, 2, halfSecond, nil)
		defer w.stopAll()
		owner := w.awaitOwner()
		other := "d0"
		if owner == other {
			other = "d1"
		}
		w.daemons[other].cutAll.Store(true) // it can tell nobody
		time.Sleep(time.Second)
		w.daemons[other].cutAll.Store(false)
		spec := w.spec(2)
		value := encode(jobRecord{Spec: &spec})
		w.store.Put(tableJobs, w.daemons[owner].cell.jobPartition(spec.ID), spec.ID, value)
		w.store.Compact()
		w.awaitState(spec.ID, job.Completed, 10*time.Second)
		w.check()
	})
}
