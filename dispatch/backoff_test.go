package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
)

// failOn lets tasks of other jobs fail on a worker until its backoff is the longest.
func (f *fixture) failOn(id string) {
	for i := range failureThreshold + maxFailureDoublings {
		name := fmt.Sprintf("bad-%s-%02d", id, i)
		f.listWorking(f.Worker(id), f.place(name, batchStep(1, 4000, false), id)[0], port.EndFailed)
		f.Cancel(name)
	}
	f.TakeOutput()
}

// Guards against services that fail again and again on a broken worker, while batch work
// keeps the healthy ones.
func TestWorkerThatFailsTasksIsTheLastChoice(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("b", 8000, 64000), worker("c", 8000, 64000), worker("a", 8000, 64000))
	f.place("batch", batchStep(2, 4000, true), "c", "c")
	task := f.place("service", serviceStep(1, 4000), "a")[0].Task
	f.failOn("b")
	f.lose()
	f.returnsInTime(t, task)
	is.Equal(task.Runs[0].Worker.Entry.ID, "c")
}

// Guards against other work that never starts again on a worker, because a service that
// always fails is started there in each backoff and extends it.
func TestServiceThatAlwaysFailsDoesNotExtendTheBackoff(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	service := f.place("service", serviceStep(1, 4000), "a")[0].Task
	f.failOn("a")
	longest := failureBackoff << maxFailureDoublings
	f.Add(spec("batch", batchStep(1, 4000, false)), f.now, 0)
	batch := f.Job("batch").occurrences[0].tasks[0][0]
	for began := f.now; len(batch.Runs) == 0 && f.now.Sub(began) < 2*longest; {
		var failed *Run
		if len(service.Runs) > 0 {
			failed = service.Runs[0]
		}
		f.listWorking(f.Worker("a"), failed, port.EndFailed)
		f.confirmStarts(f.plan(50 * time.Millisecond))
	}
	is.Equal(len(batch.Runs), 1)
}

// Guards against starts on workers that are known not to accept them.
func TestRefusalsBarInterruptedServices(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	task := f.place("service", serviceStep(1, 4000), "a")[0].Task
	f.failOn("a")
	f.listWorking(f.Worker("a"), task.Runs[0], port.EndFailed)
	backoffUntil := f.Worker("a").backoffUntil
	var run *Run
	for run == nil {
		if out := f.plan(50 * time.Millisecond); len(out.Starts) > 0 {
			run = out.Starts[0]
		}
	}
	f.HandleStartResponse(run, run.Worker.Observe(f.now), 0, &port.RefusedError{Reason: port.RefusedCapacity}, f.now)
	is.Equal(f.Worker("a").backoffUntil, backoffUntil) // not shortened
	is.Equal(len(f.plan(capacityBackoff/2).Starts), 0)
	is.Equal(len(f.plan(capacityBackoff).Starts), 1)
}

// Guards against starts on a worker that has answered nothing since a lost start request.
func TestSilentWorkersAreBarredFromInterruptedServices(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	task := f.place("service", serviceStep(1, 4000), "a")[0].Task
	f.listEnd(task.Runs[0], 1, port.EndFailed)
	run := f.plan(50 * time.Millisecond).Starts[0]
	run.Worker.unansweredStarts = maxUnansweredDoublings
	f.HandleStartResponse(run, run.Worker.Observe(f.now.Add(time.Millisecond)), 0, &port.UnansweredError{Op: "start"}, f.now.Add(time.Millisecond))
	run.Worker.detach(run)
	f.Worker("a").ExtendLease(f.now, time.Minute)
	for range 100 {
		is.Equal(len(f.plan(50*time.Millisecond).Starts), 0)
	}
	f.reportListing("a", port.Listing{})
	is.Equal(len(f.plan(50*time.Millisecond).Starts), 1)
}
