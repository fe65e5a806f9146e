package route

import (
	"math"

	"github.com/bambooyard/bambooyard/charts"
)

const (
	// scanLimit bounds how many targets one pick looks at.
	scanLimit = 64
	// loadUnit is the load of one request on a target with one slot.
	loadUnit = 1 << 16
	// reserveTries is how often a pick looks again after losing a race.
	reserveTries = 4
)

// Options are what a Picker is built from.
type Options struct {
	// Region is the daemon's own region, whose targets come first.
	Region string
	// Rank is the daemon's place among the live daemons, from 0.
	Rank int
	// Daemons is the number of live daemons.
	Daemons int
	// PeerInFlightLocal is the requests that the other daemons have in flight on the
	// targets of the region together.
	PeerInFlightLocal int
	// PeerInFlightRemote is the same for all other regions.
	PeerInFlightRemote int
	// Targets are the targets of one service, in the same order on all daemons.
	Targets []Target
}

// Picker picks among the targets of one service. It is immutable and safe for
// concurrent use.
type Picker struct {
	local, remote group
	probes        []candidate
}

// group is the live targets of the own region, or of all others.
type group struct {
	candidates []candidate
	slots      int
	// peers is the requests of the other daemons for each slot, in loadUnit.
	peers int64
}

// candidate is a target with what a pick reads, close together in memory.
type candidate struct {
	usage *Usage
	slots int64
	// connections and long bound this daemon's requests in flight.
	connections int64
	long        int64
	target      *Target
}

// NewPicker returns a picker that prefers targets of the daemon's region.
func NewPicker(o Options) *Picker {
	p := &Picker{}
	for i := range o.Targets {
		t := &o.Targets[i]
		c := newCandidate(t, i, o)
		switch {
		case t.State == charts.TargetSuspected:
			p.probes = append(p.probes, c)
		case t.State != charts.TargetLive:
		case t.Region == o.Region:
			p.local.add(c)
		default:
			p.remote.add(c)
		}
	}
	p.local.share(o.PeerInFlightLocal)
	p.remote.share(o.PeerInFlightRemote)
	return p
}

func newCandidate(t *Target, index int, o Options) candidate {
	return candidate{
		usage:       t.Usage,
		target:      t,
		slots:       int64(max(1, t.Slots)),
		connections: int64(ConnectionShare(t.Connections, o.Daemons)),
		long:        int64(Share(index, LongSlots(t.Slots), o.Rank, o.Daemons)),
	}
}

func (g *group) add(c candidate) {
	g.candidates = append(g.candidates, c)
	g.slots += int(c.slots)
}

// share spreads the other daemons' requests evenly over the slots. A report on
// a single target would be out of date when it is used, and all daemons would
// follow it to the same targets.
func (g *group) share(peers int) {
	if g.slots > 0 {
		g.peers = int64(peers) * loadUnit / int64(g.slots)
	}
}

// Size returns the number of live targets.
func (p *Picker) Size() int { return len(p.local.candidates) + len(p.remote.candidates) }

// Slots returns the number of slots of all live targets.
func (p *Picker) Slots() int { return p.local.slots + p.remote.slots }

// Pick returns the least loaded target, a local one unless all of those are
// full, and counts the request on it. The caller must end it with Usage.End.
func (p *Picker) Pick(r Request) (*Target, Outcome) {
	if r.Probe {
		if t := p.probe(r); t != nil {
			return t, Picked
		}
	}
	for range reserveTries {
		best := p.best(r)
		if best == nil {
			break
		}
		if best.usage.reserve(r.Class, best.connections, best.long) {
			return best.target, Picked
		}
	}
	return nil, p.reason(r)
}

// best returns the candidate to be tried first, or nil.
func (p *Picker) best(r Request) *candidate {
	local, full := p.local.least(r)
	if local != nil && !full {
		return local
	}
	if !r.RemoteAllowed {
		return local
	}
	remote, remoteFull := p.remote.least(r)
	if local == nil || (remote != nil && !remoteFull) {
		return remote
	}
	return local
}

// least returns the least loaded of up to scanLimit candidates, and whether
// all its slots are taken.
func (g *group) least(r Request) (best *candidate, full bool) {
	list := g.candidates
	n := len(list)
	if n == 0 {
		return nil, false
	}
	bestLoad := int64(math.MaxInt64)
	at := int(uint64(uint32(r.Seed)) * uint64(n) >> 32)
	for range min(n, scanLimit) {
		c := &list[at]
		at++
		if at == n {
			at = 0
		}
		load := c.load()
		if load >= bestLoad || !c.takes(r) {
			continue
		}
		best, bestLoad = c, load
		if load == 0 {
			break
		}
	}
	return best, best != nil && bestLoad+g.peers >= loadUnit
}

// load is this daemon's requests in flight per slot, in loadUnit.
func (c *candidate) load() int64 {
	return c.usage.inFlight.Load() * loadUnit / c.slots
}

// takes reports whether the candidate may be given the request.
func (c *candidate) takes(r Request) bool {
	u := c.usage
	if !u.open(r.NowUnixNano) || u.inFlight.Load() >= c.connections {
		return false
	}
	if r.Class == Long && u.long.Load() >= c.long {
		return false
	}
	return r.Avoid == "" || c.target.Address != r.Avoid
}

// probe returns a suspected target that is due for a try.
func (p *Picker) probe(r Request) *Target {
	for i := range p.probes {
		c := &p.probes[i]
		if c.target.Address == r.Avoid || !c.usage.open(r.NowUnixNano) {
			continue
		}
		if c.usage.probe.CompareAndSwap(true, false) {
			c.usage.Begin(r.Class)
			return c.target
		}
	}
	return nil
}

// reason says why no target was found.
func (p *Picker) reason(r Request) Outcome {
	outcome := NoTarget
	groups := []*group{&p.local}
	if r.RemoteAllowed {
		groups = append(groups, &p.remote)
	}
	for _, g := range groups {
		for i := range g.candidates {
			c := &g.candidates[i]
			if !c.usage.open(r.NowUnixNano) {
				continue
			}
			if r.Class == Long && c.usage.inFlight.Load() < c.connections {
				return LongSlotsFull
			}
			outcome = ConnectionsFull
		}
	}
	return outcome
}
