package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// endStops answers stop requests and lists the ends of the runs.
func (f *fixture) endStops(out Output) {
	for _, r := range out.Stops {
		f.HandleStopResponse(r, r.Worker.Observe(f.now), nil, f.now)
		f.listWorking(r.Worker, r, port.EndStopped)
	}
}

// servicesOn returns the number of service tasks that run on a worker and are not stopped.
func (f *fixture) servicesOn(id string) int {
	n := 0
	for _, r := range f.Worker(id).sortedRuns() {
		if r.Task.Step.Service && !r.stopping {
			n++
		}
	}
	return n
}

// playMoves plans for a while, in which stops and starts take one plan of 50 ms, and returns
// the most service tasks that were stopped in 100 ms.
func (f *fixture) playMoves(d time.Duration) (most int) {
	var stopped []time.Time
	for until := f.now.Add(d); f.now.Before(until); {
		out := f.plan(50 * time.Millisecond)
		for range out.Stops {
			stopped = append(stopped, f.now)
		}
		f.confirmStarts(out)
		f.endStops(out)
		f.listAllRunning()
	}
	for i, at := range stopped {
		n := 0
		for _, other := range stopped[i:] {
			if other.Sub(at) < moveOutInterval {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against services that stay in a data centre under evacuation although others have
// room, against a storm of moves, and against a place that a backlog takes meanwhile.
func TestServicesMoveOutOfAnEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000))
	for i := range 4 {
		f.place(fmt.Sprintf("service-%d", i), serviceStep(1, 4000), "a")
	}
	f.setEvacuating("a")
	out := f.plan(0)
	is.Equal(len(out.Stops), 1)
	moved := out.Stops[0]
	is.Equal(moved.StopReason(), StopEvacuation)
	is.Equal(moved.Task.reserved.worker.Entry.ID, "b")
	f.Add(spec("backlog", batchStep(20, 4000, false)), f.now, 0)
	f.confirmStarts(f.plan(50 * time.Millisecond)) // takes what is left on b
	f.endStops(out)
	out = f.plan(refusalBackoff)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Task, moved.Task)
	is.Equal(out.Starts[0].Worker.Entry.ID, "b")
	f.confirmStarts(out)
	f.Cancel("backlog")
	for _, r := range f.TakeOutput().Stops {
		f.endStops(Output{Stops: []*Run{r}})
	}
	is.Equal(f.playMoves(time.Second), 1)
	is.Equal(f.servicesOn("a"), 0)
	is.Equal(f.servicesOn("b"), 4)
}

// Guards against AVAIL: more tasks of a step are taken down at a time than it tolerates, or
// any of one that tolerates none.
func TestMovesOutKeepToMaxUnavailable(t *testing.T) {
	for limit, want := range map[int]int{0: 0, 1: 1, 2: 2, -1: 4} {
		is := is.New(t)
		f := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000))
		step := serviceStep(4, 4000)
		step.MaxUnavailable = limit
		runs := f.place("service", step, "a", "a", "a", "a")
		f.setEvacuating("a")
		var stops []*Run
		for range 10 { // the stops are not answered
			f.listAllRunning()
			stops = append(stops, f.plan(moveOutInterval).Stops...)
		}
		is.Equal(len(stops), want)
		if limit != 1 {
			continue
		}
		f.endStops(Output{Stops: stops})
		out := f.plan(moveOutInterval)
		is.Equal(len(out.Starts), 1)
		is.Equal(len(out.Stops), 0)
		f.confirmStarts(out)
		is.Equal(len(f.plan(moveOutInterval).Stops), 0) // does not serve yet
		f.listAllRunning()
		is.Equal(len(f.plan(moveOutInterval).Stops), 1)
		is.Equal(len(runs), 4)
	}
}

// Guards against LOST: services are stopped that have no other place, or whose place depends
// on a list that is too old.
func TestServicesThatFitNowhereStay(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 8000, 64000))
	f.place("batch", batchStep(2, 3000, true), "b", "b")
	f.place("service", serviceStep(1, 4000), "a")
	f.setEvacuating("a")
	for range 10 {
		f.listWorking(f.Worker("a"), nil, "")
		f.listWorking(f.Worker("b"), nil, "")
		is.Equal(len(f.plan(moveOutInterval).Stops), 0)
	}
	f.entries = append(f.entries, worker("c", 8000, 64000))
	f.SetWorkers(f.entries, f.now)
	f.reportListing("c", port.Listing{})
	f.options.MaxEvacuation = 5 * time.Second
	f.SetWorkersReadAt(f.now.Add(-4 * time.Second))
	is.Equal(len(f.plan(moveOutInterval).Stops), 0)
	f.SetWorkersReadAt(f.now)
	is.Equal(len(f.plan(moveOutInterval).Stops), 1)
}

// Guards against LOST: a service that still runs takes the room that an interrupted one waits
// for, which needs more.
func TestInterruptedServicesGoBeforeMovesOut(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 8000, 64000), worker("lost", 8000, 64000))
	f.place("other", serviceStep(1, 2000), "b")
	f.place("small", serviceStep(1, 2000), "a")
	large := f.place("large", serviceStep(1, 8000), "lost")[0].Task
	f.setEvacuating("a")
	f.Worker("a").Entry.Evacuating = true
	f.lose()
	for range 10 {
		f.listAllRunning()
		is.Equal(len(f.plan(moveOutInterval).Stops), 0)
	}
	f.endStops(Output{Stops: f.Job("other").occurrences[0].tasks[0][0].Runs})
	f.Cancel("other")
	f.TakeOutput()
	out := f.plan(moveOutInterval)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Task, large)
}

// Guards against moves that go on when the evacuation has been withdrawn.
func TestMovesOutEndWithTheWithdrawal(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000))
	for i := range 4 {
		f.place(fmt.Sprintf("service-%d", i), serviceStep(1, 4000), "a")
	}
	f.setEvacuating("a")
	out := f.plan(0)
	is.Equal(len(out.Stops), 1)
	f.endStops(out)
	f.setEvacuating()
	f.playMoves(2 * time.Second)
	is.Equal(f.servicesOn("a")+f.servicesOn("b"), 4)
	is.True(f.servicesOn("a") >= 3)
}

// Guards against work that is stopped although it ends by itself or cannot be interrupted in
// part.
func TestOnlyServicesMoveOut(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000))
	f.place("batch", batchStep(1, 2000, true), "a")
	f.place("fill", job.Step{Tasks: 1, BestEffort: true, Checkpoints: true, EstimateMS: 60_000, Image: "scan", Resources: job.Resources{MilliCPU: 100, MemoryMB: 100}}, "a")
	gang := serviceStep(2, 2000)
	gang.Gang = true
	f.place("gang", gang, "a", "a")
	f.setEvacuating("a")
	for range 10 {
		f.listWorking(f.Worker("a"), nil, "")
		is.Equal(len(f.plan(moveOutInterval).Stops), 0)
	}
}

// Guards against services that fit nowhere and keep all others from being considered.
func TestServicesThatFitNowhereDoNotHoldUpOthers(t *testing.T) {
	is := is.New(t)
	entries := []port.WorkerEntry{worker("target", 4000, 64000)}
	var sources []string
	for i := range 5 {
		sources = append(sources, fmt.Sprintf("s%d", i))
		entries = append(entries, worker(sources[i], 96000, 64000))
	}
	f := newFixture(entries...)
	large := serviceStep(1, 5000)
	large.MaxPerWorker = 1 // each step is searched for separately
	for i := range 5 * maxMoveOutSearches {
		f.place(fmt.Sprintf("large-%02d", i), large, sources[i/maxMoveOutSearches])
	}
	f.place("small", serviceStep(1, 4000), "s3")
	f.setEvacuating(sources...)
	var stops []*Run
	for range 10 {
		f.listAllRunning()
		stops = append(stops, f.plan(moveOutInterval).Stops...)
	}
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Task.ID.Job, "small")
}

// Guards against LOST: after a takeover, a service is moved out of an evacuation while it
// may not be started again, because some worker has not been contacted.
func TestNoMoveOutUntilAnInheritedTaskMayStart(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000), worker("c", 8000, 64000))
	run := f.place("service", serviceStep(1, 4000), "a")[0]
	next, _ := f.takeOver(t, run.Task.Job, f.entries)
	next.ExpectInheritedRuns([]string{"a", "b", "c"}, next.now)
	next.setEvacuating("a")
	next.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: run.Task.name(), Attempt: run.Attempt, Percent: 100, Measurement: 10}}})
	next.reportListing("b", port.Listing{})
	is.Equal(next.Uncontacted(), 1)
	is.Equal(len(next.plan(moveOutInterval).Stops), 0)
	next.reportListing("c", port.Listing{})
	is.Equal(len(next.plan(moveOutInterval).Stops), 1)
}

// Guards against a service of a silent worker that is stopped: its end may be known only
// after the reserved place has been given up.
func TestNoMoveOutOfASilentWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	run := f.place("service", serviceStep(1, 4000), "a")[0]
	f.setEvacuating("a")
	f.Worker("a").unansweredSince = f.now
	out := f.plan(moveOutInterval)
	is.Equal(len(out.Stops), 0)
	f.list(run, 100)
	is.Equal(len(f.plan(moveOutInterval).Stops), 1)
}

// Guards against a service of a queue with an advisor that stays in a data centre under
// evacuation, because nothing requests tickets for other workers.
func TestServiceWithAdvisorMovesOut(t *testing.T) {
	is := is.New(t)
	f := newAdvisorFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	f.place("service", serviceStep(1, 4000), "a")
	f.setEvacuating("a")
	requests := f.plan(moveOutInterval).AdviceRequests
	is.Equal(len(requests), 1)
	is.Equal(requests[0].Workers, []string{"b"})
	f.HandleAdvice(requests[0], map[string]string{"b": "ticket"}, nil, f.now, f.now)
	is.Equal(len(f.plan(moveOutInterval).Stops), 1)
}
