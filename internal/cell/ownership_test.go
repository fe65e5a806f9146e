package cell

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// heldStore applies the owner's commits at once and holds their responses while hold is
// set.
type heldStore struct {
	port.Store
	hold    atomic.Bool
	release chan struct{}
	held    atomic.Int64
}

func (s *heldStore) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	version, err := s.Store.Commit(ctx, txn)
	if s.hold.Load() && slices.ContainsFunc(txn.Puts, func(p port.Put) bool { return p.Table == tableOwners }) {
		s.held.Add(1)
		<-s.release
	}
	return version, err
}

// freezeWithWork freezes the loop of the owner, just after it has learned of a job of one
// long task, for a time in which another daemon, which reaches only w1, takes over and
// starts the task.
func freezeWithWork(t *testing.T, cl *cluster, before func(first *daemon)) (task string, first *daemon) {
	t.Helper()
	is := is.New(t)
	first = cl.daemons[cl.awaitOwner()]
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
		first.cell.term.acceptStored([]job.Spec{spec}, nil)
		time.Sleep(freezeTime)
	})
	cl.submit(other, spec)
	time.Sleep(freezeTime - 100*time.Millisecond)
	task = spec.ID + ".0.0.0"
	is.Equal(cl.fleet.Starts(task), 1) // by the successor
	return task, first
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
		task, _ := freezeWithWork(t, cl, func(*daemon) {})
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
		store := &heldStore{release: make(chan struct{})}
		task, _ := freezeWithWork(t, cl, func(first *daemon) {
			is.NoErr(first.loop.Do(t.Context(), func() {
				store.Store, first.cell.Store = first.cell.Store, store
				first.cell.term.planScheduled = true // no plan is queued before the tick
			}))
			store.hold.Store(true)
			for store.held.Load() == 0 {
				time.Sleep(5 * time.Millisecond)
			}
		})
		store.hold.Store(false)
		time.Sleep(110 * time.Millisecond) // the first ticks after the freeze
		is.Equal(cl.fleet.Starts(task), 1)
		close(store.release)
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
		store := &heldStore{release: make(chan struct{})}
		store.hold.Store(true)
		var suspended time.Duration
		is.NoErr(d.loop.Do(t.Context(), func() {
			uptime := c.Uptime
			store.Store = c.Store
			c.Store, c.Uptime = store, func() time.Duration { return uptime() + suspended }
		}))
		for store.held.Load() == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		is.NoErr(d.loop.Do(t.Context(), func() { suspended = 8 * time.Second }))
		time.Sleep(120 * time.Millisecond)
		store.hold.Store(false)
		close(store.release)
		time.Sleep(time.Millisecond)
		is.NoErr(d.loop.Do(t.Context(), func() {
			is.True(c.term != nil)
			is.True(c.term.unconfirmed || c.term.leaseAt(time.Now()) <= 0)
		}))
	})
}
