package cell

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// removedInVersion is the version of the configuration that lacks the queues which were added in
// version 2.
const removedInVersion = 3

// newAddedQueuesCluster returns a cluster of three daemons and three workers in which version 2 of
// the configuration adds queues of the given names, and version 3 removes them.
func newAddedQueuesCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	cl := newClusterOf(t, 1, 0, 3, fake.FleetOptions{Now: time.Now, TaskDuration: halfSecond}, nil)
	queue := func(name string) job.Queue {
		return job.Queue{Name: name, Pool: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second}
	}
	cl.queuesOf = func(version int64) []job.Queue {
		queues := []job.Queue{queue("batch")}
		if version > 1 && version < removedInVersion {
			for _, name := range names {
				queues = append(queues, queue(name))
			}
		}
		return queues
	}
	for i := range 3 {
		cl.start(fmt.Sprintf("d%d", i))
	}
	return cl
}

// awaitConfig waits until a daemon has a version of the configuration in force.
func (cl *cluster) awaitConfig(name string, version int64) {
	cl.t.Helper()
	for range 100 {
		if config := cl.daemons[name].cell.View().Config; config != nil && config.Version >= version {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	cl.t.Fatalf("daemon %s does not have version %d of the configuration", name, version)
}

// adopt puts a version of the configuration in force at a daemon, as if it had just read it.
func (cl *cluster) adopt(name string, version int64) {
	cl.t.Helper()
	d := cl.daemons[name]
	config, err := clusterConfig{cl, d}.Decode([]byte(strconv.FormatInt(version, 10)))
	if err != nil {
		cl.t.Fatal(err)
	}
	if err := d.loop.Do(context.Background(), func() {
		d.cell.adopt(config, time.Now())
		d.cell.publish()
	}); err != nil {
		cl.t.Fatal(err)
	}
}

// submitIn submits a job of two steps in a queue, and returns its ID.
func (cl *cluster) submitIn(name, queue string) string {
	cl.t.Helper()
	spec := cl.spec(1)
	spec.Queue = queue
	cl.submit(name, spec)
	return spec.ID
}

// follower returns a daemon that does not own the cell.
func (cl *cluster) follower(owner string) string {
	for _, name := range cl.names() {
		if name != owner {
			return name
		}
	}
	cl.t.Fatal("there is no other daemon")
	return ""
}

// checkRun checks that accepted jobs run to their ends.
func (cl *cluster) checkRun(ids ...string) {
	cl.t.Helper()
	const within = 60 * time.Second
	deadline, lost := time.Now().Add(within), 0
	for _, id := range ids {
		for cl.state(id) != job.Completed && time.Now().Before(deadline) {
			time.Sleep(100 * time.Millisecond)
		}
		if cl.state(id) != job.Completed {
			lost++
		}
	}
	if lost > 0 {
		cl.t.Errorf("%d of %d accepted jobs are not completed after %s", lost, len(ids), within)
	}
	cl.check()
}

// TestJobOfAVersionThatTheOwnerNeverReadRuns guards against accepted jobs that never run: a daemon
// accepts a job in a queue of a configuration that is replaced before the owner reads it.
func TestJobOfAVersionThatTheOwnerNeverReadRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newAddedQueuesCluster(t, "added")
		defer cl.stopAll()
		owner := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		follower := cl.follower(owner)
		cl.adopt(follower, 2)
		id := cl.submitIn(follower, "added")
		cl.configChanges.Store(removedInVersion - 1)
		cl.checkRun(id)
	})
}

// TestJobsOfAQueueRemovedBeforeAKillOfAllRun guards against accepted jobs that never run: all
// daemons are killed less than a second after a queue got its first job, and the queue has been
// removed when they start again.
func TestJobsOfAQueueRemovedBeforeAKillOfAllRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newAddedQueuesCluster(t, "added")
		defer cl.stopAll()
		cl.awaitOwner()
		cl.configChanges.Store(1)
		var ids []string
		for _, name := range cl.names() {
			cl.awaitConfig(name, 2)
		}
		time.Sleep(2 * time.Second)
		for _, name := range cl.names() {
			ids = append(ids, cl.submitIn(name, "added"))
		}
		cl.configChanges.Store(removedInVersion - 1)
		cl.restartAll()
		cl.checkRun(ids...)
	})
}

// TestJobOfAQueueThatTheSuccessorHasSeenRemovedRuns guards against an accepted job that never runs:
// its owner dies less than a second after it was accepted, and the next one has a configuration
// without the job's queue.
func TestJobOfAQueueThatTheSuccessorHasSeenRemovedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newAddedQueuesCluster(t, "added")
		defer cl.stopAll()
		owner := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		cl.daemons[owner].configVersion.Store(2)
		cl.awaitConfig(owner, 2)
		cl.configChanges.Store(removedInVersion - 1)
		for _, name := range cl.names() {
			if name != owner {
				cl.awaitConfig(name, removedInVersion)
			}
		}
		id := cl.submitIn(owner, "added")
		cl.kill(owner)
		cl.checkRun(id)
	})
}

// TestJobsOfManyRemovedQueuesRunAfterAKillOfAll guards against accepted jobs that never run: their
// queues have been removed, and the settings of these do not fit into one row of the store.
func TestJobsOfManyRemovedQueuesRunAfterAKillOfAll(t *testing.T) {
	const queues = 400
	names := make([]string, queues)
	for i := range names {
		names[i] = fmt.Sprintf("%s%d", strings.Repeat("n", 190), i)
	}
	synctest.Test(t, func(t *testing.T) {
		cl := newAddedQueuesCluster(t, names...)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		cl.configChanges.Store(1)
		for _, name := range cl.names() {
			cl.awaitConfig(name, 2)
		}
		time.Sleep(2 * time.Second)
		var ids []string
		for _, name := range names {
			ids = append(ids, cl.submitIn(owner, name))
		}
		cl.configChanges.Store(removedInVersion - 1)
		cl.restartAll()
		cl.checkRun(ids...)
	})
}

// TestTransferredServiceOfARemovedQueueRuns guards against a service that stays away: its tasks
// are transferred to a cell whose owner has never known the service's queue.
func TestTransferredServiceOfARemovedQueueRuns(t *testing.T) {
	removeQueueAndRestart := func(mc *moveCluster) {
		mc.queueRemovedIn.Store(2)
		mc.configChanges.Add(1)
		time.Sleep(removedQueueRetention + 5*time.Second) // cells without jobs of the queue forget it
		names := mc.names()
		for _, name := range names {
			mc.kill(name)
		}
		for _, name := range names {
			mc.start(name)
		}
		time.Sleep(settleDelay)
		if n := mc.fleet.RunningTasksOf(hostedService); n != 2 {
			mc.t.Fatalf("%d tasks of the service run before its workers leave", n)
		}
	}
	runTransfer(t, 171, removeQueueAndRestart, func(mc *moveCluster) {
		time.Sleep(3 * time.Second) // the workers leave after a second
		mc.awaitRunning(20 * time.Second)
	})
}

// TestJobOfAnUnknownQueueIsRefused guards against a job that is accepted and never runs: the queue
// was removed between the choice of the route and the submission.
func TestJobOfAnUnknownQueueIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newAddedQueuesCluster(t)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		cl.awaitConfig(owner, 1)
		spec := cl.spec(1)
		spec.Queue = "added"
		is.Equal(verdict.Of(cl.trySubmit(owner, spec)), verdict.NotRun)
		is.Equal(cl.state(spec.ID), job.State(""))
	})
}

// TestStoredQueuesKeepTheirVersions guards against older settings after a takeover: the stored ones
// are newer than those that a job was accepted under.
func TestStoredQueuesKeepTheirVersions(t *testing.T) {
	is := is.New(t)
	queue := job.Queue{Name: "q", Priority: 2}
	is.Equal(queuesRecord{Queues: []job.Queue{queue}, Versions: []int64{4}}.settings(), []job.QueueSettings{{Version: 4, Queue: queue}})
	is.Equal(queuesRecord{Queues: []job.Queue{queue}}.settings(), []job.QueueSettings{{Queue: queue}}) // of a daemon of an earlier version
}
