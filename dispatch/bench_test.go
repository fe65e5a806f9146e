package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// newFullEngine returns an engine whose workers are filled with services, with
// more best-effort tasks waiting than there is capacity for.
func newFullEngine(workers, services, waiting int) (*Engine, time.Time) {
	e := NewEngine(testOptions)
	now := time.Unix(1000, 0)
	e.SetQueues([]job.Queue{{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second}}, 1)
	var entries []port.WorkerEntry
	for i := range workers {
		entries = append(entries, worker(fmt.Sprintf("w%03d", i), 64000, 250000))
	}
	e.SetWorkers(entries, now)
	for _, entry := range entries {
		e.HandleListing(e.Observe(entry.ID, now), port.Listing{ClockMS: 1000, Boot: 1}, now)
	}
	for i := range services {
		step := job.Step{Tasks: 1, Service: true, Image: fmt.Sprintf("s%d", i%5), TargetLatencyMS: 50, Resources: job.Resources{MilliCPU: 13000, MemoryMB: 26000}}
		e.Add(job.Spec{ID: fmt.Sprintf("service%d", i), Queue: "batch", Steps: []job.Step{step}}, now, 0)
	}
	for i := range waiting / 8 {
		step := job.Step{Tasks: 8, BestEffort: true, Checkpoints: true, EstimateMS: 2300, Image: fmt.Sprintf("b%d", i%9), Resources: job.Resources{MilliCPU: 7000, MemoryMB: 13000}}
		e.Add(job.Spec{ID: fmt.Sprintf("batch%d", i), Queue: "batch", Steps: []job.Step{step}}, now, 0)
	}
	e.Plan(now)
	e.TakeOutput()
	return e, now
}

// BenchmarkPlanWhileFull measures a plan in which no further task fits.
func BenchmarkPlanWhileFull(b *testing.B) {
	for _, size := range []int{66, 490} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			e, now := newFullEngine(size, size*9/2, size*40)
			b.ReportAllocs()
			for b.Loop() {
				e.Plan(now)
			}
		})
	}
}

// Size of the cell in which tasks run.
const (
	benchWorkers    = 490
	benchBestEffort = 4 // per worker
)

// newRunningEngine returns an engine whose workers all run a service and best-effort
// tasks, and nothing waits; and a listing for each worker.
func newRunningEngine(b *testing.B) (*Engine, map[string]port.Listing, time.Time) {
	b.Helper()
	e, now := newFullEngine(benchWorkers, benchWorkers*2, benchWorkers*benchBestEffort)
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		e.Plan(now)
		for _, r := range e.TakeOutput().Starts {
			e.HandleStartResponse(r, r.Worker.Observe(now), 1000+now.UnixMilli()-1000*1000, nil, now)
		}
	}
	listings := map[string]port.Listing{}
	runs := 0
	for id, w := range e.workers {
		l := port.Listing{ClockMS: 1000 + now.UnixMilli() - 1000*1000, Boot: 1}
		for _, r := range w.sortedRuns() {
			entry := port.RunningTask{Task: r.Task.name(), Attempt: r.Attempt, Percent: 50, Measurement: 900}
			if r.Task.Step.Service {
				entry.Percent, entry.Measurement = 100, 20
			}
			l.Running = append(l.Running, entry)
		}
		runs += len(l.Running)
		listings[id] = l
	}
	b.ReportMetric(float64(runs), "runs")
	return e, listings, now
}

// BenchmarkHandleListing measures the handling of a listing in which nothing has
// changed.
func BenchmarkHandleListing(b *testing.B) {
	e, listings, now := newRunningEngine(b)
	ids := slices.Sorted(maps.Keys(listings))
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		// The time stands still, so that no run stalls.
		if id := ids[i%len(ids)]; !e.HandleListing(e.Observe(id, now), listings[id], now) {
			b.Fatal("listing not accepted")
		}
	}
}

// BenchmarkPlanWhileRunning measures a plan in which no task waits.
func BenchmarkPlanWhileRunning(b *testing.B) {
	e, _, now := newRunningEngine(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		e.Plan(now)
	}
	b.ReportMetric(float64(len(e.Jobs())), "jobs")
}

// BenchmarkPlanStarts measures plans that start one task each.
func BenchmarkPlanStarts(b *testing.B) {
	e, _, now := newRunningEngine(b)
	e.TakeOutput()
	step := job.Step{Tasks: 1, EstimateMS: 1000, Resources: job.Resources{MilliCPU: 100, MemoryMB: 100}}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		id := fmt.Sprintf("single%d", i)
		e.Add(job.Spec{ID: id, Queue: "batch", Steps: []job.Step{step}}, now, 0)
		e.Plan(now)
		out := e.TakeOutput()
		if len(out.Starts) != 1 {
			b.Fatalf("%d starts", len(out.Starts))
		}
		e.Cancel(id)
		r := out.Starts[0]
		r.Worker.detach(r)
	}
}

// BenchmarkPlanAfterManyJobs measures a plan of an engine that remembers the jobs of
// the last minutes.
func BenchmarkPlanAfterManyJobs(b *testing.B) {
	e, _, now := newRunningEngine(b)
	for i := range 9000 {
		e.MarkEnded(fmt.Sprintf("ended%d", i), now)
	}
	b.ResetTimer()
	for range b.N {
		now = now.Add(10 * time.Microsecond)
		e.Plan(now)
	}
}

// BenchmarkPlanFullOfSuspects plans suspects that wait for capacity, as after many workers
// have crashed.
func BenchmarkPlanFullOfSuspects(b *testing.B) {
	const workers, jobs, tasksPerJob = 300, 100, 10
	var entries []port.WorkerEntry
	for i := range workers {
		entries = append(entries, worker(fmt.Sprintf("w%03d", i), 8000, 64000))
	}
	f := newFixture(entries...)
	f.Add(spec("full", small(8*workers)), f.now, 0)
	f.confirmStarts(f.plan(0))
	for i := range jobs {
		j := f.Add(spec(fmt.Sprintf("suspect-%03d", i), small(tasksPerJob)), f.now, 0)
		for t := range j.allTasks() {
			t.Crashes = []int{1}
		}
	}
	for b.Loop() {
		f.plan(10 * time.Microsecond)
	}
}

// BenchmarkPlanCopies measures a plan of copies for 300 jobs of ten tasks each, of which a
// tenth run slowly, while no worker has room.
func BenchmarkPlanCopies(b *testing.B) {
	e, _, now := newRunningEngine(b)
	step := job.Step{Tasks: 10, EstimateMS: 1000, Resources: job.Resources{MilliCPU: 1, MemoryMB: 1}, Speculative: true}
	for i := range 300 {
		e.Add(job.Spec{ID: fmt.Sprintf("speculative%d", i), Queue: "batch", Steps: []job.Step{step}}, now, 0)
	}
	e.Plan(now)
	starts := e.TakeOutput().Starts
	for i, r := range starts {
		e.HandleStartResponse(r, r.Worker.Observe(now), 0, nil, now)
		r.listedAt, r.baseAt, r.Progress = now.Add(time.Second), now, 60
		if i%10 == 0 {
			r.Progress = 5
		}
	}
	for _, w := range e.workerList {
		w.backoffUntil = now.Add(time.Hour)
	}
	now = now.Add(time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		e.copiesPlannedAt = time.Time{}
		e.planCopies(now)
	}
	b.ReportMetric(float64(len(starts)), "starts")
	b.ReportMetric(float64(len(e.out.Copies)), "copies")
}
