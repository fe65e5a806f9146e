package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
	f.HandleReplacement("a", f.now)
	out := f.plan(0)
	is.Equal(len(out.Starved), 1)
	is.Equal(out.Starved[0].Workers, map[Obstacle]int{ObstacleUnlisted: 1, ObstacleDraining: 1, ObstacleBackoff: 1, ObstacleUnanswered: 1, ObstacleCapacity: 2})
	is.Equal(out.Starved[0].MostFree, job.Resources{MilliCPU: 2000, MemoryMB: 64000})
	is.Equal(out.Starved[0].Reasons()[0], ObstacleCapacity)
	is.Equal(f.Interrupted(), 1)
}
