package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// newScatteredFixture returns a fixture with two services of two tasks, one task
// on each worker, and a best-effort task, which enables consolidation.
func newScatteredFixture(t *testing.T, maxUnavailable int) *fixture {
	t.Helper()
	f := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000))
	for _, id := range []string{"red", "green"} {
		s := job.Step{
			Tasks: 2, Service: true, Image: "desk", TargetLatencyMS: 50, MaxUnavailable: maxUnavailable, MaxPerWorker: 2,
			Resources: job.Resources{MilliCPU: 3000, MemoryMB: 1000},
		}
		f.Add(spec(id, s), f.now, 0)
		for i, w := range []string{"a", "b"} {
			f.start(f.Job(id).occurrences[0].tasks[0][i], f.Worker(w), 1, f.now)
		}
	}
	f.Add(spec("crowd", job.Step{Tasks: 1, BestEffort: true, Image: "scan", Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}), f.now, 0)
	f.start(f.Job("crowd").occurrences[0].tasks[0][0], f.Worker("b"), 1, f.now)
	f.confirmStarts(f.TakeOutput())
	return f
}

// listAllRunning lists every run as running.
func (f *fixture) listAllRunning() {
	for id, w := range f.Workers() {
		var l port.Listing
		for _, run := range w.sortedRuns() {
			l.Running = append(l.Running, port.RunningTask{Task: run.Task.ID.String(), Attempt: run.Attempt, Percent: 100, Measurement: 10})
		}
		f.reportListing(id, l)
	}
}

func TestScatteredServicesAreConsolidated(t *testing.T) {
	is := is.New(t)
	f := newScatteredFixture(t, -1)
	number := map[string]int64{}
	for range 10 {
		f.listAllRunning()
		out := f.plan(minServiceStay)
		for _, run := range out.Stops {
			is.Equal(len(out.Stops), 1) // one move at a time
			id := run.Worker.Entry.ID
			number[id]++
			f.HandleStopResponse(run, run.Worker.Observe(f.now), nil, f.now)
			f.listEnd(run, number[id], port.EndStopped)
			moved := f.plan(refusalBackoff)
			is.Equal(len(moved.Starts), 1)
			is.True(moved.Starts[0].Worker != run.Worker)
			f.confirmStarts(moved)
		}
	}
	free := 0
	for _, w := range f.Workers() {
		if len(f.colocationOf(w).services) == 0 {
			free++
		}
	}
	is.Equal(free, 1)
}

func TestServicesThatMayNotBeDisruptedStay(t *testing.T) {
	is := is.New(t)
	f := newScatteredFixture(t, 0)
	f.listAllRunning()
	is.Equal(len(f.plan(minServiceStay).Stops), 0)
}

func TestServicesStayWithoutBestEffortWork(t *testing.T) {
	is := is.New(t)
	f := newScatteredFixture(t, -1)
	f.bestEffortStarted = false
	f.listAllRunning()
	is.Equal(len(f.plan(minServiceStay).Stops), 0)
}

func TestServicesStayWhileASiblingIsUnavailable(t *testing.T) {
	is := is.New(t)
	f := newScatteredFixture(t, -1)
	f.listAllRunning()
	for _, id := range []string{"red", "green"} {
		f.Job(id).occurrences[0].tasks[0][0].Runs[0].Progress = 40 // still starting
	}
	f.now = f.now.Add(time.Millisecond)
	is.Equal(len(f.plan(minServiceStay).Stops), 0)
}
