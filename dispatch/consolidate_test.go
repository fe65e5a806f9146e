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
	r := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000))
	for _, id := range []string{"red", "green"} {
		s := job.Step{
			Tasks: 2, Service: true, Image: "desk", TargetLatencyMS: 50, MaxUnavailable: maxUnavailable, MaxPerWorker: 2,
			Resources: job.Resources{MilliCPU: 3000, MemoryMB: 1000},
		}
		r.Add(spec(id, s), r.now, 0)
		for i, w := range []string{"a", "b"} {
			r.start(r.Job(id).occurrences[0].tasks[0][i], r.Worker(w), 1, r.now)
		}
	}
	r.Add(spec("crowd", job.Step{Tasks: 1, BestEffort: true, Image: "scan", Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}), r.now, 0)
	r.start(r.Job("crowd").occurrences[0].tasks[0][0], r.Worker("b"), 1, r.now)
	r.confirmStarts(r.TakeOutput())
	return r
}

// listAllRunning lists every run as running.
func (r *fixture) listAllRunning() {
	for id, w := range r.Workers() {
		var l port.Listing
		for _, run := range w.sortedRuns() {
			l.Running = append(l.Running, port.RunningTask{Task: run.Task.ID.String(), Attempt: run.Attempt, Percent: 100, Measurement: 10})
		}
		r.reportListing(id, l)
	}
}

func TestScatteredServicesAreConsolidated(t *testing.T) {
	is := is.New(t)
	r := newScatteredFixture(t, -1)
	number := map[string]int64{}
	for range 10 {
		r.listAllRunning()
		out := r.plan(minServiceStay)
		for _, run := range out.Stops {
			is.Equal(len(out.Stops), 1) // one move at a time
			id := run.Worker.Entry.ID
			number[id]++
			r.HandleStopResponse(run, nil, r.now, r.now)
			r.listEnd(run, number[id], port.EndStopped)
			moved := r.plan(refusalBackoff)
			is.Equal(len(moved.Starts), 1)
			is.True(moved.Starts[0].Worker != run.Worker)
			r.confirmStarts(moved)
		}
	}
	free := 0
	for _, w := range r.Workers() {
		if len(r.colocationOf(w).services) == 0 {
			free++
		}
	}
	is.Equal(free, 1)
}

func TestServicesThatMayNotBeDisruptedStay(t *testing.T) {
	is := is.New(t)
	r := newScatteredFixture(t, 0)
	r.listAllRunning()
	is.Equal(len(r.plan(minServiceStay).Stops), 0)
}

func TestServicesStayWithoutBestEffortWork(t *testing.T) {
	is := is.New(t)
	r := newScatteredFixture(t, -1)
	r.bestEffortStarted = false
	r.listAllRunning()
	is.Equal(len(r.plan(minServiceStay).Stops), 0)
}

func TestServicesStayWhileASiblingIsUnavailable(t *testing.T) {
	is := is.New(t)
	r := newScatteredFixture(t, -1)
	r.listAllRunning()
	for _, id := range []string{"red", "green"} {
		r.Job(id).occurrences[0].tasks[0][0].Runs[0].Progress = 40 // still starting
	}
	r.now = r.now.Add(time.Millisecond)
	is.Equal(len(r.plan(minServiceStay).Stops), 0)
}
