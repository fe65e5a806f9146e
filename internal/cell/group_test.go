package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// dividedRacks and workersPerRack are the size of a divided cluster. Its daemons carry
// fewer workers than there are, so that there are several cells.
const (
	dividedRacks   = 8
	workersPerRack = 3
	smallMilliCPU  = 25 // carries 8 workers
)

// newDividedCluster returns a cluster whose daemons divide the workers into cells.
func newDividedCluster(t *testing.T, seed uint64, daemons int, work func(task string) time.Duration, fails func(string, int) bool) *cluster {
	t.Helper()
	return newDividedClusterOf(t, seed, daemons, fake.FleetOptions{Now: time.Now, TaskDuration: work, Fails: fails})
}

// newDividedClusterOf returns a divided cluster with a fleet of the given options.
func newDividedClusterOf(t *testing.T, seed uint64, daemons int, o fake.FleetOptions) *cluster {
	t.Helper()
	cl := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), store: fake.NewRowStore(), daemons: map[string]*daemon{},
		milliCPU: func(string) int64 { return smallMilliCPU }, divided: true,
	}
	o.Speculative = speculativeTask
	cl.fleet = fake.NewFleet(o)
	for r := range dividedRacks {
		for i := range workersPerRack {
			cl.fleet.AddTo(regionOfRack(r), fmt.Sprintf("r%d", r), fmt.Sprintf("w%d-%d", r, i), "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
		}
	}
	for i := range daemons {
		cl.start(fmt.Sprintf("d%d", i))
	}
	return cl
}

func regionOfRack(r int) string { return []string{"east", "west"}[2*r/dividedRacks] }

// newDividedGroup returns the cells of a daemon; daemons with even numbers run in the east.
func newDividedGroup(name string, o Options) *Group {
	region := []string{"east", "west"}[int(name[len(name)-1]-'0')%2]
	return NewGroup(GroupOptions{
		Lead: o, DataCentre: region, Region: region,
		RegionOf: func(dataCentre string) string {
			region, _, _ := strings.Cut(dataCentre, "-")
			return region
		},
	})
}

// cellMap returns the map that a daemon has in force.
func (d *daemon) cellMap() *cellmap.Map { return d.group.view.Load().cellMap }

// ownerOf returns the daemon that owns a cell, or nil. A former owner that is cut off may
// not know that it was replaced.
func (cl *cluster) ownerOf(n int) *daemon {
	var owner *daemon
	highest := int64(0)
	for _, name := range cl.names() {
		d := cl.daemons[name]
		if v := d.group.cell(n).View(); v.IsOwner && v.Epoch > highest {
			owner, highest = d, v.Epoch
		}
	}
	return owner
}

// awaitCells waits until every cell of the map has an owner that has read the jobs, and
// returns the map.
func (cl *cluster) awaitCells() *cellmap.Map {
	cl.t.Helper()
	for range 600 {
		time.Sleep(50 * time.Millisecond)
		lead := cl.daemons[cl.owner()]
		if lead == nil || lead.cellMap() == nil {
			continue
		}
		m, owned := lead.cellMap(), 0
		for n := range m.Cells {
			if cl.ownerOf(n) != nil {
				owned++
			}
		}
		if owned == len(m.Cells) {
			return m
		}
	}
	cl.t.Fatal("the cells have no owners")
	return nil
}

func TestFleetIsDividedAndEveryCellRunsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 400, 6, halfSecond, nil)
		defer cl.stopAll()
		m := cl.awaitCells()
		is.True(len(m.Cells) >= 3)
		time.Sleep(time.Second) // the owners are known to all daemons
		var ids []string
		for i := range 40 {
			spec := cl.spec(3)
			cl.submit(fmt.Sprintf("d%d", i%6), spec)
			ids = append(ids, spec.ID)
		}
		cells := map[int]int{}
		for _, id := range ids {
			cl.awaitState(id, job.Completed, 30*time.Second)
			c, err := cl.daemons["d0"].group.find(context.Background(), id)
			is.NoErr(err)
			cells[c.Number]++
		}
		is.Equal(len(cells), len(m.Cells)) // every cell got some of the jobs
		cl.check()
		for _, name := range cl.names() {
			pending, err := cl.daemons[name].group.Pending("batch")
			is.NoErr(err)
			is.Equal(pending, 0)
		}
	})
}

// Guards against TWICE: a job that is handed in at two daemons at the same time, which
// choose different cells, is one job.
func TestJobHandedInAtTwoDaemonsIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 401, 4, halfSecond, nil)
		defer cl.stopAll()
		cl.awaitCells()
		for range 10 {
			spec := cl.spec(2)
			for _, name := range cl.names() {
				go func() { is.NoErr(cl.trySubmit(name, spec)) }()
			}
			cl.awaitState(spec.ID, job.Completed, 20*time.Second)
			is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1)
		}
		// After the end, and at a daemon that knows nothing of it, it is still that job.
		spec := cl.spec(1)
		cl.submit("d0", spec)
		cl.awaitState(spec.ID, job.Completed, 20*time.Second)
		time.Sleep(10 * time.Second) // its rows are compacted
		cl.start("d9")
		time.Sleep(3 * time.Second)
		is.NoErr(cl.trySubmit("d9", spec))
		state, err := cl.daemons["d9"].group.State(context.Background(), spec.ID)
		is.NoErr(err)
		is.Equal(state, job.Completed)
		is.Equal(cl.fleet.Starts(spec.ID+".0.0.0"), 1)
		cl.check()
	})
}

// One cell's owner fails in each way; the others are not disturbed.
func TestCellIsTakenOverByItself(t *testing.T) {
	failures := []struct {
		name   string
		inject func(cl *cluster, d *daemon)
	}{
		{"killed", func(cl *cluster, d *daemon) { cl.kill(d.name) }},
		{"frozen", func(_ *cluster, d *daemon) { d.loop.Post(func() { time.Sleep(recoveryBound) }) }},
		{"cut off from the store", func(_ *cluster, d *daemon) { d.storeUnreachable.Store(true) }},
		{"cut off from everybody", func(_ *cluster, d *daemon) { d.isolated.Store(true) }},
	}
	for i, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newDividedCluster(t, uint64(410+i), 6, halfSecond, nil)
				defer cl.stopAll()
				cl.awaitCells()
				time.Sleep(5 * time.Second)
				const n = 2
				first := cl.ownerOf(n)
				epochs := map[int]int64{}
				for other := range first.cellMap().Cells {
					if d := cl.ownerOf(other); d != first {
						epochs[other] = d.group.cell(other).View().Epoch
					}
				}
				failure.inject(cl, first)
				time.Sleep(recoveryBound)
				second := cl.ownerOf(n)
				is.True(second != nil)
				is.True(second != first)
				spec := cl.spec(2)
				var submitter *daemon
				for _, name := range cl.names() {
					if name != first.name {
						submitter = cl.daemons[name]
					}
				}
				is.NoErr(submitter.group.cell(n).Submit(context.Background(), spec))
				cl.awaitState(spec.ID, job.Completed, 10*time.Second)
				for other, epoch := range epochs {
					is.Equal(cl.ownerOf(other).group.cell(other).View().Epoch, epoch)
				}
				cl.check()
			})
		})
	}
}

// Daemons that stop hand their cells over before they exit.
func TestStoppingDaemonReleasesItsCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 420, 6, halfSecond, nil)
		defer cl.stopAll()
		m := cl.awaitCells()
		time.Sleep(5 * time.Second)
		first := cl.ownerOf(1)
		is.NoErr(first.group.Release(context.Background()))
		time.Sleep(1500 * time.Millisecond)
		for n := range m.Cells {
			is.True(cl.ownerOf(n) != nil)
			is.True(cl.ownerOf(n) != first)
		}
	})
}

// Guards against a division by a partial directory, which left the workers that were added
// later without cells or in too few.
func TestWorkersThatAppearLaterGetCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 430, 6, halfSecond, nil)
		defer cl.stopAll()
		before := cl.awaitCells()
		for i := range 20 {
			cl.fleet.AddTo("east", "new", fmt.Sprintf("n%d", i), "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
		}
		time.Sleep(8 * time.Second)
		after := cl.awaitCells()
		is.True(len(after.Cells) > len(before.Cells))
		for rack, n := range before.Racks {
			is.Equal(after.Racks[rack], n)
		}
	})
}

// All daemons lose power; each cell is taken by one of its members again.
func TestAllCellsRecoverAfterAllDaemonsAreRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 440, 6, func(string) time.Duration { return 3 * time.Second }, nil)
		defer cl.stopAll()
		cl.awaitCells()
		var ids []string
		for i := range 12 {
			spec := cl.spec(2)
			cl.submit(fmt.Sprintf("d%d", i%6), spec)
			ids = append(ids, spec.ID)
		}
		time.Sleep(time.Second)
		names := cl.names()
		for _, name := range names {
			cl.kill(name)
		}
		for _, name := range names {
			cl.start(name)
		}
		began := time.Now()
		cl.awaitCells()
		is.True(time.Since(began) < recoveryBound)
		for _, id := range ids {
			cl.awaitState(id, job.Completed, 20*time.Second)
			is.Equal(cl.fleet.Starts(id+".0.0.0"), 1) // runs go on
		}
		cl.check()
	})
}

// A cancellation at any daemon holds, whichever cell the job is in and whether or not the
// cell has an owner.
func TestCancellationReachesTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 450, 6, func(string) time.Duration { return time.Hour }, nil)
		defer cl.stopAll()
		cl.awaitCells()
		for i := range 12 {
			spec := cl.spec(2)
			cl.submit(fmt.Sprintf("d%d", i%6), spec)
			time.Sleep(time.Second)
			is.NoErr(cl.daemons[fmt.Sprintf("d%d", (i+3)%6)].group.Cancel(context.Background(), spec.ID))
			cl.awaitState(spec.ID, job.Cancelled, 3*time.Second)
		}
		time.Sleep(2 * time.Second)
		is.Equal(cl.fleet.Running(), 0)
		cl.check()
	})
}

// A worker that has moved from the lead cell to another has seen the epoch of its new
// owner. Its refusal of a late call must not end the lead cell's term, and the lead cell's
// epoch, however high, must not keep the new owner from its workers.
func TestEpochsOfCellsDoNotFenceEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 460, 6, halfSecond, nil)
		defer cl.stopAll()
		for range 3 { // raise the lead cell's epoch before the division
			cl.kill(cl.awaitOwner())
			cl.restartMissing()
		}
		m := cl.awaitCells()
		time.Sleep(3 * time.Second)
		lead := cl.daemons[cl.owner()]
		for n := cellmap.Lead + 1; n < len(m.Cells); n++ {
			is.True(m.Cells[n].FirstEpoch > 1)
			is.Equal(cl.ownerOf(n).group.cell(n).View().Epoch, m.Cells[n].FirstEpoch)
		}
		c := lead.group.lead
		is.NoErr(c.Loop.Do(context.Background(), func() {
			moved, _ := cl.fleet.List(context.Background())
			i := slices.IndexFunc(moved, func(w port.WorkerEntry) bool { return !c.contains(w) })
			is.True(i >= 0)
		}))
	})
}

// Guards against a daemon that ends because of a malformed message of another, or a row
// of another writer.
func TestMalformedMessagesAndRowsAreSurvived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 480, 6, halfSecond, nil)
		defer cl.stopAll()
		m := cl.awaitCells()
		g := cl.daemons[cl.owner()].group
		status := &peerpb.CellStatus{Cell: 4_000_000_000, Epoch: -1, Owner: "x"}
		for _, req := range []*peerpb.Request{
			{},
			{Kind: &peerpb.Request_Follow{}},
			{Kind: &peerpb.Request_Follow{Follow: &peerpb.FollowRequest{Sender: "x", Address: "x", DataCentre: "?", Owned: []*peerpb.CellStatus{status, {Cell: 2}}}}},
			{Kind: &peerpb.Request_Follow{Follow: &peerpb.FollowRequest{Sender: "x", Address: "x", Owned: []*peerpb.CellStatus{status}, Learned: []*peerpb.LearnedPair{{Service: "s", Permille: []uint32{1}}}, Workers: []*peerpb.WorkersVersion{{Cell: 77}}}}},
			{Kind: &peerpb.Request_News{News: &peerpb.NewsRequest{Cell: 99, Jobs: [][]byte{nil}}}},
			{Kind: &peerpb.Request_News{News: &peerpb.NewsRequest{Cell: 1, Jobs: [][]byte{[]byte("{")}}}},
			{Kind: &peerpb.Request_State{State: &peerpb.StateRequest{Cell: 1}}},
			{Kind: &peerpb.Request_CellLoad{CellLoad: &peerpb.LoadRequest{Cell: 1, ReservedMilliCpu: -1 << 60}}},
		} {
			is.True(g.Handle(context.Background(), req) != nil)
		}
		is.NoErr(g.lead.Loop.Do(context.Background(), func() {
			g.receive(&peerpb.FollowReply{
				Map: []byte("{"), Statuses: []*peerpb.CellStatus{status}, Workers: []*peerpb.CellWorkers{{Cell: 77, Unchanged: true}},
				Learned: []*peerpb.LearnedPair{{}},
			}, time.Now())
		}))
		for _, value := range []string{"{", `{"cell":-1}`, `{"cell":1000000000}`} {
			cl.store.Put(tableIndex, g.lead.jobPartition("odd"), "odd", []byte(value))
			_, err := g.State(context.Background(), "odd")
			is.True(err != nil)
		}
		spec := cl.spec(2)
		cl.submit("d0", spec)
		cl.awaitState(spec.ID, job.Completed, 20*time.Second)
		is.Equal(len(cl.awaitCells().Cells), len(m.Cells))
	})
}

// Guards against services that are disturbed once in every cell for each pair of images.
// The owner of the lead cell changes in between.
func TestCellsTellEachOtherWhatTheyLearn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newDividedCluster(t, 470, 6, halfSecond, nil)
		defer cl.stopAll()
		m := cl.awaitCells()
		time.Sleep(4 * time.Second)
		learn := func(cell int, image string) {
			c := cl.ownerOf(cell).group.cell(cell)
			is.NoErr(c.Loop.Do(context.Background(), func() {
				is.NoErr(c.term.engine.RestoreLearned(dispatch.Learned{Pairs: []dispatch.LearnedPair{
					{Service: "desk", BestEffort: image, Permille: []int{0, 0, 0, 0, 0, 0, 1000}},
				}}))
			}))
		}
		everyCellKnows := func(image string) {
			t.Helper()
			time.Sleep(time.Second)
			for n := range m.Cells {
				c := cl.ownerOf(n).group.cell(n)
				is.NoErr(c.Loop.Do(context.Background(), func() {
					is.True(c.term.engine.Coefficient("desk", image) > 7)
				}))
			}
		}
		learn(2, "scan")
		everyCellKnows("scan")
		learn(cellmap.Lead, "index")
		everyCellKnows("index")
		cl.kill(cl.owner())
		cl.restartMissing()
		cl.awaitCells()
		time.Sleep(2 * time.Second)
		learn(1, "sort")
		everyCellKnows("sort")
		everyCellKnows("scan") // the new owner of the lead cell was told again
	})
}
