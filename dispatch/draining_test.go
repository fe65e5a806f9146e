package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// drainTime is how long workers drain in the tests.
const drainTime = 3 * time.Second

// drain marks workers as draining, which leave after a time.
func (f *fixture) drain(remaining time.Duration, ids ...string) {
	draining := map[string]bool{}
	for _, id := range ids {
		draining[id] = true
	}
	for i := range f.entries {
		if draining[f.entries[i].ID] {
			f.entries[i].Draining, f.entries[i].Remaining = true, remaining
		}
	}
	f.SetWorkersReadAt(f.now)
	f.SetWorkers(f.entries, f.now)
}

// leave plays the time in which workers drain, and ends their runs when they leave. Each plan
// takes 50 ms, in which stops end and starts succeed. It returns the longest time for which any
// task of the runs had no run up to the end of the time to watch.
func (f *fixture) leave(runs []*Run, watch time.Duration) (away time.Duration) {
	left := f.now.Add(drainTime)
	since := map[*Task]time.Time{}
	for _, r := range runs {
		since[r.Task] = f.now
	}
	for until := f.now.Add(watch); f.now.Before(until); {
		for _, w := range f.Workers() {
			if w.contacted && w.Listed && (!w.Entry.Draining || f.now.Before(left)) {
				f.listWorking(w, nil, "")
				w.ExtendLease(f.now, testOptions.MaxLease)
			}
		}
		out := f.plan(50 * time.Millisecond)
		f.endStops(out)
		f.confirmStarts(out)
		if !f.now.Before(left) {
			f.removeDrained()
		}
		for _, r := range runs {
			if len(r.Task.Runs) > 0 {
				since[r.Task] = f.now
			}
			away = max(away, f.now.Sub(since[r.Task]))
		}
	}
	return away
}

// removeDrained takes the draining workers off the list, whose VMs are down.
func (f *fixture) removeDrained() {
	var stay []port.WorkerEntry
	for _, entry := range f.entries {
		if !entry.Draining {
			stay = append(stay, entry)
		}
	}
	for _, entry := range f.entries {
		if entry.Draining {
			f.SetWorkers(stay, f.now)
			f.HandleReplacement(f.Observe(entry.ID, f.now), f.now)
		}
	}
	f.entries = stay
}

// Guards against LOST: services of a draining worker were stopped at once, without a place
// elsewhere, although the worker went on for seconds in which room became free.
func TestServiceOfADrainingWorkerServesUntilItHasAPlace(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	service := f.place("service", serviceStep(1, 4000), "a")[0]
	other := f.place("other", serviceStep(2, 4000), "b", "b")
	f.drain(drainTime, "a")
	for range 20 {
		f.listAllRunning()
		is.Equal(len(f.plan(50*time.Millisecond).Stops), 0) // it would wait
	}
	f.listWorking(other[0].Worker, other[0], port.EndDone)
	f.Add(spec("backlog", batchStep(20, 2000, false)), f.now, 0)
	out := f.plan(50 * time.Millisecond)
	is.Equal(len(out.Stops), 1)
	is.Equal(out.Stops[0], service)
	is.Equal(service.StopReason(), StopDraining)
	is.Equal(len(out.Starts), 0) // the room on b is that of the service
	f.endStops(out)
	out = f.plan(50 * time.Millisecond)
	is.True(len(out.Starts) > 0)
	is.Equal(out.Starts[0].Task, service.Task)
}

// Guards against services that are lost with their worker, because they have no place elsewhere
// or because the list, which tells the time that is left, is old.
func TestServiceWithoutAPlaceIsStoppedBeforeItsWorkerLeaves(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 2000, 64000))
	f.place("service", serviceStep(1, 4000), "a")
	f.drain(drainTime, "a")
	f.listAllRunning()
	is.Equal(len(f.plan(drainTime-drainMargin-50*time.Millisecond).Stops), 0)
	f.listAllRunning()
	is.Equal(len(f.plan(50*time.Millisecond).Stops), 1)
}

// Guards against LOST: many workers drained together, their services were stopped in one plan,
// and waited 1.2 s and more for batch work to make room.
func TestRoomIsMadeBeforeServicesLeaveTheirWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000), worker("c", 16000, 64000), worker("d", 16000, 64000))
	var services []*Run
	for i := range 8 {
		services = append(services, f.place(fmt.Sprintf("service-%d", i), serviceStep(1, 4000), string(rune('a'+i/4)))...)
	}
	f.place("batch", batchStep(8, 4000, true), "c", "c", "c", "c", "d", "d", "d", "d")
	f.drain(drainTime, "a", "b")
	if away := f.leave(services, 10*time.Second); away > time.Second {
		t.Fatalf("a service was away for %v", away)
	}
	is.Equal(f.servicesOn("c")+f.servicesOn("d"), 8)
}

// Guards against LOST after a takeover: a service that this owner had seen running waited for
// the longest lease of another worker, on which it cannot run. Each worker that drained
// meanwhile left its services stopped, for 11.2 s in the report.
func TestServiceSeenRunningDoesNotWaitForASilentWorker(t *testing.T) {
	is := is.New(t)
	former := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000), worker("silent", 8000, 64000))
	run := former.place("service", serviceStep(1, 4000), "a")[0]
	former.place("other", serviceStep(1, 4000), "silent")

	f := &fixture{Engine: NewEngine(testOptions), now: former.now, entries: former.entries}
	f.SetQueues(former.queueList(), 1)
	f.SetWorkers(f.entries, f.now)
	for _, id := range []string{"service", "other"} {
		is.NoErr(f.Restore(f.Add(former.Job(id).Spec, f.now, 0), former.Job(id).Progress()))
	}
	f.ExpectInheritedRuns([]string{"a", "b", "silent"}, f.now)
	running := port.RunningTask{Task: run.Task.ID.String(), Attempt: run.Attempt, Percent: 100, Measurement: 10}
	f.reportListing("a", port.Listing{Running: []port.RunningTask{running}})
	f.reportListing("b", port.Listing{})
	is.Equal(f.Uncontacted(), 1)
	adopted := f.Worker("a").sortedRuns()[0]
	f.drain(drainTime, "a")
	away := f.leave([]*Run{adopted}, 6*time.Second)
	is.Equal(f.Uncontacted(), 1)
	if away > time.Second {
		t.Fatalf("the service was away for %v", away)
	}
	is.Equal(len(f.Job("other").occurrences[0].tasks[0][0].Runs), 0) // it may run on the silent worker
}

// Guards against LOST after a takeover: services that the owner could not start again were
// stopped as soon as their worker drained.
func TestServiceThatMayNotStartIsNotStoppedForADrain(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000), worker("silent", 8000, 64000))
	run := f.place("service", serviceStep(1, 4000), "a")[0]
	run.Task.inherited = true
	f.ExpectInheritedRuns([]string{"unlisted"}, f.now)
	f.drain(drainTime, "a")
	for f.now.Sub(f.takeoverAt) < handoverWindow-50*time.Millisecond {
		f.listAllRunning()
		is.Equal(len(f.plan(50*time.Millisecond).Stops), 0)
	}
	f.listAllRunning()
	is.Equal(len(f.plan(50*time.Millisecond).Stops), 1)
}

// queueList returns the queue settings.
func (f *fixture) queueList() []job.Queue {
	queues := make([]job.Queue, 0, len(f.queues))
	for _, q := range f.queues {
		queues = append(queues, q.Queue)
	}
	return queues
}

// anyAway returns a service step without a limit of unavailable tasks.
func anyAway(tasks int, milliCPU int64) job.Step {
	s := serviceStep(tasks, milliCPU)
	s.MaxUnavailable = -1
	return s
}

// Guards against LOST: an interrupted service waited, because capacity was reserved for one
// that still served on a draining worker.
func TestInterruptedServiceGoesBeforeOneThatStillServes(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 4000, 64000), worker("b", 4000, 64000), worker("c", 4000, 64000))
	serving := f.place("serving", anyAway(1, 4000), "a")[0]
	f.place("batch", batchStep(1, 4000, true), "b")
	interrupted := f.place("interrupted", anyAway(1, 4000), "c")[0]
	f.drain(20*time.Second, "a")
	f.listAllRunning()
	is.Equal(len(f.plan(50*time.Millisecond).Stops), 0)
	is.True(serving.Task.reserved != nil)
	f.entries = f.entries[:2]
	f.SetWorkers(f.entries, f.now)
	f.HandleReplacement(f.Observe("c", f.now), f.now)
	since := f.now
	for len(interrupted.Task.Runs) == 0 && f.now.Sub(since) < 10*time.Second {
		for _, id := range []string{"a", "b"} {
			f.listWorking(f.Worker(id), nil, "")
			f.Worker(id).ExtendLease(f.now, testOptions.MaxLease)
		}
		f.endStops(f.plan(50 * time.Millisecond))
	}
	if away := f.now.Sub(since); away > evictAfter+200*time.Millisecond {
		t.Fatalf("the service was away for %v", away)
	}
}

// Guards against LOST: the place of a service was given to new work while the service was
// being stopped, because it had been reserved for long.
func TestPlaceOfALeavingServiceIsKeptUntilItHasStopped(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	service := f.place("service", anyAway(1, 4000), "a")[0]
	batch := f.place("batch", batchStep(1, 8000, true), "b")[0]
	f.drain(20*time.Second, "a")
	step := func(d time.Duration) Output {
		for _, id := range []string{"a", "b"} {
			f.listWorking(f.Worker(id), nil, "")
			f.Worker(id).ExtendLease(f.now, testOptions.MaxLease)
		}
		return f.plan(d)
	}
	step(50 * time.Millisecond)
	is.True(service.Task.reserved != nil)
	step(reservationTTL - 50*time.Millisecond)
	f.listWorking(f.Worker("b"), batch, port.EndDone)
	out := f.plan(0) // the batch task has ended; the service is stopped
	is.Equal(len(out.Stops), 1)
	f.Add(spec("backlog", batchStep(4, 4000, false)), f.now, 0)
	started := step(100 * time.Millisecond).Starts // while the service stops
	is.Equal(len(started), 1)                      // beside the place
	f.confirmStarts(Output{Starts: started})
	f.endStops(out)
	starts := step(50 * time.Millisecond).Starts
	is.True(len(starts) > 0)
	is.Equal(starts[0].Task, service.Task)
}

// Guards against LOST: services of a draining worker that fit nowhere used up the searches of
// each plan, and those of another worker, which would have fitted, were not moved.
func TestServicesThatFitNowhereDoNotHoldUpOthersThatLeave(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 64000, 640000), worker("b", 8000, 64000), worker("c", 500, 64000))
	apart := anyAway(maxDrainSearches, 1000) // no result of a search is kept for such a step
	apart.MaxPerWorker = maxDrainSearches
	on := make([]string, maxDrainSearches)
	for i := range on {
		on[i] = "a"
	}
	f.place("apart", apart, on...)
	f.place("service", anyAway(1, 400), "b")
	f.drain(20*time.Second, "a", "b")
	stops := 0
	for range 20 {
		f.listAllRunning()
		stops += len(f.plan(50 * time.Millisecond).Stops)
	}
	is.Equal(stops, 1)
}

// Guards against LOST after a takeover: a member of a gang was stopped for a drain, and the
// gang could not start again until the worker of another member had answered.
func TestGangThatMayNotStartIsNotStoppedForADrain(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	gang := anyAway(2, 4000)
	gang.Gang = true
	j := f.Add(spec("gang", gang), f.now, 0)
	is.NoErr(f.Restore(j, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "a"}, {Index: 1, Attempt: 1, Worker: "silent"}}}))
	f.ExpectInheritedRuns([]string{"a", "b", "silent"}, f.now)
	f.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: "gang.0.0.0", Attempt: 1, Percent: 100, Measurement: 10}}})
	f.now = f.now.Add(handoverWindow)
	f.drain(5*time.Second, "a")
	for range 40 {
		f.listAllRunning()
		is.Equal(len(f.plan(50*time.Millisecond).Stops), 0)
	}
}
