package batch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/inventory"
)

// A job that its own shard can never run, but another can, runs there.
func TestJobMovesToShardThatCanRunIt(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, 1)
	w.startDaemon()
	w.startDaemon()
	w.runUntil(func() bool { return w.ownerOf(0) != nil && w.ownerOf(1) != nil })
	w.resize("w0", 2000)
	w.clock.Run(5 * time.Second)
	job := testJob("large", 2, time.Second)
	job.Resources = inventory.Resources{MilliProcessors: 3000, MemoryMB: 100}
	accepted, err := Submit(context.Background(), w.platform, []string{"r0"}, job)
	is.NoErr(err)
	w.jobs = append(w.jobs, accepted)
	w.clock.Run(30 * time.Second)
	moved, err := ReadJob(context.Background(), w.platform, job.Member, job.Key)
	is.NoErr(err)
	is.Equal(moved.Shard, "r1")
	tasks, err := ReadResult(context.Background(), w.platform, job.ID())
	is.NoErr(err)
	is.Equal(len(tasks), 2)
	for _, task := range tasks {
		is.Equal(task.State, "finished")
	}
	is.Equal(len(w.check.all()), 0)
}
