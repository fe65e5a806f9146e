package cell

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// tooLarge is more than any worker has.
var tooLarge = job.Resources{MilliCPU: 1000, MemoryMB: 1_000_000}

// Guards against a cancellation that is lost because the job moves: it is stored before or
// after the job's rows move, and the owner is notified or not.
func TestJobIsCancelledDuringAMove(t *testing.T) {
	cases := []struct {
		name     string
		kind     int
		before   bool // the transaction
		notified bool
	}{
		{"after the record", recordTxn, false, true},
		{"before the rows, not notified", rowsTxn, true, false},
		{"after the rows", rowsTxn, false, true},
		{"after the rows, not notified", rowsTxn, false, false},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runMove(t, uint64(700+i), longWork, func(mc *moveCluster) {
				is := is.New(mc.t)
				canceller := mc.bystander()
				mc.onFirstTxn(mc.from, mc.spec.ID, c.kind, func(_ context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
					cancel := func() {
						if !c.notified {
							canceller.unreachablePeers.Store(mc.from.name, true)
							canceller.unreachablePeers.Store(mc.to.name, true)
						}
						is.NoErr(canceller.group.Cancel(context.Background(), mc.spec.ID))
					}
					if c.before {
						cancel()
					}
					version, err := commit()
					if !c.before {
						cancel()
					}
					return version, err
				})
				mc.submitTo(movingFrom, mc.spec)
				time.Sleep(3 * time.Second)
				for _, name := range mc.names() {
					state, err := mc.daemons[name].group.State(context.Background(), mc.spec.ID)
					is.NoErr(err)
					is.Equal(state, job.Cancelled)
				}
				is.Equal(mc.fleet.Running(), 0)
				mc.checkNoRecords()
				if c.before {
					is.Equal(mc.fleet.StartsOfJob(mc.spec.ID), 0)
					is.Equal(mc.from.group.cell(movingFrom).instruments.movesCancelled.Count(), int64(1))
				}
			})
		})
	}
}

// Guards against TWICE: a job that is submitted again while it moves and after that, at
// every daemon, is one job.
func TestJobIsSubmittedAgainDuringAndAfterAMove(t *testing.T) {
	for i, kind := range []int{recordTxn, rowsTxn} {
		runMove(t, uint64(710+i), halfSecond, func(mc *moveCluster) {
			is := is.New(mc.t)
			submitAtAll := func() {
				for _, name := range mc.names() {
					if d := mc.daemons[name]; d != mc.from { // its control loop waits for the hook
						is.NoErr(mc.trySubmit(name, mc.spec))
						err := d.group.cell(movingFrom).Submit(context.Background(), mc.spec)
						var other *OtherCellError
						is.True(err == nil || errors.As(err, &other) && other.Cell == movingTo)
					}
				}
			}
			mc.onFirstTxn(mc.from, mc.spec.ID, kind, func(_ context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
				version, err := commit()
				submitAtAll()
				return version, err
			})
			mc.submitTo(movingFrom, mc.spec)
			time.Sleep(time.Second)
			submitAtAll()
			mc.checkMoved(mc.spec.ID, movingTo)
			submitAtAll()
			mc.start("d9") // knows nothing of the job
			time.Sleep(3 * time.Second)
			is.NoErr(mc.trySubmit("d9", mc.spec))
			mc.checkMoved(mc.spec.ID, movingTo)
		})
	}
}

// depthMaxAge is the maximum age of a depth that the platform allows.
const depthMaxAge = 2 * time.Second

// sampleDepths checks the depth of the queue at all daemons while its only job waits and
// moves: a daemon counts the job within depthMaxAge, from then on without a gap, and in the
// last second exactly once. The samples do not wait for other requests.
func (mc *moveCluster) sampleDepths(begun time.Time, length time.Duration) {
	counted := map[string]bool{}
	for ; time.Since(begun) < length; time.Sleep(5 * time.Millisecond) {
		after := time.Since(begun)
		for _, name := range mc.names() {
			pending, err := mc.daemons[name].group.Pending("batch")
			counted[name] = counted[name] || err == nil && pending > 0
			switch {
			case counted[name] && (err != nil || pending < 1), !counted[name] && after > depthMaxAge:
				mc.t.Errorf("daemon %s counts %d jobs after %s, err %v", name, pending, after, err)
			case after > length-time.Second && pending != 1:
				mc.t.Errorf("daemon %s still counts %d jobs after %s", name, pending, after)
			}
		}
	}
}

// Guards against a job that cannot be found, is reported in its former cell's state or is
// not counted as waiting while it moves.
func TestStateAndDepthWhileAJobMoves(t *testing.T) {
	for i, notified := range []bool{true, false} {
		runMove(t, uint64(720+i), halfSecond, func(mc *moveCluster) {
			is := is.New(mc.t)
			mc.spec.Steps[0].Resources = tooLarge // the job waits in both cells
			mc.onFirstTxn(mc.from, mc.spec.ID, rowsTxn, func(_ context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
				if !notified {
					mc.from.unreachablePeers.Store(mc.to.name, true)
				}
				time.Sleep(100 * time.Millisecond)
				version, err := commit()
				time.Sleep(100 * time.Millisecond)
				return version, err
			})
			mc.submitTo(movingFrom, mc.spec)
			begun := time.Now()
			sampled := make(chan struct{})
			go func() {
				defer close(sampled)
				mc.sampleDepths(begun, 6*time.Second)
			}()
			for ; time.Since(begun) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
				for _, name := range mc.names() {
					state, err := mc.daemons[name].group.State(context.Background(), mc.spec.ID)
					is.NoErr(err)
					is.Equal(state, job.Queued)
				}
			}
			<-sampled
			is.Equal(mc.count("job_moved", mc.spec.ID), 1)
			is.Equal(mc.cellOf(mc.spec.ID), movingTo)
			is.NoErr(mc.bystander().group.Cancel(context.Background(), mc.spec.ID))
			time.Sleep(2 * time.Second)
			for _, name := range mc.names() {
				pending, err := mc.daemons[name].group.Pending("batch")
				is.NoErr(err)
				is.Equal(pending, 0)
				state, err := mc.daemons[name].group.State(context.Background(), mc.spec.ID)
				is.NoErr(err)
				is.Equal(state, job.Cancelled)
			}
		})
	}
}

// Guards against jobs that move back and forth between two cells: one does not return within
// 5 s, and not leave again after it has returned.
func TestJobDoesNotMoveBackWithin5Seconds(t *testing.T) {
	runMove(t, 730, halfSecond, func(mc *moveCluster) {
		is := is.New(mc.t)
		mc.spec.Steps[0].Resources = tooLarge // the job never starts
		var mu sync.Mutex
		times := map[int]time.Time{} // by the number of the move
		movesAt := func() map[int]time.Time {
			mu.Lock()
			defer mu.Unlock()
			return maps.Clone(times)
		}
		mc.store.OnCommit(func(txn port.Txn) {
			for _, p := range txn.Puts {
				if p.Key != mc.spec.ID || p.Table == tableIndex {
					continue
				}
				if record, err := decode[jobRecord](port.Row{Value: p.Value}); err == nil && record.Moves > 0 {
					mu.Lock()
					times[record.Moves] = time.Now()
					mu.Unlock()
				}
			}
		})
		mc.submitTo(movingFrom, mc.spec)
		time.Sleep(time.Second)
		is.Equal(len(movesAt()), 1)
		mc.setUnlisted(movingFrom, false)
		mc.setUnlisted(movingTo, true)
		time.Sleep(12 * time.Second)
		is.Equal(len(movesAt()), 2)
		is.True(movesAt()[2].Sub(movesAt()[1]) >= 5*time.Second)
		is.Equal(mc.cellOf(mc.spec.ID), movingFrom)
		mc.setUnlisted(movingFrom, true)
		mc.setUnlisted(movingTo, false)
		time.Sleep(12 * time.Second)
		is.Equal(len(movesAt()), 2)
		is.Equal(mc.cellOf(mc.spec.ID), movingFrom)
		mc.checkNoRecords()
	})
}

// Guards against TWICE: a read or a notification from before the move that arrives after it,
// at the former owner or its successor, must not add the job again.
func TestOutdatedNewsOfAMovedJobIsIgnored(t *testing.T) {
	runMove(t, 740, longWork, func(mc *moveCluster) {
		is := is.New(mc.t)
		mc.submitTo(movingFrom, mc.spec)
		table, partition := jobTablesOf(movingFrom).jobs, mc.from.group.lead.jobPartition(mc.spec.ID)
		before := mc.store.Rows(table, partition)[0]
		mc.awaitState(mc.spec.ID, job.Running, 5*time.Second)
		is.Equal(mc.cellOf(mc.spec.ID), movingTo)
		mc.setUnlisted(movingFrom, false)
		time.Sleep(2 * time.Second)
		stored := storedJob{mc.spec, before.Version}
		mc.onLoop(mc.from, func() {
			former := mc.from.group.cell(movingFrom).term
			former.applyRows(table, []port.Row{before})
			former.acceptStored([]storedJob{stored}, nil)
			former.acceptStored([]storedJob{{Spec: mc.spec}}, nil) // of an earlier version of the daemon
			is.True(former.engine.Job(mc.spec.ID) == nil)
		})
		mc.kill(mc.from.name)
		time.Sleep(10 * time.Second)
		successor := mc.ownerOf(movingFrom)
		mc.onLoop(successor, func() {
			term := successor.group.cell(movingFrom).term
			term.acceptStored([]storedJob{stored}, nil)
			is.True(term.engine.Job(mc.spec.ID) == nil)
		})
		time.Sleep(2 * time.Second)
		is.Equal(mc.fleet.StartsOfJob(mc.spec.ID), 2) // the first step
	})
}

// Guards against moves out of and into the lead cell, whose jobs have no index row, that
// leave a job that cannot be found.
func TestJobsMoveOutOfAndIntoTheLeadCell(t *testing.T) {
	runMove(t, 750, halfSecond, func(mc *moveCluster) {
		is := is.New(mc.t)
		mc.submitTo(cellmap.Lead, mc.spec)
		mc.checkMoved(mc.spec.ID, movingTo)
		mc.setUnlisted(cellmap.Lead, false)
		mc.setUnlisted(movingTo, true)
		time.Sleep(settleDelay)
		second := mc.cluster.spec(2)
		mc.submitTo(movingTo, second)
		mc.checkMoved(second.ID, cellmap.Lead)
		for _, name := range mc.names() {
			for _, id := range []string{mc.spec.ID, second.ID} {
				state, err := mc.daemons[name].group.State(context.Background(), id)
				is.NoErr(err)
				is.Equal(state, job.Completed)
			}
		}
	})
}

// Guards against a job of a former owner that moves: a run of it may be on a worker that is
// not listed.
func TestInheritedJobDoesNotMove(t *testing.T) {
	runMove(t, 760, halfSecond, func(mc *moveCluster) {
		is := is.New(mc.t)
		for n := range mc.m.Cells {
			mc.setUnlisted(n, true)
		}
		time.Sleep(settleDelay)
		mc.submitTo(movingFrom, mc.spec)
		time.Sleep(time.Second)
		mc.kill(mc.from.name)
		time.Sleep(10 * time.Second)
		mc.setUnlisted(movingTo, false)
		time.Sleep(10 * time.Second)
		is.Equal(mc.cellOf(mc.spec.ID), movingFrom)
		mc.setUnlisted(movingFrom, false)
		mc.checkMoved(mc.spec.ID, movingFrom)
	})
}

// A job leaves a full cell only after the stated wait, and a cell that is merely as loaded as
// others keeps its jobs.
func TestJobLeavesAFullCellAfterAWait(t *testing.T) {
	runMove(t, 770, longWork, func(mc *moveCluster) {
		is := is.New(mc.t)
		mc.setUnlisted(movingFrom, false)
		time.Sleep(settleDelay)
		workers := 0
		mc.eachWorker(movingFrom, func(string) { workers++ })
		filler := mc.cluster.spec(8 * workers) // a core for each task
		filler.Steps = filler.Steps[:1]
		mc.submitTo(movingFrom, filler)
		time.Sleep(time.Second)
		mc.submitTo(movingFrom, mc.spec)
		time.Sleep(2300 * time.Millisecond)
		is.Equal(mc.cellOf(mc.spec.ID), movingFrom)
		mc.awaitState(mc.spec.ID, job.Running, 2*time.Second)
		is.Equal(mc.cellOf(mc.spec.ID), movingTo)
		is.Equal(mc.cellOf(filler.ID), movingFrom)
	})
}

// Guards against calls of the store for moves where the workers are not divided: a job that
// waits causes none.
func TestWaitingJobCostsNothingInOneCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := &cluster{
			t: t, rng: rand.New(rand.NewPCG(780, 1)), store: fake.NewRowStore(), daemons: map[string]*daemon{}, divided: true,
			milliCPU: func(string) int64 { return 100_000 },
		}
		cl.fleet = fake.NewFleet(fake.FleetOptions{Now: time.Now, TaskDuration: halfSecond})
		cl.fleet.AddTo("east", "r0", "w0", "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
		cl.start("d0")
		defer cl.stopAll()
		cl.awaitOwner()
		time.Sleep(15 * time.Second)
		var mu sync.Mutex
		calls := map[string]int{}
		cl.store.SetFault(func(op string) fake.StoreFault {
			mu.Lock()
			defer mu.Unlock()
			calls[op]++
			return fake.FaultNone
		})
		during := func() map[string]int {
			count := func() map[string]int {
				mu.Lock()
				defer mu.Unlock()
				return maps.Clone(calls)
			}
			before := count()
			time.Sleep(10 * time.Second)
			after := count()
			for op := range after {
				after[op] -= before[op]
			}
			return after
		}
		idle := during()
		spec := cl.spec(1)
		spec.Steps[0].Resources = tooLarge
		cl.submit("d0", spec)
		time.Sleep(5 * time.Second)
		waiting := during()
		for _, op := range []string{"commit", "range", "changes"} {
			is.True(waiting[op] <= idle[op]+1) // intervals begin at different times
		}
		is.Equal(cl.state(spec.ID), job.Queued)
		is.True(cl.daemons["d0"].cellMap() == nil)
	})
}

// Guards against LOST: the workers of a cell leave, its services wait there, and other cells
// have room for them: tasks of a job that has begun do not run in another cell.
func TestInterruptedServiceRunsInAnotherCell(t *testing.T) {
	hours := func(string) time.Duration { return time.Hour }
	runMove(t, 730, hours, func(mc *moveCluster) {
		is := is.New(t)
		step := job.Step{Tasks: 2, Service: true, Image: "desk", MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 2000, MemoryMB: 1000}}
		mc.submit("d0", job.Spec{ID: "service", Queue: "batch", Steps: []job.Step{step}})
		time.Sleep(settleDelay)
		is.Equal(mc.fleet.RunningTasksOf("service"), 2)
		mc.setUnlisted(movingFrom, false)
		time.Sleep(settleDelay)
		mc.eachWorker(movingTo, func(id string) { mc.fleet.Drain(id, time.Second) })
		const mostAway = 6 * time.Second // the rule counts from then on
		interrupted := time.Now()
		for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
			if mc.fleet.RunningTasksOf("service") == 2 {
				interrupted = time.Now()
			}
			if away := time.Since(interrupted); away > mostAway {
				mc.t.Fatalf("a task of the service was away for %v", away)
			}
		}
	})
}
