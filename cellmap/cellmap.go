// Package cellmap decides how the workers of an installation are divided into cells, which
// daemons may own each cell, and which cell an accepted job goes to.
//
// A cell is a set of whole racks of one region. The lead cell, number zero, always exists;
// its owner keeps the map. An installation that one daemon can carry has no other cell and
// no map. All functions are pure: they perform no I/O and read no clock.
package cellmap

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/bambooyard/bambooyard/internal/port"
)

// Lead is the number of the lead cell.
const Lead = 0

// Map is the division of an installation into cells. A Map is immutable; Update returns
// the next one.
type Map struct {
	// Version increases with every change.
	Version int64  `json:"version"`
	Cells   []Cell `json:"cells"`
	// Racks holds the number of the cell that each rack belongs to, by RackOf. A rack
	// never changes its cell.
	Racks map[string]int `json:"racks"`
}

// Cell is one cell of a Map. Its number is its index.
type Cell struct {
	Region string `json:"region"`
	// MilliCPU is the processor capacity of its workers in thousandths of a core.
	MilliCPU int64 `json:"cpu"`
	// FirstEpoch is above every epoch that the cell's workers may have seen when the cell
	// was created: the lead cell's owner may have called them.
	FirstEpoch int64 `json:"epoch,omitempty"`
	// Pools and Labels are those of its workers, sorted. Racks are left out of Labels.
	Pools  []string `json:"pools,omitempty"`
	Labels []string `json:"labels,omitempty"`
	// Members are the daemons that may own the cell, in the order in which they should.
	// The lead cell has none: every daemon may own it.
	Members []Member `json:"members,omitempty"`
}

// Member is a daemon that may own a cell.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Encode returns the stored form of the map.
func (m *Map) Encode() []byte {
	value, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return value
}

// MapError reports a cell map that is inconsistent.
type MapError struct {
	Rack string
	// Cell is the number of a cell that the map does not have.
	Cell int
}

// Error implements error.
func (e *MapError) Error() string {
	return fmt.Sprintf("rack %q is in cell %d, which the cell map lacks", e.Rack, e.Cell)
}

// Decode decodes the stored form of a map. The error is a *MapError or that of the JSON
// decoder.
func Decode(value []byte) (*Map, error) {
	m := &Map{}
	if err := json.Unmarshal(value, m); err != nil {
		return nil, err
	}
	if len(m.Cells) == 0 {
		return nil, &MapError{Cell: Lead}
	}
	for rack, n := range m.Racks {
		if n < 0 || n >= len(m.Cells) {
			return nil, &MapError{rack, n}
		}
	}
	return m, nil
}

// RackOf returns the name under which a worker's rack is in the map. Workers without a
// rack are grouped by data centre.
func RackOf(w port.WorkerEntry) string {
	if w.Rack != "" {
		return w.Rack
	}
	return "data-centre/" + w.DataCentre
}

// CellOf returns the number of the cell that a worker belongs to, and false if its rack is
// not in the map yet. Without a map, all workers belong to the lead cell.
func (m *Map) CellOf(w port.WorkerEntry) (int, bool) {
	if m == nil {
		return Lead, true
	}
	n, ok := m.Racks[RackOf(w)]
	return n, ok
}

// Role returns the position of a daemon among the members of a cell, or -1.
func (m *Map) Role(cell int, daemon string) int {
	if m == nil || cell >= len(m.Cells) {
		return -1
	}
	return slices.IndexFunc(m.Cells[cell].Members, func(member Member) bool { return member.Name == daemon })
}

// clone returns a deep copy of the map with the next version.
func (m *Map) clone() *Map {
	next := &Map{Version: m.Version + 1, Racks: maps.Clone(m.Racks), Cells: slices.Clone(m.Cells)}
	for i := range next.Cells {
		next.Cells[i].Members = slices.Clone(m.Cells[i].Members)
	}
	return next
}

// Daemon is what is known of a daemon.
type Daemon struct {
	Name    string
	Address string
	Region  string
	// MilliCPU is its processor capacity in thousandths of a core, and LinkMbps that of its
	// network link in 1,000,000 bits per second. Zero means that it is not known.
	MilliCPU int64
	LinkMbps int64
	// Reachable is set while the daemon answers the owner of the lead cell, and Stopping
	// while it shuts down.
	Reachable, Stopping bool
	// StoreFailing is set while calls of the daemon to the store fail.
	StoreFailing bool
	// Lead is set for the owner of the lead cell.
	Lead bool
}

// usable reports whether the daemon may be given a cell.
func (d Daemon) usable() bool { return d.Reachable && !d.Stopping }

// Input is the state of an installation.
type Input struct {
	Workers []port.WorkerEntry
	Daemons []Daemon
	// Owners holds the names of the daemons that report that they own a cell and can commit,
	// by number.
	Owners map[int]string
	// RegionOf returns the region of a data centre.
	RegionOf func(dataCentre string) string
	// Epoch is the epoch of the lead cell's owner.
	Epoch int64
	// Busy holds the racks with runs of the lead cell, or with ends that its owner may not
	// have committed and acknowledged. They stay in it when the installation is divided for
	// the first time.
	Busy map[string]bool
}

// rack is a rack and its workers.
type rack struct {
	name, region, dataCentre string
	workers                  []port.WorkerEntry
}

// racks returns the racks of the workers, sorted by region, data centre and name.
func (in Input) racks() []rack {
	byName := map[string]*rack{}
	for _, w := range in.Workers {
		name := RackOf(w)
		r := byName[name]
		if r == nil {
			r = &rack{name: name, region: in.RegionOf(w.DataCentre), dataCentre: w.DataCentre}
			byName[name] = r
		}
		r.workers = append(r.workers, w)
	}
	all := make([]rack, 0, len(byName))
	for _, r := range byName {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b rack) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.name, b.name))
	})
	return all
}

// Update returns the map that follows from the state of an installation, and whether it
// differs from the previous one. The previous map is nil if there is none; so is the
// result while one cell is enough.
func Update(previous *Map, in Input) (*Map, bool) {
	if previous == nil {
		m := divide(in)
		if m == nil {
			return nil, false
		}
		m.describeCells(in)
		m.assignMembers(in)
		return m, true
	}
	m := previous.clone()
	changed := m.addRacks(in)
	changed = m.describeCells(in) || changed
	changed = m.assignMembers(in) || changed
	if !changed {
		return previous, false
	}
	return m, true
}

// describeCells updates the properties of the cells that follow from their workers, and
// reports whether any has changed. Workers that are away for a while change nothing.
func (m *Map) describeCells(in Input) bool {
	changed := false
	capacity := make([]int64, len(m.Cells))
	for _, w := range in.Workers {
		n, ok := m.CellOf(w)
		if !ok {
			continue
		}
		c := &m.Cells[n]
		capacity[n] += w.Capacity.MilliCPU
		changed = insert(&c.Pools, w.Pool) || changed
		for _, label := range w.Labels {
			if label != w.Rack {
				changed = insert(&c.Labels, label) || changed
			}
		}
	}
	for n := range m.Cells {
		if capacity[n] > m.Cells[n].MilliCPU {
			m.Cells[n].MilliCPU, changed = capacity[n], true
		}
	}
	return changed
}

// insert adds a value to a sorted set, and reports whether it was missing. The slice is
// not changed in place, because maps share it.
func insert(set *[]string, value string) bool {
	i, found := slices.BinarySearch(*set, value)
	if found {
		return false
	}
	*set = slices.Insert(slices.Clone(*set), i, value)
	return true
}
