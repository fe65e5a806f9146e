package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/job"
)

// Guards against LOST: the jobs of a queue that was removed from the configuration stop for good
// when their owner is replaced, because only it knew the queue's settings.
func TestJobsOfARemovedQueueGoOnAfterTakeovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 170, 3, 3, func(string) time.Duration { return 6 * time.Second }, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		spec := cl.spec(3)
		cl.submit(owner, spec)
		time.Sleep(time.Second)
		cl.queueRemovedIn.Store(2)
		cl.configChanges.Add(1)
		time.Sleep(2 * time.Second)
		for range 2 { // the second owner only has what the first one has stored
			cl.kill(owner)
			time.Sleep(3 * time.Second)
			cl.start(owner)
			owner = cl.awaitOwner()
		}
		cl.awaitState(spec.ID, job.Completed, 20*time.Second)
		is.Equal(cl.fleet.StartsOfJob(spec.ID), 6)
		time.Sleep(removedQueueRetention + 2*time.Second)
		row, err := decode[queuesRecord](cl.store.Rows(tableQueues, "c0")[0])
		is.NoErr(err)
		is.Equal(len(row.Queues), 0) // no open job needs them
		cl.check()
	})
}
