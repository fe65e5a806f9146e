package route

import (
	"math"

	"github.com/bambooyard/bambooyard/charts"
)

const (
	// scanLimit bounds how many targets one pick examines.
	scanLimit = 64
	// loadUnit is the fixed-point load of one request on a target with one slot.
	loadUnit = 1 << 16
	// maxReserveAttempts bounds how often a pick reserves a target after concurrent
	// picks took the ones that it had chosen.
	maxReserveAttempts = 4
)

// Options configure a Picker.
type Options struct {
	// Region is the daemon's own region, whose targets are preferred.
	Region string
	// Rank is the daemon's index among the live daemons, from 0.
	Rank int
	// Daemons is the number of live daemons.
	Daemons int
	// PeerInFlightLocal is the total of requests that the other daemons have in
	// flight on the targets of the region.
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

// group holds the live targets of the daemon's own region, or of all others.
type group struct {
	candidates []candidate
	slots      int
	// peerLoad is the other daemons' requests in flight per slot, in loadUnit.
	peerLoad int64
}

// candidate is a target with the fields that a pick reads, adjacent in memory.
type candidate struct {
	usage *Usage
	slots int64
	// connections and longSlots bound this daemon's requests in flight and, of
	// those, the long ones.
	connections int64
	longSlots   int64
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
	p.local.setPeerLoad(o.PeerInFlightLocal)
	p.remote.setPeerLoad(o.PeerInFlightRemote)
	return p
}

func newCandidate(t *Target, index int, o Options) candidate {
	return candidate{
		usage:       t.Usage,
		target:      t,
		slots:       int64(max(1, t.Slots)),
		connections: int64(ConnectionShare(t.Connections, o.Daemons)),
		longSlots:   int64(Share(index, LongSlots(t.Slots), o.Rank, o.Daemons)),
	}
}

func (g *group) add(c candidate) {
	g.candidates = append(g.candidates, c)
	g.slots += int(c.slots)
}

// setPeerLoad spreads the other daemons' requests evenly over the slots. Loads
// reported per target would be stale when used, and would make all daemons pick
// the same targets.
func (g *group) setPeerLoad(inFlight int) {
	if g.slots > 0 {
		g.peerLoad = int64(inFlight) * loadUnit / int64(g.slots)
	}
}

// Size returns the number of live targets.
func (p *Picker) Size() int { return len(p.local.candidates) + len(p.remote.candidates) }

// Slots returns the number of slots of all live targets.
func (p *Picker) Slots() int { return p.local.slots + p.remote.slots }

// Pick returns the least loaded target, a local one unless all of those are
// full, and counts the request on it. The caller must call Usage.End when the
// request has ended. It returns nil and the reason if no target can be picked.
func (p *Picker) Pick(r Request) (*Target, Outcome) {
	if r.Probe {
		if t := p.pickProbe(r); t != nil {
			return t, Picked
		}
	}
	for range maxReserveAttempts {
		best := p.best(r)
		if best == nil {
			break
		}
		if best.usage.reserve(r.Class, best.connections, best.longSlots) {
			return best.target, Picked
		}
	}
	return nil, p.failure(r)
}

// best returns the candidate to reserve next, or nil.
func (p *Picker) best(r Request) *candidate {
	local, full := p.local.leastLoaded(r)
	if local != nil && !full {
		return local
	}
	if !r.RemoteAllowed {
		return local
	}
	remote, remoteFull := p.remote.leastLoaded(r)
	if local == nil || (remote != nil && !remoteFull) {
		return remote
	}
	return local
}

// leastLoaded returns the least loaded of up to scanLimit candidates, starting at
// a random one, and whether all its slots are in use.
func (g *group) leastLoaded(r Request) (best *candidate, full bool) {
	candidates := g.candidates
	n := len(candidates)
	if n == 0 {
		return nil, false
	}
	bestLoad := int64(math.MaxInt64)
	next := int(uint64(uint32(r.Seed)) * uint64(n) >> 32)
	for range min(n, scanLimit) {
		c := &candidates[next]
		next++
		if next == n {
			next = 0
		}
		load := c.load()
		if load >= bestLoad || !c.accepts(r) {
			continue
		}
		best, bestLoad = c, load
		if load == 0 {
			break
		}
	}
	return best, best != nil && bestLoad+g.peerLoad >= loadUnit
}

// load returns this daemon's requests in flight per slot, in loadUnit.
func (c *candidate) load() int64 {
	return c.usage.inFlight.Load() * loadUnit / c.slots
}

// accepts reports whether the request may be sent to the candidate.
func (c *candidate) accepts(r Request) bool {
	u := c.usage
	if !u.accepting(r.NowUnixNano) || u.inFlight.Load() >= c.connections {
		return false
	}
	if r.Class == Long && u.long.Load() >= c.longSlots {
		return false
	}
	return r.Avoid == "" || c.target.Address != r.Avoid
}

// pickProbe returns a suspected target for which a probe is due, or nil.
func (p *Picker) pickProbe(r Request) *Target {
	for i := range p.probes {
		c := &p.probes[i]
		if c.target.Address == r.Avoid || !c.usage.accepting(r.NowUnixNano) {
			continue
		}
		if c.usage.probeAllowed.CompareAndSwap(true, false) {
			c.usage.Begin(r.Class)
			return c.target
		}
	}
	return nil
}

// failure returns the reason why no target was picked.
func (p *Picker) failure(r Request) Outcome {
	outcome := NoTarget
	groups := []*group{&p.local}
	if r.RemoteAllowed {
		groups = append(groups, &p.remote)
	}
	for _, g := range groups {
		for i := range g.candidates {
			c := &g.candidates[i]
			if !c.usage.accepting(r.NowUnixNano) {
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
