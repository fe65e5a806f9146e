package cellmap

import (
	"cmp"
	"slices"
)

// Workers that one daemon can carry as the owner of a cell, by its capacities. They follow
// from the slopes in docs/CAPACITY.md, with half of a daemon's capacity in reserve.
const (
	workersPerCore = 320
	workersPerMbps = 12
)

// growthFactor is the factor by which a cell may exceed the size that cells are planned
// for before a new rack starts a new cell.
const growthFactor = 1.5

// carries returns the number of workers that a daemon can carry. Unknown capacities set no
// limit.
func (d Daemon) carries() int {
	limit := maxWorkers
	if d.MilliCPU > 0 {
		limit = min(limit, int(d.MilliCPU*workersPerCore/1000))
	}
	if d.LinkMbps > 0 {
		limit = min(limit, int(d.LinkMbps*workersPerMbps))
	}
	return max(limit, 1)
}

// maxWorkers bounds a cell whatever the capacity of its owner: what it reads in a recovery
// grows with it.
const maxWorkers = 1000

// cellSize returns the number of workers per cell: what the daemon can carry that is
// needed if the largest daemons take one cell each.
func (in Input) cellSize(workers int) int {
	var sizes []int
	for _, d := range in.Daemons {
		if d.usable() {
			sizes = append(sizes, d.carries())
		}
	}
	slices.SortFunc(sizes, func(a, b int) int { return cmp.Compare(b, a) })
	for n, size := range sizes {
		if cells := n + 1; size*cells >= workers {
			return (workers + cells - 1) / cells
		}
	}
	if len(sizes) == 0 {
		return maxWorkers
	}
	return sizes[len(sizes)-1]
}

// divide returns the first map of an installation, or nil if one cell is enough.
func divide(in Input) *Map {
	racks := in.racks()
	workers := 0
	for _, r := range racks {
		workers += len(r.workers)
	}
	size := in.cellSize(workers)
	if workers <= size {
		return nil
	}
	m := &Map{Version: 1, Racks: map[string]int{}, Cells: []Cell{{Region: in.leadRegion(racks)}}}
	leadTaken := false
	for _, r := range racks {
		if in.Busy[r.name] {
			m.Racks[r.name] = Lead
			leadTaken = true
		}
	}
	for _, region := range regionsOf(racks) {
		free := slices.DeleteFunc(slices.Clone(racks), func(r rack) bool { return r.region != region || in.Busy[r.name] })
		for _, part := range split(free, size) {
			n := len(m.Cells)
			if region == m.Cells[Lead].Region && !leadTaken {
				n, leadTaken = Lead, true
			} else {
				m.Cells = append(m.Cells, Cell{Region: region, FirstEpoch: in.Epoch + 1})
			}
			for _, r := range part {
				m.Racks[r.name] = n
			}
		}
	}
	return m
}

// leadRegion returns the region of the lead cell: that of its owner, or any with workers.
func (in Input) leadRegion(racks []rack) string {
	regions := regionsOf(racks)
	for _, d := range in.Daemons {
		if d.Lead && slices.Contains(regions, d.Region) {
			return d.Region
		}
	}
	return regions[0]
}

func regionsOf(racks []rack) []string {
	var regions []string
	for _, r := range racks {
		if !slices.Contains(regions, r.region) {
			regions = append(regions, r.region)
		}
	}
	return regions
}

// split splits racks, in their order, into the fewest parts of about a size, with about as
// many workers in each.
func split(racks []rack, size int) [][]rack {
	total := 0
	for _, r := range racks {
		total += len(r.workers)
	}
	if total == 0 {
		return nil
	}
	parts := min(len(racks), (total+size-1)/size)
	result := make([][]rack, parts)
	before := 0
	for _, r := range racks {
		middle := before + len(r.workers)/2
		n := min(middle*parts/total, parts-1)
		result[n] = append(result[n], r)
		before += len(r.workers)
	}
	return slices.DeleteFunc(result, func(part []rack) bool { return len(part) == 0 })
}

// addRacks assigns the racks that are not in the map: each to the smallest cell of its
// region, or to a new cell if all of these are full.
func (m *Map) addRacks(in Input) bool {
	sizes := make([]int, len(m.Cells))
	var added []rack
	total := 0
	for _, r := range in.racks() {
		total += len(r.workers)
		if n, ok := m.Racks[r.name]; ok {
			sizes[n] += len(r.workers)
		} else {
			added = append(added, r)
		}
	}
	size := in.cellSize(total)
	for _, r := range added {
		best := -1
		for n, c := range m.Cells {
			if c.Region == r.region && (best < 0 || sizes[n] < sizes[best]) {
				best = n
			}
		}
		if best < 0 || float64(sizes[best]+len(r.workers)) > growthFactor*float64(size) {
			best = len(m.Cells)
			m.Cells = append(m.Cells, Cell{Region: r.region, FirstEpoch: in.Epoch + 1})
			sizes = append(sizes, 0)
		}
		m.Racks[r.name] = best
		sizes[best] += len(r.workers)
	}
	return len(added) > 0
}
