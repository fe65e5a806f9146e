package cell

import (
	"context"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
)

// directoryTTL is how long a list of workers that the lead cell's owner has told is used.
// After that, the owner of a cell reads the directory itself: it must have done so before
// the capacities in the list are too old for starts, at 4 s.
const directoryTTL = 2500 * time.Millisecond

// cellDirectory is the list of the workers of one cell.
type cellDirectory struct {
	// version increases with every change, within one owner of the lead cell.
	version uint64
	// current is read on any goroutine.
	current atomic.Pointer[workerList]
}

// workerList is an immutable list of workers as of a time.
type workerList struct {
	workers []port.WorkerEntry
	readAt  time.Time
}

// setWorkers applies the directory as read by the owner of the lead cell at a time.
func (g *Group) setWorkers(list []port.WorkerEntry, readAt time.Time) {
	if len(list) > len(g.workers) {
		g.workersGrewAt = readAt
	}
	g.workers, g.workersReadAt = list, readAt
	g.splitWorkers()
}

// splitWorkers divides the directory among the cells. Workers of racks that are not in the
// map belong to no cell yet.
func (g *Group) splitWorkers() {
	if g.workersReadAt.IsZero() || g.lead.term == nil {
		return
	}
	byCell := map[int][]port.WorkerEntry{cellmap.Lead: nil}
	for _, w := range g.workers {
		if n, ok := g.cellMap.CellOf(w); ok {
			byCell[n] = append(byCell[n], w)
		}
	}
	if g.cellMap != nil {
		for n := range g.cellMap.Cells {
			g.setDirectory(n, byCell[n], g.workersReadAt, 0)
		}
	} else {
		g.setDirectory(cellmap.Lead, byCell[cellmap.Lead], g.workersReadAt, 0)
	}
}

// setDirectory replaces the list of a cell's workers. A version of zero means that the
// list was read here, so that its version increases if it has changed.
func (g *Group) setDirectory(n int, workers []port.WorkerEntry, readAt time.Time, version uint64) {
	d := g.directories[n]
	if d == nil {
		d = &cellDirectory{}
		g.directories[n] = d
	}
	known := d.current.Load()
	switch {
	case version > 0:
		d.version = version
	case known == nil || !reflect.DeepEqual(known.workers, workers):
		// The versions of an owner must differ from those of former owners.
		d.version = max(d.version+1, uint64(g.lead.Wall().UnixMilli()))
	}
	d.current.Store(&workerList{workers, readAt})
}

// workersOf returns the workers of a cell.
func (g *Group) workersOf(n int) []port.WorkerEntry {
	if d := g.directories[n]; d != nil && d.current.Load() != nil {
		return d.current.Load().workers
	}
	return nil
}

func (g *Group) directoryVersion(n int) uint64 {
	if d := g.directories[n]; d != nil {
		return d.version
	}
	return 0
}

// encode returns the list for a daemon that has the version wanted, or only its age if
// that is the current one.
func (d *cellDirectory) encode(wanted *peerpb.WorkersVersion, now time.Time) *peerpb.CellWorkers {
	list := d.current.Load()
	encoded := &peerpb.CellWorkers{
		Cell: wanted.GetCell(), Version: d.version, AgeMs: uint64(max(0, now.Sub(list.readAt).Milliseconds())),
		Unchanged: wanted.GetVersion() == d.version,
	}
	if encoded.Unchanged {
		return encoded
	}
	for _, w := range list.workers {
		encoded.Workers = append(encoded.Workers, &peerpb.WorkerEntry{
			Id: w.ID, Pool: w.Pool, Address: w.Address, DataCentre: w.DataCentre, Draining: w.Draining,
			RemainingMs: w.Remaining.Milliseconds(), WarmUpMs: w.WarmUp.Milliseconds(),
			MilliCpu: w.Capacity.MilliCPU, MemoryMb: w.Capacity.MemoryMB, Gpu: w.Capacity.GPU,
			Labels: w.Labels, Rack: w.Rack, Boot: w.Boot,
		})
	}
	return encoded
}

// receiveWorkers applies a list of workers from a reply to a poll that was sent at a time.
func (g *Group) receiveWorkers(list *peerpb.CellWorkers, sentAt time.Time) {
	n, readAt := int(list.GetCell()), sentAt.Add(-milliseconds(list.GetAgeMs()))
	if list.GetUnchanged() {
		if list.GetVersion() == g.directoryVersion(n) {
			g.setDirectory(n, g.workersOf(n), readAt, list.GetVersion())
		}
		return
	}
	workers := make([]port.WorkerEntry, 0, len(list.GetWorkers()))
	for _, w := range list.GetWorkers() {
		workers = append(workers, decodeWorkerEntry(w))
	}
	g.setDirectory(n, workers, readAt, list.GetVersion())
}

func decodeWorkerEntry(w *peerpb.WorkerEntry) port.WorkerEntry {
	entry := port.WorkerEntry{
		ID: w.GetId(), Pool: w.GetPool(), Address: w.GetAddress(), DataCentre: w.GetDataCentre(), Draining: w.GetDraining(),
		Remaining: time.Duration(w.GetRemainingMs()) * time.Millisecond, WarmUp: time.Duration(w.GetWarmUpMs()) * time.Millisecond,
		Labels: w.GetLabels(), Rack: w.GetRack(), Boot: w.GetBoot(),
	}
	entry.Capacity.MilliCPU, entry.Capacity.MemoryMB, entry.Capacity.GPU = w.GetMilliCpu(), w.GetMemoryMb(), w.GetGpu()
	return entry
}

// groupDirectory is the directory of one cell other than the lead cell. It implements
// port.Directory.
type groupDirectory struct {
	g    *Group
	cell int
}

// List implements port.Directory.
func (d groupDirectory) List(ctx context.Context) ([]port.WorkerEntry, error) {
	list, err := d.list(ctx)
	return list.workers, err
}

// listWorkers reads the list of the cell's workers or, in the lead cell, of all workers.
func (c *Cell) listWorkers(ctx context.Context) (workerList, error) {
	if d, ok := c.Directory.(groupDirectory); ok {
		return d.list(ctx)
	}
	began := c.Now()
	workers, err := c.Directory.List(ctx)
	return workerList{workers, began}, err
}

// list returns the list that the lead cell's owner has told, or reads the directory if there
// is no recent one.
func (d groupDirectory) list(ctx context.Context) (workerList, error) {
	var list *workerList
	var m *cellmap.Map
	err := d.g.lead.Loop.Do(ctx, func() {
		m = d.g.cellMap
		if known := d.g.directories[d.cell]; known != nil {
			list = known.current.Load()
		}
	})
	if err != nil {
		return workerList{}, err
	}
	if list != nil && d.g.lead.Now().Sub(list.readAt) < directoryTTL {
		return *list, nil
	}
	began := d.g.lead.Now()
	all, err := d.g.options.Lead.Directory.List(ctx)
	if err != nil {
		return workerList{}, err
	}
	var own []port.WorkerEntry
	for _, w := range all {
		if n, ok := m.CellOf(w); ok && n == d.cell {
			own = append(own, w)
		}
	}
	d.g.lead.Loop.Post(func() { d.g.keepOwnRead(d.cell, own, began) })
	return workerList{own, began}, nil
}

// keepOwnRead keeps a list that this daemon has read, so that it is not read again soon,
// unless the lead cell's owner has told a later one.
func (g *Group) keepOwnRead(n int, workers []port.WorkerEntry, readAt time.Time) {
	if d := g.directories[n]; d != nil && d.current.Load() != nil && !readAt.After(d.current.Load().readAt) {
		return
	}
	g.setDirectory(n, workers, readAt, 0)
}
