package cellmap

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against services that find no capacity in one cell while another has plenty: a
// surge of services came within half a second after the division, before the second cell
// had an owner, and two thirds of them went to the first cell.
func TestSurgeBeforeACellHasAnOwnerFillsAllCells(t *testing.T) {
	is := is.New(t)
	m := &Map{Cells: []Cell{{Region: "a"}, {Region: "b"}}}
	jobs := [2]int{}
	first := Load{Capacity: 18_000_000}
	service := Demand{Reserved: 180_000}
	for i := range 160 {
		region := []string{"a", "b"}[i%2]
		known := first
		loads := []*Load{&known, nil}
		AssumeLoads(loads, []bool{true, false})
		n := m.Choose([]int{0, 1}, loads, service, region)
		if jobs[n]++; n == 0 {
			first.Reserved += service.Reserved
		}
	}
	is.True(jobs[0] >= 72 && jobs[0] <= 88) // half, and a tenth more or less
}

// Guards against jobs that go to a cell whose owner does not reply while others have capacity.
func TestSilentOwnersCountAsLoaded(t *testing.T) {
	is := is.New(t)
	loads := []*Load{{Capacity: 100, Reserved: 60}, nil, nil}
	AssumeLoads(loads, []bool{true, true, false})
	is.Equal(*loads[1], Load{Capacity: 100, Reserved: silentLoad})
	is.Equal(loads[2].with(Demand{}), 0.6)
	none := []*Load{nil, nil}
	AssumeLoads(none, []bool{false, true})
	is.Equal(*none[0], Load{Capacity: 100, Reserved: unownedLoad})
	is.Equal(*none[1], Load{Capacity: 100, Reserved: silentLoad})
}
