package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// fixture is an engine with healthy workers that have been contacted.
type fixture struct {
	*Engine
	now     time.Time
	entries []port.WorkerEntry
}

func newFixture(workers ...port.WorkerEntry) *fixture {
	f := &fixture{Engine: NewEngine(testOptions), now: time.Unix(1000, 0), entries: workers}
	f.SetQueues([]job.Queue{{Name: "q", Pool: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}, 1)
	f.SetWorkers(workers, f.now)
	for _, w := range workers {
		f.reportListing(w.ID, port.Listing{})
	}
	return f
}

// reportListing passes the engine a listing that was requested and received now.
func (f *fixture) reportListing(id string, l port.Listing) {
	if l.ClockMS == 0 {
		l.ClockMS = f.now.UnixMilli()
	}
	if l.Boot == 0 {
		l.Boot = 1
	}
	f.HandleListing(f.Observe(id, f.now), l, f.now)
}

// listBoot replaces a worker's entry in the list by that of another boot.
func (f *fixture) listBoot(id string, boot int64) {
	f.entries = slices.Clone(f.entries)
	for i := range f.entries {
		if f.entries[i].ID == id {
			f.entries[i].Boot = boot
		}
	}
	f.SetWorkers(f.entries, f.now)
}

// plan advances the clock, runs Plan and returns the engine's output.
func (f *fixture) plan(after time.Duration) Output {
	f.now = f.now.Add(after)
	f.Plan(f.now)
	return f.TakeOutput()
}

// confirmStarts answers start requests without an error.
func (f *fixture) confirmStarts(out Output) {
	for _, run := range out.Starts {
		f.HandleStartResponse(run, run.Worker.Observe(f.now), 0, nil, f.now)
	}
}

// listEnd lists the end of a run.
func (f *fixture) listEnd(run *Run, number int64, reason port.EndReason) {
	f.reportListing(run.Worker.Entry.ID, port.Listing{Ended: []port.EndedTask{{
		Sequence: number, Task: run.Task.ID.String(), Attempt: run.Attempt, Reason: reason,
	}}})
}

func spec(id string, steps ...job.Step) job.Spec { return job.Spec{ID: id, Queue: "q", Steps: steps} }

func small(tasks int) job.Step {
	return job.Step{Tasks: tasks, EstimateMS: 500, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}
}

// Guards against MIXED: a job whose start requests got no response was not counted as
// waiting, although no worker had started it.
func TestJobWaitsUntilAStartIsConfirmed(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("v", 8000, 8000), worker("w", 8000, 8000))
	j := f.Add(spec("j", small(1)), f.now, 0)
	out := f.plan(0)
	is.Equal(len(out.Starts), 1)
	is.Equal(f.Unstarted(), map[string]int{"q": 1})
	f.HandleStartResponse(out.Starts[0], out.Starts[0].Worker.Observe(f.now), 0, &port.UnansweredError{Op: "start", NotSent: true}, f.now)
	is.Equal(f.Unstarted(), map[string]int{"q": 1})

	next := newFixture(worker("v", 8000, 8000)) // the next owner knows no more
	is.NoErr(next.Restore(next.Add(j.Spec, next.now, 0), j.Progress()))
	is.Equal(next.Unstarted(), map[string]int{"q": 1})

	f.confirmStarts(f.plan(time.Second))
	is.Equal(f.Unstarted(), map[string]int{})
	next = newFixture(worker("v", 8000, 8000))
	is.NoErr(next.Restore(next.Add(j.Spec, next.now, 0), j.Progress()))
	is.Equal(next.Unstarted(), map[string]int{})
}

func TestStepsRunInOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 8000, 8000))
	second := small(1)
	second.After = []int{0}
	f.Add(spec("j", small(2), second), f.now, 0)
	out := f.plan(0)
	is.Equal(len(out.Starts), 2)
	f.confirmStarts(out)
	f.listEnd(out.Starts[0], 1, port.EndDone)
	is.Equal(len(f.plan(0).Starts), 0) // one task of the first step still runs
	f.listEnd(out.Starts[1], 2, port.EndDone)
	next := f.plan(0)
	is.Equal(len(next.Starts), 1)
	is.Equal(next.Starts[0].Task.ID.Step, 1)
}

func TestWorkerCapacityIsNotExceeded(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 3500, 8000))
	f.Add(spec("j", small(5)), f.now, 0)
	out := f.plan(0)
	is.Equal(len(out.Starts), 3)
	f.confirmStarts(out)
	f.HandleStopResponse(out.Starts[0], out.Starts[0].Worker.Observe(f.now), nil, f.now)
	is.Equal(len(f.plan(time.Second).Starts), 0) // a run that is being stopped still uses its capacity
}

func TestConstraints(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", 8000, 8000), worker("b", 8000, 8000)
	b.Labels, b.Rack = []string{"fast", "r2"}, "r2"
	f := newFixture(a, b)
	labelled := small(1)
	labelled.Label = "fast"
	spread := small(3)
	spread.MaxPerWorker = 1
	data := small(2)
	data.DataRack = "r2"
	f.Add(spec("label", labelled), f.now, 0)
	f.Add(spec("spread", spread), f.now, 0)
	f.Add(spec("data", data), f.now, 0)
	places := map[string]map[string]int{}
	for _, s := range f.plan(0).Starts {
		if places[s.Task.ID.Job] == nil {
			places[s.Task.ID.Job] = map[string]int{}
		}
		places[s.Task.ID.Job][s.Worker.Entry.ID]++
	}
	is.Equal(places["label"], map[string]int{"b": 1})
	is.Equal(places["spread"], map[string]int{"a": 1, "b": 1})
	is.Equal(places["data"], map[string]int{"b": 2})
}

func TestGangStartsAllOrNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 2000, 8000), worker("b", 2000, 8000))
	gang := small(5)
	gang.Gang = true
	f.Add(spec("wide", gang), f.now, 0)
	is.Equal(len(f.plan(0).Starts), 0)
	gang.Tasks = 4
	f.Add(spec("fits", gang), f.now, 0)
	out := f.plan(0)
	is.Equal(len(out.Starts), 4)
	f.confirmStarts(out)
	f.listEnd(out.Starts[0], 1, port.EndFailed)
	stopped := f.plan(0)
	is.Equal(len(stopped.Stops), 3)  // the others cannot complete the gang
	is.Equal(len(stopped.Starts), 0) // a new attempt waits until they have ended
	number := map[string]int64{out.Starts[0].Worker.Entry.ID: 1}
	for _, run := range stopped.Stops {
		id := run.Worker.Entry.ID
		number[id]++
		f.listEnd(run, number[id], port.EndGangBroken)
	}
	again := f.plan(time.Second)
	is.Equal(len(again.Starts), 4)
	for _, run := range again.Starts {
		is.Equal(run.Attempt, 2)
	}
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000), worker("c", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	places := map[string]bool{}
	for attempt := 1; attempt <= 3; attempt++ {
		out := f.plan(10 * time.Second)
		is.Equal(len(out.Starts), 1)
		is.Equal(out.Starts[0].Attempt, attempt)
		places[out.Starts[0].Worker.Entry.ID] = true
		f.confirmStarts(out)
		f.listEnd(out.Starts[0], 1, port.EndFailed)
		f.listEnd(out.Starts[0], 1, port.EndFailed) // listed again until acknowledged
	}
	is.Equal(len(places), 3) // each attempt runs on another worker, which tells a worker's fault from the task's
	out := f.TakeOutput()
	is.Equal(len(out.Finished), 1)
	is.Equal(out.Finished[0].State, job.Failed)
}

func TestUnansweredStartIsNotRepeatedWhileItMayRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	out := f.plan(0)
	run := out.Starts[0]
	f.HandleStartResponse(run, run.Worker.Observe(f.now), 0, &port.UnansweredError{Op: "start"}, f.now)
	is.Equal(len(f.plan(100*time.Millisecond).Starts), 0)
	f.reportListing(run.Worker.Entry.ID, port.Listing{}) // not listed, but the request may be in flight
	is.Equal(len(f.plan(100*time.Millisecond).Starts), 0)
	f.now = f.now.Add(testOptions.StartWindow)
	f.reportListing(run.Worker.Entry.ID, port.Listing{}) // after the request has expired
	is.Equal(len(f.plan(0).Starts), 1)
}

func TestStopResolvesUnansweredStart(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	run := f.plan(0).Starts[0]
	f.HandleStartResponse(run, run.Worker.Observe(f.now), 0, &port.UnansweredError{Op: "start"}, f.now)
	is.Equal(len(f.plan(0).Stops), 1)
	f.HandleStopResponse(run, run.Worker.Observe(f.now), nil, f.now)
	f.now = f.now.Add(10 * time.Millisecond)
	f.reportListing(run.Worker.Entry.ID, port.Listing{})
	is.Equal(len(f.plan(0).Starts), 1)
}

func TestRunsOfUnresponsiveWorkerAreLostAfterLeaseExpiry(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	out := f.plan(0)
	f.confirmStarts(out)
	w := out.Starts[0].Worker
	w.ExtendLease(f.now, 4*time.Second)
	f.SetWorkers([]port.WorkerEntry{worker("a", 8000, 8000), worker("b", 8000, 8000)}, f.now)
	f.reportListing("b", port.Listing{})
	f.HandleNoResponse(f.Observe("a", f.now.Add(time.Millisecond)))
	is.Equal(len(f.plan(5*time.Second).Starts), 0) // a former owner may have granted the longest lease
	f.reportListing("b", port.Listing{})
	is.Equal(len(f.plan(1500*time.Millisecond).Starts), 1)
}

func TestRestartedWorkerHasLostItsRuns(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	f.Add(spec("j", small(2)), f.now, 0)
	out := f.plan(0)
	f.confirmStarts(out)
	first := out.Starts[0]
	f.now = f.now.Add(10 * time.Millisecond)
	f.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: first.Task.ID.String(), Attempt: 1}}})
	f.now = f.now.Add(10 * time.Millisecond)
	// The second run was confirmed, but not listed: the new boot may have it.
	f.reportListing("a", port.Listing{Boot: 2, ClockMS: 5, Running: []port.RunningTask{{Task: out.Starts[1].Task.ID.String(), Attempt: 1}}})
	f.listBoot("a", 2)
	again := f.plan(0)
	is.Equal(len(again.Starts), 1)
	is.Equal(again.Starts[0].Task, first.Task)
}

func TestNextOwnerWaitsForUncontactedWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	j := f.Add(spec("j", small(1)), f.now, 0)
	is.NoErr(f.Restore(j, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "gone"}}}))
	f.ExpectInheritedRuns([]string{"a", "gone"}, f.now)
	is.Equal(len(f.plan(time.Second).Starts), 0)
	fresh := f.Add(spec("fresh", small(1)), f.now.Add(handoverWindow), 0)
	out := f.plan(handoverWindow)
	is.Equal(len(out.Starts), 1) // no former owner can have received it
	is.Equal(out.Starts[0].Task.Job, fresh)
	f.reportListing("a", port.Listing{})
	out = f.plan(7 * time.Second)
	is.Equal(len(out.Starts), 1)
	is.True(out.Starts[0].Attempt > 2) // above the attempts that a former owner may have used
}

// Guards against TWICE: a former owner was replaced after a worker had listed the end of
// a speculative task to it and before it had committed the end. The next owner started
// the task again before that worker had listed the end to it.
func TestNextOwnerWaitsForUncontactedWorkersOfSpeculativeTasks(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	f.SetWorkers([]port.WorkerEntry{worker("a", 8000, 8000), worker("b", 8000, 8000)}, f.now)
	step := small(1)
	step.Speculative = true
	j := f.Add(spec("j", step), f.now, 0)
	is.NoErr(f.Restore(j, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "b"}}}))
	f.ExpectInheritedRuns([]string{"a", "b"}, f.now)
	is.Equal(len(f.plan(time.Second).Starts), 0)
	f.reportListing("b", port.Listing{Ended: []port.EndedTask{{Sequence: 1, Task: "j.0.0.0", Attempt: 1, Reason: port.EndDone}}})
	out := f.plan(0)
	is.Equal(len(out.Starts), 0)
	is.Equal(out.Finished, []*Job{j})
}

func TestRunOfUnknownJobIsAdopted(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	f.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: "j.0.0.0", Attempt: 1}}})
	is.Equal(len(f.plan(0).UnknownRuns), 0) // its job may not have been read yet
	f.Add(spec("j", small(1)), f.now, 0)
	is.Equal(len(f.plan(0).Starts), 0) // its task runs already
	is.Equal(f.Worker("a").RunCount(), 1)
}

func TestRunOfUnknownJobIsStoppedAfterGracePeriod(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	entry := []port.RunningTask{{Task: "j.0.0.0", Attempt: 1}}
	f.reportListing("a", port.Listing{Running: entry})
	f.now = f.now.Add(unknownJobGracePeriod + time.Millisecond)
	f.reportListing("a", port.Listing{Running: entry})
	is.Equal(len(f.plan(0).UnknownRuns), 1)
}

func TestEndOfUnknownJobIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	f.reportListing("a", port.Listing{Ended: []port.EndedTask{
		{Sequence: 1, Task: "old.0.0.0", Attempt: 1, Reason: port.EndDone},
		{Sequence: 2, Task: "j.0.0.0", Attempt: 1, Reason: port.EndDone},
	}})
	number, _ := f.Worker("a").LastEnd()
	is.Equal(number, int64(0))
	f.Add(spec("j", small(1)), f.now, 0)
	out := f.plan(0)
	is.Equal(len(out.Starts), 0) // it was done before the job was known
	is.Equal(out.Finished[0].State, job.Completed)
}

func TestEndOfUnknownJobIsGivenUpAfterTheJobsAreRead(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	f.HandleJobsRead(f.now)
	f.reportListing("a", port.Listing{Ended: []port.EndedTask{{Sequence: 1, Task: "j.0.0.0", Attempt: 1, Reason: port.EndDone}}})
	f.plan(10 * unknownJobGracePeriod)
	number, _ := f.Worker("a").LastEnd()
	is.Equal(number, int64(0)) // the job may be missing only because it was not read
	f.HandleJobsRead(f.now)
	f.plan(0)
	number, _ = f.Worker("a").LastEnd()
	is.Equal(number, int64(1))
}

func TestEndedJobIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	is.True(f.Cancel("j"))
	is.True(f.Add(spec("j", small(1)), f.now, 0) == nil)
	f.MarkEnded("earlier", f.now)
	is.True(f.Add(spec("earlier", small(1)), f.now, 0) == nil)
	is.Equal(len(f.plan(0).Starts), 0)
}

func TestStalledTaskIsMoved(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	out := f.plan(0)
	f.confirmStarts(out)
	run := out.Starts[0]
	for range 4 {
		f.now = f.now.Add(600 * time.Millisecond)
		f.reportListing(run.Worker.Entry.ID, port.Listing{Running: []port.RunningTask{{Task: run.Task.ID.String(), Attempt: 1, Percent: 20}}})
	}
	is.Equal(len(f.TakeOutput().Stops), 1)
	f.listEnd(run, 1, port.EndStopped)
	again := f.plan(0)
	is.Equal(len(again.Starts), 1)
	is.True(again.Starts[0].Worker != run.Worker) // the worker is in backoff
}

func TestFailingWorkerGetsNoWorkDuringBackoff(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 2000, 8000))
	f.Add(spec("j", small(2)), f.now, 0)
	out := f.plan(0)
	f.confirmStarts(out)
	f.listEnd(out.Starts[0], 1, port.EndFailed)
	f.listEnd(out.Starts[1], 2, port.EndFailed)
	is.Equal(len(f.plan(time.Second).Starts), 0)
	is.Equal(len(f.plan(failureBackoff).Starts), 2)
}

func TestServicesMoveOffDrainingWorkersWithinMaxUnavailable(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", 8000, 8000), worker("b", 8000, 8000)
	f := newFixture(a)
	service := small(3)
	service.Service, service.MaxUnavailable = true, 1
	f.Add(spec("j", service), f.now, 0)
	out := f.plan(serviceBatchWindow)
	f.confirmStarts(out)
	var running []port.RunningTask
	for _, run := range out.Starts {
		running = append(running, port.RunningTask{Task: run.Task.ID.String(), Attempt: 1, Percent: 100})
	}
	f.reportListing("a", port.Listing{Running: running})
	a.Draining, a.Remaining = true, 5*time.Second
	f.SetWorkers([]port.WorkerEntry{a, b}, f.now)
	f.reportListing("b", port.Listing{})
	is.Equal(len(f.plan(0).Stops), 1)
	is.Equal(len(f.plan(time.Second).Stops), 0) // the first is still unavailable
}

// An unknown run uses an unknown amount of resources until it is no longer listed,
// and not all workers refuse a task that does not fit.
func TestNothingStartsBesideUnknownRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 2000, 8000))
	f.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: "unknown.0.0.0", Attempt: 1}}})
	f.Add(spec("j", small(1)), f.now, 0)
	is.Equal(len(f.plan(0).Starts), 0)
	f.reportListing("a", port.Listing{})
	is.Equal(len(f.plan(0).Starts), 1)
}

// A start request was in flight when its worker restarted, and the stop request
// that prevents the start is lost. Without a repeated stop, the task would wait
// forever.
func TestUnansweredStopOfUnacknowledgedRunIsRepeated(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	run := f.plan(0).Starts[0]
	unanswered := &port.UnansweredError{Op: "call"}
	f.reportListing("a", port.Listing{Boot: 2})
	is.Equal(len(f.TakeOutput().Stops), 1)
	f.HandleStartResponse(run, run.Worker.Observe(f.now), 0, unanswered, f.now)
	f.now = f.now.Add(time.Second)
	f.HandleStopResponse(run, run.Worker.Observe(f.now), unanswered, f.now)
	f.now = f.now.Add(time.Second)
	f.reportListing("a", port.Listing{Boot: 2})
	is.Equal(len(f.TakeOutput().Stops), 1)
	f.HandleStopResponse(run, run.Worker.Observe(f.now), nil, f.now)
	f.now = f.now.Add(time.Millisecond)
	f.reportListing("a", port.Listing{Boot: 2})
	f.listBoot("a", 2)
	is.Equal(len(f.plan(5*time.Second).Starts), 1)
}

// A worker's clock may run 2% slow: its runs are given up only after the lease has
// expired on such a clock.
func TestLeaseExpiresOnTheSlowestClock(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	f.reportListing("a", port.Listing{})
	f.Add(spec("j", small(1)), f.now, 0)
	out := f.plan(0)
	f.confirmStarts(out)
	run := out.Starts[0]
	w := run.Worker
	w.ExtendLease(f.now, testOptions.MaxLease)
	f.HandleNoResponse(f.Observe(w.Entry.ID, f.now.Add(time.Millisecond)))
	lease := testOptions.MaxLease
	is.Equal(len(f.plan(lease).Starts), 0) // expired on an exact clock
	is.Equal(len(f.plan(lease/49).Starts), 0)
	is.Equal(len(f.plan(lease/100).Starts), 1)
}

// Listings that were requested before a run was confirmed do not count as missing
// it.
func TestListingsOlderThanAStartAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	out := f.plan(0)
	requested := f.now
	f.now = f.now.Add(10 * time.Millisecond)
	f.confirmStarts(out)
	for range 2 * maxMissedListings {
		f.now = f.now.Add(time.Millisecond)
		f.HandleListing(f.Observe("a", requested), port.Listing{ClockMS: f.now.UnixMilli(), Boot: 1}, f.now)
	}
	is.Equal(len(f.plan(0).Starts), 0)
	for range maxMissedListings {
		f.now = f.now.Add(time.Millisecond)
		f.reportListing("a", port.Listing{})
	}
	is.Equal(len(f.plan(0).Starts), 1)
}

// A worker that has restarted knows no epoch and would accept a former owner:
// nothing starts there before it has been called under the current epoch.
func TestRestartedWorkerIsContactedBeforeItGetsWork(t *testing.T) {
	is := is.New(t)
	a := worker("a", 8000, 8000)
	f := newFixture(a)
	a.Boot = 2
	f.SetWorkers([]port.WorkerEntry{a}, f.now)
	is.True(!f.Worker("a").Contacted())
	f.Add(spec("j", small(1)), f.now, 0)
	is.Equal(len(f.plan(0).Starts), 0)
	f.reportListing("a", port.Listing{Boot: 2})
	is.Equal(len(f.plan(0).Starts), 1)
}

// A worker that has left the platform's list may continue its runs until its lease
// has expired.
func TestRunsOfUnlistedWorkerLastUntilLeaseExpiry(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", 1000, 8000), worker("b", 1000, 8000)
	f := newFixture(a)
	f.Add(spec("j", small(1)), f.now, 0)
	f.confirmStarts(f.plan(0))
	f.SetWorkers([]port.WorkerEntry{b}, f.now)
	f.reportListing("b", port.Listing{})
	is.Equal(len(f.plan(time.Second).Starts), 0)
	out := f.plan(testOptions.MaxLease + leaseSlack)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Worker.Entry.ID, "b")
}

// backoffAfterUnansweredStarts repeatedly leaves the start requests to some of eight
// workers unanswered and returns the longest backoff of any of them.
func backoffAfterUnansweredStarts(failing int) time.Duration {
	var entries []port.WorkerEntry
	for n := range 8 {
		entries = append(entries, worker(string(rune('a'+n)), 8000, 8000))
	}
	f := newFixture(entries...)
	f.Add(spec("j", small(8)), f.now, 0)
	tasks := f.Job("j").occurrences[0].tasks[0]
	var longest time.Duration
	for attempt := 1; attempt <= 6; attempt++ {
		for n := range failing {
			w := f.Worker(entries[n].ID)
			f.start(tasks[n], w, attempt, f.now)
			run := tasks[n].Runs[len(tasks[n].Runs)-1]
			f.HandleStartResponse(run, run.Worker.Observe(f.now), 0, &port.UnansweredError{Op: "start"}, f.now)
			longest = max(longest, w.backoffUntil.Sub(f.now))
		}
		f.now = f.now.Add(time.Second)
	}
	return longest
}

func TestNetworkPathFaultDoesNotExtendBackoff(t *testing.T) {
	is := is.New(t)
	is.Equal(backoffAfterUnansweredStarts(1), unansweredBackoff<<maxUnansweredDoublings) // one worker is at fault
	is.True(backoffAfterUnansweredStarts(8) <= 2*unansweredBackoff)                      // no worker can be reached
}
