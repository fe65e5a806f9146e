package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// serviceStep returns a step of service tasks.
func serviceStep(tasks int, milliCPU int64) job.Step {
	return job.Step{
		Tasks: tasks, Service: true, Image: "desk", TargetLatencyMS: 50, MaxUnavailable: 1,
		Resources: job.Resources{MilliCPU: milliCPU, MemoryMB: 1000},
	}
}

// batchStep returns a step of tasks that count against the capacity and end after the
// service's bound.
func batchStep(tasks int, milliCPU int64, checkpoints bool) job.Step {
	return job.Step{
		Tasks: tasks, EstimateMS: 60_000, Checkpoints: checkpoints,
		Resources: job.Resources{MilliCPU: milliCPU, MemoryMB: 1000},
	}
}

// startService starts the tasks of the job "service", which must be the only one that
// waits, and confirms the starts.
func (f *fixture) startService(t *testing.T) []*Run {
	t.Helper()
	out := f.plan(serviceBatchWindow)
	f.confirmStarts(out)
	for _, r := range out.Starts {
		if r.Task.ID.Job != "service" {
			t.Fatalf("started %s in place of the service", r.Task.ID)
		}
	}
	return out.Starts
}

// Guards against LOST: a failed service task waited behind a backlog of batch work until
// the backlog was gone (tagsa-yard-grown, mix 736079600811: 22 s).
func TestFailedServiceTaskGoesBeforeTheBacklog(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	f.Add(spec("service", serviceStep(1, 4000)), f.now, 0)
	service := f.startService(t)
	for i := range 20 {
		f.Add(spec(fmt.Sprintf("backlog-%02d", i), batchStep(2, 4000, false)), f.now, 0)
	}
	f.confirmStarts(f.plan(0))
	f.listEnd(service[0], 1, port.EndFailed)
	out := f.plan(0)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Task.ID.Job, "service")
}

// Guards against LOST: consolidation stopped a service task, and tasks of a backlog took
// the place that it was to move to (sadaqa-rounds-grown, quiet-1: 17 s).
func TestMovedServiceTaskKeepsItsNextPlace(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000))
	f.Add(spec("wide", serviceStep(2, 4000)), f.now, 0)
	f.Add(spec("narrow", serviceStep(1, 4000)), f.now, 0)
	f.Add(spec("crowd", job.Step{Tasks: 1, BestEffort: true, Image: "scan", Resources: job.Resources{MilliCPU: 100, MemoryMB: 100}}), f.now, 0)
	for i := range 2 {
		f.start(f.Job("wide").occurrences[0].tasks[0][i], f.Worker("a"), 1, f.now)
	}
	f.start(f.Job("narrow").occurrences[0].tasks[0][0], f.Worker("b"), 1, f.now)
	f.start(f.Job("crowd").occurrences[0].tasks[0][0], f.Worker("a"), 1, f.now)
	f.confirmStarts(f.TakeOutput())
	var out Output
	for began := f.now; len(out.Stops) == 0 && f.now.Sub(began) < 2*minServiceStay; {
		f.listAllRunning()
		for _, w := range f.Workers() {
			w.ExtendLease(f.now, testOptions.MaxLease)
		}
		out = f.plan(time.Second)
	}
	is.Equal(len(out.Stops), 1)
	moved := out.Stops[0]
	is.Equal(moved.Task.ID.Job, "narrow")
	for i := range 10 {
		f.Add(spec(fmt.Sprintf("backlog-%02d", i), batchStep(8, 2000, false)), f.now, 0)
	}
	f.confirmStarts(f.plan(0))
	f.HandleStopResponse(moved, moved.Worker.Observe(f.now), nil, f.now)
	f.listEnd(moved, 1, port.EndStopped)
	out = f.plan(refusalBackoff)
	is.True(len(out.Starts) > 0)
	is.Equal(out.Starts[0].Task, moved.Task)
	is.True(out.Starts[0].Worker != moved.Worker)
}

// Guards against LOST: services of a lost worker found all others full of tasks that run
// for longer than a service may be away.
func TestServicesOfALostWorkerReplaceBatchWork(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	f.Add(spec("service", serviceStep(2, 4000)), f.now, 0)
	is.Equal(len(f.startService(t)), 2)
	f.entries = append(f.entries, worker("b", 8000, 64000), worker("c", 8000, 64000))
	f.SetWorkers(f.entries, f.now)
	f.reportListing("b", port.Listing{})
	f.reportListing("c", port.Listing{})
	f.Add(spec("saved", batchStep(2, 4000, true)), f.now, 0)
	f.confirmStarts(f.plan(0))
	f.Add(spec("unsaved", batchStep(2, 4000, false)), f.now, 0)
	f.confirmStarts(f.plan(0))
	for i := range 10 {
		f.Add(spec(fmt.Sprintf("backlog-%02d", i), batchStep(2, 4000, false)), f.now, 0)
	}
	f.SetWorkers(f.entries[1:], f.now)
	f.HandleReplacement(f.Observe("a", f.now), f.now)

	interrupted := f.now
	restarted := 0
	sequence := map[string]int64{}
	for restarted < 2 && f.now.Sub(interrupted) < 6*time.Second {
		out := f.plan(50 * time.Millisecond)
		for _, r := range out.Stops {
			is.Equal(r.Task.ID.Job, "saved") // the cheapest to stop
			id := r.Worker.Entry.ID
			sequence[id]++
			f.HandleStopResponse(r, r.Worker.Observe(f.now), nil, f.now)
			f.listEnd(r, sequence[id], port.EndStopped)
		}
		for _, r := range out.Starts {
			is.Equal(r.Task.ID.Job, "service")
			restarted++
		}
		f.confirmStarts(out)
	}
	is.Equal(restarted, 2)
	is.True(f.now.Sub(interrupted) < 3*time.Second)
}

// Guards against LOST: the workers that were left after some had been taken away were full
// of services, with free pieces too small for the interrupted ones (sadaqa-rounds-grown,
// scale-2).
func TestFragmentedPoolMovesAnotherService(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 10000, 64000), worker("b", 10000, 64000), worker("c", 6000, 64000))
	place := func(id string, milliCPU int64, on ...string) {
		f.Add(spec(id, serviceStep(len(on), milliCPU)), f.now, 0)
		for i, w := range on {
			f.start(f.Job(id).occurrences[0].tasks[0][i], f.Worker(w), 1, f.now)
		}
	}
	place("small", 4000, "a", "a")
	place("large", 6000, "b", "c")
	f.confirmStarts(f.TakeOutput())
	f.listAllRunning()
	f.SetWorkers(f.entries[:2], f.now)
	f.HandleReplacement(f.Observe("c", f.now), f.now)
	out := f.plan(relocateInterval)
	is.Equal(len(out.Stops), 1)
	moved := out.Stops[0]
	is.Equal(moved.Task.ID.Job, "small")
	f.HandleStopResponse(moved, moved.Worker.Observe(f.now), nil, f.now)
	f.listEnd(moved, 1, port.EndStopped)
	placed := map[string]string{}
	for _, r := range f.plan(refusalBackoff).Starts {
		placed[r.Task.ID.Job] = r.Worker.Entry.ID
	}
	is.Equal(placed, map[string]string{"large": "a", "small": "b"})
}

// A service that was never started waits like other jobs: it displaces nothing.
func TestNewServiceDisplacesNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	f.Add(spec("batch", batchStep(2, 4000, true)), f.now, 0)
	f.confirmStarts(f.plan(0))
	f.Add(spec("service", serviceStep(1, 4000)), f.now, 0)
	for range 100 {
		out := f.plan(50 * time.Millisecond)
		is.Equal(len(out.Stops), 0)
		is.Equal(len(out.Starts), 0)
	}
}

// A pool that is too small for an interrupted service is reported, and nothing is stopped
// in vain.
func TestServiceWithoutAnyPossibleWorkerIsReported(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 2000, 64000))
	f.Add(spec("service", serviceStep(1, 8000)), f.now, 0)
	is.Equal(len(f.startService(t)), 1)
	f.Add(spec("batch", batchStep(1, 2000, true)), f.now, 0)
	f.confirmStarts(f.plan(0))
	f.SetWorkers(f.entries[1:], f.now)
	f.HandleReplacement(f.Observe("a", f.now), f.now)
	starved := 0
	for range 100 {
		out := f.plan(50 * time.Millisecond)
		starved += len(out.Starved)
		is.Equal(len(out.Stops), 0)
	}
	is.Equal(starved, 1)
}

// A reservation ends with its worker, so that the capacity is not lost.
func TestReservationsExpire(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	f.Add(spec("service", serviceStep(1, 4000)), f.now, 0)
	task := f.startService(t)[0].Task
	f.reserve(task, f.Worker("b"), f.now)
	is.Equal(f.Worker("b").reservedUse, demand(task.Step))
	f.plan(reservationTTL + time.Millisecond)
	is.Equal(f.Worker("b").reservedUse, job.Resources{})
	f.reserve(task, f.Worker("b"), f.now)
	f.Cancel("service")
	f.plan(0)
	is.Equal(f.Worker("b").reservedUse, job.Resources{})
}

// Guards against LOST: two tasks of a step with one task a worker reserve the same worker, so that
// the second waits until its reservation expires, and keeps others from the capacity.
func TestTasksOfAStepWithALimitReserveWorkersOfTheirOwn(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000), worker("x", 8000, 64000), worker("y", 8000, 64000))
	f.place("cheap", batchStep(4, 2000, true), "a", "a", "a", "a")
	f.place("costly", batchStep(4, 2000, false), "b", "b", "b", "b")
	step := serviceStep(2, 3000)
	step.MaxPerWorker = 1
	runs := f.place("service", step, "x", "y")
	f.lose()
	f.lose()
	f.listAllRunning()
	f.plan(50 * time.Millisecond)
	reserved := map[*Worker]bool{}
	for _, r := range runs {
		is.True(r.Task.reserved != nil)
		reserved[r.Task.reserved.worker] = true
	}
	is.Equal(len(reserved), 2)
}

// Guards against LOST: the only place for an interrupted task is reserved for a sibling that still
// serves on a draining worker, and that reservation fills the limit of the step.
func TestInterruptedTaskTakesThePlaceOfASiblingThatServes(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("draining", 8000, 64000), worker("lost", 8000, 64000))
	step := serviceStep(2, 5000)
	step.MaxPerWorker = 1
	f.place("filler", serviceStep(1, 3000), "a")
	runs := f.place("service", step, "draining", "lost")
	f.drain(time.Minute, "draining")
	f.reserve(runs[0].Task, f.Worker("a"), f.now)
	f.lose()
	for range 10 {
		f.listAllRunning()
		f.confirmStarts(f.plan(50 * time.Millisecond))
	}
	is.Equal(len(runs[1].Task.Runs), 1)
}
