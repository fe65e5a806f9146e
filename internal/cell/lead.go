package cell

import (
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
)

// Times of the owner of the lead cell, which keeps the cell map and tells all daemons what
// they need to know of the other cells.
const (
	// mapInterval is the interval at which the map is brought up to date.
	mapInterval = 500 * time.Millisecond
	// firstMapDelay is the age of a term from which an installation is divided into cells.
	// By then, the owner has learned of its followers, and was not replaced by a larger one.
	firstMapDelay = handoverDelay + 300*time.Millisecond
	// directorySettled is how long the directory must not grow before an installation
	// without jobs is divided: workers add themselves within seconds of their start.
	directorySettled = time.Second
	// mapUpdateDelay is the age of a term from which an existing map is updated: the
	// followers need time to find a new owner.
	mapUpdateDelay = 3 * time.Second
	// daemonTTL is how long a daemon counts as reachable after its last poll.
	daemonTTL = 2 * time.Second
	// daemonRetention is how long a daemon is remembered after its last poll. If most of
	// the remembered daemons are silent, the fault is probably at the owner, and the map
	// stays as it is.
	daemonRetention = 15 * time.Second
	// statusTTL is how long what a cell's owner has told counts.
	statusTTL = 2 * time.Second
)

// followingDaemon is a daemon that follows the owner of the lead cell.
type followingDaemon struct {
	cellmap.Daemon
	seenAt time.Time
	// configVersion is the version of the configuration that the daemon can send to others; zero
	// if it cannot.
	configVersion int64
}

// cellStatus is what the owner of a cell has told, as of a time.
type cellStatus struct {
	status *peerpb.CellStatus
	at     time.Time
}

// mapKeeper holds a change of the cell map that is not committed yet.
type mapKeeper struct {
	pending   *cellmap.Map
	checkedAt time.Time
}

// putMap adds the pending map to a batch.
func (t *term) putMap(b *batch) {
	k := &t.mapKeeper
	if k.pending == nil {
		return
	}
	value := k.pending.Encode()
	if len(value) > t.c.rowBytes() {
		t.log.WithFields(log.Fields{"event": "cell_map_too_large", "bytes": len(value), "racks": len(k.pending.Racks)}).Error("the cell map is too large to be stored; keeping the one in force")
		k.pending = nil
		return
	}
	b.cellMap = k.pending
	b.put(tableMap, mapKey, value)
}

// mapCommitted puts the map of a committed batch in force.
func (t *term) mapCommitted(m *cellmap.Map) {
	if m == nil {
		return
	}
	t.mapKeeper.pending = nil
	t.c.group.adoptMap(m)
}

// updateMap brings the cell map up to date with the workers and daemons.
func (t *term) updateMap(now time.Time) {
	g, keeper := t.c.group, &t.mapKeeper
	if g == nil || !t.c.isLead() || keeper.pending != nil || now.Sub(keeper.checkedAt) < mapInterval {
		return
	}
	keeper.checkedAt = now
	if !t.mayUpdateMap(now) {
		return
	}
	next, changed := cellmap.Update(g.cellMap, g.mapInput(t, now))
	if !changed {
		return
	}
	t.log.WithFields(log.Fields{"event": "cell_map_changed", "version": next.Version, "cells": len(next.Cells), "workers": len(g.workers)}).Info("committing a new cell map")
	keeper.pending, t.urgent = next, true
	if g.cellMap == nil {
		// The map may be in force for other daemons before this one knows that it was
		// committed. From then on, this owner must not start tasks in the other cells.
		t.engine.SetWorkers(t.leadWorkers(), now)
	}
}

// mayUpdateMap reports whether this owner knows enough of the installation to change the
// map.
func (t *term) mayUpdateMap(now time.Time) bool {
	g, delay := t.c.group, firstMapDelay
	if g.cellMap != nil {
		delay = mapUpdateDelay
	}
	settled := t.recovered && now.Sub(t.startedAt) > delay && !t.failing && !t.unconfirmed
	if !settled || len(g.workers) == 0 || !g.mostDaemonsReachable(now) {
		return false
	}
	// Workers may still be being added to the directory of a new installation.
	return g.cellMap != nil || now.Sub(g.workersGrewAt) >= directorySettled || len(t.engine.Jobs()) > 0
}

// leadWorkers returns the workers of the lead cell, by the map that is being committed if
// there is one.
func (t *term) leadWorkers() []port.WorkerEntry {
	g, m := t.c.group, t.mapKeeper.pending
	if m == nil {
		return g.workersOf(cellmap.Lead)
	}
	var own []port.WorkerEntry
	for _, w := range g.workers {
		if n, ok := m.CellOf(w); ok && n == cellmap.Lead {
			own = append(own, w)
		}
	}
	return own
}

// mapInput returns the state of the installation.
func (g *Group) mapInput(t *term, now time.Time) cellmap.Input {
	in := cellmap.Input{
		Workers: g.workers, RegionOf: g.options.RegionOf, Epoch: t.epoch,
		Owners: map[int]string{}, Busy: map[string]bool{},
	}
	for _, d := range g.daemons {
		d.Reachable = now.Sub(d.seenAt) < daemonTTL
		in.Daemons = append(in.Daemons, d.Daemon)
	}
	in.Daemons = append(in.Daemons, g.self())
	for n, s := range g.statuses {
		if now.Sub(s.at) < statusTTL && !s.status.GetCommitStale() {
			in.Owners[n] = s.status.GetOwner()
		}
	}
	for _, w := range t.engine.Workers() {
		if w.HasHistory() {
			in.Busy[cellmap.RackOf(w.Entry)] = true
		}
	}
	return in
}

// self returns this daemon, which owns the lead cell.
func (g *Group) self() cellmap.Daemon {
	c := g.lead
	return cellmap.Daemon{
		Name: c.Self.Name, Address: c.Self.Address, Region: g.options.Region, MilliCPU: c.MilliCPU,
		LinkMbps: g.options.LinkMbps, Reachable: true, Stopping: c.stopping, Lead: true,
	}
}

// mostDaemonsReachable reports whether most of the remembered daemons are reachable, and
// forgets those that are silent for long.
func (g *Group) mostDaemonsReachable(now time.Time) bool {
	reachable := 0
	for name, d := range g.daemons {
		switch age := now.Sub(d.seenAt); {
		case age > daemonRetention || name == g.lead.Self.Name:
			delete(g.daemons, name)
		case age < daemonTTL:
			reachable++
		}
	}
	return 2*reachable >= len(g.daemons)
}

// observeDaemon records the poll of a daemon that follows the lead cell.
func (g *Group) observeDaemon(req *peerpb.FollowRequest, now time.Time) {
	if req.GetAddress() == "" {
		return
	}
	configVersion := int64(0)
	if req.GetAcceptsGzip() {
		configVersion = req.GetConfig().GetVersion()
	}
	g.daemons[req.GetSender()] = followingDaemon{cellmap.Daemon{
		Name: req.GetSender(), Address: req.GetAddress(), Region: g.options.RegionOf(req.GetDataCentre()),
		MilliCPU: int64(req.GetMilliCpu()), LinkMbps: int64(req.GetLinkMbps()), Stopping: req.GetStopping(),
		StoreFailing: req.GetMilliCpu() > 0 && req.GetCandidateMilliCpu() == 0,
	}, now, configVersion}
	for _, s := range req.GetOwned() {
		g.recordStatus(s, now)
	}
	g.shareLearned(decodePairs(req.GetLearned()), nil)
}

// recordStatus records what the owner of a cell has told, unless a later owner has.
func (g *Group) recordStatus(s *peerpb.CellStatus, at time.Time) {
	n := int(s.GetCell())
	if n == cellmap.Lead || g.cellMap == nil || n >= len(g.cellMap.Cells) {
		return
	}
	known, ok := g.statuses[n]
	if ok && (s.GetEpoch() < known.status.GetEpoch() || s.GetEpoch() == known.status.GetEpoch() && at.Before(known.at)) {
		return
	}
	g.statuses[n] = cellStatus{s, at}
	c := g.cell(n)
	if c.term != nil {
		return
	}
	if !s.GetLoading() {
		c.jobStates.setDepths(depthsByQueue(s.GetDepths()), at.Add(-milliseconds(s.GetDepthsAgeMs())))
		c.jobStates.setMemory(s.GetMemoryPercent(), at)
	}
	if c.reportedOwner != s.GetAddress() {
		c.reportedOwner = s.GetAddress()
		c.publish()
	}
}

// inform adds to a reply what a daemon that follows the lead cell lacks.
func (g *Group) inform(req *peerpb.FollowRequest, reply *peerpb.FollowReply, now time.Time) {
	if g.cellMap == nil {
		return
	}
	if req.GetMapVersion() < g.cellMap.Version {
		reply.Map = g.cellMap.Encode()
	}
	for _, known := range g.statuses {
		if age := now.Sub(known.at); age < statusTTL {
			reply.Statuses = append(reply.Statuses, agedStatus(known.status, age))
		}
	}
	if len(req.GetOwned()) > 0 {
		reply.Learned, reply.LearnedVersion = g.shared.after(req.GetLearnedVersion())
	}
	g.tellWorkers(req, reply, now)
}

// agedStatus returns a copy of a status that was received some time ago.
func agedStatus(s *peerpb.CellStatus, age time.Duration) *peerpb.CellStatus {
	return &peerpb.CellStatus{
		Cell: s.GetCell(), Epoch: s.GetEpoch(), Owner: s.GetOwner(), Address: s.GetAddress(), Load: s.GetLoad(),
		CommitStale: s.GetCommitStale(), Depths: s.GetDepths(), DepthsAgeMs: s.GetDepthsAgeMs() + uint64(max(0, age.Milliseconds())), Loading: s.GetLoading(),
		Evacuations: s.GetEvacuations(),
	}
}

// describe adds to a poll of the lead cell's owner what it needs to know of this daemon.
func (g *Group) describe(req *peerpb.FollowRequest, now time.Time) {
	c := g.lead
	req.DataCentre = g.options.DataCentre
	req.MilliCpu, req.LinkMbps, req.Stopping = uint64(max(0, c.MilliCPU)), uint64(max(0, g.options.LinkMbps)), c.stopping
	if g.cellMap == nil {
		return
	}
	req.MapVersion = g.cellMap.Version
	req.LearnedVersion = g.learnedVersion
	g.tellLearned(req)
	for _, other := range g.others() {
		if other.term != nil {
			req.Owned = append(req.Owned, other.term.status(now))
		}
		if other.role >= 0 || other.term != nil {
			req.Workers = append(req.Workers, &peerpb.WorkersVersion{Cell: uint32(other.Number), Version: g.directoryVersion(other.Number, c.link.epoch)})
		}
	}
}

// receive applies what the owner of the lead cell has told in reply to a poll that was
// sent at a time.
func (g *Group) receive(reply *peerpb.FollowReply, sentAt time.Time) {
	if len(reply.GetMap()) > 0 {
		g.adoptEncodedMap(reply.GetMap())
	}
	for _, s := range reply.GetStatuses() {
		g.recordStatus(s, sentAt)
	}
	for _, list := range reply.GetWorkers() {
		g.receiveWorkers(list, reply.GetEpoch(), sentAt)
	}
	g.receiveLearned(reply)
}

// observeOwned records the status of the cells that this daemon owns.
func (g *Group) observeOwned(now time.Time) {
	g.observeEvacuations()
	g.observeBestEffort()
	g.observeMemory()
	for _, c := range g.others() {
		if c.term != nil {
			g.recordStatus(c.term.status(now), now)
		}
	}
	if g.lead.term != nil && g.cellMap != nil {
		g.shareOwnLearned()
	}
}

// status returns the cell's status at its owner.
func (t *term) status(now time.Time) *peerpb.CellStatus {
	s := &peerpb.CellStatus{
		Cell: uint32(t.c.Number), Epoch: t.epoch, Owner: t.c.Self.Name, Address: t.c.Self.Address,
		Loading: !t.loaded, Load: t.load(now), CommitStale: now.Sub(t.committedAt) > staleCommitAfter,
	}
	if t.loaded {
		s.DepthsAgeMs = uint64(max(0, now.Sub(t.jobsReadAt).Milliseconds()))
		s.Depths = encodeDepths(t.depths())
		s.MemoryPercent = t.memoryPercent()
	}
	s.Evacuations = encodeEvacuations(t.engine.Evacuations())
	return s
}

func encodeDepths(depths map[string]int) []*peerpb.QueueDepth {
	encoded := make([]*peerpb.QueueDepth, 0, len(depths))
	for queue, n := range depths {
		encoded = append(encoded, &peerpb.QueueDepth{Queue: queue, Pending: uint32(n)})
	}
	return encoded
}
