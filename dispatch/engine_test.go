package dispatch

import (
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
	r := &fixture{Engine: NewEngine(testOptions), now: time.Unix(1000, 0), entries: workers}
	r.SetQueues([]job.Queue{{Name: "q", Pool: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second}})
	r.SetWorkers(workers, r.now)
	for _, w := range workers {
		r.reportListing(w.ID, port.Listing{})
	}
	return r
}

// reportListing passes the engine a listing that was requested and received now.
func (r *fixture) reportListing(id string, l port.Listing) {
	if l.ClockMS == 0 {
		l.ClockMS = r.now.UnixMilli()
	}
	if l.Boot == 0 {
		l.Boot = 1
	}
	r.HandleListing(id, l, r.now, r.now)
}

// plan advances the clock, runs Plan and returns the engine's output.
func (r *fixture) plan(after time.Duration) Output {
	r.now = r.now.Add(after)
	r.Plan(r.now)
	return r.TakeOutput()
}

// confirmStarts answers start requests without an error.
func (r *fixture) confirmStarts(out Output) {
	for _, run := range out.Starts {
		r.HandleStartResponse(run, 0, nil, r.now, r.now)
	}
}

// listEnd lists the end of a run.
func (r *fixture) listEnd(run *Run, number int64, reason port.EndReason) {
	r.reportListing(run.Worker.Entry.ID, port.Listing{Ended: []port.EndedTask{{
		Sequence: number, Task: run.Task.ID.String(), Attempt: run.Attempt, Reason: reason,
	}}})
}

func spec(id string, steps ...job.Step) job.Spec { return job.Spec{ID: id, Queue: "q", Steps: steps} }

func small(tasks int) job.Step {
	return job.Step{Tasks: tasks, EstimateMS: 500, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}
}

func TestStepsRunInOrder(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("w", 8000, 8000))
	second := small(1)
	second.After = []int{0}
	r.Add(spec("j", small(2), second), r.now, 0)
	out := r.plan(0)
	is.Equal(len(out.Starts), 2)
	r.confirmStarts(out)
	r.listEnd(out.Starts[0], 1, port.EndDone)
	is.Equal(len(r.plan(0).Starts), 0) // one task of the first step still runs
	r.listEnd(out.Starts[1], 2, port.EndDone)
	next := r.plan(0)
	is.Equal(len(next.Starts), 1)
	is.Equal(next.Starts[0].Task.ID.Step, 1)
}

func TestWorkerCapacityIsNotExceeded(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("w", 3500, 8000))
	r.Add(spec("j", small(5)), r.now, 0)
	out := r.plan(0)
	is.Equal(len(out.Starts), 3)
	r.confirmStarts(out)
	r.HandleStopResponse(out.Starts[0], nil, r.now, r.now)
	is.Equal(len(r.plan(time.Second).Starts), 0) // a run that is being stopped still uses its capacity
}

func TestConstraints(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", 8000, 8000), worker("b", 8000, 8000)
	b.Labels, b.Rack = []string{"fast", "r2"}, "r2"
	r := newFixture(a, b)
	labelled := small(1)
	labelled.Label = "fast"
	spread := small(3)
	spread.MaxPerWorker = 1
	data := small(2)
	data.DataRack = "r2"
	r.Add(spec("label", labelled), r.now, 0)
	r.Add(spec("spread", spread), r.now, 0)
	r.Add(spec("data", data), r.now, 0)
	places := map[string]map[string]int{}
	for _, s := range r.plan(0).Starts {
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
	r := newFixture(worker("a", 2000, 8000), worker("b", 2000, 8000))
	gang := small(5)
	gang.Gang = true
	r.Add(spec("wide", gang), r.now, 0)
	is.Equal(len(r.plan(0).Starts), 0)
	gang.Tasks = 4
	r.Add(spec("fits", gang), r.now, 0)
	out := r.plan(0)
	is.Equal(len(out.Starts), 4)
	r.confirmStarts(out)
	r.listEnd(out.Starts[0], 1, port.EndFailed)
	stopped := r.plan(0)
	is.Equal(len(stopped.Stops), 3)  // the others cannot complete the gang
	is.Equal(len(stopped.Starts), 0) // a new attempt waits until they have ended
	number := map[string]int64{out.Starts[0].Worker.Entry.ID: 1}
	for _, run := range stopped.Stops {
		id := run.Worker.Entry.ID
		number[id]++
		r.listEnd(run, number[id], port.EndGangBroken)
	}
	again := r.plan(time.Second)
	is.Equal(len(again.Starts), 4)
	for _, run := range again.Starts {
		is.Equal(run.Attempt, 2)
	}
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000), worker("c", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	places := map[string]bool{}
	for attempt := 1; attempt <= 3; attempt++ {
		out := r.plan(10 * time.Second)
		is.Equal(len(out.Starts), 1)
		is.Equal(out.Starts[0].Attempt, attempt)
		places[out.Starts[0].Worker.Entry.ID] = true
		r.confirmStarts(out)
		r.listEnd(out.Starts[0], 1, port.EndFailed)
		r.listEnd(out.Starts[0], 1, port.EndFailed) // listed again until acknowledged
	}
	is.Equal(len(places), 3) // each attempt runs on another worker
	out := r.TakeOutput()
	is.Equal(len(out.Finished), 1)
	is.Equal(out.Finished[0].State, job.Failed)
}

func TestUnansweredStartIsNotRepeatedWhileItMayRun(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	run := out.Starts[0]
	r.HandleStartResponse(run, 0, &port.UnansweredError{Op: "start"}, r.now, r.now)
	is.Equal(len(r.plan(100*time.Millisecond).Starts), 0)
	r.reportListing(run.Worker.Entry.ID, port.Listing{}) // not listed, but the request may be in flight
	is.Equal(len(r.plan(100*time.Millisecond).Starts), 0)
	r.now = r.now.Add(testOptions.StartWindow)
	r.reportListing(run.Worker.Entry.ID, port.Listing{}) // after the request has expired
	is.Equal(len(r.plan(0).Starts), 1)
}

func TestStopResolvesUnansweredStart(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	run := r.plan(0).Starts[0]
	r.HandleStartResponse(run, 0, &port.UnansweredError{Op: "start"}, r.now, r.now)
	is.Equal(len(r.plan(0).Stops), 1)
	r.HandleStopResponse(run, nil, r.now, r.now)
	r.now = r.now.Add(10 * time.Millisecond)
	r.reportListing(run.Worker.Entry.ID, port.Listing{})
	is.Equal(len(r.plan(0).Starts), 1)
}

func TestRunsOfUnresponsiveWorkerAreLostAfterLeaseExpiry(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	r.confirmStarts(out)
	w := out.Starts[0].Worker
	w.ExtendLease(r.now, 4*time.Second)
	r.SetWorkers([]port.WorkerEntry{worker("a", 8000, 8000), worker("b", 8000, 8000)}, r.now)
	r.reportListing("b", port.Listing{})
	r.HandleNoResponse("a", r.now.Add(time.Millisecond))
	is.Equal(len(r.plan(5*time.Second).Starts), 0) // a former owner may have granted the longest lease
	r.reportListing("b", port.Listing{})
	is.Equal(len(r.plan(1500*time.Millisecond).Starts), 1)
}

func TestRestartedWorkerHasLostItsRuns(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000))
	r.Add(spec("j", small(2)), r.now, 0)
	out := r.plan(0)
	r.confirmStarts(out)
	first := out.Starts[0]
	r.now = r.now.Add(10 * time.Millisecond)
	r.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: first.Task.ID.String(), Attempt: 1}}})
	r.now = r.now.Add(10 * time.Millisecond)
	// The second run was confirmed, but not listed: the new boot may have it.
	r.reportListing("a", port.Listing{Boot: 2, ClockMS: 5, Running: []port.RunningTask{{Task: out.Starts[1].Task.ID.String(), Attempt: 1}}})
	again := r.plan(0)
	is.Equal(len(again.Starts), 1)
	is.Equal(again.Starts[0].Task, first.Task)
}

func TestNextOwnerWaitsForUncontactedWorkers(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000))
	j := r.Add(spec("j", small(1)), r.now, 0)
	is.NoErr(r.Restore(j, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "gone"}}}))
	r.ExpectInheritedRuns([]string{"a", "gone"}, r.now)
	is.Equal(len(r.plan(time.Second).Starts), 0)
	fresh := r.Add(spec("fresh", small(1)), r.now.Add(handoverWindow), 0)
	out := r.plan(handoverWindow)
	is.Equal(len(out.Starts), 1) // no former owner can have received it
	is.Equal(out.Starts[0].Task.Job, fresh)
	r.reportListing("a", port.Listing{})
	out = r.plan(7 * time.Second)
	is.Equal(len(out.Starts), 1)
	is.True(out.Starts[0].Attempt > 2) // above the attempts that a former owner may have used
}

func TestRunOfUnknownJobIsAdopted(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: "j.0.0.0", Attempt: 1}}})
	is.Equal(len(r.plan(0).OrphanRuns), 0) // its job may not have been read yet
	r.Add(spec("j", small(1)), r.now, 0)
	is.Equal(len(r.plan(0).Starts), 0) // its task runs already
	is.Equal(r.Worker("a").RunCount(), 1)
}

func TestRunOfUnknownJobIsStoppedAfterGracePeriod(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000))
	entry := []port.RunningTask{{Task: "j.0.0.0", Attempt: 1}}
	r.reportListing("a", port.Listing{Running: entry})
	r.now = r.now.Add(orphanGracePeriod + time.Millisecond)
	r.reportListing("a", port.Listing{Running: entry})
	is.Equal(len(r.plan(0).OrphanRuns), 1)
}

func TestEndOfUnknownJobIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000))
	r.reportListing("a", port.Listing{Ended: []port.EndedTask{
		{Sequence: 1, Task: "old.0.0.0", Attempt: 1, Reason: port.EndDone},
		{Sequence: 2, Task: "j.0.0.0", Attempt: 1, Reason: port.EndDone},
	}})
	number, _ := r.Worker("a").LastEnd()
	is.Equal(number, int64(0))
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	is.Equal(len(out.Starts), 0) // it was done before the job was known
	is.Equal(out.Finished[0].State, job.Completed)
}

func TestEndedJobIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	is.True(r.Cancel("j"))
	is.True(r.Add(spec("j", small(1)), r.now, 0) == nil)
	r.MarkEnded("earlier", r.now)
	is.True(r.Add(spec("earlier", small(1)), r.now, 0) == nil)
	is.Equal(len(r.plan(0).Starts), 0)
}

func TestStalledTaskIsMoved(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	r.confirmStarts(out)
	run := out.Starts[0]
	for range 4 {
		r.now = r.now.Add(600 * time.Millisecond)
		r.reportListing(run.Worker.Entry.ID, port.Listing{Running: []port.RunningTask{{Task: run.Task.ID.String(), Attempt: 1, Percent: 20}}})
	}
	is.Equal(len(r.TakeOutput().Stops), 1)
	r.listEnd(run, 1, port.EndStopped)
	again := r.plan(0)
	is.Equal(len(again.Starts), 1)
	is.True(again.Starts[0].Worker != run.Worker) // the worker is in backoff
}

func TestFailingWorkerGetsNoWorkDuringBackoff(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 2000, 8000))
	r.Add(spec("j", small(2)), r.now, 0)
	out := r.plan(0)
	r.confirmStarts(out)
	r.listEnd(out.Starts[0], 1, port.EndFailed)
	r.listEnd(out.Starts[1], 2, port.EndFailed)
	is.Equal(len(r.plan(time.Second).Starts), 0)
	is.Equal(len(r.plan(failureBackoff).Starts), 2)
}

func TestServicesMoveOffDrainingWorkersWithinMaxUnavailable(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", 8000, 8000), worker("b", 8000, 8000)
	r := newFixture(a)
	service := small(3)
	service.Service, service.MaxUnavailable = true, 1
	r.Add(spec("j", service), r.now, 0)
	out := r.plan(serviceBatchWindow)
	r.confirmStarts(out)
	var running []port.RunningTask
	for _, run := range out.Starts {
		running = append(running, port.RunningTask{Task: run.Task.ID.String(), Attempt: 1, Percent: 100})
	}
	r.reportListing("a", port.Listing{Running: running})
	a.Draining, a.Remaining = true, 5*time.Second
	r.SetWorkers([]port.WorkerEntry{a, b}, r.now)
	r.reportListing("b", port.Listing{})
	is.Equal(len(r.plan(0).Stops), 1)
	is.Equal(len(r.plan(time.Second).Stops), 0) // the first is still unavailable
}

// An orphan run uses an unknown amount of resources until it is no longer listed,
// and not all workers refuse a task that does not fit.
func TestNothingStartsBesideAnOrphanRun(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 2000, 8000))
	r.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: "unknown.0.0.0", Attempt: 1}}})
	r.Add(spec("j", small(1)), r.now, 0)
	is.Equal(len(r.plan(0).Starts), 0)
	r.reportListing("a", port.Listing{})
	is.Equal(len(r.plan(0).Starts), 1)
}

// A start request was in flight when its worker restarted, and the stop request
// that prevents the start is lost. Without a repeated stop, the task would wait
// forever.
func TestUnansweredStopOfUnknownRunIsRepeated(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	run := r.plan(0).Starts[0]
	unanswered := &port.UnansweredError{Op: "call"}
	r.reportListing("a", port.Listing{Boot: 2})
	is.Equal(len(r.TakeOutput().Stops), 1)
	r.HandleStartResponse(run, 0, unanswered, r.now, r.now)
	r.now = r.now.Add(time.Second)
	r.HandleStopResponse(run, unanswered, r.now, r.now)
	r.now = r.now.Add(time.Second)
	r.reportListing("a", port.Listing{Boot: 2})
	is.Equal(len(r.TakeOutput().Stops), 1)
	r.HandleStopResponse(run, nil, r.now, r.now)
	r.now = r.now.Add(time.Millisecond)
	r.reportListing("a", port.Listing{Boot: 2})
	is.Equal(len(r.plan(5*time.Second).Starts), 1)
}

// A worker's clock may run 2% slow: its runs are given up only after the lease has
// expired on such a clock.
func TestLeaseExpiresOnTheSlowestClock(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.reportListing("a", port.Listing{})
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	r.confirmStarts(out)
	run := out.Starts[0]
	w := run.Worker
	w.ExtendLease(r.now, testOptions.MaxLease)
	r.HandleNoResponse(w.Entry.ID, r.now.Add(time.Millisecond))
	lease := testOptions.MaxLease
	is.Equal(len(r.plan(lease).Starts), 0) // expired on an exact clock
	is.Equal(len(r.plan(lease/49).Starts), 0)
	is.Equal(len(r.plan(lease/100).Starts), 1)
}

// Listings that were requested before a run was confirmed do not count as missing
// it.
func TestListingsOlderThanAStartAreIgnored(t *testing.T) {
	is := is.New(t)
	r := newFixture(worker("a", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	asked := r.now
	r.now = r.now.Add(10 * time.Millisecond)
	r.confirmStarts(out)
	for range 2 * maxMissedListings {
		r.now = r.now.Add(time.Millisecond)
		r.HandleListing("a", port.Listing{ClockMS: r.now.UnixMilli(), Boot: 1}, asked, r.now)
	}
	is.Equal(len(r.plan(0).Starts), 0)
	for range maxMissedListings {
		r.now = r.now.Add(time.Millisecond)
		r.reportListing("a", port.Listing{})
	}
	is.Equal(len(r.plan(0).Starts), 1)
}

// A worker that has restarted knows no epoch and would accept a former owner:
// nothing starts there before it has been called under the current epoch.
func TestRestartedWorkerIsContactedBeforeItGetsWork(t *testing.T) {
	is := is.New(t)
	a := worker("a", 8000, 8000)
	r := newFixture(a)
	a.Boot = 2
	r.SetWorkers([]port.WorkerEntry{a}, r.now)
	is.True(!r.Worker("a").Contacted())
	r.Add(spec("j", small(1)), r.now, 0)
	is.Equal(len(r.plan(0).Starts), 0)
	r.reportListing("a", port.Listing{Boot: 2})
	is.Equal(len(r.plan(0).Starts), 1)
}

// A worker that has left the platform's list may continue its runs until its lease
// has expired.
func TestRunsOfUnlistedWorkerLastUntilLeaseExpiry(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", 1000, 8000), worker("b", 1000, 8000)
	r := newFixture(a)
	r.Add(spec("j", small(1)), r.now, 0)
	r.confirmStarts(r.plan(0))
	r.SetWorkers([]port.WorkerEntry{b}, r.now)
	r.reportListing("b", port.Listing{})
	is.Equal(len(r.plan(time.Second).Starts), 0)
	out := r.plan(testOptions.MaxLease + leaseSlack)
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
	r := newFixture(entries...)
	r.Add(spec("j", small(8)), r.now, 0)
	tasks := r.Job("j").occurrences[0].tasks[0]
	var longest time.Duration
	for attempt := 1; attempt <= 6; attempt++ {
		for n := range failing {
			w := r.Worker(entries[n].ID)
			r.start(tasks[n], w, attempt, r.now)
			run := tasks[n].Runs[len(tasks[n].Runs)-1]
			r.HandleStartResponse(run, 0, &port.UnansweredError{Op: "start"}, r.now, r.now)
			longest = max(longest, w.backoffUntil.Sub(r.now))
		}
		r.now = r.now.Add(time.Second)
	}
	return longest
}

func TestNetworkPathFaultDoesNotExtendBackoff(t *testing.T) {
	is := is.New(t)
	is.Equal(backoffAfterUnansweredStarts(1), unansweredBackoff<<maxUnansweredDoublings) // one worker is at fault
	is.True(backoffAfterUnansweredStarts(8) <= 2*unansweredBackoff)                      // no worker can be reached
}
