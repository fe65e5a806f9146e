package cell

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/job"
)

const (
	// loadTimeout is the timeout of a request for the load of a cell: a round trip between
	// regions, and a busy owner. A caller waits for it.
	loadTimeout = 250 * time.Millisecond
	// claimTTL is how long a cell's owner counts a job that is about to be stored. By then,
	// it has been notified of the job, unless that went to another cell.
	claimTTL = 400 * time.Millisecond
)

// loadClaims are the requests of jobs that daemons are about to store, by job ID.
type loadClaims map[string]loadClaim

type loadClaim struct {
	reserved, bestEffort int64
	at                   time.Time
}

// load returns the load of the cell, with the jobs that are about to be stored.
func (t *term) load(now time.Time) *peerpb.CellLoad {
	capacity, reserved, bestEffort := t.engine.Load()
	for id, claim := range t.claims {
		if now.Sub(claim.at) > claimTTL || t.engine.Job(id) != nil {
			delete(t.claims, id)
			continue
		}
		reserved += claim.reserved
		bestEffort += claim.bestEffort
	}
	return &peerpb.CellLoad{CapacityMilliCpu: capacity, ReservedMilliCpu: reserved, BestEffortMilliCpu: bestEffort}
}

// handleLoad replies with the load of the cell to a daemon that is about to store a job,
// and counts the job from then on.
func (c *Cell) handleLoad(ctx context.Context, req *peerpb.LoadRequest) *peerpb.Response {
	var load *peerpb.CellLoad
	refusal := "not the owner"
	err := c.Loop.Do(ctx, func() {
		if c.term == nil || !c.term.loaded || c.term.releasing {
			return
		}
		load = c.term.load(c.Now())
		if tasks := req.GetTasks(); tasks != nil {
			room, known := c.term.knownRoom(req.GetJob(), tasks)
			if load.TaskRoom = uint32(room); !known {
				load, refusal = nil, "the room is not known yet"
			}
			return
		}
		if c.term.engine.Job(req.GetJob()) == nil {
			c.term.claims[req.GetJob()] = loadClaim{req.GetReservedMilliCpu(), req.GetBestEffortMilliCpu(), c.Now()}
		}
	})
	if err != nil || load == nil {
		return peer.Refuse("%s", refusal)
	}
	return &peerpb.Response{Kind: &peerpb.Response_CellLoad{CellLoad: load}}
}

// knownRoom returns for how many tasks of another cell there is room, and whether that is known: during the
// recovery, workers that have not answered may have room.
func (t *term) knownRoom(job string, tasks *peerpb.TaskRequest) (room int, known bool) {
	room = t.taskRoom(job, tasks)
	return room, room > 0 || t.recovered
}

// handleState replies with the state of a job in the cell.
func (c *Cell) handleState(ctx context.Context, req *peerpb.StateRequest) *peerpb.Response {
	reply := &peerpb.StateReply{}
	owner := false
	err := c.Loop.Do(ctx, func() {
		if owner = c.term != nil && c.term.loaded; !owner {
			return
		}
		if state, ok := c.jobStates.state(req.GetJob(), c.Now()); ok {
			reply.State = string(state)
		}
	})
	if err != nil || !owner {
		return peer.Refuse("not the owner")
	}
	return &peerpb.Response{Kind: &peerpb.Response_State{State: reply}}
}

func loadOf(l *peerpb.CellLoad) cellmap.Load {
	return cellmap.Load{Capacity: l.GetCapacityMilliCpu(), Reserved: l.GetReservedMilliCpu(), BestEffort: l.GetBestEffortMilliCpu()}
}

// chooseCell returns the number of the cell that a new job should go to. It asks the
// owners of a few cells for their loads, because jobs that arrive together would all go to
// the cell that was the least loaded before.
func (g *Group) chooseCell(ctx context.Context, spec job.Spec) int {
	v := g.view.Load()
	if v.cellMap == nil {
		return cellmap.Lead
	}
	demand := cellmap.DemandOf(spec)
	candidates := v.cellMap.Candidates(g.needs(spec), g.options.Region, rand.IntN)
	candidates = g.withMemory(spec, candidates)
	loads := make([]*cellmap.Load, len(candidates))
	var wg sync.WaitGroup
	for i, n := range candidates {
		wg.Go(func() { loads[i] = g.askLoad(ctx, n, spec.ID, demand.Share(len(candidates))) })
	}
	wg.Wait()
	owned := make([]bool, len(candidates))
	for i, n := range candidates {
		owned[i] = g.cell(n).View().Owner != ""
	}
	cellmap.AssumeLoads(loads, owned)
	n := v.cellMap.Choose(candidates, loads, demand, g.options.Region)
	g.lead.Log.WithFields(log.Fields{"event": "cell_chosen", "job": spec.ID, "cell": n, "candidates": len(candidates)}).Debug("chose the cell of a job")
	return n
}

// needs returns what a job needs of its cell.
func (g *Group) needs(spec job.Spec) cellmap.Needs {
	needs := cellmap.NeedsOf(spec)
	if config := g.View().Config; config != nil {
		for _, r := range config.Routes {
			if r.Queue.Name == spec.Queue {
				needs.Pool = r.Queue.Pool
			}
		}
	}
	return needs
}

// askLoad asks the owner of a cell for its load, and to count a demand that may follow, or returns nil if it does not answer.
func (g *Group) askLoad(ctx context.Context, n int, id string, demand cellmap.Demand) *cellmap.Load {
	reported := g.requestLoad(ctx, &peerpb.LoadRequest{
		Cell: uint32(n), Job: id, ReservedMilliCpu: demand.Reserved, BestEffortMilliCpu: demand.BestEffort,
	})
	if reported == nil {
		return nil
	}
	load := loadOf(reported)
	return &load
}

// askRoom asks the owner of a cell for how many tasks it has room. It returns noAnswer if the
// owner does not answer, and zero if it is a daemon of an earlier version.
func (g *Group) askRoom(ctx context.Context, n int, id string, tasks *peerpb.TaskRequest) int {
	load := g.requestLoad(ctx, &peerpb.LoadRequest{Cell: uint32(n), Job: id, Tasks: tasks})
	if load == nil {
		return noAnswer
	}
	return int(load.GetTaskRoom())
}

// requestLoad sends a request for the load of a cell to its owner, and returns nil if it does
// not answer.
func (g *Group) requestLoad(ctx context.Context, load *peerpb.LoadRequest) *peerpb.CellLoad {
	c := g.cell(int(load.GetCell()))
	view := c.View()
	if view.Owner == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req := &peerpb.Request{Kind: &peerpb.Request_CellLoad{CellLoad: load}}
	var resp *peerpb.Response
	if view.IsOwner {
		resp = c.Handle(ctx, req)
	} else {
		var err error
		if resp, err = g.lead.Peers.Call(ctx, view.Owner, req); err != nil {
			g.lead.Log.WithFields(log.Fields{"event": "load_unknown", "cell": load.GetCell(), "owner": view.Owner}).WithError(err).Debug("the owner of the cell does not tell its load")
			return nil
		}
	}
	return resp.GetCellLoad()
}
