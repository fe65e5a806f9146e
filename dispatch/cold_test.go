package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// newColdFixture returns a fixture where evacuations are in force.
func newColdFixture(workers ...port.WorkerEntry) *fixture {
	f := newFixture(workers...)
	f.options.MaxEvacuation = 5 * time.Second
	f.listCold(nil)
	return f
}

// listCold lists the workers, some of which remain cold for a time.
func (f *fixture) listCold(cold map[string]time.Duration) {
	f.entries = slices.Clone(f.entries)
	for i := range f.entries {
		f.entries[i].WarmUp = cold[f.entries[i].ID]
	}
	f.SetWorkersReadAt(f.now)
	f.SetWorkers(f.entries, f.now)
}

// timed returns a step of one task with an estimate.
func timed(estimate time.Duration) job.Step {
	return job.Step{Tasks: 1, EstimateMS: estimate.Milliseconds(), Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}
}

// startedOn returns the workers of the starts.
func startedOn(out Output) []string {
	ids := []string{}
	for _, r := range out.Starts {
		ids = append(ids, r.Worker.Entry.ID)
	}
	return ids
}

// Guards against a worker that is nearly warm and stays unused, and against tasks that lose
// seconds on a cold one while a warm one is free.
func TestColdWorkerIsRatedByTheTimeThatIsLost(t *testing.T) {
	is := is.New(t)
	choose := func(bound, cold, estimate time.Duration) string {
		f := newFixture(worker("cold", 2000, 64000), worker("warm", 64000, 64000))
		f.options.MaxEvacuation = bound
		f.listCold(map[string]time.Duration{"cold": cold})
		f.Add(spec("j", timed(estimate)), f.now, 0)
		return startedOn(f.plan(0))[0]
	}
	const inForce = 5 * time.Second
	is.Equal(choose(inForce, 0, 2*time.Second), "cold") // the better fit
	is.Equal(choose(inForce, 100*time.Millisecond, 2*time.Second), "cold")
	is.Equal(choose(inForce, 10*time.Second, 2*time.Second), "warm")
	is.Equal(choose(inForce, 10*time.Second, 100*time.Millisecond), "cold") // a short task loses little
	is.Equal(choose(0, 100*time.Millisecond, 2*time.Second), "warm")        // as before
	is.Equal(choose(0, 10*time.Second, 100*time.Millisecond), "warm")
}

// Guards against a cold time that does not pass between two lists, or that lasts after the
// directory shows the worker as warm.
func TestColdTimePasses(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(worker("a", 2000, 64000))
	f.listCold(map[string]time.Duration{"a": 4 * time.Second})
	a, task := f.Worker("a"), f.Add(spec("j", timed(time.Minute)), f.now, 0).occurrences[0].tasks[0][0]
	is.Equal(coldLoss(task, a, f.now), 2*time.Second)
	is.Equal(coldLoss(task, a, f.now.Add(3*time.Second)), 500*time.Millisecond)
	is.Equal(coldLoss(task, a, f.now.Add(5*time.Second)), time.Duration(0))
	f.now = f.now.Add(time.Second)
	f.listCold(nil)
	is.Equal(coldLoss(task, a, f.now), time.Duration(0))
}

// fillWarm returns a fixture with a full warm worker, whose run ends after a time, and a cold
// one.
func fillWarm(left time.Duration) (f *fixture, running *Run) {
	f = newColdFixture(worker("cold", 4000, 64000), worker("warm", 1000, 64000))
	running = f.place("running", timed(left), "warm")[0]
	f.reportListing("warm", port.Listing{Running: []port.RunningTask{{Task: running.Task.ID.String(), Attempt: 1}}})
	f.listCold(map[string]time.Duration{"cold": 20 * time.Second})
	return f, running
}

// Guards against tasks that start on a cold worker although a warm one is free sooner than
// they would be done there, and against tasks that wait although it is not.
func TestTaskWaitsForAWarmWorker(t *testing.T) {
	is := is.New(t)
	f, running := fillWarm(300 * time.Millisecond)
	f.Add(spec("j", timed(2*time.Second)), f.now, 0)
	is.Equal(startedOn(f.plan(0)), []string{})
	f.now = f.now.Add(300 * time.Millisecond)
	f.listEnd(running, 1, port.EndDone)
	is.Equal(startedOn(f.plan(0)), []string{"warm"})

	f, _ = fillWarm(3 * time.Second)
	f.Add(spec("j", timed(2*time.Second)), f.now, 0)
	is.Equal(startedOn(f.plan(0)), []string{"cold"})

	f, _ = fillWarm(300 * time.Millisecond)
	f.options.MaxEvacuation = 0
	f.Add(spec("j", timed(2*time.Second)), f.now, 0)
	is.Equal(startedOn(f.plan(0)), []string{"cold"}) // as before
}

// Guards against many tasks that wait for the same room.
func TestExpectedRoomIsClaimedOnce(t *testing.T) {
	is := is.New(t)
	f, _ := fillWarm(300 * time.Millisecond)
	for i := range 3 {
		f.Add(spec(fmt.Sprintf("j%d", i), timed(2*time.Second)), f.now, 0)
	}
	is.Equal(startedOn(f.plan(0)), []string{"cold", "cold"})
}

// Guards against a task that waits for a run that takes ever longer than expected.
func TestWaitForAWarmWorkerIsBounded(t *testing.T) {
	is := is.New(t)
	f, running := fillWarm(300 * time.Millisecond)
	f.Add(spec("j", timed(2*time.Second)), f.now, 0)
	waited := time.Duration(0)
	for ; len(f.plan(0).Starts) == 0; waited += 100 * time.Millisecond {
		f.now = f.now.Add(100 * time.Millisecond)
		f.reportListing("warm", port.Listing{Running: []port.RunningTask{{Task: running.Task.ID.String(), Attempt: 1, Percent: min(99, int(waited/(20*time.Millisecond)))}}})
		f.listCold(map[string]time.Duration{"cold": 20 * time.Second})
		is.True(waited < 5*time.Second)
	}
	is.Equal(waited, 2*time.Second)
}

// Guards against LOST: services wait for a warm worker although they run on.
func TestServicesDoNotWaitForAWarmWorker(t *testing.T) {
	is := is.New(t)
	f, _ := fillWarm(300 * time.Millisecond)
	f.Add(spec("service", serviceStep(1, 1000)), f.now, 0)
	is.Equal(startedOn(f.plan(serviceBatchWindow)), []string{"cold"})
}

// Guards against a worker that is avoided, and whose tasks are moved away, after it has
// become warm, because it was slow before; and against runs that move to a cold worker.
func TestColdWorkerIsNotMarkedSlow(t *testing.T) {
	for _, cold := range []time.Duration{0, time.Minute} {
		is := is.New(t)
		f := newColdFixture(worker("a", 4000, 8000), worker("b", 4000, 8000), worker("c", 4000, 8000))
		step := job.Step{Tasks: 8, Checkpoints: true, EstimateMS: 60000, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}
		f.place("j", step, "a", "b", "a", "b", "a", "b", "a", "b")
		slow := false
		for second := 1; second < 10; second++ {
			f.now = f.now.Add(time.Second)
			f.listCold(map[string]time.Duration{"b": cold})
			for id, percent := range map[string]int{"a": 5, "b": 1} {
				var l port.Listing
				for _, run := range f.Worker(id).sortedRuns() {
					l.Running = append(l.Running, port.RunningTask{Task: run.Task.ID.String(), Attempt: 1, Percent: second * percent})
				}
				f.reportListing(id, l)
			}
			slow = slow || f.isSlow(f.Worker("b"), f.now)
		}
		is.Equal(slow, cold == 0)
		run := f.Worker("a").sortedRuns()[0]
		is.True(f.hasFasterWorker(run, f.now))
		f.listCold(map[string]time.Duration{"c": time.Minute})
		f.Worker("b").bar(f.now.Add(time.Minute))
		is.True(!f.hasFasterWorker(run, f.now))
	}
}

// Guards against a copy that takes the room on a warm worker for which another task waits.
func TestNoCopyWhileATaskWaitsForAWarmWorker(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.options.MaxEvacuation = 5 * time.Second
	f.entries = append(f.entries, worker("cold", 4000, 64000), worker("warm", 2000, 64000))
	f.listCold(map[string]time.Duration{"cold": 20 * time.Second})
	f.reportListing("cold", port.Listing{})
	f.reportListing("warm", port.Listing{})
	for i, entry := range f.entries[:7] {
		if entry.ID != f.straggler.Worker.Entry.ID {
			f.place(fmt.Sprintf("fill%d", i), timed(time.Hour), entry.ID)
		}
	}
	f.list(f.place("running", timed(300*time.Millisecond), "warm")[0], 10)
	f.list(f.straggler, 5)
	waiting := timed(5 * time.Second)
	waiting.Resources.MilliCPU = 2000
	f.Add(spec("waiting", waiting), f.now, 0)
	is.Equal(startedOn(f.plan(copyInterval)), []string{})
	f.Cancel("waiting")
	is.Equal(startedOn(f.plan(copyInterval)), []string{"warm"}) // the copy
}

// newColdCell returns a cell of which half of the workers are cold and free, and the others
// warm and full, with a backlog of tasks of as many jobs.
func newColdCell(workers, backlog int, cold time.Duration) *fixture {
	var entries []port.WorkerEntry
	for i := range workers {
		entries = append(entries, worker(fmt.Sprintf("w%04d", i), 16000, 64000))
	}
	f := newColdFixture(entries[:workers/2]...)
	f.Add(spec("fill", step(workers/2*16, 1000, 1000)), f.now, 0)
	f.confirmStarts(f.plan(0))
	f.entries = entries
	f.SetWorkersReadAt(f.now)
	f.SetWorkers(entries, f.now)
	left := map[string]time.Duration{}
	for _, e := range entries[workers/2:] {
		f.reportListing(e.ID, port.Listing{})
		left[e.ID] = cold
	}
	f.listCold(left)
	for i := range backlog / 10 {
		f.Add(spec(fmt.Sprintf("b%04d", i), step(10, 1000, 4000)), f.now, 0)
	}
	return f
}

// Guards against plans whose cost grows with the backlog: each task that waits for a warm
// worker is searched for in every plan.
func TestFewTasksWaitForWarmWorkers(t *testing.T) {
	is := is.New(t)
	f := newColdCell(40, 200, 20*time.Second)
	is.Equal(len(f.plan(0).Starts), 200-maxWarmWaits)
	is.Equal(len(f.plan(0).Starts), 0)
}
