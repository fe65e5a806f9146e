package cell

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Transactions of a transfer.
const (
	notOfTransfer      = 0
	transferRecordTxn  = 1 // of the owner: records the transfer
	transferRowsTxn    = 2 // changes the rows of the job
	transferRemovalTxn = 3 // of the owner: removes the record
)

func txnOfTransfer(txn port.Txn, id string) int {
	for _, p := range txn.Puts {
		switch {
		case p.Table == tableMoves && p.Key == id:
			return transferRecordTxn
		case p.Table == tableHosted && len(txn.Checks) > 1:
			return transferRowsTxn
		}
	}
	for _, r := range txn.Deletes {
		if r.Table == tableMoves && r.Key == id {
			return transferRemovalTxn
		}
	}
	return notOfTransfer
}

// onFirstTransferTxn calls hook in place of the first commit of a kind by a daemon.
func (mc *moveCluster) onFirstTransferTxn(d *daemon, id string, kind int, hook txnHook) {
	called := false
	h := txnHook(func(ctx context.Context, txn port.Txn, commit func() (int64, error)) (int64, error) {
		if called || txnOfTransfer(txn, id) != kind {
			return commit()
		}
		called = true
		return hook(ctx, txn, commit)
	})
	d.txnHook.Store(&h)
}

const hostedService = "service"

// runTransfer runs a test in which the workers under a service in one cell restart as it fills up,
// while another cell has room.
func runTransfer(t *testing.T, seed uint64, prepare, test func(mc *moveCluster)) {
	t.Helper()
	runTransferBecause(t, seed, (*moveCluster).drainSoon, prepare, test)
}

func (mc *moveCluster) drainSoon(id string) { mc.fleet.Drain(id, time.Second) }

func (mc *moveCluster) killWorker(id string) { mc.fleet.Kill(id) }

// runTransferBecause is like runTransfer with another reason for which the workers leave.
func runTransferBecause(t *testing.T, seed uint64, leave func(mc *moveCluster, id string), prepare, test func(mc *moveCluster)) {
	t.Helper()
	runMove(t, seed, func(string) time.Duration { return time.Hour }, func(mc *moveCluster) {
		is := is.New(t)
		step := job.Step{Tasks: 2, Service: true, Image: "desk", MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 2000, MemoryMB: 1000}}
		mc.submitTo(movingTo, job.Spec{ID: hostedService, Queue: "batch", Steps: []job.Step{step}})
		time.Sleep(settleDelay)
		is.Equal(mc.fleet.RunningTasksOf(hostedService), 2)
		mc.setUnlisted(movingFrom, false)
		time.Sleep(settleDelay)
		if prepare != nil {
			prepare(mc)
		}
		mc.eachWorker(movingTo, func(id string) { leave(mc, id) })
		test(mc)
	})
}

// awaitRunning waits until both tasks of the service run.
func (mc *moveCluster) awaitRunning(within time.Duration) {
	mc.t.Helper()
	for began := time.Now(); mc.fleet.RunningTasksOf(hostedService) != 2; time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > within {
			mc.t.Fatalf("%d tasks of the service run after %v", mc.fleet.RunningTasksOf(hostedService), within)
		}
	}
}

// checkTransferred checks that the service runs, and that its end is known everywhere.
func (mc *moveCluster) checkTransferred() {
	mc.t.Helper()
	is := is.New(mc.t)
	mc.awaitRunning(20 * time.Second)
	is.Equal(mc.state(hostedService), job.Running)
	for _, name := range mc.names() {
		n, err := mc.daemons[name].group.Pending("batch")
		is.NoErr(err)
		is.Equal(n, 0) // the job is counted once, and it has started
	}
	is.NoErr(mc.bystander().group.Cancel(context.Background(), hostedService))
	cancelled := time.Now()
	for mc.fleet.Running() > 0 {
		if time.Since(cancelled) > 3*time.Second {
			mc.t.Fatalf("%d tasks run %v after the job was cancelled", mc.fleet.Running(), time.Since(cancelled))
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(endedHostedRetention + 5*time.Second)
	is.Equal(mc.fleet.Running(), 0)
	is.Equal(len(mc.hostedRows()), 0)
	is.Equal(mc.state(hostedService), job.Cancelled)
	mc.checkNoRecords()
}

// Guards against tasks that run on after their job is cancelled, because another cell than the
// job's runs them.
func TestTransferredTasksEndWithTheirJob(t *testing.T) {
	runTransfer(t, 740, nil, func(mc *moveCluster) {
		time.Sleep(settleDelay)
		is.New(t).Equal(len(mc.hostedRows()), 1)
		mc.checkTransferred()
	})
}

// Guards against tasks that are lost or run twice when the owner of the home cell is killed
// during a transfer.
func TestOwnerIsKilledAfterATransactionOfATransfer(t *testing.T) {
	for _, kind := range []int{transferRecordTxn, transferRowsTxn, transferRemovalTxn} {
		for _, applied := range []bool{true, false} {
			t.Run(fmt.Sprintf("transaction=%d,applied=%t", kind, applied), func(t *testing.T) {
				runTransfer(t, uint64(750+kind), func(mc *moveCluster) {
					mc.onFirstTransferTxn(mc.to, hostedService, kind, func(ctx context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
						if applied {
							if _, err := commit(); err != nil {
								return 0, err
							}
						}
						go mc.kill(mc.to.name)
						return lose(ctx)
					})
				}, (*moveCluster).checkTransferredLater)
			})
		}
	}
}

// Guards against TWICE: a transfer of a former owner is applied after its successor has started
// the task.
func TestDelayedTransferOfAFormerOwnerFails(t *testing.T) {
	var delayed func() (int64, error)
	var result error
	runTransfer(t, 760, func(mc *moveCluster) {
		mc.onFirstTransferTxn(mc.to, hostedService, transferRowsTxn, func(ctx context.Context, txn port.Txn, _ func() (int64, error)) (int64, error) {
			delayed = func() (int64, error) { return mc.store.Commit(context.Background(), txn) }
			go mc.kill(mc.to.name)
			return lose(ctx)
		})
	}, func(mc *moveCluster) {
		time.Sleep(12 * time.Second)
		mc.awaitRunning(3 * time.Second)
		_, result = delayed()
		mc.checkTransferred()
	})
	_, conflicted := result.(*port.ConflictError)
	is.New(t).True(conflicted)
}

// Guards against tasks that are lost or run twice when the owner of the host cell is killed as
// they arrive, and against the loss of their cancellation.
func TestOwnerOfTheHostCellIsKilledAsTasksArrive(t *testing.T) {
	runTransfer(t, 770, nil, func(mc *moveCluster) {
		for len(mc.hostedRows()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		mc.kill(mc.from.name) // it owns the cell with room
		mc.checkTransferredLater()
	})
}

// Guards against tasks that stay in a cell that has lost its capacity, though their home cell
// has room again.
func TestTransferredTasksReturn(t *testing.T) {
	runTransferBecause(t, 780, (*moveCluster).killWorker, nil, func(mc *moveCluster) {
		is := is.New(t)
		time.Sleep(12 * time.Second) // the leases of the lost workers expire
		is.Equal(len(mc.hostedRows()), 1)
		mc.eachWorker(movingTo, mc.fleet.Restart)
		mc.eachWorker(movingFrom, mc.fleet.Kill)
		time.Sleep(12 * time.Second)
		mc.awaitRunning(time.Second)
		is.Equal(len(mc.hostedRows()), 0)
		mc.checkTransferred()
	})
}

func (mc *moveCluster) checkTransferredLater() {
	time.Sleep(12 * time.Second)
	mc.checkTransferred()
}
