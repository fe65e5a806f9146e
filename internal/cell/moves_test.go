package cell

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

func longWork(string) time.Duration { return 30 * time.Second }

// Guards against jobs, services among them, that wait in a cell whose workers all left or
// drain while another has capacity.
func TestJobsLeaveACellWithoutCapacity(t *testing.T) {
	for i, drained := range []bool{false, true} {
		runMove(t, uint64(600+i), halfSecond, func(mc *moveCluster) {
			is := is.New(mc.t)
			if drained {
				mc.eachWorker(movingFrom, func(id string) { mc.fleet.Drain(id, time.Hour) })
				mc.setUnlisted(movingFrom, false)
				time.Sleep(settleDelay)
			}
			service := mc.cluster.spec(2)
			service.Steps = service.Steps[:1]
			service.Steps[0].Service = true
			mc.submitTo(movingFrom, mc.spec)
			mc.submitTo(movingFrom, service)
			began := time.Now()
			mc.awaitState(service.ID, job.Running, 3*time.Second)
			mc.checkMoved(mc.spec.ID, movingTo)
			is.True(time.Since(began) < 8*time.Second)
			is.Equal(mc.cellOf(service.ID), movingTo)
			is.Equal(mc.count("job_moved", mc.spec.ID), 1)
			is.Equal(mc.from.group.cell(movingFrom).instruments.jobsMoved.Count(), int64(2))
		})
	}
}

// Guards against a job that is lost, runs twice or keeps its record when the owner is killed
// after one of the transactions of its move.
func TestOwnerIsKilledAfterATransactionOfAMove(t *testing.T) {
	for i, kind := range []int{recordTxn, rowsTxn, removalTxn} {
		t.Run([]string{"record", "rows", "removal"}[i], func(t *testing.T) {
			runMove(t, uint64(610+i), halfSecond, func(mc *moveCluster) {
				is := is.New(mc.t)
				calls := mc.onFirstTxn(mc.from, mc.spec.ID, kind, func(ctx context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
					if _, err := commit(); err != nil {
						return 0, err
					}
					go mc.kill(mc.from.name)
					return lose(ctx)
				})
				mc.submitTo(movingFrom, mc.spec)
				time.Sleep(10 * time.Second)
				is.Equal(calls.Load(), int64(1))
				is.True(mc.ownerOf(movingFrom) != mc.from)
				mc.setUnlisted(movingFrom, false)
				if kind == recordTxn { // the successor has revoked the move
					mc.checkMoved(mc.spec.ID, movingFrom)
					is.Equal(mc.count("job_move_revoked", mc.spec.ID), 1)
					return
				}
				mc.checkMoved(mc.spec.ID, movingTo)
			})
		})
	}
}

// Guards against a job that is lost because the new owner is killed right after the job's
// rows have moved, before it is notified.
func TestNewOwnerIsKilledAfterTheRowsHaveMoved(t *testing.T) {
	runMove(t, 620, halfSecond, func(mc *moveCluster) {
		is := is.New(mc.t)
		calls := mc.onFirstTxn(mc.from, mc.spec.ID, rowsTxn, func(_ context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
			version, err := commit()
			go mc.kill(mc.to.name)
			time.Sleep(time.Millisecond)
			return version, err
		})
		mc.submitTo(movingFrom, mc.spec)
		mc.checkMoved(mc.spec.ID, movingTo)
		is.Equal(calls.Load(), int64(1))
		is.True(mc.ownerOf(movingTo) != mc.to)
	})
}

// Guards against a job that is lost, runs twice or stays held after the response of one of
// the transactions of its move was lost, whether or not the transaction was applied.
func TestResponseOfATransactionOfAMoveIsLost(t *testing.T) {
	for i, kind := range []int{recordTxn, rowsTxn, removalTxn} {
		for j, applied := range []bool{true, false} {
			name := []string{"record", "rows", "removal"}[i] + []string{" applied", " not applied"}[j]
			t.Run(name, func(t *testing.T) {
				runMove(t, uint64(630+2*i+j), halfSecond, func(mc *moveCluster) {
					is := is.New(mc.t)
					calls := mc.onFirstTxn(mc.from, mc.spec.ID, kind, func(ctx context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
						if applied {
							_, _ = commit()
						}
						return lose(ctx)
					})
					mc.submitTo(movingFrom, mc.spec)
					mc.checkMoved(mc.spec.ID, movingTo)
					is.True(calls.Load() >= 1)
					is.Equal(mc.ownerOf(movingFrom), mc.from)
					revoked := 0
					if kind == rowsTxn && !applied {
						revoked = 1
					}
					is.Equal(mc.count("job_move_revoked", mc.spec.ID), revoked)
				})
			})
		}
	}
}

// Guards against a job that stays held or moves although it was revoked, after the response
// of the revocation was lost as well.
func TestResponseOfARevocationIsLost(t *testing.T) {
	for j, applied := range []bool{true, false} {
		runMove(t, uint64(640+j), halfSecond, func(mc *moveCluster) {
			is := is.New(mc.t)
			var rewrites atomic.Int64
			h := txnHook(func(ctx context.Context, txn port.Txn, commit func() (int64, error)) (int64, error) {
				switch kind := txnOfMove(txn, mc.spec.ID); {
				case kind == rowsTxn && rewrites.Load() == 0:
					return lose(ctx)
				case kind == rewriteTxn:
					if rewrites.Add(1) == 1 {
						if applied {
							_, _ = commit()
						}
						return lose(ctx)
					}
				}
				return commit()
			})
			mc.from.txnHook.Store(&h)
			mc.submitTo(movingFrom, mc.spec)
			mc.checkMoved(mc.spec.ID, movingTo)
			is.Equal(rewrites.Load(), int64(2))
		})
	}
}

// Guards against a job that runs in two cells because a former owner's transaction that
// moves its rows is applied after the successor has started the job.
func TestFormerOwnerMovesTheRowsAfterTheRevocation(t *testing.T) {
	runMove(t, 650, longWork, func(mc *moveCluster) {
		is := is.New(mc.t)
		var late port.Txn
		mc.onFirstTxn(mc.from, mc.spec.ID, rowsTxn, func(ctx context.Context, txn port.Txn, _ func() (int64, error)) (int64, error) {
			late = txn
			go mc.kill(mc.from.name)
			return lose(ctx)
		})
		mc.submitTo(movingFrom, mc.spec)
		time.Sleep(5 * time.Second)
		mc.setUnlisted(movingFrom, false)
		mc.awaitState(mc.spec.ID, job.Running, 20*time.Second)
		_, err := mc.store.Commit(context.Background(), late)
		_, conflicted := err.(*port.ConflictError)
		is.True(conflicted)
		time.Sleep(5 * time.Second)
		is.Equal(mc.fleet.StartsOfJob(mc.spec.ID), 2) // the first step
		is.Equal(mc.cellOf(mc.spec.ID), movingFrom)
		mc.checkNoRecords()
	})
}

// Guards against a job that is started by its owner while its move is in flight, because
// capacity came back.
func TestJobDoesNotStartWhileItMoves(t *testing.T) {
	for i, kind := range []int{recordTxn, rowsTxn} {
		runMove(t, uint64(655+i), longWork, func(mc *moveCluster) {
			is := is.New(mc.t)
			mc.onFirstTxn(mc.from, mc.spec.ID, kind, func(_ context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
				mc.setUnlisted(movingFrom, false)
				all, err := mc.fleet.List(context.Background())
				is.NoErr(err)
				mc.onLoop(mc.from, func() { // before the next read of the directory
					c := mc.from.group.cell(movingFrom)
					own := slices.DeleteFunc(all, func(w port.WorkerEntry) bool { return !c.contains(w) })
					c.term.engine.SetWorkers(own, time.Now())
					c.term.engine.SetWorkersReadAt(time.Now())
					c.term.schedulePlan()
				})
				time.Sleep(900 * time.Millisecond)
				is.Equal(mc.fleet.StartsOfJob(mc.spec.ID), 0)
				return commit()
			})
			mc.submitTo(movingFrom, mc.spec)
			mc.awaitState(mc.spec.ID, job.Running, 5*time.Second)
			time.Sleep(3 * time.Second)
			is.Equal(mc.cellOf(mc.spec.ID), movingTo)
			is.Equal(mc.fleet.StartsOfJob(mc.spec.ID), 2)
		})
	}
}

// Guards against a job that waits for the new owner's next read of the changes, up to 0.5 s.
func TestNewOwnerIsNotifiedOfAMovedJob(t *testing.T) {
	runMove(t, 658, halfSecond, func(mc *moveCluster) {
		is := is.New(mc.t)
		for range 6 {
			spec := mc.cluster.spec(2)
			mc.submitTo(movingFrom, spec)
			mc.checkMoved(spec.ID, movingTo)
			is.True(mc.loggedAt("job_known", spec.ID).Sub(mc.loggedAt("job_moved", spec.ID)) < 20*time.Millisecond)
			time.Sleep(370 * time.Millisecond)
		}
	})
}

// Guards against a job that is lost because the link from its former owner to its new one is
// cut, and against a move to a cell whose owner does not report its load.
func TestLinkToTheNewOwnerIsCut(t *testing.T) {
	runMove(t, 660, halfSecond, func(mc *moveCluster) {
		is := is.New(mc.t)
		mc.onFirstTxn(mc.from, mc.spec.ID, rowsTxn, func(_ context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
			mc.from.unreachablePeers.Store(mc.to.name, true)
			return commit()
		})
		mc.submitTo(movingFrom, mc.spec)
		mc.checkMoved(mc.spec.ID, movingTo)
		is.Equal(mc.count("new_owner_not_told", mc.spec.ID), 1)

		second := mc.cluster.spec(2)
		mc.submitTo(movingFrom, second)
		time.Sleep(3 * time.Second)
		is.Equal(mc.cellOf(second.ID), movingFrom)
		mc.from.unreachablePeers.Delete(mc.to.name)
		mc.checkMoved(second.ID, movingTo)
	})
}

// Guards against a job that is lost or runs twice because the store is unavailable in the
// middle of its move, whether or not it had applied the transaction.
func TestStoreIsAwayDuringAMove(t *testing.T) {
	for i, applied := range []bool{true, false} {
		runMove(t, uint64(670+i), halfSecond, func(mc *moveCluster) {
			mc.onFirstTxn(mc.from, mc.spec.ID, rowsTxn, func(ctx context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
				if applied {
					_, _ = commit()
				}
				mc.store.SetFault(func(string) fake.StoreFault { return fake.FaultRequestLost })
				return lose(ctx)
			})
			mc.submitTo(movingFrom, mc.spec)
			time.Sleep(6 * time.Second)
			mc.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
			mc.awaitCells()
			time.Sleep(settleDelay)
			if !applied {
				mc.setUnlisted(movingFrom, false) // a successor, if there was one, cannot move it
			}
			mc.awaitState(mc.spec.ID, job.Completed, 40*time.Second)
			for _, task := range []string{".0.0.0", ".0.0.1", ".0.1.0", ".0.1.1"} {
				is.New(mc.t).Equal(mc.fleet.Starts(mc.spec.ID+task), 1)
			}
			mc.checkNoRecords()
		})
	}
}
