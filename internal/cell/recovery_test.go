package cell

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// oversized returns a job of one task that fits on no worker and so keeps waiting.
func (cl *cluster) oversized() job.Spec {
	spec := cl.spec(1)
	spec.Steps = spec.Steps[:1]
	spec.Steps[0].Resources.MilliCPU = 1_000_000
	return spec
}

// setScanDelay sets the duration of each daemon's reads of the recovery data.
func (cl *cluster) setScanDelay(d time.Duration) {
	for _, name := range cl.names() {
		cl.daemons[name].scanDelay.Store(int64(d))
	}
}

// Guards against MIXED: a new owner that had not read the jobs yet reported that none
// was waiting.
func TestNewOwnerReportsNoDepthsBeforeItHasReadTheJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 120, 3, 2, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		const waiting = 4
		for range waiting {
			cl.submit(first, cl.oversized())
		}
		time.Sleep(time.Second)
		cl.setScanDelay(800 * time.Millisecond)
		cl.kill(first)
		confirmed := false
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, name := range cl.names() {
				n, err := cl.daemons[name].cell.Pending("batch")
				confirmed = err == nil
				is.True(err != nil || n == waiting) // no depth, or the right one
			}
		}
		is.True(confirmed)
	})
}

// Guards against SHORT: an owner whose recovery took longer than its followers wait
// for a commit was replaced before it had recovered, and so was each of its successors.
func TestSlowRecoveryIsNotInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 121, 3, 2, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		cl.setScanDelay(4500 * time.Millisecond)
		cl.kill(first)
		id := cl.submitElsewhere(first)
		cl.awaitState(id, job.Completed, 15*time.Second)
		cl.check()
	})
}

// Guards against SHORT: owners that restore the recovery data for longer than the
// takeover timeout replace each other without end.
func TestTakeoversEndThoughNoDaemonRecoversInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 122, 4, 2, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		for _, name := range cl.names() {
			cl.daemons[name].acquireBusy.Store(int64(4 * time.Second))
		}
		cl.kill(first)
		id := cl.submitElsewhere(first)
		cl.awaitState(id, job.Completed, 40*time.Second)
		cl.check()
	})
}

// Guards against SHORT: the cell was acquired by a daemon that is too small to own it
// while larger ones were available.
func TestLargestAvailableDaemonOwnsTheCell(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			large := []string{"d0", "d1"}
			cl := newSizedCluster(t, 123+seed, 6, 2, halfSecond, nil, func(name string) int64 {
				if slices.Contains(large, name) {
					return 800
				}
				return 200
			})
			defer cl.stopAll()
			time.Sleep(10 * time.Second)
			first := cl.awaitOwner()
			is.True(slices.Contains(large, first)) // also after a start at which a small daemon was first
			cl.kill(first)
			time.Sleep(6 * time.Second)
			is.True(slices.Contains(large, cl.awaitOwner()))
			for _, name := range large {
				cl.kill(name)
			}
			time.Sleep(6 * time.Second)
			is.True(cl.owner() != "") // a small daemon owns it if there is no other
		})
	}
}

// Guards against TWICE and lost work: while more jobs changed than fit into a commit, jobs
// with low IDs were committed again and again, those with high IDs never, and no end was
// acknowledged. A takeover lost these ends.
func TestEndsAreCommittedWhileMoreJobsChangeThanFitIntoACommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const jobs, workers, steps = 3 * maxCommitEntries, 20, 80
		cl := newCluster(t, 124, 2, workers, func(string) time.Duration { return 100 * time.Millisecond }, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		cl.daemons[owner].commitDelay.Store(int64(300 * time.Millisecond))
		var ids []string
		for range jobs {
			spec := cl.spec(1)
			spec.Steps = slices.Repeat(spec.Steps[:1], steps)
			for n := 1; n < steps; n++ {
				spec.Steps[n].After = []int{n - 1}
			}
			cl.submit(owner, spec)
			ids = append(ids, spec.ID)
		}
		time.Sleep(4 * time.Second)
		for _, id := range ids {
			is.True(!cl.state(id).Final())                // its state still changes
			is.True(cl.fleet.Acknowledged(id + ".0.0.0")) // ended over 3 s ago
		}
		cl.check()
	})
}

// Guards against TWICE: an owner that could not read new jobs gave up the end of a run
// whose job it did not know, acknowledged it, and started the task again when it learned
// of the job.
func TestEndOfUnknownJobIsNotAcknowledgedBeforeTheJobsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 125, 2, 2, halfSecond, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		time.Sleep(time.Second)
		for _, name := range cl.names() {
			cl.daemons[name].workersUnreachable.Store(name != first)
		}
		cl.kill(first)
		next := cl.awaitOwner()
		time.Sleep(time.Second)
		// The former owner, which has not noticed the takeover, still starts a new task.
		cl.store.SetFault(func(op string) fake.StoreFault {
			if op == "changes" {
				return fake.FaultRefused
			}
			return fake.FaultNone
		})
		spec := cl.spec(1)
		spec.Steps = spec.Steps[:1]
		cl.store.Put(tableJobs, cl.daemons[next].cell.jobPartition(spec.ID), spec.ID, encode(jobRecord{Spec: &spec}))
		task := spec.ID + ".0.0.0"
		clock, err := cl.fleet.Start(context.Background(), port.Target{ID: "w0", Address: "w0"},
			port.StartRequest{Task: task, Attempt: 1, Epoch: 1, NotAfterMS: time.Hour.Milliseconds()})
		is.NoErr(err)
		is.True(clock > 0)
		time.Sleep(time.Second)
		cl.daemons[next].workersUnreachable.Store(false)
		time.Sleep(2 * unknownJobWait)
		is.True(!cl.fleet.Acknowledged(task))
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
		cl.awaitState(spec.ID, job.Completed, 5*time.Second)
		is.Equal(cl.fleet.Starts(task), 1)
		cl.check()
	})
}

// unknownJobWait is longer than an owner keeps the end of a run whose job is unknown.
const unknownJobWait = 3 * time.Second

// Guards against TWICE: the directory's entry of a worker had expired during an outage of
// the store in which the owner failed. The next owner did not know that the worker ran a
// task, and started the task elsewhere.
func TestNextOwnerExpectsWorkersWhoseEntriesHaveExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 126, 2, 2, func(string) time.Duration { return 2 * time.Second }, nil)
		defer cl.stopAll()
		cl.fleet.SetUnlisted("w1", true)
		first := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		spec := cl.spec(1)
		spec.Steps = spec.Steps[:1]
		cl.submit(first, spec)
		cl.awaitStart(spec.ID, time.Now()) // on w0; the commit of the start is not due yet
		cl.kill(first)
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultRefused })
		time.Sleep(time.Second)
		cl.fleet.SetUnlisted("w0", true)
		cl.fleet.SetUnlisted("w1", false)
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
		cl.awaitOwner()
		time.Sleep(expiredEntriesReturn)
		cl.fleet.SetUnlisted("w0", false)
		cl.awaitState(spec.ID, job.Completed, 10*time.Second)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1)
		cl.check()
	})
}

// expiredEntriesReturn is less than the 2 s within which the platform lists a worker again
// whose entry has expired during an outage of the store.
const expiredEntriesReturn = 500 * time.Millisecond

// Guards against TWICE: a worker had restarted under its ID, which starts its sequence
// numbers anew, before the ends of its former boot were acknowledged to it. It discarded
// ends that no owner had been told of.
func TestEndsOfFormerBootAreNotAcknowledgedToTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 127, 1, 1, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.daemons[cl.awaitOwner()]
		delayed := cl.oversized() // fits on no worker, so the owner does not start it by itself
		cl.submit(owner.name, delayed)
		first := cl.spec(1)
		first.Steps = first.Steps[:1]
		cl.submit(owner.name, first)
		time.Sleep(400 * time.Millisecond)
		owner.commitDelay.Store(int64(600 * time.Millisecond))
		time.Sleep(200 * time.Millisecond) // the end has been listed, and its commit is in flight
		owner.loop.Post(func() { time.Sleep(2 * time.Second) })
		cl.fleet.Restart("w0")
		// A start order that was delayed reaches the new boot.
		_, err := cl.fleet.Start(context.Background(), port.Target{ID: "w0", Address: "w0"},
			port.StartRequest{Task: delayed.ID + ".0.0.0", Attempt: 1, Epoch: 1, NotAfterMS: time.Hour.Milliseconds()})
		is.NoErr(err)
		cl.awaitState(delayed.ID, job.Completed, 10*time.Second)
		cl.check()
	})
}

// Guards against stale states: an owner whose release failed kept the cell, without
// commits, after another daemon had acquired it.
func TestFailedReleaseIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 140, 1, 2, halfSecond, nil)
		defer cl.stopAll()
		first := cl.daemons[cl.awaitOwner()]
		cl.start("d1")
		cl.daemons["d1"].unreachablePeers.Store(first.name, true) // it cannot tell the former owner
		first.storeUnreachable.Store(true)
		is.NoErr(first.loop.Do(t.Context(), func() { first.cell.term.release(time.Now()) }))
		time.Sleep(5 * time.Second)
		first.storeUnreachable.Store(false)
		time.Sleep(2 * time.Second)
		is.True(!first.cell.View().IsOwner)
		is.True(cl.daemons["d1"].cell.View().IsOwner)
	})
}
