package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Guards against a report of a starved service task that does not tell why workers are left
// out, so that a full cell looks like one whose workers are in a backoff.
func TestStarvedTaskTellsTheObstacleOfEachWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("draining", 8000, 64000), worker("small", 2000, 64000), worker("smaller", 1000, 64000),
		worker("backoff", 8000, 64000), worker("unanswered", 8000, 64000))
	f.entries[1].Draining = true
	f.SetWorkers(f.entries, f.now)
	f.Worker("backoff").backoffUntil = f.now.Add(time.Minute)
	f.Worker("backoff").barredUntil = f.now.Add(time.Minute)
	f.Worker("unanswered").unansweredSince = f.now
	f.Add(spec("service", serviceStep(1, 8000)), f.now, 0)
	is.Equal(len(f.startService(t)), 1)
	f.SetWorkers(f.entries[1:], f.now)
	f.HandleReplacement(f.Observe("a", f.now), f.now)
	out := f.plan(0)
	is.Equal(len(out.Starved), 1)
	is.Equal(out.Starved[0].Workers, map[Obstacle]int{ObstacleUnlisted: 1, ObstacleDraining: 1, ObstacleBackoff: 1, ObstacleUnanswered: 1, ObstacleCapacity: 2})
	is.Equal(out.Starved[0].MostFree, job.Resources{MilliCPU: 2000, MemoryMB: 64000})
	is.Equal(out.Starved[0].Reasons()[0], ObstacleCapacity)
	is.Equal(f.Interrupted(), 1)
}

// BenchmarkPlanWhileManyStarve measures a plan in a cell that has lost half of its workers and
// is full of services, while the services of the others wait.
func BenchmarkPlanWhileManyStarve(b *testing.B) {
	f := newStarvedFixture()
	b.ReportMetric(float64(f.Interrupted()), "starved")
	for b.Loop() {
		f.plan(10 * time.Millisecond)
	}
}

// BenchmarkRoomWhileManyStarve measures the answer of such a cell to another one, which finds a
// place for a small task only.
func BenchmarkRoomWhileManyStarve(b *testing.B) {
	f := newStarvedFixture()
	for b.Loop() {
		f.RoomFor(roomRequest(1, 1000), nil, f.now)
	}
}

// newStarvedFixture returns a cell that has lost half of its workers and is full of services.
func newStarvedFixture() *fixture {
	const workers, perWorker = 350, 4
	var entries []port.WorkerEntry
	for i := range workers {
		entries = append(entries, worker(fmt.Sprintf("w%03d", i), 64000, 256000))
	}
	f := newFixture(entries...)
	for i := range workers * perWorker {
		step := serviceStep(1, int64(14000+100*(i%20)))
		step.MaxPerWorker = i % 2
		f.place(fmt.Sprintf("service-%04d", i), step, fmt.Sprintf("w%03d", i/perWorker))
	}
	for range workers / 2 {
		f.lose()
	}
	for range 4 {
		f.listAllRunning()
		f.plan(time.Second)
	}
	return f
}
