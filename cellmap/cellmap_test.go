package cellmap

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// fleet returns the workers of racks of 20 in data centres of two regions.
func fleet(racksPerRegion int) []port.WorkerEntry {
	var workers []port.WorkerEntry
	for _, region := range []string{"east", "west"} {
		for r := range racksPerRegion {
			for i := range 20 {
				rack := fmt.Sprintf("%s-r%02d", region, r)
				workers = append(workers, port.WorkerEntry{
					ID: fmt.Sprintf("%s-%02d", rack, i), Pool: "pool", DataCentre: fmt.Sprintf("%s-%d", region, r%3),
					Rack: rack, Labels: []string{"kind", rack}, Capacity: job.Resources{MilliCPU: 64000},
				})
			}
		}
	}
	return workers
}

func regionOf(dataCentre string) string { return dataCentre[:4] }

// daemons returns n daemons of a size, half of them in each region. The first owns the lead
// cell.
func daemons(prefix string, n int, milliCPU, linkMbps int64) []Daemon {
	var all []Daemon
	for i := range n {
		name := fmt.Sprintf("%s%03d", prefix, i)
		all = append(all, Daemon{
			Name: name, Address: name + ":1", Region: []string{"east", "west"}[i%2],
			MilliCPU: milliCPU, LinkMbps: linkMbps, Reachable: true,
		})
	}
	return all
}

func input(workers []port.WorkerEntry, ds []Daemon) Input {
	ds = slices.Clone(ds)
	ds[0].Lead = true
	return Input{Workers: workers, Daemons: ds, Owners: map[int]string{}, RegionOf: regionOf, Busy: map[string]bool{}}
}

// ownedByFirst sets the owners to the first members, as after all acquisitions.
func (in *Input) ownedByFirst(m *Map) {
	for n := Lead + 1; n < len(m.Cells); n++ {
		in.Owners[n] = m.Cells[n].Members[0].Name
	}
}

// settle updates the map until it does not change any more.
func settle(t *testing.T, m *Map, in Input) *Map {
	t.Helper()
	for range 100 {
		next, changed := Update(m, in)
		if !changed {
			return next
		}
		m = next
		in.ownedByFirst(m)
	}
	t.Fatal("the map keeps changing")
	return nil
}

// An installation that one daemon can carry has one cell and needs no map.
func TestSmallInstallationHasOneCell(t *testing.T) {
	is := is.New(t)
	m, changed := Update(nil, input(fleet(1), daemons("d", 8, 400, 1000)))
	is.True(m == nil)
	is.True(!changed)
	n, ok := m.CellOf(fleet(1)[0])
	is.True(ok)
	is.Equal(n, Lead)
}

// A fleet of 1,800 workers with 18 large daemons and 129 small ones: cells of whole racks
// of one region, each owned by a large daemon of its region.
func TestLargeFleetIsDividedAmongTheLargeDaemons(t *testing.T) {
	is := is.New(t)
	in := input(fleet(45), append(daemons("large", 18, 800, 200), daemons("small", 129, 192, 20)...))
	m := settle(t, nil, in)
	sizes := make([]int, len(m.Cells))
	for _, w := range in.Workers {
		n, ok := m.CellOf(w)
		is.True(ok)
		is.Equal(m.Cells[n].Region, regionOf(w.DataCentre))
		sizes[n]++
	}
	owners := map[string]bool{"large000": true} // owns the lead cell
	for n := Lead + 1; n < len(m.Cells); n++ {
		is.True(sizes[n] <= 256+20) // what a daemon of 0.8 cores carries, rounded to a rack
		is.Equal(len(m.Cells[n].Members), membersPerCell)
		owner := m.Cells[n].Members[0].Name
		is.True(!owners[owner]) // one cell each
		is.Equal(owner[:5], "large")
		owners[owner] = true
	}
	is.True(len(m.Cells) >= 8)
}

// Guards against a division by what large daemons carry where links bind: on links of
// 2 Mbit/s, one owner of 192 workers lost most calls.
func TestCellsAreSizedByTheLink(t *testing.T) {
	is := is.New(t)
	m := settle(t, nil, input(fleet(5)[:192], daemons("d", 23, 120, 2)))
	is.True(len(m.Cells) >= 8)
}

func TestLostMembersAreReplacedAndTheOwnerComesFirst(t *testing.T) {
	is := is.New(t)
	in := input(fleet(45), daemons("d", 20, 800, 200))
	m := settle(t, nil, in)
	in.ownedByFirst(m)
	members := m.Cells[3].Members
	for i := range in.Daemons {
		if in.Daemons[i].Name == members[0].Name {
			in.Daemons[i].Reachable = false
		}
	}
	in.Owners[3] = members[1].Name // the standby has taken over
	next, changed := Update(m, in)
	is.True(changed)
	is.Equal(next.Cells[3].Members[0], members[1])
	is.Equal(next.Role(3, members[0].Name), -1)
	is.Equal(len(next.Cells[3].Members), membersPerCell)
	is.Equal(m.Cells[3].Members, members) // maps are immutable
}

// Guards against a cell that stays without an owner because its members, though reachable,
// are refused by the store.
func TestMembersWithoutTheStoreAreReplacedWhenTheOwnerIsLost(t *testing.T) {
	is := is.New(t)
	in := input(fleet(45), daemons("d", 20, 800, 200))
	m := settle(t, nil, in)
	in.ownedByFirst(m)
	failing := map[string]bool{}
	for _, member := range m.Cells[3].Members {
		failing[member.Name] = true
	}
	for i := range in.Daemons {
		in.Daemons[i].StoreFailing = failing[in.Daemons[i].Name]
	}
	_, changed := Update(m, in)
	is.True(!changed) // while there is an owner, a failing store changes nothing
	delete(in.Owners, 3)
	next, changed := Update(m, in)
	is.True(changed)
	is.Equal(len(next.Cells[3].Members), membersPerCell)
	for _, member := range next.Cells[3].Members {
		is.True(!failing[member.Name])
	}
}

// While no daemon can be given a cell, the members stay: they may return.
func TestMembersStayWhileNoDaemonIsUsable(t *testing.T) {
	is := is.New(t)
	in := input(fleet(45), daemons("d", 20, 800, 200))
	m := settle(t, nil, in)
	in.ownedByFirst(m)
	for i := range in.Daemons {
		in.Daemons[i].Stopping = true
	}
	_, changed := Update(m, in)
	is.True(!changed)
}

// Racks keep their cell when workers and daemons come and go.
func TestRacksNeverMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		all := fleet(30)
		ds := daemons("d", rapid.IntRange(2, 30).Draw(t, "daemons"), int64(rapid.IntRange(100, 800).Draw(t, "cpu")), int64(rapid.IntRange(2, 200).Draw(t, "link")))
		var m *Map
		for range 8 {
			from := rapid.IntRange(0, len(all)/2).Draw(t, "from")
			in := input(all[from:rapid.IntRange(from+1, len(all)).Draw(t, "to")], ds)
			for i := range in.Daemons {
				in.Daemons[i].Reachable = in.Daemons[i].Lead || rapid.Bool().Draw(t, "reachable")
			}
			if m != nil {
				in.ownedByFirst(m)
			}
			next, _ := Update(m, in)
			if m != nil {
				for rack, n := range m.Racks {
					is.Equal(next.Racks[rack], n)
				}
			}
			if m = next; m == nil {
				continue
			}
			for _, w := range in.Workers {
				n, ok := m.CellOf(w)
				is.True(ok)
				is.True(n < len(m.Cells))
			}
			for n := Lead + 1; n < len(m.Cells); n++ {
				is.True(len(m.Cells[n].Members) > 0)
			}
			decoded, err := Decode(m.Encode())
			is.NoErr(err)
			is.Equal(decoded, m)
		}
	})
}

// Racks with runs of the lead cell stay in it when an installation is divided late.
func TestBusyRacksStayInTheLeadCell(t *testing.T) {
	is := is.New(t)
	in := input(fleet(45), daemons("d", 20, 800, 200))
	in.Busy["west-r07"] = true
	m, _ := Update(nil, in)
	is.Equal(m.Racks["west-r07"], Lead)
}

// One cell moves at a time, and only to a daemon with much less load.
func TestRebalancingEnds(t *testing.T) {
	is := is.New(t)
	few := daemons("d", 3, 800, 200)
	in := input(fleet(45), few)
	m := settle(t, nil, in)
	grown := input(fleet(45), append(few, daemons("e", 15, 800, 200)...))
	grown.ownedByFirst(m)
	next, changed := Update(m, grown)
	is.True(changed)
	moved := 0
	for n := range m.Cells {
		if !slices.Equal(m.Cells[n].Members, next.Cells[n].Members) {
			moved++
		}
	}
	is.Equal(moved, 1)
	m = settle(t, next, grown)
	perOwner := map[string]int{}
	for n := Lead + 1; n < len(m.Cells); n++ {
		perOwner[m.Cells[n].Members[0].Name]++
	}
	for _, cells := range perOwner {
		is.True(cells <= 2)
	}
}

// A burst of services that arrive together must not overfill a cell: two random choices
// with current loads keep the loads within a few jobs of each other.
func TestBurstOfServicesIsSpreadEvenly(t *testing.T) {
	is := is.New(t)
	m := settle(t, nil, input(fleet(45), daemons("d", 18, 800, 200)))
	loads := make([]Load, len(m.Cells))
	for n := range loads {
		loads[n].Capacity = m.Cells[n].MilliCPU
	}
	service := Demand{Reserved: 24 * 13_000}
	seed := uint32(1)
	intN := func(n int) int {
		seed = seed*1664525 + 1013904223
		return int(seed>>8) % n
	}
	for i := range 300 {
		region := []string{"east", "west"}[i%2]
		candidates := m.Candidates(Needs{Pool: "pool"}, region, intN)
		known := make([]*Load, len(candidates))
		for k, n := range candidates {
			known[k] = &loads[n]
		}
		loads[m.Choose(candidates, known, service, region)].Reserved += service.Reserved
	}
	least, most := 1.0, 0.0
	for _, l := range loads {
		share := l.with(Demand{})
		least, most = min(least, share), max(most, share)
	}
	is.True(most < 1)
	is.True(most-least < 0.12)
}

// Guards against a daemon that ends because of a malformed row or message.
func TestInconsistentMapsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{
		``, `[]`, `{}`, `{"cells":[]}`, `{"cells":[{}],"racks":{"r1":1}}`, `{"cells":[{}],"racks":{"r1":-1}}`,
	} {
		_, err := Decode([]byte(value))
		is.True(err != nil)
	}
}

// Guards against LOST: nearly full cells of two regions differed by as much as a job may
// prefer its own, and services found no worker in the fuller one.
func TestNearlyFullRegionsAreFilledEvenly(t *testing.T) {
	is := is.New(t)
	m := &Map{Cells: []Cell{{Region: "east", MilliCPU: 1e7}, {Region: "west", MilliCPU: 1e7}}}
	loads := []*Load{{Capacity: 1e7}, {Capacity: 1e7}}
	d := Demand{Reserved: 1e5}
	for range 190 { // all callers are in the east
		loads[m.Choose([]int{0, 1}, loads, d, "east")].Reserved += d.Reserved
	}
	is.True(loads[0].with(Demand{}) < 0.97)
	is.True(loads[1].with(Demand{}) > 0.93)
}

func TestJobsGoWhereTheirNeedsAreMet(t *testing.T) {
	is := is.New(t)
	workers := fleet(45)
	for i := range workers {
		if workers[i].Rack == "west-r03" {
			workers[i].Labels = append(workers[i].Labels, "fast")
		}
	}
	m := settle(t, nil, input(workers, daemons("d", 18, 800, 200)))
	first := func(int) int { return 0 }
	is.Equal(m.Candidates(Needs{Racks: []string{"east-r40"}}, "west", first), []int{m.Racks["east-r40"]})
	is.Equal(m.Candidates(Needs{Pool: "pool", Labels: []string{"fast"}}, "east", first), []int{m.Racks["west-r03"]})
	is.Equal(m.Candidates(Needs{Pool: "none"}, "east", first), []int{Lead})
	for range 3 {
		is.Equal(m.Choose([]int{4, 5}, []*Load{nil, nil}, Demand{}, "east"), 4) // no owner answers
	}
}
