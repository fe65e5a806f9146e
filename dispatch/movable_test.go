package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Guards against TWICE: a job that a worker may run, or have run, is given to another cell.
func TestOnlyJobsThatWereNeverRequestedMayMove(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 1000, 8000))
	running := f.Add(spec("a", small(1)), f.now, 0)
	is.True(f.MayMove(running))
	out := f.plan(0)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Task.Job, running)
	is.True(!f.MayMove(running)) // without a response yet
	waiting := f.Add(spec("b", small(1)), f.now, 0)
	is.True(f.MayMove(waiting))
	f.HandleStartResponse(out.Starts[0], out.Starts[0].Worker.Observe(f.now), 0, &port.RefusedError{Op: "start", Reason: port.RefusedBusy}, f.now)
	is.True(!f.MayMove(running)) // refused, but requested

	service := small(1)
	service.Service = true
	is.True(f.MayMove(f.Add(spec("s", service), f.now, 0)))

	f.reportListing("w", port.Listing{Running: []port.RunningTask{{Task: "b.0.0.0", Attempt: 1}}})
	is.True(!f.MayMove(waiting)) // a run of a former owner

	next := newFixture(worker("w", 1000, 8000))
	inherited := next.Add(spec("b", small(1)), next.now, 0)
	is.NoErr(next.Restore(inherited, Progress{}))
	is.True(!next.MayMove(inherited)) // a former owner may have requested a start
}

// Guards against UNASKED and TWICE: a task of a job that is being given away is started, and
// against a job that never starts after its move was revoked.
func TestHeldJobIsNotStarted(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 8000, 8000))
	f.Add(spec("j", small(2)), f.now, 0)
	f.Hold("j")
	is.Equal(len(f.plan(0).Starts), 0)
	is.Equal(len(f.plan(time.Minute).Starts), 0)
	is.Equal(f.Unstarted(), map[string]int{"q": 1}) // it still waits
	f.Release("j")
	is.Equal(len(f.plan(0).Starts), 2)
}

// Guards against what is left of a job that was given away: its tasks, its load and its
// place in the depth of the queue. It may come back.
func TestRemovedJobLeavesNothingAndMayComeBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 8000, 8000))
	large := small(1)
	large.Resources.MemoryMB = 9000
	f.Add(spec("j", large), f.now, 0)
	f.plan(0)
	f.Remove("j")
	f.Remove("j")
	is.Equal(f.Unstarted(), map[string]int{})
	_, reserved, _ := f.Load()
	is.Equal(reserved, int64(0))
	is.Equal(len(f.tasks), 0)
	out := f.plan(time.Second)
	is.Equal(len(out.Starts)+len(out.Finished)+len(out.Changed), 0)
	is.Equal(f.Add(spec("j", small(1)), f.now, 0).State, job.Queued)
	is.Equal(len(f.plan(0).Starts), 1)
}

// A pool accepts work while any of its workers stays and responds.
func TestPoolWithoutWorkersForMoreWork(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 8000, 8000))
	accepts := func(pool string) []bool {
		listed, responsive := f.AcceptsWork(pool)
		return []bool{listed, responsive}
	}
	is.Equal(accepts("pool"), []bool{true, true})
	is.Equal(accepts("other"), []bool{false, false})
	f.HandleNoResponse(f.Observe("w", f.now))
	is.Equal(accepts("pool"), []bool{true, false})
	draining := worker("w", 8000, 8000)
	draining.Draining = true
	f.SetWorkers([]port.WorkerEntry{draining}, f.now)
	is.Equal(accepts("pool"), []bool{false, false})
	f.SetWorkers(nil, f.now)
	is.Equal(accepts("pool"), []bool{false, false})
}

// A scheduled job waits from its due time on.
func TestScheduledJobWaitsFromItsDueTime(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 8000, 8000))
	s := spec("j", small(1))
	s.Schedule = job.Schedule{Times: 1, FirstUnixMS: 10_000}
	j := f.Add(s, f.now, 5_000)
	_, due := j.WaitingSince(f.now)
	is.True(!due)
	since, due := j.WaitingSince(f.now.Add(6 * time.Second))
	is.True(due)
	is.Equal(since, f.now.Add(5*time.Second))
}
