package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// listStill lists the runs of the worker a, which make no progress from one call to the next.
func (f *fixture) listStill() {
	const id, percent = "a", 10
	var l port.Listing
	for _, r := range f.Worker(id).sortedRuns() {
		l.Running = append(l.Running, port.RunningTask{Task: r.Task.ID.String(), Attempt: r.Attempt, Percent: percent})
	}
	f.reportListing(id, l)
}

// Guards against work that is stopped, and workers that get none, because a task made no
// progress while this owner had suspended it.
func TestTaskThatWasSuspendedDoesNotCountAsStalled(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	step := job.Step{Tasks: 1, BestEffort: true, Image: "scan", EstimateMS: 60_000, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}
	run := f.place("scan", step, "a")[0]
	f.listStill()
	run.desiredLimit = 0
	f.HandleThrottleResponse(run, run.Worker.Observe(f.now), 0, nil, f.now)
	for range 10 {
		f.now = f.now.Add(stallTimeout / 2)
		f.Worker("a").ExtendLease(f.now, testOptions.MaxLease)
		f.listStill()
	}
	run.desiredLimit = 100
	f.HandleThrottleResponse(run, run.Worker.Observe(f.now), 100, nil, f.now)
	for range 2 {
		f.now = f.now.Add(stallTimeout / 2)
		f.listStill()
		is.Equal(len(f.plan(0).Stops), 0)
	}
	is.True(f.Worker("a").schedulable(f.now))
	f.now = f.now.Add(stallTimeout)
	f.listStill()
	is.Equal(len(f.TakeOutput().Stops), 1) // now it is
}

// Guards against LOST: a worker got no interrupted service for 3 s because a task of another
// job had stalled there, while services that had ended left most of it free.
func TestStalledTaskDoesNotBarInterruptedServices(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	f.place("batch", batchStep(1, 2000, true), "a")
	task := f.place("service", serviceStep(1, 4000), "b")[0].Task
	f.listStill()
	f.now = f.now.Add(stallTimeout + time.Millisecond)
	f.listStill()
	out := f.TakeOutput()
	is.Equal(len(out.Stops), 1)
	is.Equal(out.Stops[0].StopReason(), StopStalled)
	f.endStops(out)
	f.lose()
	lost := f.now
	for len(task.Runs) == 0 && f.now.Sub(lost) < stallBackoff {
		f.confirmStarts(f.plan(50 * time.Millisecond))
	}
	if away := f.now.Sub(lost); away > evictAfter+100*time.Millisecond {
		t.Fatalf("the service was away for %v", away)
	}
}
