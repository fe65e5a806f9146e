package batch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/inventory"
)

// TestJobMovesToShardThatCanRunIt checks that a job which its own shard can never
// run is moved to a shard that can.
func TestJobMovesToShardThatCanRunIt(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, 1)
	sim.startDaemon()
	sim.startDaemon()
	sim.runUntil(func() bool { return sim.ownerOf(0) != nil && sim.ownerOf(1) != nil })
	sim.resize("w0", 2000)
	sim.clock.Run(5 * time.Second)
	job := testJob("large", 2, time.Second)
	job.Resources = inventory.Resources{MilliProcessors: 3000, MemoryMB: 100}
	accepted, err := Submit(context.Background(), sim.platform, []string{"r0"}, job)
	is.NoErr(err)
	sim.jobs = append(sim.jobs, accepted)
	sim.clock.Run(30 * time.Second)
	moved, err := ReadJob(context.Background(), sim.platform, job.Member, job.Key)
	is.NoErr(err)
	is.Equal(moved.Shard, "r1")
	tasks, err := ReadResult(context.Background(), sim.platform, job.ID())
	is.NoErr(err)
	is.Equal(len(tasks), 2)
	for _, task := range tasks {
		is.Equal(task.State, "finished")
	}
	is.Equal(len(sim.check.allViolations()), 0)
}
