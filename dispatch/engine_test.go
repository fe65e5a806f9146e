package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// rig is an engine with sound workers that have been heard of.
type rig struct {
	*Engine
	now  time.Time
	list []port.WorkerEntry
}

func newRig(workers ...port.WorkerEntry) *rig {
	r := &rig{Engine: NewEngine(testOptions), now: time.Unix(1000, 0), list: workers}
	r.SetQueues([]job.Queue{{Name: "q", Pool: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second}})
	r.SetWorkers(workers, r.now)
	for _, w := range workers {
		r.listed(w.ID, port.Listing{})
	}
	return r
}

// listed gives the engine a listing that was asked for and answered now.
func (r *rig) listed(id string, l port.Listing) {
	if l.ClockMS == 0 {
		l.ClockMS = r.now.UnixMilli()
	}
	if l.Boot == 0 {
		l.Boot = 1
	}
	r.HandleListing(id, l, r.now, r.now)
}

// plan lets time pass and returns what the engine orders.
func (r *rig) plan(after time.Duration) Output {
	r.now = r.now.Add(after)
	r.Plan(r.now)
	return r.TakeOutput()
}

// begin confirms start orders.
func (r *rig) begin(out Output) {
	for _, run := range out.Starts {
		r.HandleStartResponse(run, 0, nil, r.now, r.now)
	}
}

// end lists the end of a run.
func (r *rig) end(run *Run, number int64, reason port.EndReason) {
	r.listed(run.Worker.Entry.ID, port.Listing{Ended: []port.EndedTask{{
		Sequence: number, Task: run.Task.ID.String(), Attempt: run.Attempt, Reason: reason,
	}}})
}

func spec(id string, steps ...job.Step) job.Spec { return job.Spec{ID: id, Queue: "q", Steps: steps} }

func small(tasks int) job.Step {
	return job.Step{Tasks: tasks, EstimateMS: 500, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}
}

func TestStepsRunInOrder(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("w", 8000, 8000))
	second := small(1)
	second.After = []int{0}
	r.Add(spec("j", small(2), second), r.now, 0)
	out := r.plan(0)
	is.Equal(len(out.Starts), 2)
	r.begin(out)
	r.end(out.Starts[0], 1, port.EndDone)
	is.Equal(len(r.plan(0).Starts), 0) // one of the first step still runs
	r.end(out.Starts[1], 2, port.EndDone)
	next := r.plan(0)
	is.Equal(len(next.Starts), 1)
	is.Equal(next.Starts[0].Task.ID.Step, 1)
}

func TestNoWorkerIsOverItsCapacity(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("w", 3500, 8000))
	r.Add(spec("j", small(5)), r.now, 0)
	out := r.plan(0)
	is.Equal(len(out.Starts), 3)
	r.begin(out)
	r.HandleStopResponse(out.Starts[0], nil, r.now, r.now)
	is.Equal(len(r.plan(time.Second).Starts), 0) // what is being stopped still counts
}

func TestConstraints(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", 8000, 8000), worker("b", 8000, 8000)
	b.Labels, b.Rack = []string{"fast", "r2"}, "r2"
	r := newRig(a, b)
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

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 2000, 8000), worker("b", 2000, 8000))
	gang := small(5)
	gang.Gang = true
	r.Add(spec("wide", gang), r.now, 0)
	is.Equal(len(r.plan(0).Starts), 0)
	gang.Tasks = 4
	r.Add(spec("fits", gang), r.now, 0)
	out := r.plan(0)
	is.Equal(len(out.Starts), 4)
	r.begin(out)
	r.end(out.Starts[0], 1, port.EndFailed)
	stopped := r.plan(0)
	is.Equal(len(stopped.Stops), 3)  // the others work in vain
	is.Equal(len(stopped.Starts), 0) // and must have ended first
	number := map[string]int64{out.Starts[0].Worker.Entry.ID: 1}
	for _, run := range stopped.Stops {
		id := run.Worker.Entry.ID
		number[id]++
		r.end(run, number[id], port.EndGangBroken)
	}
	again := r.plan(time.Second)
	is.Equal(len(again.Starts), 4)
	for _, run := range again.Starts {
		is.Equal(run.Attempt, 2)
	}
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000), worker("b", 8000, 8000), worker("c", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	places := map[string]bool{}
	for attempt := 1; attempt <= 3; attempt++ {
		out := r.plan(10 * time.Second)
		is.Equal(len(out.Starts), 1)
		is.Equal(out.Starts[0].Attempt, attempt)
		places[out.Starts[0].Worker.Entry.ID] = true
		r.begin(out)
		r.end(out.Starts[0], 1, port.EndFailed)
		r.end(out.Starts[0], 1, port.EndFailed) // listed again until acknowledged
	}
	is.Equal(len(places), 3) // a worker's fault is told from the task's
	out := r.TakeOutput()
	is.Equal(len(out.Finished), 1)
	is.Equal(out.Finished[0].State, job.Failed)
}

func TestUnansweredStartIsNotRepeatedWhileItMayRun(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	run := out.Starts[0]
	r.HandleStartResponse(run, 0, &port.UnansweredError{Op: "start"}, r.now, r.now)
	is.Equal(len(r.plan(100*time.Millisecond).Starts), 0)
	r.listed(run.Worker.Entry.ID, port.Listing{}) // lacks it, but the order may be on its way
	is.Equal(len(r.plan(100*time.Millisecond).Starts), 0)
	r.now = r.now.Add(testOptions.StartWindow)
	r.listed(run.Worker.Entry.ID, port.Listing{}) // past the order's time
	is.Equal(len(r.plan(0).Starts), 1)
}

func TestStopEndsTheDoubtOfAnUnansweredStart(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	run := r.plan(0).Starts[0]
	r.HandleStartResponse(run, 0, &port.UnansweredError{Op: "start"}, r.now, r.now)
	is.Equal(len(r.plan(0).Stops), 1)
	r.HandleStopResponse(run, nil, r.now, r.now)
	r.now = r.now.Add(10 * time.Millisecond)
	r.listed(run.Worker.Entry.ID, port.Listing{})
	is.Equal(len(r.plan(0).Starts), 1)
}

func TestSilentWorkersRunsAreLostWhenTheLeaseIsOver(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	r.begin(out)
	w := out.Starts[0].Worker
	w.ExtendLease(r.now, 4*time.Second)
	r.SetWorkers([]port.WorkerEntry{worker("a", 8000, 8000), worker("b", 8000, 8000)}, r.now)
	r.listed("b", port.Listing{})
	r.HandleNoResponse("a", r.now.Add(time.Millisecond))
	is.Equal(len(r.plan(5*time.Second).Starts), 0) // a former owner may have granted the longest lease
	r.listed("b", port.Listing{})
	is.Equal(len(r.plan(1500*time.Millisecond).Starts), 1)
}

func TestRebornWorkerHasLostItsRuns(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000))
	r.Add(spec("j", small(2)), r.now, 0)
	out := r.plan(0)
	r.begin(out)
	first := out.Starts[0]
	r.now = r.now.Add(10 * time.Millisecond)
	r.listed("a", port.Listing{Running: []port.RunningTask{{Task: first.Task.ID.String(), Attempt: 1}}})
	r.now = r.now.Add(10 * time.Millisecond)
	// The second run was confirmed, but not listed: the new life may have it.
	r.listed("a", port.Listing{Boot: 2, ClockMS: 5, Running: []port.RunningTask{{Task: out.Starts[1].Task.ID.String(), Attempt: 1}}})
	again := r.plan(0)
	is.Equal(len(again.Starts), 1)
	is.Equal(again.Starts[0].Task, first.Task)
}

func TestNextOwnerWaitsForSilentWorkers(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000))
	j := r.Add(spec("j", small(1)), r.now, 0)
	is.NoErr(r.Restore(j, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "gone"}}}))
	r.ExpectInheritedRuns([]string{"a", "gone"}, r.now)
	is.Equal(len(r.plan(time.Second).Starts), 0)
	fresh := r.Add(spec("fresh", small(1)), r.now.Add(handoverWindow), 0)
	out := r.plan(handoverWindow)
	is.Equal(len(out.Starts), 1) // no former owner can have been told of it
	is.Equal(out.Starts[0].Task.Job, fresh)
	r.listed("a", port.Listing{})
	out = r.plan(7 * time.Second)
	is.Equal(len(out.Starts), 1)
	is.True(out.Starts[0].Attempt > 2) // above what a former owner may have given
}

func TestRunOfUnknownJobIsAdopted(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.listed("a", port.Listing{Running: []port.RunningTask{{Task: "j.0.0.0", Attempt: 1}}})
	is.Equal(len(r.plan(0).OrphanRuns), 0) // its job may not have been read yet
	r.Add(spec("j", small(1)), r.now, 0)
	is.Equal(len(r.plan(0).Starts), 0) // it runs already
	is.Equal(r.Worker("a").RunCount(), 1)
}

func TestRunOfUnknownJobIsStoppedInTheEnd(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000))
	entry := []port.RunningTask{{Task: "j.0.0.0", Attempt: 1}}
	r.listed("a", port.Listing{Running: entry})
	r.now = r.now.Add(strayPatience + time.Millisecond)
	r.listed("a", port.Listing{Running: entry})
	is.Equal(len(r.plan(0).OrphanRuns), 1)
}

func TestEndOfUnknownJobIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000))
	r.listed("a", port.Listing{Ended: []port.EndedTask{
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

func TestEndedJobIsNotBegunAnew(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	is.True(r.Cancel("j"))
	is.True(r.Add(spec("j", small(1)), r.now, 0) == nil)
	r.MarkEnded("earlier", r.now)
	is.True(r.Add(spec("earlier", small(1)), r.now, 0) == nil)
	is.Equal(len(r.plan(0).Starts), 0)
}

func TestHangingTaskIsMoved(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	r.begin(out)
	run := out.Starts[0]
	for range 4 {
		r.now = r.now.Add(600 * time.Millisecond)
		r.listed(run.Worker.Entry.ID, port.Listing{Running: []port.RunningTask{{Task: run.Task.ID.String(), Attempt: 1, Percent: 20}}})
	}
	is.Equal(len(r.TakeOutput().Stops), 1)
	r.end(run, 1, port.EndStopped)
	again := r.plan(0)
	is.Equal(len(again.Starts), 1)
	is.True(again.Starts[0].Worker != run.Worker) // the worker rests
}

func TestWorkerThatFailsAllRests(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 2000, 8000))
	r.Add(spec("j", small(2)), r.now, 0)
	out := r.plan(0)
	r.begin(out)
	r.end(out.Starts[0], 1, port.EndFailed)
	r.end(out.Starts[1], 2, port.EndFailed)
	is.Equal(len(r.plan(time.Second).Starts), 0)
	is.Equal(len(r.plan(sickPause).Starts), 2)
}

func TestServicesMoveOffDrainingWorkersWithinTheirBound(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", 8000, 8000), worker("b", 8000, 8000)
	r := newRig(a)
	service := small(3)
	service.Service, service.MaxUnavailable = true, 1
	r.Add(spec("j", service), r.now, 0)
	out := r.plan(serviceGather)
	r.begin(out)
	var running []port.RunningTask
	for _, run := range out.Starts {
		running = append(running, port.RunningTask{Task: run.Task.ID.String(), Attempt: 1, Percent: 100})
	}
	r.listed("a", port.Listing{Running: running})
	a.Draining, a.Remaining = true, 5*time.Second
	r.SetWorkers([]port.WorkerEntry{a, b}, r.now)
	r.listed("b", port.Listing{})
	is.Equal(len(r.plan(0).Stops), 1)
	is.Equal(len(r.plan(time.Second).Stops), 0) // the first is still away
}

// A run of an unknown job occupies its worker until it is no longer listed, and
// not all workers refuse what does not fit.
func TestNothingStartsBesideARunOfUnknownSize(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 2000, 8000))
	r.listed("a", port.Listing{Running: []port.RunningTask{{Task: "unknown.0.0.0", Attempt: 1}}})
	r.Add(spec("j", small(1)), r.now, 0)
	is.Equal(len(r.plan(0).Starts), 0)
	r.listed("a", port.Listing{})
	is.Equal(len(r.plan(0).Starts), 1)
}

// A start order was on its way when its worker started again, and the stop order
// that rules it out is lost: the stop is repeated, or the task would wait for
// ever.
func TestStopThatRulesAStartOutIsRepeated(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	run := r.plan(0).Starts[0]
	lost := &port.UnansweredError{Op: "call"}
	r.listed("a", port.Listing{Boot: 2})
	is.Equal(len(r.TakeOutput().Stops), 1)
	r.HandleStartResponse(run, 0, lost, r.now, r.now)
	r.now = r.now.Add(time.Second)
	r.HandleStopResponse(run, lost, r.now, r.now)
	r.now = r.now.Add(time.Second)
	r.listed("a", port.Listing{Boot: 2})
	is.Equal(len(r.TakeOutput().Stops), 1)
	r.HandleStopResponse(run, nil, r.now, r.now)
	r.now = r.now.Add(time.Millisecond)
	r.listed("a", port.Listing{Boot: 2})
	is.Equal(len(r.plan(5*time.Second).Starts), 1)
}

// A worker's clock may run 2% slow: its tasks are given up only when the lease
// is over on such a clock.
func TestLeaseIsOverOnTheSlowestClock(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000), worker("b", 8000, 8000))
	r.listed("a", port.Listing{})
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	r.begin(out)
	run := out.Starts[0]
	w := run.Worker
	w.ExtendLease(r.now, testOptions.MaxLease)
	r.HandleNoResponse(w.Entry.ID, r.now.Add(time.Millisecond))
	lease := testOptions.MaxLease
	is.Equal(len(r.plan(lease).Starts), 0) // over on a clock without fault
	is.Equal(len(r.plan(lease/49).Starts), 0)
	is.Equal(len(r.plan(lease/100).Starts), 1)
}

// Listings that were asked for before a run was confirmed do not count against
// it.
func TestListingsOlderThanAStartAreNotBelieved(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 8000, 8000))
	r.Add(spec("j", small(1)), r.now, 0)
	out := r.plan(0)
	asked := r.now
	r.now = r.now.Add(10 * time.Millisecond)
	r.begin(out)
	for range 2 * missingListings {
		r.now = r.now.Add(time.Millisecond)
		r.HandleListing("a", port.Listing{ClockMS: r.now.UnixMilli(), Boot: 1}, asked, r.now)
	}
	is.Equal(len(r.plan(0).Starts), 0)
	for range missingListings {
		r.now = r.now.Add(time.Millisecond)
		r.listed("a", port.Listing{})
	}
	is.Equal(len(r.plan(0).Starts), 1)
}

// A worker that has started again knows no epoch and would obey a former owner:
// nothing starts there before it has been called under ours.
func TestRebornWorkerIsCalledBeforeItGetsWork(t *testing.T) {
	is := is.New(t)
	a := worker("a", 8000, 8000)
	r := newRig(a)
	a.Boot = 2
	r.SetWorkers([]port.WorkerEntry{a}, r.now)
	is.True(!r.Worker("a").Contacted())
	r.Add(spec("j", small(1)), r.now, 0)
	is.Equal(len(r.plan(0).Starts), 0)
	r.listed("a", port.Listing{Boot: 2})
	is.Equal(len(r.plan(0).Starts), 1)
}

// A worker that has left the list may still run what it was given, until its
// lease is over.
func TestTasksOfAWorkerThatLeftTheListAreWaitedFor(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", 1000, 8000), worker("b", 1000, 8000)
	r := newRig(a)
	r.Add(spec("j", small(1)), r.now, 0)
	r.begin(r.plan(0))
	r.SetWorkers([]port.WorkerEntry{b}, r.now)
	r.listed("b", port.Listing{})
	is.Equal(len(r.plan(time.Second).Starts), 0)
	out := r.plan(testOptions.MaxLease + leaseSlack)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Worker.Entry.ID, "b")
}

// pauseAfterLostStarts lets the start orders on some of eight workers go without
// a response, again and again, and returns the longest pause of one of them.
func pauseAfterLostStarts(lost int) time.Duration {
	var entries []port.WorkerEntry
	for n := range 8 {
		entries = append(entries, worker(string(rune('a'+n)), 8000, 8000))
	}
	r := newRig(entries...)
	r.Add(spec("j", small(8)), r.now, 0)
	tasks := r.Job("j").occurrences[0].tasks[0]
	var longest time.Duration
	for attempt := 1; attempt <= 6; attempt++ {
		for n := range lost {
			w := r.Worker(entries[n].ID)
			r.start(tasks[n], w, attempt, r.now)
			run := tasks[n].Runs[len(tasks[n].Runs)-1]
			r.HandleStartResponse(run, 0, &port.UnansweredError{Op: "start"}, r.now, r.now)
			longest = max(longest, w.refusedUntil.Sub(r.now))
		}
		r.now = r.now.Add(time.Second)
	}
	return longest
}

func TestWorkersAreNotAvoidedForAFaultOfThePath(t *testing.T) {
	is := is.New(t)
	is.Equal(pauseAfterLostStarts(1), lostPause<<lostDoublings) // one is sick
	is.True(pauseAfterLostStarts(8) <= 2*lostPause)             // all are out of reach
}
