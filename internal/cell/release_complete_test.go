package cell

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/job"
)

// Guards against TWICE after a release by choice: more ends have been read than one commit
// takes, the others are left to the workers' listings, these workers leave, and the successor
// starts tasks again whose ends its predecessor had read.
func TestReleaseCommitsAllEndsThatWereRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const workers, jobs = 5, 6 * maxCommitEntries
		endAt := time.Now().Add(15 * time.Second)
		work := func(string) time.Duration { return max(500*time.Millisecond, time.Until(endAt)) }
		cl := newCluster(t, 340, 3, workers, work, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		c := cl.daemons[first].cell
		ids := cl.submitSmall(first, jobs)
		time.Sleep(time.Until(endAt.Add(-time.Second)))
		is.Equal(cl.fleet.Running(), jobs)
		for i := range workers { // replacements
			cl.fleet.Add(fmt.Sprintf("w%d", 10+i), "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
		}
		time.Sleep(time.Until(endAt))

		for runs := jobs; runs > 0; {
			time.Sleep(time.Millisecond)
			is.NoErr(c.Loop.Do(context.Background(), func() { runs = c.term.knownRuns() }))
		}
		uncommitted := jobs - len(cl.store.Rows(tableOutcomes, c.Partition))
		t.Logf("all ends are read %v after the tasks ended, %d jobs are uncommitted", time.Since(endAt), uncommitted)
		is.True(uncommitted > 2*maxCommitEntries) // one commit may be in flight
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(c.Release(ctx))
		t.Logf("the cell is released %v after the tasks ended", time.Since(endAt))
		for i := range workers {
			cl.fleet.Kill(fmt.Sprintf("w%d", i))
		}
		for _, id := range ids {
			cl.awaitState(id, job.Completed, 30*time.Second)
		}
		again := 0
		for _, id := range ids {
			if cl.fleet.StartsOfJob(id) > 1 {
				again++
			}
		}
		if again > 0 {
			t.Errorf("%d of %d tasks were started again after the former owner had read their ends", again, jobs)
		}
		cl.check()
	})
}

// submitSmall submits jobs of one small task each, and returns their IDs.
func (cl *cluster) submitSmall(to string, jobs int) []string {
	cl.t.Helper()
	step := job.Step{Tasks: 1, Resources: job.Resources{MilliCPU: 100, MemoryMB: 100}}
	ids := make([]string, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		ids[i] = fmt.Sprintf("small-%03d", i)
		wg.Go(func() {
			spec := job.Spec{ID: ids[i], Queue: "batch", Steps: []job.Step{step}}
			for range 100 {
				if cl.trySubmit(to, spec) == nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
			cl.t.Errorf("job %s was not accepted", ids[i])
		})
	}
	wg.Wait()
	return ids
}

// knownRuns returns the number of runs whose ends the owner has not read.
func (t *term) knownRuns() int {
	runs := 0
	for _, w := range t.engine.Workers() {
		runs += w.RunCount()
	}
	return runs
}
