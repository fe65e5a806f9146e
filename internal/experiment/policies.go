package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/learn"
	"github.com/bambooyard/bambooyard/route"
)

// loadCounts is the state of the simple policies: each daemon's own requests in
// flight and the last report of each daemon.
type loadCounts struct {
	own     [][]int // requests in flight by daemon and target
	reports [][]int // own at the last report
	rand    *rand.Rand
}

func newLoadCounts(s Scenario) *loadCounts {
	c := &loadCounts{rand: rand.New(rand.NewPCG(s.Seed, 2))}
	for range s.Daemons {
		c.own = append(c.own, make([]int, s.Targets))
		c.reports = append(c.reports, make([]int, s.Targets))
	}
	return c
}

// Done implements Policy.
func (c *loadCounts) Done(daemon, target int, _ *request, _ time.Duration) { c.own[daemon][target]-- }

// Report implements Policy.
func (c *loadCounts) Report() {
	for d := range c.own {
		copy(c.reports[d], c.own[d])
	}
}

// assign counts a request on a target and returns the target.
func (c *loadCounts) assign(daemon, target int) int {
	c.own[daemon][target]++
	return target
}

// peers returns the requests on a target that the other daemons last reported.
func (c *loadCounts) peers(daemon, target int) int {
	sum := 0
	for d := range c.reports {
		if d != daemon {
			sum += c.reports[d][target]
		}
	}
	return sum
}

// RoundRobin picks the targets in turn.
type RoundRobin struct {
	*loadCounts
	next []int
}

// NewRoundRobin returns a policy in which each daemon starts at another target.
func NewRoundRobin(s Scenario) *RoundRobin {
	p := &RoundRobin{loadCounts: newLoadCounts(s)}
	for d := range s.Daemons {
		p.next = append(p.next, d*s.Targets/s.Daemons)
	}
	return p
}

// Name implements Policy.
func (p *RoundRobin) Name() string { return "round robin" }

// Pick implements Policy.
func (p *RoundRobin) Pick(daemon int, _ *request) int {
	p.next[daemon] = (p.next[daemon] + 1) % len(p.own[daemon])
	return p.assign(daemon, p.next[daemon])
}

// TwoChoices picks the less loaded of two random targets.
type TwoChoices struct {
	*loadCounts
	name string
	// peerWeight is the weight of a request that a peer reported.
	peerWeight float64
}

// NewTwoChoices returns the power of two choices with a weight for the reports of
// peers.
func NewTwoChoices(s Scenario, name string, peerWeight float64) *TwoChoices {
	return &TwoChoices{loadCounts: newLoadCounts(s), name: name, peerWeight: peerWeight}
}

// Name implements Policy.
func (p *TwoChoices) Name() string { return p.name }

// Pick implements Policy.
func (p *TwoChoices) Pick(daemon int, r *request) int {
	n := len(p.own[daemon])
	a, b := p.rand.IntN(n), p.rand.IntN(n)
	if a == r.avoid || (b != r.avoid && p.load(daemon, b) < p.load(daemon, a)) {
		a = b
	}
	return p.assign(daemon, a)
}

// load returns the weighted requests in flight that a daemon knows of.
func (p *TwoChoices) load(daemon, target int) float64 {
	return float64(p.own[daemon][target]) + p.peerWeight*float64(p.peers(daemon, target))
}

// LeastInFlight picks the target with the fewest requests in flight.
type LeastInFlight struct {
	*loadCounts
	name  string
	peers float64 // weight of a request that a peer reported
}

// NewLeastInFlight returns least-in-flight with a weight for the reports of peers.
func NewLeastInFlight(s Scenario, name string, peerWeight float64) *LeastInFlight {
	return &LeastInFlight{loadCounts: newLoadCounts(s), name: name, peers: peerWeight}
}

// Name implements Policy.
func (p *LeastInFlight) Name() string { return p.name }

// Pick implements Policy.
func (p *LeastInFlight) Pick(daemon int, r *request) int {
	n := len(p.own[daemon])
	first := p.rand.IntN(n)
	best, bestLoad := -1, 0.0
	for i := range n {
		t := (first + i) % n
		load := float64(p.own[daemon][t]) + p.peers*float64(p.loadCounts.peers(daemon, t))
		if t != r.avoid && (best < 0 || load < bestLoad) {
			best, bestLoad = t, load
		}
	}
	return p.assign(daemon, best)
}

// FixedShares gives each daemon a fixed share of every target's slots and holds
// back requests that exceed it.
type FixedShares struct {
	*loadCounts
	shares [][]int
}

// NewFixedShares returns a policy with equal shares.
func NewFixedShares(s Scenario) *FixedShares {
	p := &FixedShares{loadCounts: newLoadCounts(s)}
	for d := range s.Daemons {
		row := make([]int, s.Targets)
		for t := range row {
			row[t] = route.Share(t, s.Slots, d, s.Daemons)
		}
		p.shares = append(p.shares, row)
	}
	return p
}

// Name implements Policy.
func (p *FixedShares) Name() string { return "lease on a share of slots" }

// Pick implements Policy.
func (p *FixedShares) Pick(daemon int, _ *request) int {
	n := len(p.own[daemon])
	first := p.rand.IntN(n)
	for i := range n {
		t := (first + i) % n
		if p.own[daemon][t] < p.shares[daemon][t] {
			return p.assign(daemon, t)
		}
	}
	return -1
}

// RoutePicker is the policy of route.Picker, with the inputs that the daemon
// gives it.
type RoutePicker struct {
	scenario   Scenario
	name       string
	learned    bool               // classes are estimated from observed run times
	usages     [][]*route.Usage   // by daemon and target
	pickers    []*route.Picker    // by daemon
	estimators []*learn.Estimator // by daemon
	index      map[string]int     // target by address
	rand       *rand.Rand
}

// NewRoutePicker returns the daemon's own policy. If learned is set, requests are
// classified by observed run times and long ones may not use all slots.
func NewRoutePicker(s Scenario, name string, learned bool) *RoutePicker {
	p := &RoutePicker{scenario: s, name: name, learned: learned, index: map[string]int{}, rand: rand.New(rand.NewPCG(s.Seed, 2))}
	for range s.Daemons {
		row := make([]*route.Usage, s.Targets)
		for t := range row {
			row[t] = &route.Usage{}
		}
		p.usages = append(p.usages, row)
		p.estimators = append(p.estimators, learn.NewEstimator())
	}
	p.Report()
	return p
}

// Name implements Policy.
func (p *RoutePicker) Name() string { return p.name }

// Report implements Policy: all daemons build new pickers.
func (p *RoutePicker) Report() {
	p.pickers = p.pickers[:0]
	for d := range p.scenario.Daemons {
		targets, peers := p.targets(d)
		p.pickers = append(p.pickers, route.NewPicker(route.Options{
			Region: "local", Rank: d, Daemons: p.scenario.Daemons, Targets: targets, PeerInFlightLocal: peers,
		}))
	}
}

// targets returns a daemon's view of the targets and the sum of the other
// daemons' requests in flight.
func (p *RoutePicker) targets(daemon int) (targets []route.Target, peers int) {
	targets = make([]route.Target, p.scenario.Targets)
	for t := range targets {
		address := strconv.Itoa(t)
		p.index[address] = t
		for d := range p.usages {
			if d != daemon {
				peers += p.usages[d][t].InFlight()
			}
		}
		targets[t] = route.Target{
			Address: address, Region: "local", State: charts.TargetLive, Usage: p.usages[daemon][t],
			Slots: p.scenario.Slots, Connections: p.scenario.Connections,
		}
	}
	return targets, peers
}

// routeKey returns the key by which run times of a request are observed.
func routeKey(r *request) learn.Key {
	if r.long {
		return learn.Key{Service: "catalogue", Route: "/reconcile"}
	}
	return learn.Key{Service: "catalogue", Route: "/check"}
}

// Pick implements Policy.
func (p *RoutePicker) Pick(daemon int, r *request) int {
	r.class = route.Short
	if p.learned && p.estimators[daemon].IsLong(routeKey(r)) {
		r.class = route.Long
	}
	avoid := ""
	if r.avoid >= 0 {
		avoid = strconv.Itoa(r.avoid)
	}
	t, _ := p.pickers[daemon].Pick(route.Request{Seed: p.rand.Uint64(), Class: r.class, Avoid: avoid})
	if t == nil {
		return -1
	}
	return p.index[t.Address]
}

// Done implements Policy.
func (p *RoutePicker) Done(daemon, target int, r *request, ran time.Duration) {
	p.usages[daemon][target].End(r.class)
	if p.learned && ran > 0 {
		p.estimators[daemon].Observe(routeKey(r), ran)
	}
}
