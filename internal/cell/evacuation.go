package cell

import (
	"context"
	"slices"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
)

// logEvacuations logs the evacuations that begin or end with a list of workers. While a data
// centre has no listed worker, the list does not show whether its evacuation has ended.
func (t *term) logEvacuations() {
	current := t.engine.Evacuations()
	for _, ev := range current {
		if !t.evacuated[ev.DataCentre] {
			t.evacuated[ev.DataCentre] = true
			t.logEvacuation("evacuation_begins", ev).Warn("the data centre is under evacuation; starting no tasks there")
		}
	}
	for name := range t.evacuated {
		if slices.ContainsFunc(current, func(ev port.Evacuation) bool { return ev.DataCentre == name }) {
			continue
		}
		if ev := t.engine.CountIn(name); ev.Workers > 0 {
			delete(t.evacuated, name)
			t.logEvacuation("evacuation_ended", ev).Warn("the evacuation has been withdrawn")
		}
	}
}

func (t *term) logEvacuation(event string, ev port.Evacuation) *log.Entry {
	return t.log.WithFields(log.Fields{"event": event, "data_centre": ev.DataCentre, "workers": ev.Workers, "services": ev.Services, "tasks": ev.Tasks})
}

// observeEvacuations updates the gauges, which are sums over the cells that this daemon owns.
func (g *Group) observeEvacuations() {
	workers, runs := 0, 0
	for _, c := range append(g.others(), g.lead) {
		if c.term == nil {
			continue
		}
		for _, ev := range c.term.engine.Evacuations() {
			workers += ev.Workers
			runs += ev.Services + ev.Tasks
		}
	}
	g.lead.instruments.evacuatingWorkers.Update(int64(workers))
	g.lead.instruments.evacuatingRuns.Update(int64(runs))
}

// States returns the state of all cells, as far as this daemon knows it.
func (g *Group) States(ctx context.Context) ([]port.CellState, error) {
	var states []port.CellState
	err := g.lead.Loop.Do(ctx, func() {
		states = append(states, g.leadState())
		if g.cellMap == nil {
			return
		}
		for n := cellmap.Lead + 1; n < len(g.cellMap.Cells); n++ {
			states = append(states, g.stateOf(n))
		}
	})
	return states, err
}

// leadState returns the state of the lead cell, which this daemon owns or follows.
func (g *Group) leadState() port.CellState {
	c := g.lead
	state := port.CellState{Number: cellmap.Lead, Owner: c.owner.Name}
	switch {
	case c.term != nil:
		state.Known, state.Evacuations = c.term.loaded, c.term.engine.Evacuations()
	case !c.link.repliedAt.IsZero() && c.Now().Sub(c.link.repliedAt) < statusTTL:
		state.Known, state.Evacuations = true, c.reportedEvacuations
	}
	return state
}

// stateOf returns the state of another cell, as its owner has told it.
func (g *Group) stateOf(n int) port.CellState {
	state := port.CellState{Number: n}
	known, ok := g.statuses[n]
	if !ok {
		return state
	}
	state.Owner = known.status.GetOwner()
	if g.lead.Now().Sub(known.at) < statusTTL && !known.status.GetLoading() {
		state.Known, state.Evacuations = true, decodeEvacuations(known.status.GetEvacuations())
	}
	return state
}

func encodeEvacuations(all []port.Evacuation) []*peerpb.Evacuation {
	var encoded []*peerpb.Evacuation
	for _, ev := range all {
		encoded = append(encoded, &peerpb.Evacuation{
			DataCentre: ev.DataCentre, Workers: uint32(ev.Workers), Services: uint32(ev.Services), Tasks: uint32(ev.Tasks),
		})
	}
	return encoded
}

func decodeEvacuations(encoded []*peerpb.Evacuation) []port.Evacuation {
	var all []port.Evacuation
	for _, ev := range encoded {
		all = append(all, port.Evacuation{
			DataCentre: ev.GetDataCentre(), Workers: int(ev.GetWorkers()), Services: int(ev.GetServices()), Tasks: int(ev.GetTasks()),
		})
	}
	return all
}
