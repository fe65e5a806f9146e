package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
)

// Guards against LOST after a takeover: tasks of a former owner waited for the longest
// lease of a worker that had left the platform's list, although its VM was not up.
func TestInheritedTasksDoNotWaitForAWorkerThatIsGone(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	j := f.Add(spec("service", serviceStep(1, 1000)), f.now, 0)
	is.NoErr(f.Restore(j, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "gone"}}}))
	f.ExpectInheritedRuns([]string{"a"}, f.now)
	is.Equal(len(f.plan(time.Second).Starts), 0)
	is.Equal(f.UnresponsiveFor(f.now, time.Second), []Observation{f.Observe("gone", f.now)})
	f.HandleReplacement(f.Observe("gone", f.now), f.now)
	is.Equal(len(f.plan(0).Starts), 1)
}

// Guards against LOST after an orderly hand-over: services that ran nowhere, as the former
// owner had recorded, waited for all workers that may run any of its tasks.
func TestTasksWaitOnlyForRecordedWorkersAfterACompleteRelease(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	stopped, running := f.Add(spec("stopped", serviceStep(1, 1000)), f.now, 0), f.Add(spec("running", serviceStep(1, 1000)), f.now, 0)
	is.NoErr(f.Restore(stopped, Progress{Tasks: []TaskProgress{{Attempt: 1}}}))
	is.NoErr(f.Restore(running, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "silent"}}}))
	f.ExpectInheritedRuns([]string{"a"}, f.now)
	f.ExpectRecordedRuns()
	out := f.plan(0)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Task.ID.Job, "stopped")
	f.confirmStarts(out)
	f.listAllRunning()
	is.Equal(len(f.plan(time.Second).Starts), 0)
	f.HandleReplacement(f.Observe("silent", f.now), f.now)
	is.Equal(len(f.plan(0).Starts), 1)
}

// Guards against LOST after a takeover: new work took the room of an interrupted service that
// had to wait until all workers had answered, and was stopped for it 1.2 s after that.
func TestNewWorkLeavesTheRoomOfAServiceThatMayNotStartYet(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 4000, 64000))
	j := f.Add(spec("service", serviceStep(1, 4000)), f.now, 0)
	is.NoErr(f.Restore(j, Progress{Tasks: []TaskProgress{{Attempt: 1}}}))
	other := f.Add(spec("other", serviceStep(1, 4000)), f.now, 0)
	is.NoErr(f.Restore(other, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "silent"}}}))
	f.ExpectInheritedRuns([]string{"a"}, f.now)
	f.now = f.now.Add(handoverWindow)
	f.Add(spec("batch", batchStep(1, 4000, false)), f.now, 0)
	is.Equal(len(f.plan(0).Starts), 0)
	f.HandleReplacement(f.Observe("silent", f.now), f.now)
	out := f.plan(0)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Task.ID.Job, "service")
}

// Guards against LOST after a takeover: an interrupted service that may start found no worker,
// because capacity was held for one that may not start for the longest lease.
func TestHeldPlaceIsLeftToAServiceThatMayStart(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 4000, 64000), worker("b", 4000, 64000))
	waits := f.Add(spec("a-waits", anyAway(1, 4000)), f.now, 0)
	is.NoErr(f.Restore(waits, Progress{Tasks: []TaskProgress{{Attempt: 1}}}))
	other := f.Add(spec("other", anyAway(1, 4000)), f.now, 0)
	is.NoErr(f.Restore(other, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "silent"}}}))
	service := f.Add(spec("service", anyAway(1, 4000)), f.now, 0)
	is.NoErr(f.Restore(service, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "b"}}}))
	f.ExpectInheritedRuns([]string{"a", "b"}, f.now)
	f.reportListing("b", port.Listing{Running: []port.RunningTask{{Task: "service.0.0.0", Attempt: 1, Percent: 100, Measurement: 10}}})
	run := f.Worker("b").sortedRuns()[0]
	f.listAllRunning()
	f.plan(handoverWindow) // holds a place on worker a
	f.drain(100*time.Millisecond, "b")
	f.listAllRunning()
	f.endStops(f.plan(50 * time.Millisecond))
	f.removeDrained()
	since := f.now
	for len(run.Task.Runs) == 0 && f.now.Sub(since) < 5*time.Second {
		f.listAllRunning()
		f.plan(50 * time.Millisecond)
	}
	if away := f.now.Sub(since); away > 500*time.Millisecond {
		t.Fatalf("the service was away for %v beside %v of free capacity", away, f.Worker("a").free())
	}
}

// Guards against TWICE: a successor relies on the recorded runs although the owner has listed
// an end, which it has not committed, of a job that it does not know yet.
func TestRunsAreNotKnownWhileAnEndIsUnmatched(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	is.True(f.KnowsAllRuns(f.now))
	f.reportListing("a", port.Listing{Ended: []port.EndedTask{{Sequence: 1, Task: "job.0.0.0", Attempt: 1, Reason: port.EndDone}}})
	is.True(f.Worker("a").HasUnmatchedEnds())
	is.True(!f.KnowsAllRuns(f.now))
}
