package cell

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// smallLimit is a budget that some twenty jobs of cluster.spec use up.
const smallLimit = 60

// later returns a job that is due in an hour.
func (cl *cluster) later() job.Spec {
	spec := cl.spec(1)
	spec.Schedule = job.Schedule{Times: 1, FirstUnixMS: time.Now().Add(time.Hour).UnixMilli()}
	return spec
}

// heldInMemory returns the use of the daemon's budget.
func (d *daemon) heldInMemory(t *testing.T) (tasks, jobs, limit int) {
	t.Helper()
	is.New(t).NoErr(d.loop.Do(t.Context(), func() { tasks, jobs, limit = d.cell.Engine.Budget.Usage() }))
	return tasks, jobs, limit
}

// submitUntilRefused submits jobs to all daemons in turn until one is refused. It returns the accepted
// ones and the refusal.
func (cl *cluster) submitUntilRefused(spec func() job.Spec) ([]job.Spec, *verdict.RequestError) {
	cl.t.Helper()
	var accepted []job.Spec
	for i := range 200 {
		s := spec()
		if err := cl.trySubmit(fmt.Sprintf("d%d", i%3), s); err != nil {
			return accepted, verdict.AsRequestError(err, http.StatusInternalServerError)
		}
		accepted = append(accepted, s)
		time.Sleep(300 * time.Millisecond) // the daemons learn of the use of the memory
	}
	cl.t.Fatal("no job was refused")
	return nil, nil
}

// Guards against LOST for all callers: jobs are accepted beyond the memory of the owner. Jobs that are
// not due yet leave some of it to others, and a stored job is never refused.
func TestJobsAreRefusedAtOnceWhileThereIsNoMemoryForThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 170, 0, 4, halfSecond, nil)
		cl.heldLimit = smallLimit
		for i := range 3 {
			cl.start(fmt.Sprintf("d%d", i))
		}
		defer cl.stopAll()
		cl.awaitOwner()
		time.Sleep(2 * time.Second)
		accepted, refusal := cl.submitUntilRefused(cl.later)
		is.Equal(refusal.Status, http.StatusTooManyRequests)
		is.Equal(refusal.Verdict, verdict.NotRun)
		is.True(refusal.RetryAfter >= fullRetryAfter && refusal.RetryAfter <= 2*fullRetryAfter)
		is.True(len(accepted) >= 12 && len(accepted) <= 20)

		for range 5 { // jobs that are due now find room and run
			ordinary := cl.spec(2)
			is.NoErr(cl.trySubmit("d1", ordinary))
			cl.awaitState(ordinary.ID, job.Completed, 10*time.Second)
		}
		cl.kill(cl.awaitOwner()) // the next owner has the same memory
		cl.awaitOwner()
		time.Sleep(3 * time.Second)
		for _, name := range cl.names() {
			is.NoErr(cl.trySubmit(name, accepted[0])) // it is stored, and stays one job
			is.Equal(verdict.AsRequestError(cl.trySubmit(name, cl.later()), 0).Status, http.StatusTooManyRequests)
		}
		for _, spec := range accepted[:4] {
			is.True(cl.tryCancelAt(cl.names()[0], spec.ID))
		}
		time.Sleep(3 * time.Second)
		is.NoErr(cl.trySubmit(cl.names()[1], cl.later()))
		cl.check()
	})
}

// Guards against owners that exceed their memory one after the other: the store has more jobs than fit,
// which many daemons or an earlier version have stored. All of them run in the end, and those that are
// cancelled meanwhile do not.
func TestOwnerLeavesJobsInTheStoreThatItHasNoMemoryFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 171, 2, 1, func(string) time.Duration { return 2 * time.Second }, nil)
		defer cl.stopAll()
		former := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		const jobs = 100
		var all []job.Spec
		for range jobs {
			spec := cl.spec(2)
			cl.submit(former, spec)
			all = append(all, spec)
		}
		cl.heldLimit = smallLimit
		cl.stopAll()
		for i := range 3 {
			cl.start(fmt.Sprintf("d%d", i))
		}
		owner := cl.daemons[cl.awaitOwner()]
		time.Sleep(5 * time.Second)
		_, held, limit := owner.heldInMemory(t)
		is.Equal(limit, smallLimit)
		is.True(held <= smallLimit+smallLimit/4+3*8) // and the jobs that had begun
		pending, err := owner.cell.Pending("batch")
		is.NoErr(err)
		open := 0
		for _, spec := range all {
			if cl.state(spec.ID) == job.Queued {
				open++
			}
		}
		is.Equal(pending, open) // jobs that are not in memory are counted
		cancelled := map[string]bool{}
		for _, spec := range all[jobs-10:] {
			if cl.state(spec.ID) == job.Queued {
				is.True(cl.tryCancelAt(owner.name, spec.ID))
				cancelled[spec.ID] = true
			}
		}
		is.True(len(cancelled) > 0)
		cl.kill(owner.name)
		for _, spec := range all {
			want := job.Completed
			if cancelled[spec.ID] {
				want = job.Cancelled
			}
			cl.awaitState(spec.ID, want, 400*time.Second)
			if cancelled[spec.ID] {
				is.Equal(cl.fleet.StartsOfJob(spec.ID), 0)
			}
		}
		cl.check()
	})
}

// Guards against LOST and TWICE: an owner that has no memory for all jobs takes one whose move a former
// owner has recorded for one that has moved, or one whose tasks other cells run for one that has ended.
func TestJobsThatConcernOtherCellsAreAlwaysHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 174, 6, func(string) time.Duration { return time.Second }, nil)
		defer cl.stopAll()
		cl.awaitCells()
		lead := cl.daemons[cl.awaitOwner()].cell
		var moving []job.Spec
		for range 10 {
			spec := cl.spec(1)
			spec.Schedule = job.Schedule{Times: 1, FirstUnixMS: time.Now().Add(20 * time.Second).UnixMilli()}
			is.NoErr(lead.Submit(t.Context(), spec))
			moving = append(moving, spec)
		}
		transferred := cl.spec(2)
		transferred.Steps = transferred.Steps[:1]
		transferred.Steps[0].Service = true
		for range 60 {
			spec := cl.spec(1)
			spec.Schedule = job.Schedule{Times: 1, FirstUnixMS: time.Now().Add(time.Hour).UnixMilli()}
			is.NoErr(lead.Submit(t.Context(), spec))
		}
		cl.stopAll()
		for _, spec := range moving {
			partition := lead.jobPartition(spec.ID)
			version := cl.store.Rows(tableJobs, partition)
			for _, row := range version {
				if row.Key == spec.ID {
					cl.store.Put(tableMoves, "c0", spec.ID, encode(moveRecord{To: 1, Version: row.Version}))
				}
			}
		}
		elsewhere := jobRecord{Spec: &transferred, Transferred: []transferredTask{{Cell: 1}}}
		cl.store.Put(tableJobs, lead.jobPartition(transferred.ID), transferred.ID, encode(elsewhere))
		cl.heldLimit = smallLimit
		for i := range 6 {
			cl.start(fmt.Sprintf("d%d", i))
		}
		owner := cl.daemons[cl.awaitOwner()].cell
		time.Sleep(2 * time.Second)
		is.NoErr(owner.Loop.Do(t.Context(), func() {
			is.True(len(owner.term.deferred.queues) > 0)
			for _, spec := range moving {
				is.True(owner.term.engine.Job(spec.ID) != nil)
			}
			_, ending := owner.term.transfers.ending[transferred.ID]
			is.True(!ending)
			is.True(owner.term.engine.Job(transferred.ID) != nil)
		}))
		for _, spec := range moving {
			cl.awaitState(spec.ID, job.Completed, 60*time.Second)
			is.Equal(cl.fleet.StartsOfJob(spec.ID), 2)
		}
	})
}

// Guards against LOST for all callers: after each change of the owner, the tasks of a schedule of which
// most occurrences were missed are held again, and other jobs wait.
func TestMissedOccurrencesDoNotHoldUpOtherJobsOverTakeovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 172, 0, 4, halfSecond, nil)
		cl.heldLimit = 4000
		for i := range 3 {
			cl.start(fmt.Sprintf("d%d", i))
		}
		defer cl.stopAll()
		missed := cl.spec(3)
		missed.Schedule = job.Schedule{Times: 100_000, FirstUnixMS: 1, IntervalMS: 1}
		cl.submit(cl.awaitOwner(), missed)
		for range 6 {
			time.Sleep(2 * time.Second)
			ordinary := cl.spec(2)
			cl.submit(cl.awaitOwner(), ordinary)
			cl.awaitState(ordinary.ID, job.Completed, 20*time.Second)
			owner := cl.awaitOwner()
			tasks, _, limit := cl.daemons[owner].heldInMemory(t)
			is.True(tasks <= limit)
			cl.kill(owner)
			cl.start(owner)
		}
		is.Equal(cl.state(missed.ID), job.Running)
		is.True(cl.tryCancelAt(cl.awaitOwner(), missed.ID))
		time.Sleep(3 * time.Second)
		is.Equal(cl.fleet.Running(), 0)
		cl.check()
	})
}
