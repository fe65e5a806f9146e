package dispatch

import (
	"fmt"
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
	e.SetQueues([]job.Queue{{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second}})
	var entries []port.WorkerEntry
	for i := range workers {
		entries = append(entries, worker(fmt.Sprintf("w%03d", i), 64000, 250000))
	}
	e.SetWorkers(entries, now)
	for _, entry := range entries {
		e.HandleListing(entry.ID, port.Listing{ClockMS: 1000, Boot: 1}, now, now)
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
