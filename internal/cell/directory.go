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
	// version increases with every change, within one owner of the lead cell, whose epoch is
	// epoch. The epoch is zero for a list that is not one of such an owner.
	version uint64
	epoch   int64
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
			g.setOwnRead(n, byCell[n])
		}
	} else {
		g.setOwnRead(cellmap.Lead, byCell[cellmap.Lead])
	}
}

// setOwnRead replaces the list of a cell's workers by what the owner of the lead cell has
// read. A change increases the version.
func (g *Group) setOwnRead(n int, workers []port.WorkerEntry) {
	d, epoch := g.directory(n), g.lead.term.epoch
	known := d.current.Load()
	if d.epoch != epoch || known == nil || !reflect.DeepEqual(known.workers, workers) {
		d.version++
	}
	d.epoch = epoch
	d.current.Store(&workerList{workers, g.workersReadAt})
}

// directory returns the list of a cell's workers, which may be empty.
func (g *Group) directory(n int) *cellDirectory {
	d := g.directories[n]
	if d == nil {
		d = &cellDirectory{}
		g.directories[n] = d
	}
	return d
}

// ageDirectories makes all lists older, by a time in which the clock stood still.
func (g *Group) ageDirectories(by time.Duration) {
	if !g.workersReadAt.IsZero() {
		g.workersReadAt = g.workersReadAt.Add(-by)
	}
	for _, d := range g.directories {
		if known := d.current.Load(); known != nil {
			d.current.Store(&workerList{known.workers, known.readAt.Add(-by)})
		}
	}
}

// workersOf returns the workers of a cell.
func (g *Group) workersOf(n int) []port.WorkerEntry {
	if d := g.directories[n]; d != nil && d.current.Load() != nil {
		return d.current.Load().workers
	}
	return nil
}

// directoryVersion returns the version of a cell's list that the owner of the lead cell in an
// epoch has told; zero if the list is not one of those.
func (g *Group) directoryVersion(n int, epoch int64) uint64 {
	if d := g.directories[n]; d != nil && d.epoch == epoch {
		return d.version
	}
	return 0
}

// tellWorkers adds to a reply the lists of workers that a daemon wants. Older ones are of no
// use to it.
func (g *Group) tellWorkers(req *peerpb.FollowRequest, reply *peerpb.FollowReply, now time.Time) {
	epoch := g.lead.term.epoch
	for _, wanted := range req.GetWorkers() {
		d := g.directories[int(wanted.GetCell())]
		if d == nil || d.epoch != epoch || now.Sub(d.current.Load().readAt) >= directoryTTL {
			continue
		}
		if req.GetEpoch() != epoch {
			wanted = &peerpb.WorkersVersion{Cell: wanted.GetCell()} // a version of another owner
		}
		reply.Workers = append(reply.Workers, d.encode(wanted, g.readsEvacuations(), now))
	}
}

// encode returns the list for a daemon that has the version wanted of this owner, or only its
// age if that is the current one.
func (d *cellDirectory) encode(wanted *peerpb.WorkersVersion, evacuationsRead bool, now time.Time) *peerpb.CellWorkers {
	list := d.current.Load()
	encoded := &peerpb.CellWorkers{
		Cell: wanted.GetCell(), Version: d.version, AgeMs: uint64(max(0, now.Sub(list.readAt).Milliseconds())),
		Unchanged: wanted.GetVersion() == d.version, EvacuationsRead: evacuationsRead,
	}
	if encoded.Unchanged {
		return encoded
	}
	for _, w := range list.workers {
		encoded.Workers = append(encoded.Workers, &peerpb.WorkerEntry{
			Id: w.ID, Pool: w.Pool, Address: w.Address, DataCentre: w.DataCentre, Draining: w.Draining,
			RemainingMs: w.Remaining.Milliseconds(), WarmUpMs: w.WarmUp.Milliseconds(),
			MilliCpu: w.Capacity.MilliCPU, MemoryMb: w.Capacity.MemoryMB, Gpu: w.Capacity.GPU,
			Labels: w.Labels, Rack: w.Rack, Boot: w.Boot, Evacuating: w.Evacuating,
		})
	}
	return encoded
}

// readsEvacuations reports whether this daemon reads the evacuations with the directory.
func (g *Group) readsEvacuations() bool { return g.options.Lead.Engine.MaxEvacuation > 0 }

// receiveWorkers applies a list of workers from a reply to a poll that was sent at a time. An
// owner tells its lists in the order in which it has read them. Of those of different owners,
// and those that this daemon has read, the later one is kept.
func (g *Group) receiveWorkers(list *peerpb.CellWorkers, epoch int64, sentAt time.Time) {
	if g.readsEvacuations() && !list.GetEvacuationsRead() {
		return // of a daemon of an earlier version: this one reads the directory itself
	}
	n, readAt := int(list.GetCell()), sentAt.Add(-milliseconds(list.GetAgeMs()))
	d := g.directory(n)
	known := d.current.Load()
	if list.GetUnchanged() {
		if known != nil && d.epoch == epoch && d.version == list.GetVersion() && readAt.After(known.readAt) {
			d.current.Store(&workerList{known.workers, readAt})
		}
		return
	}
	if known != nil && (d.epoch != epoch || list.GetVersion() <= d.version) && !readAt.After(known.readAt) {
		return
	}
	d.version, d.epoch = list.GetVersion(), epoch
	d.current.Store(&workerList{decodeWorkers(list), readAt})
}

func decodeWorkers(list *peerpb.CellWorkers) []port.WorkerEntry {
	workers := make([]port.WorkerEntry, 0, len(list.GetWorkers()))
	for _, w := range list.GetWorkers() {
		workers = append(workers, decodeWorkerEntry(w))
	}
	return workers
}

func decodeWorkerEntry(w *peerpb.WorkerEntry) port.WorkerEntry {
	entry := port.WorkerEntry{
		ID: w.GetId(), Pool: w.GetPool(), Address: w.GetAddress(), DataCentre: w.GetDataCentre(), Draining: w.GetDraining(),
		Remaining: time.Duration(w.GetRemainingMs()) * time.Millisecond, WarmUp: time.Duration(w.GetWarmUpMs()) * time.Millisecond,
		Labels: w.GetLabels(), Rack: w.GetRack(), Boot: w.GetBoot(), Evacuating: w.GetEvacuating(),
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
	var suspended time.Duration
	err := d.g.lead.Loop.Do(ctx, func() {
		d.g.lead.checkStall(d.g.lead.Now())
		m, suspended = d.g.cellMap, d.g.lead.suspendedFor
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
	d.g.lead.Loop.Post(func() { d.g.keepOwnRead(d.cell, own, began.Add(-d.g.lead.suspendedSince(suspended))) })
	return workerList{own, began}, nil
}

// keepOwnRead keeps a list that this daemon has read, so that it is not read again soon,
// unless a later one is known.
func (g *Group) keepOwnRead(n int, workers []port.WorkerEntry, readAt time.Time) {
	d := g.directory(n)
	if known := d.current.Load(); known != nil && !readAt.After(known.readAt) {
		return
	}
	d.epoch = 0 // the version stays, because an owner must not use it again
	d.current.Store(&workerList{workers, readAt})
}
