package cell

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/job"
)

// runUnreadCancellations runs a test in which the owner cannot read cancellations in the partitions
// for which unreadable reports so, nor their changes, and no daemon can notify it. A job with a step
// of 6 s and a step after it is cancelled meanwhile.
func runUnreadCancellations(t *testing.T, seed uint64, unreadable func(partition, own string) bool, test func(cl *cluster, spec job.Spec)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		work := func(task string) time.Duration {
			if strings.Contains(task, ".0.0.") {
				return 6 * time.Second
			}
			return time.Second
		}
		cl := newCluster(t, seed, 3, 2, work, nil)
		defer cl.stopAll()
		owner := cl.daemons[cl.awaitOwner()]
		time.Sleep(2 * time.Second)
		spec := cl.spec(2)
		cl.submit(owner.name, spec)
		time.Sleep(time.Second)
		own := owner.cell.jobPartition(spec.ID)
		fails := func(table, partition string) bool {
			return table == tableCancels && (partition == "" || unreadable(partition, own))
		}
		owner.unreadable.Store(&fails)
		for _, name := range cl.names() {
			cl.daemons[name].unreachablePeers.Store(owner.name, true)
		}
		time.Sleep(500 * time.Millisecond)
		for _, name := range cl.names() {
			if name != owner.name {
				is.True(cl.tryCancelAt(name, spec.ID))
				break
			}
		}
		time.Sleep(7 * time.Second) // the first step is done
		is.Equal(cl.owner(), owner.name)
		test(cl, spec)
		owner.unreadable.Store(nil)
		time.Sleep(3 * time.Second)
		is.Equal(cl.fleet.Running(), 0)
		is.Equal(cl.fleet.Starts(spec.ID+".0.1.0"), 0)
		is.Equal(cl.state(spec.ID), job.Cancelled)
		other := cl.spec(1) // tasks start again
		cl.submit(owner.name, other)
		cl.awaitStarts(other.ID+".0.0.0", 1, 5*time.Second)
		cl.check()
	})
}

func (cl *cluster) tryCancelAt(name, id string) bool {
	return cl.daemons[name].cell.Cancel(cl.t.Context(), id) == nil
}

// Guards against UNASKED: an owner that cannot read cancellations starts the next step of a job
// that was cancelled at another daemon seconds before.
func TestNoTaskStartsWhileCancellationsCannotBeRead(t *testing.T) {
	runUnreadCancellations(t, 160, func(string, string) bool { return true }, func(cl *cluster, spec job.Spec) {
		is.New(t).Equal(cl.fleet.Starts(spec.ID+".0.1.0"), 0)
	})
}

// Guards against UNASKED: changes cannot be read while a single partition is unavailable, and the
// owner misses cancellations in the others.
func TestCancellationsAreReadByPartitionWhileOneIsUnavailable(t *testing.T) {
	runUnreadCancellations(t, 161, func(partition, own string) bool { return partition != own }, func(cl *cluster, spec job.Spec) {
		is.New(t).Equal(cl.state(spec.ID), job.Cancelled)
		is.New(t).Equal(cl.fleet.Running(), 0)
	})
}
