package cell

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/port"
)

// holdCommits applies the commits of a daemon at once and holds their responses. The
// returned functions wait until a response is held, and let all pass.
func (d *daemon) holdCommits() (awaitHeld, pass func()) {
	held, passed := make(chan struct{}, 1), make(chan struct{})
	hook := commitHook(func(_ context.Context, commit func() (int64, error)) (int64, error) {
		version, err := commit()
		select {
		case held <- struct{}{}:
		default:
		}
		<-passed
		return version, err
	})
	d.commitHook.Store(&hook)
	return func() { <-held }, func() {
		d.commitHook.Store(nil)
		close(passed)
	}
}

// freezeWithWork freezes the loop of the owner, just after it has learned of a job of one
// long task, for a time in which another daemon, which reaches only w1, takes over and
// starts the task.
func freezeWithWork(t *testing.T, cl *cluster, before func(first *daemon)) (task string) {
	t.Helper()
	is := is.New(t)
	first := cl.daemons[cl.awaitOwner()]
	time.Sleep(2 * time.Second)
	var other string
	for _, name := range cl.names() {
		if name != first.name {
			other = name
			cl.daemons[name].unreachableWorkers.Store("w0", true)
			cl.daemons[name].unreachablePeers.Store(first.name, true) // it cannot tell the former owner
		}
	}
	first.unreachableWorkers.Store("w1", true)
	spec := cl.spec(1)
	spec.Steps = spec.Steps[:1]
	before(first)
	first.loop.Post(func() {
		first.cell.term.acceptStored([]storedJob{{Spec: spec}}, nil)
		time.Sleep(freezeTime)
	})
	cl.submit(other, spec)
	time.Sleep(freezeTime - 100*time.Millisecond)
	task = spec.ID + ".0.0.0"
	is.Equal(cl.fleet.Starts(task), 1) // by the successor
	return task
}

const freezeTime = 14 * time.Second

func longTask(string) time.Duration { return 20 * time.Second }

// Guards against TWICE: after a freeze, the loop may run a plan that was queued before
// the tick that detects the freeze. It must start no task.
func TestPlanBeforeTheTickThatDetectsAFreezeStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 151, 2, 2, longTask, nil)
		defer cl.stopAll()
		task := freezeWithWork(t, cl, func(*daemon) {})
		time.Sleep(time.Second)
		cl.check()
		is.Equal(cl.fleet.Starts(task), 1)
	})
}

// Guards against TWICE: a commit that was sent before a freeze and is answered after it
// does not confirm the ownership.
func TestCommitSentBeforeAFreezeStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 153, 2, 2, longTask, nil)
		defer cl.stopAll()
		var pass func()
		task := freezeWithWork(t, cl, func(first *daemon) {
			is.NoErr(first.loop.Do(t.Context(), func() {
				first.cell.term.planScheduled = true // no plan is queued before the tick
			}))
			var awaitHeld func()
			awaitHeld, pass = first.holdCommits()
			awaitHeld()
		})
		time.Sleep(110 * time.Millisecond) // the first ticks after the freeze
		is.Equal(cl.fleet.Starts(task), 1)
		pass()
		time.Sleep(time.Second)
		cl.check()
		is.Equal(cl.fleet.Starts(task), 1)
	})
}

// Guards against SHORT: a steady stream of submissions keeps the owner from ever dating the
// depths, because the newest row of the store is a job at each read.
func TestDepthsAreGivenWhileJobsArriveSteadily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 152, 1, 2, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		refused, given := 0, 0
		for n := range 1000 { // 100 submissions a second
			cl.submit(owner, cl.oversized())
			time.Sleep(6 * time.Millisecond)
			if n%20 == 0 {
				if _, err := cl.daemons[owner].cell.Pending("batch"); err != nil {
					refused++
				} else {
					given++
				}
			}
		}
		t.Logf("depths refused %d, given %d", refused, given)
		is.Equal(refused, 0)
	})
}

// Guards against SHORT: the longer timeouts of an overloaded owner let one lost commit cost
// it the cell.
func TestOneLostCommitDoesNotCostTheCell(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 154, 3, 2, halfSecond, nil)
			defer cl.stopAll()
			first := cl.daemons[cl.awaitOwner()]
			time.Sleep(12 * time.Second)
			for _, name := range cl.names() { // polls time out, as those of an owner with a long queue
				cl.daemons[name].unreachablePeers.Store(first.name, true)
			}
			time.Sleep(time.Second)
			is.NoErr(first.loop.Do(t.Context(), func() {
				first.cell.loopDelay.overloaded = overloaded
				if overloaded {
					first.cell.loopDelay.mean = time.Hour
				}
			}))
			var lost atomic.Bool
			loseOne := commitHook(func(ctx context.Context, commit func() (int64, error)) (int64, error) {
				if lost.Swap(true) {
					return commit()
				}
				<-ctx.Done()
				return 0, &port.UnansweredError{Op: "commit", Err: ctx.Err()}
			})
			first.commitHook.Store(&loseOne)
			time.Sleep(5 * time.Second)
			t.Logf("overloaded %v: owner %s, former %s", overloaded, cl.owner(), first.name)
			is.Equal(cl.owner(), first.name)
		})
	}
}

// Guards against lost work: an owner that began to release the cell when the store failed
// renewed no leases, though no other daemon could acquire the cell.
func TestLeasesAreRenewedWhileAReleaseFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 155, 2, 2, longTask, nil)
		defer cl.stopAll()
		first := cl.daemons[cl.awaitOwner()]
		spec := cl.spec(1)
		spec.Steps = spec.Steps[:1]
		cl.submit(first.name, spec)
		time.Sleep(2 * time.Second)
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultRefused })
		is.NoErr(first.loop.Do(t.Context(), func() { first.cell.term.release(time.Now()) }))
		time.Sleep(5200 * time.Millisecond)
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
		time.Sleep(15 * time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1)
	})
}

// Guards against SHORT: the cell changes hands while all large daemons are cut off from
// the store.
func TestNoFlappingWhileLargeDaemonsAreCutOffFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newSizedCluster(t, 156, 6, 2, halfSecond, nil, func(name string) int64 {
			if name == "d0" || name == "d1" {
				return 800
			}
			return 200
		})
		defer cl.stopAll()
		time.Sleep(15 * time.Second)
		cl.daemons["d0"].storeUnreachable.Store(true)
		cl.daemons["d1"].storeUnreachable.Store(true)
		time.Sleep(5 * time.Second)
		epoch, without := cl.daemons["d3"].cell.View().Epoch, 0
		for range 600 {
			if cl.owner() == "" {
				without++
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("epochs %d in 60 s, without an owner %d00 ms, owner %s", cl.daemons["d3"].cell.View().Epoch-epoch, without, cl.owner())
		is.True(cl.daemons["d3"].cell.View().Epoch-epoch <= 1)
	})
}

// Guards against TWICE: an acquisition that was sent before a suspension and is answered
// after it makes no confirmed owner.
func TestAcquisitionSentBeforeASuspensionIsUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 158, 1, 2, halfSecond, nil)
		defer cl.stopAll()
		d := cl.daemons["d0"]
		c := d.cell
		awaitHeld, pass := d.holdCommits()
		awaitHeld()
		d.suspended.Store(int64(8 * time.Second))
		time.Sleep(120 * time.Millisecond)
		pass()
		time.Sleep(time.Millisecond)
		is.NoErr(d.loop.Do(t.Context(), func() {
			is.True(c.term != nil)
			is.True(c.term.unconfirmed || c.term.leaseAt(time.Now()) <= 0)
		}))
	})
}

// Guards against lost work: a slow read of the recovery data must not cost all runs.
func TestRunsSurviveASlowRecoveryRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 160, 3, 2, longTask, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		spec := cl.spec(1)
		spec.Steps = spec.Steps[:1]
		cl.submit(first, spec)
		time.Sleep(2 * time.Second)
		cl.setScanDelay(4500 * time.Millisecond)
		cl.kill(first)
		time.Sleep(20 * time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1)
	})
}

// Guards against lost work: a release that needs many commits first must not let the
// leases of all runs lapse. A new owner that has adopted the runs of many jobs has a change
// of each to commit. An owner that releases the cell by choice stays if that takes too long, and one
// that is stopped does not.
func TestRunsSurviveAReleaseWithManyChanges(t *testing.T) {
	const byChoice, stopped = "by choice", "stopped"
	for _, release := range []string{"", byChoice, stopped} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			const jobs = 750
			cl := newCluster(t, 162, 2, 100, func(string) time.Duration { return time.Minute }, nil)
			defer cl.stopAll()
			first := cl.daemons[cl.awaitOwner()]
			var ids []string
			for range jobs {
				spec := cl.spec(1)
				spec.Steps = spec.Steps[:1]
				cl.submit(first.name, spec)
				ids = append(ids, spec.ID)
			}
			time.Sleep(5 * time.Second)
			for _, d := range cl.daemons {
				d.commitDelay.Store(int64(300 * time.Millisecond))
			}
			is.NoErr(first.loop.Do(t.Context(), func() {
				for _, j := range first.cell.term.engine.Jobs() {
					first.cell.term.markDirty(j, false)
				}
				if release == byChoice {
					first.cell.term.release(time.Now())
				}
			}))
			began := time.Now()
			if release == stopped {
				is.NoErr(first.cell.Release(t.Context()))
				is.True(time.Since(began) <= releaseWithin+2*time.Second)
				is.True(first.cell.instruments.releasesIncomplete.Count() > 0)
			}
			time.Sleep(15 * time.Second)
			is.Equal(first.cell.View().IsOwner, release != stopped)
			if release == byChoice {
				is.Equal(first.cell.instruments.releasesAbandoned.Count(), int64(1))
			}
			again := 0
			for _, id := range ids {
				again += cl.fleet.Starts(id+".0.0.0") - 1
			}
			t.Logf("release %q: %d tasks were started again", release, again)
			is.Equal(again, 0)
		})
	}
}

// Guards against services that are away for longer than a takeover takes: an owner released the cell for
// the sake of a larger daemon while it was still waiting for workers, and the successor waited anew.
func TestCellIsNotReleasedByChoiceDuringTheRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sizes := func(name string) int64 {
			if name == "d2" {
				return 800
			}
			return 200
		}
		cl := newSizedCluster(t, 163, 2, 3, halfSecond, nil, sizes)
		defer cl.stopAll()
		first := cl.awaitOwner()
		time.Sleep(3 * time.Second)
		cl.fleet.SetUnreachable("w0", true) // the next owner waits for the longest lease
		cl.kill(first)
		second := cl.daemons[cl.awaitOwner()]
		cl.start("d2")
		for recovered := false; !recovered; time.Sleep(50 * time.Millisecond) {
			is.Equal(cl.owner(), second.name)
			is.NoErr(second.loop.Do(t.Context(), func() {
				recovered = second.cell.term == nil || second.cell.term.recovered
			}))
		}
		cl.fleet.SetUnreachable("w0", false)
		time.Sleep(3 * time.Second)
		is.Equal(cl.owner(), "d2")
	})
}
