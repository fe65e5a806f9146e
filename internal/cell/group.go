package cell

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// maxCells bounds the numbers of cells in rows that this daemon reads.
const maxCells = 10_000

// GroupOptions configure a Group.
type GroupOptions struct {
	// Lead are the options of the lead cell. The other cells differ in their numbers,
	// partitions and directories.
	Lead Options
	// DataCentre and Region are where this daemon runs.
	DataCentre, Region string
	// RegionOf returns the region of a data centre.
	RegionOf func(dataCentre string) string
	// LinkMbps is the capacity of this daemon's network link in 1,000,000 bits per second;
	// zero means that it is not known.
	LinkMbps int64
}

// Group holds the cells of an installation as one daemon sees them: those that it owns or
// may own, and the others, for the requests of callers. Every daemon follows the owner of
// the lead cell, which tells all daemons the cell map, the owners of the cells and their
// loads.
//
// Control state is accessed on the control loop only. Submit, State, Cancel, Pending,
// Handle and View are safe for concurrent use. Group implements port.Jobs.
type Group struct {
	options GroupOptions
	lead    *Cell

	mu    sync.Mutex
	cells map[int]*Cell // by number, without the lead cell

	// view is the state that callers' requests need.
	view      atomic.Pointer[groupView]
	locations locations

	// The following fields belong to the control loop.
	cellMap  *cellmap.Map // nil while there is only the lead cell
	statuses map[int]cellStatus
	// daemons is what the owner of the lead cell knows of the daemons that follow it.
	daemons map[string]followingDaemon
	// workers are those of all cells, which the owner of the lead cell reads at
	// workersReadAt. The lists of the cells are in directories. Their number last increased
	// at workersGrewAt.
	workers       []port.WorkerEntry
	workersReadAt time.Time
	workersGrewAt time.Time
	directories   map[int]*cellDirectory

	// shared is what the owner of the lead cell has been told of the interference of
	// images. learnedVersion is the version up to which this daemon has been told, in
	// learnedEpoch of the lead cell; untold are the pairs in the poll that is in flight.
	shared         sharedPairs
	learnedVersion uint64
	learnedEpoch   int64
	untold         []dispatch.LearnedPair
}

// groupView is an immutable snapshot for requests.
type groupView struct{ cellMap *cellmap.Map }

// NewGroup returns a Group; Start must be called to run it.
func NewGroup(o GroupOptions) *Group {
	g := &Group{
		options: o, cells: map[int]*Cell{}, statuses: map[int]cellStatus{},
		daemons: map[string]followingDaemon{}, directories: map[int]*cellDirectory{},
		shared: sharedPairs{versions: map[pairKey]uint64{}, pairs: map[pairKey]dispatch.LearnedPair{}},
	}
	g.locations.init()
	g.lead = New(o.Lead)
	g.lead.group = g
	g.view.Store(&groupView{})
	return g
}

// Start schedules the periodic work on the control loop.
func (g *Group) Start() {
	g.lead.Start()
	g.lead.Loop.Post(g.readMap)
	g.lead.Loop.Every(tickInterval, g.tick)
}

// View returns the latest snapshot of the lead cell, whose configuration is that of all
// cells.
func (g *Group) View() *View { return g.lead.View() }

// tick runs the periodic work of the cells that this daemon owns or may own. It runs on
// the control loop.
func (g *Group) tick(now time.Time) {
	for _, c := range g.others() {
		if c.role >= 0 || c.term != nil {
			c.tick(now)
		} else {
			c.pruneStates(now)
		}
	}
	g.observeOwned(g.lead.Now())
}

// publish makes the map visible to callers' requests.
func (g *Group) publish() { g.view.Store(&groupView{cellMap: g.cellMap}) }

// others returns the cells other than the lead cell.
func (g *Group) others() []*Cell {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*Cell, 0, len(g.cells))
	for _, c := range g.cells {
		all = append(all, c)
	}
	return all
}

// cell returns a cell by its number.
func (g *Group) cell(n int) *Cell {
	if n == cellmap.Lead {
		return g.lead
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cells[n]
	if c == nil {
		o := g.options.Lead
		o.Number, o.LeadPartition = n, o.Partition
		o.Partition = fmt.Sprintf("c%d", n)
		o.Directory = groupDirectory{g, n}
		c = New(o)
		c.group, c.role = g, -1
		g.cells[n] = c
		g.lead.Loop.Post(func() {
			c.adopt(g.lead.config, g.lead.configConfirmedAt)
			c.publish()
		})
	}
	return c
}

// shareConfig puts the lead cell's configuration in force in all cells.
func (g *Group) shareConfig(config *port.Config, at time.Time) {
	for _, c := range g.others() {
		c.adopt(config, at)
		c.publish()
	}
}

// readMap reads the cell map from the store, so that this daemon can take over its cells
// before the lead cell has an owner. A failed read is not repeated, because the lead
// cell's owner tells the map.
func (g *Group) readMap() {
	control.Async(g.lead.Loop, func(ctx context.Context) (port.Page, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return g.lead.readMap(ctx)
	}, func(page port.Page, err error) {
		g.lead.recordStoreResult(err, g.lead.Now())
		if err == nil {
			g.restoreMap(page)
		}
	})
}

// readMap reads the cell map.
func (c *Cell) readMap(ctx context.Context) (port.Page, error) {
	if c.group == nil || !c.isLead() {
		return port.Page{}, nil
	}
	return c.Store.Range(ctx, tableMap, c.Partition, mapKey, mapKey+"\x00", 1)
}

// restoreMap adopts the map in the rows of a read.
func (g *Group) restoreMap(page port.Page) {
	for _, row := range page.Rows {
		g.adoptEncodedMap(row.Value)
	}
}

func (g *Group) adoptEncodedMap(value []byte) {
	m, err := cellmap.Decode(value)
	if err != nil {
		g.lead.Log.WithField("event", "cell_map_unreadable").WithError(err).Error("cannot decode the cell map; keeping the one in force")
		return
	}
	g.adoptMap(m)
}

// adoptMap puts a committed cell map in force. Older versions are ignored.
func (g *Group) adoptMap(m *cellmap.Map) {
	if g.cellMap != nil && m.Version <= g.cellMap.Version {
		return
	}
	g.cellMap = m
	now := g.lead.Now()
	g.lead.Log.WithFields(log.Fields{"event": "cell_map_adopted", "version": m.Version, "cells": len(m.Cells), "racks": len(m.Racks)}).Info("cell map is in force")
	for n := cellmap.Lead + 1; n < len(m.Cells); n++ {
		c := g.cell(n)
		if role := m.Role(n, g.lead.Self.Name); role != c.role {
			c.role, c.roleSince = role, now
			c.publish()
		}
	}
	g.splitWorkers()
	if t := g.lead.term; t != nil && t.loaded {
		t.engine.SetWorkers(t.leadWorkers(), now)
	}
	g.publish()
}

// Release releases the cells that this daemon owns, and prevents it from acquiring any. It
// returns nil once they are released, or the errors of ctx or the loop.
func (g *Group) Release(ctx context.Context) error {
	all := append(g.others(), g.lead)
	errs := make([]error, len(all))
	var wg sync.WaitGroup
	for i, c := range all {
		wg.Go(func() { errs[i] = c.Release(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Handle handles a request of another daemon for any cell. It is safe for concurrent use.
func (g *Group) Handle(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	n := 0
	switch kind := req.GetKind().(type) {
	case *peerpb.Request_Follow:
		n = int(kind.Follow.GetCell())
	case *peerpb.Request_News:
		n = int(kind.News.GetCell())
	case *peerpb.Request_State:
		n = int(kind.State.GetCell())
	case *peerpb.Request_CellLoad:
		n = int(kind.CellLoad.GetCell())
	case *peerpb.Request_Successor:
		n = int(kind.Successor.GetCell())
	}
	if m := g.view.Load().cellMap; n != cellmap.Lead && (m == nil || n >= len(m.Cells)) {
		return peer.Refuse("cell %d is not known", n)
	}
	return g.cell(n).Handle(ctx, req)
}

// Submit implements port.Jobs. The job is stored in the cell that would be least loaded
// with it.
func (g *Group) Submit(ctx context.Context, spec job.Spec) error {
	n, known := g.locations.get(spec.ID)
	if !known {
		n = g.chooseCell(ctx, spec)
	}
	err := g.cell(n).Submit(ctx, spec)
	var other *OtherCellError
	if errors.As(err, &other) {
		n, err = other.Cell, nil
	}
	if err == nil {
		g.locations.set(spec.ID, n, g.lead.Now())
	}
	return err
}

// State implements port.Jobs.
func (g *Group) State(ctx context.Context, id string) (job.State, error) {
	var state job.State
	err := g.inCellOf(ctx, id, func(c *Cell) (err error) {
		state, err = c.State(ctx, id)
		return err
	})
	return state, err
}

// Cancel implements port.Jobs.
func (g *Group) Cancel(ctx context.Context, id string) error {
	return g.inCellOf(ctx, id, func(c *Cell) error { return c.Cancel(ctx, id) })
}

// Pending implements port.Jobs. The number is known only if those of all cells are.
func (g *Group) Pending(queue string) (int, error) {
	total, err := g.lead.Pending(queue)
	if m := g.view.Load().cellMap; m != nil {
		for n := cellmap.Lead + 1; err == nil && n < len(m.Cells); n++ {
			var pending int
			pending, err = g.cell(n).Pending(queue)
			total += pending
		}
	}
	if err != nil {
		return 0, err
	}
	return total, nil
}

// find returns the cell that a job is in. Without a row that tells the cell, it is the lead
// cell, which knows whether the job exists.
func (g *Group) find(ctx context.Context, id string) (*Cell, error) {
	if n, ok := g.locations.get(id); ok {
		return g.cell(n), nil
	}
	if _, ok := g.lead.jobStates.state(id, g.lead.Now()); ok {
		return g.lead, nil
	}
	row, err := g.lead.readRow(ctx, tableIndex, g.lead.jobPartition(id), id)
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return g.lead, nil
	}
	record, err := decode[jobRecord](row)
	if err == nil && (record.Cell <= cellmap.Lead || record.Cell >= maxCells) {
		err = &RowError{tableIndex, id, fmt.Errorf("cell %d is out of range", record.Cell)}
	}
	if err != nil {
		g.lead.Log.WithField("event", "job_row_unreadable").WithError(err).Error("cannot decode the index row of a job; failing the request")
		return nil, storeError(err, true)
	}
	g.locations.set(id, record.Cell, g.lead.Now())
	return g.cell(record.Cell), nil
}

// locations remembers the cells of jobs. It is safe for concurrent use.
type locations struct {
	mu       sync.Mutex
	cells    map[string]location
	prunedAt time.Time
}

type location struct {
	cell int
	at   time.Time
}

func (l *locations) init() { l.cells = map[string]location{} }

func (l *locations) get(id string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.cells[id]
	return found.cell, ok
}

// set records a job's cell, and forgets those of jobs that were recorded long ago.
func (l *locations) set(id string, cell int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cells[id] = location{cell, now}
	if now.Sub(l.prunedAt) < time.Minute {
		return
	}
	l.prunedAt = now
	for id, known := range l.cells {
		if now.Sub(known.at) > stateRetention {
			delete(l.cells, id)
		}
	}
}
