package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Guards against LIMIT: an owner whose commits succeed, and whose reads of the directory
// time out, started tasks on workers that had shrunk meanwhile.
func TestNoStartsOnCapacitiesThatWereReadLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newLimitedCluster(t, 500, 6, halfSecond, nil)
		defer cl.stopAll()
		m := cl.awaitCells()
		time.Sleep(5 * time.Second)
		for _, name := range cl.names() {
			cl.daemons[name].scanDelay.Store(int64(2 * storeTimeout))
		}
		cl.setAllCapacities(job.Resources{MilliCPU: 1000, MemoryMB: 64000})
		time.Sleep(6 * time.Second)
		for n := range m.Cells {
			spec := cl.spec(30)
			is.NoErr(cl.ownerOf(n).group.cell(n).Submit(t.Context(), spec))
		}
		time.Sleep(3 * time.Second)
		cl.check()
		for _, name := range cl.names() {
			cl.daemons[name].scanDelay.Store(0)
		}
		time.Sleep(4 * time.Second)
		cl.check()
		is.True(cl.fleet.Running() > 0)
	})
}

// workersTold returns a list of one worker as the owner of the lead cell tells it.
func workersTold(version uint64, age time.Duration, milliCPU int64) *peerpb.CellWorkers {
	return &peerpb.CellWorkers{
		Cell: 1, Version: version, AgeMs: uint64(age.Milliseconds()),
		Workers: []*peerpb.WorkerEntry{{Id: "w", MilliCpu: milliCPU}},
	}
}

// Guards against LIMIT: after the owner of the lead cell had changed, a list that the one had
// read earlier replaced a later one of the other, and the versions of both were compared, so
// that an old list was taken for the current one.
func TestLaterListOfWorkersIsKept(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupOptions{})
	at := time.Unix(1000, 0)
	capacity := func() int64 { return g.workersOf(1)[0].Capacity.MilliCPU }
	readAt := func() time.Time { return g.directories[1].current.Load().readAt }

	g.receiveWorkers(workersTold(7, time.Second, 4000), 1, at)
	g.receiveWorkers(workersTold(9, 3*time.Second, 8000), 2, at)
	is.Equal(capacity(), int64(4000)) // the second owner has read its list earlier
	is.Equal(g.directoryVersion(1, 2), uint64(0))
	is.Equal(g.directoryVersion(1, 1), uint64(7))

	g.receiveWorkers(workersTold(7, 0, 2000), 2, at)
	is.Equal(capacity(), int64(2000))
	is.Equal(g.directoryVersion(1, 2), uint64(7))
	is.Equal(g.directoryVersion(1, 1), uint64(0))

	unchanged := &peerpb.CellWorkers{Cell: 1, Version: 7, Unchanged: true}
	g.receiveWorkers(unchanged, 1, at.Add(time.Second)) // of the first owner's version 7
	is.Equal(readAt(), at)
	g.receiveWorkers(unchanged, 2, at.Add(time.Second))
	is.Equal(readAt(), at.Add(time.Second))

	// The reply to a poll that took long makes the list of the same owner look older.
	g.receiveWorkers(workersTold(8, 0, 1000), 2, at.Add(900*time.Millisecond))
	is.Equal(capacity(), int64(1000))

	g.keepOwnRead(1, decodeWorkers(workersTold(0, 0, 500)), at.Add(2*time.Second))
	is.Equal(g.directoryVersion(1, 2), uint64(0))
	g.receiveWorkers(workersTold(9, time.Second, 1000), 2, at.Add(2*time.Second))
	is.Equal(capacity(), int64(500))
}

// Guards against LIMIT: an owner of the lead cell took the version that a daemon has of
// another owner for its own, and told it that its list was unchanged.
func TestVersionsOfOtherOwnersAreNotTakenForOwn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := NewGroup(GroupOptions{})
	g.receiveWorkers(workersTold(7, 0, 8000), 1, now)
	g.lead.term = &term{epoch: 2}
	told := func(epoch int64, version uint64) *peerpb.FollowReply {
		reply := &peerpb.FollowReply{}
		g.tellWorkers(&peerpb.FollowRequest{Epoch: epoch, Workers: []*peerpb.WorkersVersion{{Cell: 1, Version: version}}}, reply, now)
		return reply
	}
	is.Equal(len(told(1, 7).GetWorkers()), 0) // this owner has not read the directory yet
	g.cellMap = &cellmap.Map{Cells: make([]cellmap.Cell, 2), Racks: map[string]int{"r": 1}}
	g.setWorkers([]port.WorkerEntry{{ID: "w", Rack: "r", Capacity: job.Resources{MilliCPU: 4000}}}, now)
	version := told(2, 0).GetWorkers()[0].GetVersion()
	is.True(told(2, version).GetWorkers()[0].GetUnchanged())
	is.True(!told(1, version).GetWorkers()[0].GetUnchanged())
	// A list that it has read for one of its own cells must not reuse a version.
	g.keepOwnRead(1, nil, now.Add(time.Second))
	is.Equal(len(told(2, version).GetWorkers()), 0)
	g.setWorkers(nil, now.Add(2*time.Second))
	is.True(!told(2, version).GetWorkers()[0].GetUnchanged())
}

// Guards against LIMIT: the monotonic clock stands still while a VM is suspended, so that
// lists of workers seemed younger afterwards than they were, and started tasks on workers
// that had shrunk meanwhile. The read that is in flight at the time counts as well.
func TestListsOfWorkersAgeWhileTheVMIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newLimitedCluster(t, 501, 6, halfSecond, nil)
		defer cl.stopAll()
		m := cl.awaitCells()
		time.Sleep(5 * time.Second)
		const suspension = 1300 * time.Millisecond // nobody takes the cells over
		for n := range m.Cells {
			d := cl.ownerOf(n)
			d.suspend(suspension)
			is.NoErr(d.loop.Do(t.Context(), func() {
				c := d.group.cell(n)
				c.checkStall(c.Now())
				list := d.group.directories[n].current.Load()
				age := c.Now().Sub(list.readAt)
				t.Logf("cell %d: the list is %s old", n, age)
				is.True(age >= suspension)
			}))
			time.Sleep(time.Second)
		}
	})
}
