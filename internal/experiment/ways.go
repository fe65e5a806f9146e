package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/learn"
	"github.com/bambooyard/bambooyard/route"
)

// counts is what the simple ways know: each daemon's own requests in flight
// and the other daemons' last reports.
type counts struct {
	own     [][]int // by daemon and target
	reports [][]int
	rand    *rand.Rand
}

func newCounts(s Scenario) *counts {
	c := &counts{rand: rand.New(rand.NewPCG(s.Seed, 2))}
	for range s.Daemons {
		c.own = append(c.own, make([]int, s.Targets))
		c.reports = append(c.reports, make([]int, s.Targets))
	}
	return c
}

// Done implements Way.
func (c *counts) Done(daemon, target int, _ *request, _ time.Duration) { c.own[daemon][target]-- }

// Report implements Way.
func (c *counts) Report() {
	for d := range c.own {
		copy(c.reports[d], c.own[d])
	}
}

func (c *counts) take(daemon, target int) int {
	c.own[daemon][target]++
	return target
}

// peers sums what the other daemons reported.
func (c *counts) peers(daemon, target int) int {
	sum := 0
	for d := range c.reports {
		if d != daemon {
			sum += c.reports[d][target]
		}
	}
	return sum
}

// RoundRobin takes the targets in turn.
type RoundRobin struct {
	*counts
	next []int
}

// NewRoundRobin returns daemons that each begin at a target of their own.
func NewRoundRobin(s Scenario) *RoundRobin {
	w := &RoundRobin{counts: newCounts(s)}
	for d := range s.Daemons {
		w.next = append(w.next, d*s.Targets/s.Daemons)
	}
	return w
}

// Name implements Way.
func (w *RoundRobin) Name() string { return "round robin" }

// Pick implements Way.
func (w *RoundRobin) Pick(daemon int, _ *request) int {
	w.next[daemon] = (w.next[daemon] + 1) % len(w.own[daemon])
	return w.take(daemon, w.next[daemon])
}

// TwoChoices takes the less loaded of two random targets.
type TwoChoices struct {
	*counts
	name string
	// peerWeight is how much a request reported by a peer counts.
	peerWeight float64
}

// NewTwoChoices returns power of two choices with a weight for peers' reports.
func NewTwoChoices(s Scenario, name string, peerWeight float64) *TwoChoices {
	return &TwoChoices{counts: newCounts(s), name: name, peerWeight: peerWeight}
}

// Name implements Way.
func (w *TwoChoices) Name() string { return w.name }

// Pick implements Way.
func (w *TwoChoices) Pick(daemon int, r *request) int {
	n := len(w.own[daemon])
	a, b := w.rand.IntN(n), w.rand.IntN(n)
	if a == r.avoid || (b != r.avoid && w.load(daemon, b) < w.load(daemon, a)) {
		a = b
	}
	return w.take(daemon, a)
}

func (w *TwoChoices) load(daemon, target int) float64 {
	return float64(w.own[daemon][target]) + w.peerWeight*float64(w.peers(daemon, target))
}

// LeastInFlight takes the target with the fewest requests in flight.
type LeastInFlight struct {
	*counts
	name  string
	peers float64
}

// NewLeastInFlight returns least in flight with a weight for peers' reports.
func NewLeastInFlight(s Scenario, name string, peerWeight float64) *LeastInFlight {
	return &LeastInFlight{counts: newCounts(s), name: name, peers: peerWeight}
}

// Name implements Way.
func (w *LeastInFlight) Name() string { return w.name }

// Pick implements Way.
func (w *LeastInFlight) Pick(daemon int, r *request) int {
	n := len(w.own[daemon])
	first := w.rand.IntN(n)
	best, bestLoad := -1, 0.0
	for i := range n {
		t := (first + i) % n
		load := float64(w.own[daemon][t]) + w.peers*float64(w.counts.peers(daemon, t))
		if t != r.avoid && (best < 0 || load < bestLoad) {
			best, bestLoad = t, load
		}
	}
	return w.take(daemon, best)
}

// FixedShares gives each daemon a fixed share of every target's slots and holds back
// what exceeds it.
type FixedShares struct {
	*counts
	shares [][]int
}

// NewFixedShares returns daemons with equal shares.
func NewFixedShares(s Scenario) *FixedShares {
	w := &FixedShares{counts: newCounts(s)}
	for d := range s.Daemons {
		row := make([]int, s.Targets)
		for t := range row {
			row[t] = route.Share(t, s.Slots, d, s.Daemons)
		}
		w.shares = append(w.shares, row)
	}
	return w
}

// Name implements Way.
func (w *FixedShares) Name() string { return "lease on a share of slots" }

// Pick implements Way.
func (w *FixedShares) Pick(daemon int, _ *request) int {
	n := len(w.own[daemon])
	first := w.rand.IntN(n)
	for i := range n {
		t := (first + i) % n
		if w.own[daemon][t] < w.shares[daemon][t] {
			return w.take(daemon, t)
		}
	}
	return -1
}

// RoutePicker is the picker of package route, fed as the daemon feeds it.
type RoutePicker struct {
	scenario Scenario
	name     string
	learned  bool // classes are learned from run times
	usages   [][]*route.Usage
	pickers  []*route.Picker
	tables   []*learn.Estimator
	index    map[string]int
	rand     *rand.Rand
}

// NewRoutePicker returns the daemon's own picker. With learned set, run times are
// learned and long work is kept from some slots.
func NewRoutePicker(s Scenario, name string, learned bool) *RoutePicker {
	w := &RoutePicker{scenario: s, name: name, learned: learned, index: map[string]int{}, rand: rand.New(rand.NewPCG(s.Seed, 2))}
	for range s.Daemons {
		row := make([]*route.Usage, s.Targets)
		for t := range row {
			row[t] = &route.Usage{}
		}
		w.usages = append(w.usages, row)
		w.tables = append(w.tables, learn.NewEstimator())
	}
	w.Report()
	return w
}

// Name implements Way.
func (w *RoutePicker) Name() string { return w.name }

// Report implements Way: all daemons build new pickers.
func (w *RoutePicker) Report() {
	w.pickers = w.pickers[:0]
	for d := range w.scenario.Daemons {
		targets, peers := w.targets(d)
		w.pickers = append(w.pickers, route.NewPicker(route.Options{
			Region: "local", Rank: d, Daemons: w.scenario.Daemons, Targets: targets, PeerInFlightLocal: peers,
		}))
	}
}

// targets returns a daemon's view and the other daemons' requests in flight.
func (w *RoutePicker) targets(daemon int) (targets []route.Target, peers int) {
	targets = make([]route.Target, w.scenario.Targets)
	for t := range targets {
		address := strconv.Itoa(t)
		w.index[address] = t
		for d := range w.usages {
			if d != daemon {
				peers += w.usages[d][t].InFlight()
			}
		}
		targets[t] = route.Target{
			Address: address, Region: "local", State: charts.TargetLive, Usage: w.usages[daemon][t],
			Slots: w.scenario.Slots, Connections: w.scenario.Connections,
		}
	}
	return targets, peers
}

func routeKey(r *request) learn.Key {
	if r.long {
		return learn.Key{Service: "catalogue", Route: "/reconcile"}
	}
	return learn.Key{Service: "catalogue", Route: "/check"}
}

// Pick implements Way.
func (w *RoutePicker) Pick(daemon int, r *request) int {
	r.class = route.Short
	if w.learned && w.tables[daemon].IsLong(routeKey(r)) {
		r.class = route.Long
	}
	avoid := ""
	if r.avoid >= 0 {
		avoid = strconv.Itoa(r.avoid)
	}
	t, _ := w.pickers[daemon].Pick(route.Request{Seed: w.rand.Uint64(), Class: r.class, Avoid: avoid})
	if t == nil {
		return -1
	}
	return w.index[t.Address]
}

// Done implements Way.
func (w *RoutePicker) Done(daemon, target int, r *request, ran time.Duration) {
	w.usages[daemon][target].End(r.class)
	if w.learned && ran > 0 {
		w.tables[daemon].Observe(routeKey(r), ran)
	}
}
