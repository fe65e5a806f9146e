package cell

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// lateBy is how late a write without a response is carried out, as on the platform.
const lateBy = 6 * time.Second

// makeLate makes a daemon's writes of a row in a job table late: they get no response.
func (d *daemon) makeLate(id string) {
	hook := txnHook(func(ctx context.Context, txn port.Txn, commit func() (int64, error)) (int64, error) {
		if !slices.ContainsFunc(txn.Puts, func(p port.Put) bool { return p.Key == id }) {
			return commit()
		}
		store := d.cell.Store.(daemonStore).Store
		time.AfterFunc(lateBy, func() { _, _ = store.Commit(context.Background(), txn) })
		<-ctx.Done()
		return 0, &port.UnansweredError{Op: "commit", Err: ctx.Err()}
	})
	d.txnHook.Store(&hook)
}

// cancelAt cancels a job at a daemon and returns the status that its caller gets.
func (cl *cluster) cancelAt(name, id string) int {
	return statusOf(cl.daemons[name].jobs().Cancel(cl.t.Context(), id))
}

func (cl *cluster) submitAt(name string, spec job.Spec) int {
	return statusOf(cl.trySubmit(name, spec))
}

func (cl *cluster) stateAt(name, id string) (job.State, int) {
	state, err := cl.daemons[name].jobs().State(cl.t.Context(), id)
	return state, statusOf(err)
}

func statusOf(err error) int {
	if err == nil {
		return http.StatusOK
	}
	return verdict.AsRequestError(err, http.StatusInternalServerError).Status
}

// submitLate submits a job whose write is late, and returns once the caller has left.
func (cl *cluster) submitLate(name string, spec job.Spec) {
	ctx, cancel := context.WithTimeout(cl.t.Context(), 900*time.Millisecond)
	defer cancel()
	cl.daemons[name].makeLate(spec.ID)
	_ = cl.daemons[name].jobs().Submit(ctx, spec)
	cl.daemons[name].txnHook.Store(nil)
}

// Guards against UNASKED: a cancellation of a job that was not stored yet recorded nothing. A late write of
// the submission, or a repeated one at any daemon, stored the job afterwards, and it ran.
func TestJobThatIsCancelledBeforeItIsStoredNeverRuns(t *testing.T) {
	for name, repeated := range map[string]bool{"late write": false, "submitted again": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newCluster(t, 180, 3, 4, halfSecond, nil)
				defer cl.stopAll()
				cl.awaitOwner()
				time.Sleep(2 * time.Second)
				spec := cl.spec(2)
				cl.submitLate("d0", spec)
				is.Equal(cl.cancelAt("d1", spec.ID), http.StatusGone)
				is.Equal(cl.cancelAt("d2", spec.ID), http.StatusGone) // a repeated cancellation gets the same response
				_, status := cl.stateAt("d0", spec.ID)
				is.Equal(status, http.StatusGone) // nobody has been told that it exists
				if repeated {
					for _, name := range cl.names() {
						is.Equal(cl.submitAt(name, spec), http.StatusOK) // it is one job, and is cancelled
						state, status := cl.stateAt(name, spec.ID)
						is.Equal(status, http.StatusOK)
						is.Equal(state, job.Cancelled)
						is.Equal(cl.cancelAt(name, spec.ID), http.StatusOK)
					}
				}
				cl.restartAll()
				time.Sleep(2 * lateBy)
				is.Equal(cl.fleet.StartsOfJob(spec.ID), 0)
				other := cl.spec(1)
				cl.submit(cl.awaitOwner(), other)
				cl.awaitState(other.ID, job.Completed, 10*time.Second)
				cl.check()
			})
		})
	}
}

// Guards against UNASKED in an installation of several cells: the submission that is late goes to
// another cell than the one that is asked to cancel the job.
func TestJobThatIsCancelledBeforeItIsStoredRunsInNoCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 181, 6, halfSecond, nil)
		defer cl.stopAll()
		cl.awaitCells()
		var ids []string
		for n := range 8 {
			spec := cl.spec(2)
			ids = append(ids, spec.ID)
			cl.submitLate(fmt.Sprintf("d%d", n%6), spec)
			is.Equal(cl.cancelAt(fmt.Sprintf("d%d", (n+1)%6), spec.ID), http.StatusGone)
			if n%2 == 0 {
				is.Equal(cl.submitAt(fmt.Sprintf("d%d", (n+2)%6), spec), http.StatusOK)
				state, _ := cl.stateAt(fmt.Sprintf("d%d", (n+3)%6), spec.ID)
				is.Equal(state, job.Cancelled)
			}
		}
		time.Sleep(2 * lateBy)
		for _, id := range ids {
			is.Equal(cl.fleet.StartsOfJob(id), 0)
		}
		cl.check()
	})
}

// Guards against a cancellation that is acknowledged with 410 although nothing was recorded: the store
// answers nothing, or refuses.
func TestCancellationThatIsNotRecordedIsNotAcknowledged(t *testing.T) {
	for _, fault := range []fake.StoreFault{fake.FaultRefused, fake.FaultRequestLost, fake.FaultResponseLost} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newCluster(t, 182, 3, 4, halfSecond, nil)
				defer cl.stopAll()
				cl.awaitOwner()
				time.Sleep(2 * time.Second)
				spec := cl.spec(1)
				cl.store.SetFault(func(op string) fake.StoreFault {
					if op == "commit" {
						return fault
					}
					return fake.FaultNone
				})
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				status := statusOf(cl.daemons["d1"].jobs().Cancel(ctx, spec.ID))
				cancel()
				cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
				if fault == fake.FaultResponseLost { // a repeated write shows that an earlier one was carried out
					is.True(status == http.StatusGone || status == http.StatusGatewayTimeout)
					is.Equal(len(cl.store.Rows(tableJobs, cl.daemons["d1"].cell.jobPartition(spec.ID))), 1)
				} else {
					is.True(status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout)
				}
			})
		})
	}
}

// The row of a withdrawn job is kept for as long as the states of ended jobs, also over changes of the
// owner, and then deleted.
func TestRowsOfWithdrawnJobsAreDeletedAfterTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 183, 3, 4, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		retention := cl.daemons[owner].cell.Retention
		rows := func() (n int) {
			for p := range jobPartitions {
				n += len(cl.store.Rows(tableJobs, cl.daemons[cl.names()[0]].cell.partitionName(p)))
			}
			return n
		}
		const jobs = 40
		for range jobs {
			is.Equal(cl.cancelAt("d1", cl.spec(1).ID), http.StatusGone)
			time.Sleep(100 * time.Millisecond)
		}
		submitted := cl.spec(1)
		is.Equal(cl.cancelAt("d1", submitted.ID), http.StatusGone)
		time.Sleep(retention / 2)
		is.Equal(cl.submitAt("d2", submitted), http.StatusOK)
		cl.kill(cl.awaitOwner())
		cl.awaitOwner()
		time.Sleep(retention - 10*time.Second)
		is.Equal(rows(), jobs+1)
		time.Sleep(retention)
		is.Equal(rows(), 0)
		is.Equal(cl.fleet.StartsOfJob(submitted.ID), 0)
	})
}

// Guards against requests for jobs that never existed that use up the writes of the platform: above a rate,
// they are refused, and nothing is written.
func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 184, 3, 4, halfSecond, nil)
		defer cl.stopAll()
		cl.awaitOwner()
		time.Sleep(2 * time.Second)
		known := cl.spec(2)
		cl.submit("d2", known)
		statuses := map[int]int{}
		began, done := time.Now(), make(chan int)
		for n := range 400 {
			go func() { done <- cl.cancelAt("d1", fmt.Sprintf("unknown%d", n)) }()
		}
		for range 400 {
			statuses[<-done]++
		}
		allowed := withdrawalBurst + int(time.Since(began).Seconds()*withdrawalsPerSecond) + 1
		is.True(statuses[http.StatusGone] <= allowed)
		is.Equal(statuses[http.StatusGone]+statuses[http.StatusTooManyRequests], 400)
		is.Equal(cl.cancelAt("d1", known.ID), http.StatusOK) // one that exists is found
	})
}

// Cancellations that are acknowledged hold, whether the job was stored before, later or never: random
// submissions with lost and late writes, cancellations at other daemons, and replaced owners.
func TestCancellationHistories(t *testing.T) {
	for seed := range min(uint64(60), 2*defaultHistories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newDividedCluster(t, seed, 6, halfSecond, nil)
				defer cl.stopAll()
				cl.awaitCells()
				rng := rand.New(rand.NewPCG(seed, 5))
				at := func() string { names := cl.names(); return names[rng.IntN(len(names))] }
				startsAt, acknowledged := map[string]int{}, []string{}
				for range 25 {
					spec := cl.spec(1 + rng.IntN(3))
					spec.Schedule = job.Schedule{Times: 1, FirstUnixMS: time.Now().Add(time.Duration(rng.IntN(9000)) * time.Millisecond).UnixMilli()}
					switch rng.IntN(3) {
					case 0:
						cl.submitLate(at(), spec)
					case 1:
						_ = cl.trySubmit(at(), spec)
					}
					if rng.IntN(5) == 0 {
						name := at()
						cl.kill(name)
						time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
						cl.start(name)
					}
					if err := cl.daemons[at()].jobs().Cancel(t.Context(), spec.ID); err == nil || errors.Is(err, ErrNoJob) {
						acknowledged = append(acknowledged, spec.ID)
						time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
						startsAt[spec.ID] = -1
						if rng.IntN(2) == 0 {
							_ = cl.trySubmit(at(), spec)
						}
					}
				}
				time.Sleep(3 * time.Second) // the bound of the platform
				for _, id := range acknowledged {
					startsAt[id] = cl.fleet.StartsOfJob(id)
				}
				time.Sleep(20 * time.Second)
				for _, id := range acknowledged {
					if n := cl.fleet.StartsOfJob(id); n != startsAt[id] {
						t.Errorf("job %s was started %d times, and %d times 3 s after the last acknowledged cancellation", id, n, startsAt[id])
					}
					for _, name := range cl.names() {
						if state, status := cl.stateAt(name, id); status != http.StatusGone && !state.Final() {
							t.Errorf("the cancelled job %s is %q (%d) at %s", id, state, status, name)
						}
					}
				}
				cl.check()
			})
		})
	}
}
