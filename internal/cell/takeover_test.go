package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/job"
)

// contact is the time of calm after which the platform's time bounds hold again
// for a daemon: 4 s on the installations known.
const contact = 4 * time.Second

// TestCellStartsTasksAgainAfterItsOwnerIsLost measures, for each way to lose an
// owner, how long a cell starts no new tasks.
func TestCellStartsTasksAgainAfterItsOwnerIsLost(t *testing.T) {
	ways := []struct {
		name   string
		strike func(w *world, owner string)
	}{
		{"killed", func(w *world, owner string) { w.kill(owner) }},
		{"frozen", func(w *world, owner string) {
			w.daemons[owner].loop.Post(func() { time.Sleep(contact) })
		}},
		{"cut off from the store", func(w *world, owner string) { w.daemons[owner].cutStore.Store(true) }},
		{"cut off from everybody", func(w *world, owner string) { w.daemons[owner].cutAll.Store(true) }},
	}
	for n, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, uint64(100+n), 3, 4, halfSecond, nil)
				defer w.stopAll()
				first := w.awaitOwner()
				time.Sleep(2 * time.Second)
				way.strike(w, first)
				began := time.Now()
				id := w.submitToAnother(first)
				t.Logf("the next task was started after %s", w.awaitStart(id, began))
				w.awaitState(id, job.Completed, 10*time.Second)
				w.check()
			})
		})
	}
}

// awaitStart waits for the first task of a job to start and returns how long
// that took from a time. It fails when that is not within the time of contact.
func (w *world) awaitStart(id string, from time.Time) time.Duration {
	w.t.Helper()
	for w.fleet.Starts(id+".0.0.0") == 0 {
		if time.Since(from) >= contact {
			w.t.Fatalf("no task of job %s has started after %s", id, time.Since(from))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(from)
}

// submitToAnother submits a job of one task to a daemon other than the given
// one, again and again until it is accepted.
func (w *world) submitToAnother(than string) string {
	spec := w.spec(1)
	for {
		for _, name := range w.names() {
			if name != than && w.trySubmit(name, spec) == nil {
				return spec.ID
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// An owner that reaches the store but no worker keeps the cell: another daemon
// has no sign that it would do better. What is accepted starts once it reaches
// them again.
func TestOwnerCutOffFromWorkersGoesOnAfterTheCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 110, 3, 4, halfSecond, nil)
		defer w.stopAll()
		first := w.awaitOwner()
		time.Sleep(2 * time.Second)
		w.daemons[first].cutFleet.Store(true)
		id := w.submitToAnother(first)
		time.Sleep(5 * time.Second)
		is.Equal(w.fleet.Starts(id+".0.0.0"), 0)
		w.daemons[first].cutFleet.Store(false)
		t.Logf("the next task was started %s after the cut", w.awaitStart(id, time.Now()))
		w.awaitState(id, job.Completed, 10*time.Second)
		w.check()
	})
}

func TestWhatIsLearnedOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 111, 3, 2, halfSecond, nil)
		defer w.stopAll()
		first := w.awaitOwner()
		learned := dispatch.Learned{
			Services: []dispatch.LearnedService{{Image: "desk", BaselineTail: 0.2, PeakLoad: 0.7}},
			Pairs:    []dispatch.LearnedPair{{Service: "desk", BestEffort: "scan", Permille: []int{5, 5, 5, 5, 5, 970, 5}}},
		}
		cell := w.daemons[first].cell
		is.NoErr(cell.Loop.Do(context.Background(), func() { is.NoErr(cell.tenure.engine.RestoreLearned(learned)) }))
		time.Sleep(2 * learnedPause)
		w.kill(first)
		next := w.daemons[w.awaitOwner()].cell
		time.Sleep(time.Second)
		is.NoErr(next.Loop.Do(context.Background(), func() {
			is.Equal(next.tenure.engine.Learned(), learned)
		}))
	})
}

// A cancellation that was answered while the cell had no owner holds for the
// next one.
func TestCancellationHoldsOverATakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 112, 3, 2, halfSecond, nil)
		defer w.stopAll()
		first := w.awaitOwner()
		time.Sleep(time.Second)
		w.kill(first)
		id := w.submitToAnother(first)
		is.NoErr(w.daemons[w.names()[0]].cell.Cancel(context.Background(), id))
		w.awaitOwner()
		time.Sleep(3 * time.Second)
		is.Equal(w.fleet.Starts(id+".0.0.0"), 0)
		is.Equal(w.state(id), job.Cancelled)
	})
}

// A job that has ended is not begun anew by an owner that finds its row before
// the row was cleared away.
func TestNextOwnerDoesNotBeginAnEndedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 113, 3, 2, halfSecond, nil)
		defer w.stopAll()
		first := w.awaitOwner()
		id := w.submitToAnother(first)
		for !w.state(id).Final() {
			time.Sleep(time.Millisecond)
		}
		w.kill(first)
		w.awaitOwner()
		time.Sleep(3 * time.Second)
		is.Equal(w.fleet.Starts(id+".0.0.0"), 1)
		is.Equal(w.state(id), job.Completed)
		w.check()
	})
}

// An owner that reaches neither the store nor a follower may have been replaced
// without knowing: it gives no orders until a commit succeeds.
func TestOwnerGivesNoOrdersWhileAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 114, 2, 2, func(string) time.Duration { return 3 * time.Second }, nil)
		defer w.stopAll()
		owner := w.awaitOwner()
		spec := w.spec(1)
		second := spec.Steps[0]
		second.After = []int{0}
		spec.Steps = []job.Step{spec.Steps[0], second}
		w.submit(owner, spec)
		time.Sleep(time.Second)
		w.daemons[owner].cutStore.Store(true)
		for _, name := range w.names() {
			if name != owner {
				w.kill(name)
			}
		}
		time.Sleep(5 * time.Second)
		is.Equal(w.fleet.Starts(spec.ID+".0.0.0"), 1)
		is.Equal(w.fleet.Starts(spec.ID+".0.1.0"), 0) // its turn came two seconds ago
		w.daemons[owner].cutStore.Store(false)
		w.awaitState(spec.ID, job.Completed, 10*time.Second)
		w.check()
	})
}
