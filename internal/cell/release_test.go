package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Guards against LOST: a daemon that shuts down hands the cell over, and its successor waits
// for the longest lease of a silent worker before it starts a service that runs nowhere. In
// inc1 of issue 32, a service was away for 11.2 s.
func TestServiceIsRestartedAfterAReleaseBesideASilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hours := func(string) time.Duration { return time.Hour }
		cl := newCluster(t, 320, 3, 3, hours, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		step := job.Step{Tasks: 3, Service: true, Image: "desk", MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 8000, MemoryMB: 1000}}
		spec := job.Spec{ID: "service", Queue: "batch", Steps: []job.Step{step}}
		cl.submit(first, spec)
		time.Sleep(2 * time.Second)
		is.Equal(cl.fleet.Running(), 3)

		cl.fleet.Drain("w1", drainForTest)
		time.Sleep(2 * time.Second)
		is.Equal(cl.fleet.Running(), 2) // there is no other place
		cl.fleet.SetUnreachable("w0", true)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(cl.daemons[first].cell.Release(ctx))
		cl.fleet.Add("w9", "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
		released := time.Now()
		for cl.fleet.Running() < 3 {
			if away := time.Since(released); away > recoveryBound {
				t.Fatalf("the service has not started again %v after the release", away)
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("the service started again %v after the release", time.Since(released))
		cl.check()
	})
}

// drainForTest is the time for which the worker of the test drains.
const drainForTest = 800 * time.Millisecond

// TestReleaseHistories runs histories in which owners shut down, beside the faults of
// TestTakeoverHistories. Guards against TWICE after a release: the successor relies on the
// recorded runs and starts tasks that a worker still runs, or has ended without an
// acknowledgement.
func TestReleaseHistories(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+uint64(*histories); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runReleaseHistory(t, seed) })
		})
	}
}

func runReleaseHistory(t *testing.T, seed uint64) {
	work := func(task string) time.Duration {
		return time.Duration(100+200*(len(task)+int(task[len(task)-1]))%2900) * time.Millisecond
	}
	cl := newCluster(t, seed, 3, 5, work, func(_ string, attempt int) bool { return attempt%7 == 3 })
	defer cl.stopAll()
	cl.awaitOwner()
	rng := rand.New(rand.NewPCG(seed, 11))
	var accepted []string
	for range 14 {
		for range 1 + rng.IntN(3) {
			spec := cl.historySpec(1 + rng.IntN(5))
			if cl.trySubmit(fmt.Sprintf("d%d", rng.IntN(3)), spec) == nil {
				accepted = append(accepted, spec.ID)
			}
		}
		if rng.IntN(4) == 0 {
			cl.slowDaemons(rng)
		}
		if rng.IntN(3) > 0 {
			cl.shutDown(cl.owner(), time.Duration(rng.IntN(1500))*time.Millisecond)
		}
		if rng.IntN(2) == 0 {
			cl.injectFault(rng)
		}
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		cl.restartSome(rng)
	}
	cl.endHistory(accepted)
}

// shutDown lets a daemon release its cell for at most a time, and stops it.
func (cl *cluster) shutDown(name string, grace time.Duration) {
	d := cl.daemons[name]
	if d == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := d.cell.Release(ctx); err != nil {
		cl.t.Logf("%s is stopped before it has released the cell: %v", name, err)
	}
	cl.kill(name)
}

// Guards against TWICE after a release: more changes than fit into the last commit are left to
// the successor, or a progress row cannot be read, and the successor relies on the records.
func TestReleaseIsCompleteOnlyWithAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 321, 1, 1, halfSecond, nil)
		defer cl.stopAll()
		c := cl.daemons[cl.awaitOwner()].cell
		time.Sleep(2 * time.Second)
		is.NoErr(c.Loop.Do(context.Background(), func() {
			owner := c.term
			is.True(owner.buildBatch(true).record.Recorded)
			is.True(!owner.buildBatch(false).record.Recorded)
			for i := range 2 * maxCommitEntries {
				spec := job.Spec{ID: fmt.Sprintf("changed-%03d", i), Queue: "batch", Steps: []job.Step{{Tasks: 1}}}
				owner.markDirty(owner.engine.Add(spec, c.Now(), 0), false)
			}
			is.True(!owner.buildBatch(true).record.Recorded)
			is.True(owner.buildBatch(true).record.Recorded) // the second half

			owner.engine.Cancel("changed-000")
			owner.release(c.Now())
			is.Equal(len(owner.engine.TakeOutput().Changed), 0) // the end of the job is in the commit

			next := newTerm(c, ownerRecord{Epoch: 9}, 1, c.Now())
			next.runsRecorded = true
			j := next.engine.Add(job.Spec{ID: "unreadable", Queue: "batch", Steps: []job.Step{{Tasks: 1}}}, c.Now(), 0)
			next.restoreJob(j, port.Row{Version: 1, Value: []byte("{")}, nil)
			is.True(!next.runsRecorded)
		}))
	})
}
