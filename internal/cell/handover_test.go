package cell

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
)

// Guards against services that are away for the time of a recovery: an owner released its cell to a
// daemon that did not take it, acquired it again 0.4 s later and recovered as if it knew nothing.
func TestCellIsNotReleasedToADaemonThatDoesNotTakeIt(t *testing.T) {
	cases := map[string]func(cl *cluster, d *daemon){
		"not running": func(cl *cluster, d *daemon) { cl.kill(d.name) },
		"unreachable": func(_ *cluster, d *daemon) { d.isolated.Store(true) },
		"stopping":    func(cl *cluster, d *daemon) { cl.onLoop(d, func() { d.cell.stopping = true }) },
		"store fails": func(cl *cluster, d *daemon) { cl.onLoop(d, func() { d.cell.storeFailedAt = time.Now() }) },
		"recovery failed": func(cl *cluster, d *daemon) {
			cl.onLoop(d, func() { d.cell.acquireNotBefore = time.Now().Add(time.Hour) })
		},
		"not following": func(cl *cluster, d *daemon) {
			d.unreachablePeers.Store(cl.owner(), true)
			time.Sleep(2 * linkTimeout)
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newSizedCluster(t, 164, 2, 3, halfSecond, nil, func(string) int64 { return 200 })
				defer cl.stopAll()
				owner := cl.daemons[cl.awaitOwner()]
				time.Sleep(settleDelay)
				epoch := owner.cell.View().Epoch
				for _, other := range cl.names() {
					if other != owner.name {
						fail(cl, cl.daemons[other])
						cl.onLoop(owner, func() { owner.cell.term.candidates.observe(other, other, 800, time.Now()) })
					}
				}
				time.Sleep(3 * time.Second)
				is.Equal(owner.cell.View().Epoch, epoch)
				is.True(owner.cell.View().IsOwner)
				is.True(owner.cell.instruments.handoversDeclined.Count() > 0)
			})
		})
	}
}

// Guards against the same for the daemon that the cell map names first, and against a cell that does
// not go to it though it takes it.
func TestMemberCellIsReleasedOnlyToAFirstMemberThatTakesIt(t *testing.T) {
	for name, takes := range map[string]bool{"takes it": true, "not running": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newDividedCluster(t, 420, 6, halfSecond, nil)
				defer cl.stopAll()
				m := cl.awaitCells()
				time.Sleep(repeatedHandoverDelay + time.Second)
				n, first := cl.memberCell(m)
				owner := cl.ownerOf(n)
				epoch := owner.group.cell(n).View().Epoch
				if !takes {
					first = "d9"
				}
				cl.nameFirst(n, first)
				time.Sleep(time.Second)
				is.Equal(cl.ownerOf(n).name == first, takes)
				is.Equal(owner.group.cell(n).instruments.handoversDeclined.Count() > 0, !takes)
				is.Equal(owner.group.cell(n).View().IsOwner, !takes)
				is.Equal(owner.group.cell(n).View().Epoch == epoch, !takes)
			})
		})
	}
}

// memberCell returns a cell and a member that does not own it; neither the member nor the owner owns the
// lead cell.
func (cl *cluster) memberCell(m *cellmap.Map) (n int, member string) {
	for n := cellmap.Lead + 1; n < len(m.Cells); n++ {
		if owner := cl.ownerOf(n).name; owner != cl.owner() {
			for _, member := range m.Cells[n].Members {
				if member.Name != owner && member.Name != cl.owner() {
					return n, member.Name
				}
			}
		}
	}
	cl.t.Fatal("the owner of the lead cell owns every cell or is a member of it")
	return 0, ""
}

// nameFirst makes the daemons adopt a map that has named a daemon first among the members of a cell for
// a minute. The owner of the lead cell, which would change the map again, does not learn of it.
func (cl *cluster) nameFirst(n int, name string) {
	var others []*daemon
	for _, d := range cl.names() {
		if d != cl.owner() {
			others = append(others, cl.daemons[d])
		}
	}
	for _, d := range others {
		g := d.group
		cl.onLoop(d, func() {
			next := *g.cellMap
			next.Version += 100
			next.Cells = slices.Clone(next.Cells)
			members := slices.DeleteFunc(slices.Clone(next.Cells[n].Members), func(m cellmap.Member) bool { return m.Name == name })
			next.Cells[n].Members = append([]cellmap.Member{{Name: name, Address: name}}, members...)
			g.adoptMap(&next)
		})
	}
	for _, d := range others {
		cl.onLoop(d, func() { d.group.cell(n).roleSince = time.Now().Add(-time.Minute) })
	}
}

// Guards against a recovery that waits for silent workers after a release that has recorded all runs, and
// against a cell that is handed over again at once: a read of the owner's row that was faster than the
// response to the acquisition hid the release.
func TestReleaseIsKnownToASuccessorThatReadsItsRowBeforeTheResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 166, 2, 3, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.daemons[cl.awaitOwner()]
		time.Sleep(settleDelay)
		var next *daemon
		for _, name := range cl.names() {
			if name != owner.name {
				next = cl.daemons[name]
			}
		}
		slow := txnHook(func(_ context.Context, _ port.Txn, commit func() (int64, error)) (int64, error) {
			version, err := commit()
			time.Sleep(3 * ownerPoll)
			return version, err
		})
		next.txnHook.Store(&slow)
		is.NoErr(owner.cell.Release(t.Context()))
		for !next.cell.View().IsOwner {
			time.Sleep(10 * time.Millisecond)
		}
		cl.onLoop(next, func() { is.True(next.cell.term.afterRelease && next.cell.term.runsRecorded) })
	})
}

// Guards against an overloaded owner after an outage of the store: a small daemon acquired the cell at
// once, though larger ones, which had only been without the store lately, were about to.
func TestLargeDaemonTakesOverAfterAnOutageOfTheStore(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			cl := newDividedCluster(t, 430+seed, 0, halfSecond, nil)
			defer cl.stopAll()
			const large = 4 * smallMilliCPU
			cl.milliCPU = func(name string) int64 {
				if name < "d3" {
					return large
				}
				return smallMilliCPU
			}
			for i := range 8 {
				cl.start(fmt.Sprintf("d%d", i))
			}
			cl.awaitOwner()
			time.Sleep(repeatedHandoverDelay + 2*time.Second)
			owner := cl.daemons[cl.owner()]
			is.Equal(owner.cell.MilliCPU, int64(large))
			for _, name := range cl.names() {
				if d := cl.daemons[name]; d.cell.MilliCPU == large {
					cl.onLoop(d, func() { d.cell.storeFailedAt = time.Now() })
				}
			}
			time.Sleep(time.Second)
			cl.kill(owner.name)
			next := cl.daemons[cl.awaitOwner()]
			is.Equal(next.cell.MilliCPU, int64(large))
		})
	}
}

// Guards against a room of zero that only means that workers have not answered yet: the tasks of
// another cell were not transferred, and as many were not asked for again.
func TestRoomOfARecoveringCellIsNotKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 165, 1, 3, halfSecond, nil)
		defer cl.stopAll()
		d := cl.daemons[cl.awaitOwner()]
		time.Sleep(settleDelay)
		room := func(recovered bool, milliCPU int64) (n int, known bool) {
			cl.onLoop(d, func() {
				d.cell.term.recovered = recovered
				n, known = d.cell.term.knownRoom("other", &peerpb.TaskRequest{Pool: "pool", MilliCpu: milliCPU, Tasks: 1})
				d.cell.term.recovered = true
			})
			return n, known
		}
		const fits, tooMuch = 1000, 9000
		n, known := room(true, tooMuch)
		is.True(known && n == 0)
		_, known = room(false, tooMuch)
		is.True(!known)
		n, known = room(false, fits)
		is.True(known && n == 1)
	})
}
