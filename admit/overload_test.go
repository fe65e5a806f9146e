package admit_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/admit"
	"github.com/bambooyard/bambooyard/internal/fake"
)

// The order desk of today, with a demand swing.
const (
	daemons       = 8
	targets       = 65
	slots         = 8
	connections   = 64
	meanService   = 50 * time.Millisecond
	deadline      = 250 * time.Millisecond
	capacity      = targets * slots * float64(time.Second) / float64(meanService) // requests a second
	calm          = 2 * time.Second
	rise          = 2 * time.Second
	overload      = 3 * time.Second
	targetChoice  = 2
	overloadSeeds = 2
)

// demand is a member's weight and its demand at the overload, in capacities.
type demand struct {
	name     string
	weight   int
	overload float64
}

var demands = []demand{
	{"state-library", 2, 3.9}, {"conservators", 1, 0.5}, {"council-archive", 1, 0.4}, {"museum", 1, 0.15}, {"school", 1, 0.05},
}

// gate is what the ways of admission have in common.
type gate interface {
	Arrive(now time.Time, r admit.Request) admit.Decision
	Leave(member string)
	Observe(now time.Time, latency time.Duration)
}

// openGate admits everything.
type openGate struct{}

func (openGate) Arrive(time.Time, admit.Request) admit.Decision {
	return admit.Decision{Admitted: true}
}
func (openGate) Leave(string)                     {}
func (openGate) Observe(time.Time, time.Duration) {}

// fixedGate admits up to the daemon's share of slots.
type fixedGate struct{ inFlight int }

func (g *fixedGate) Arrive(time.Time, admit.Request) admit.Decision {
	if g.inFlight >= targets*slots/daemons {
		return admit.Decision{}
	}
	g.inFlight++
	return admit.Decision{Admitted: true}
}
func (g *fixedGate) Leave(string)                     { g.inFlight-- }
func (g *fixedGate) Observe(time.Time, time.Duration) {}

// target works on as many requests as it has slots; the others queue.
type target struct {
	busy, open int
	queue      []func()
}

type experiment struct {
	clock   *fake.Clock
	gates   []gate
	targets [targets]target
	load    [daemons][targets]int
	// offered and good count, by member, what arrived at the overload and what of
	// it was answered in time.
	offered, good map[string]float64
}

func run(seed uint64, newGate func() gate) *experiment {
	e := &experiment{clock: fake.NewClock(seed), offered: map[string]float64{}, good: map[string]float64{}}
	for range daemons {
		e.gates = append(e.gates, newGate())
	}
	for _, d := range demands {
		e.arrivals(d)
	}
	e.clock.Run(calm + rise + overload)
	return e
}

// arrivals begins a member's arrivals: half of its share of half the capacity
// in calm, its full demand at the overload.
func (e *experiment) arrivals(d demand) {
	begun := e.clock.Now()
	var next func()
	next = func() {
		at := e.clock.Now().Sub(begun)
		swing := min(1, max(0, float64(at-calm)/float64(rise)))
		perSecond := capacity * d.overload * (0.1 + 0.9*swing)
		e.clock.After(time.Duration(e.clock.Rand().ExpFloat64()/perSecond*float64(time.Second)), func() {
			e.arrive(d, e.clock.Rand().IntN(daemons), at > calm+rise/2)
			next()
		})
	}
	next()
}

func (e *experiment) arrive(d demand, daemon int, counts bool) {
	g, now := e.gates[daemon], e.clock.Now()
	if counts {
		e.offered[d.name]++
	}
	if !g.Arrive(now, admit.Request{Member: d.name, Weight: d.weight, Deadline: now.Add(deadline)}).Admitted {
		return
	}
	t := e.pick(daemon)
	if e.targets[t].open >= connections {
		g.Leave(d.name)
		return
	}
	e.targets[t].open++
	e.load[daemon][t]++
	e.start(t, func() {
		e.targets[t].open--
		e.load[daemon][t]--
		latency := e.clock.Now().Sub(now)
		if latency <= deadline && counts {
			e.good[d.name]++
		}
		g.Leave(d.name)
		g.Observe(e.clock.Now(), latency)
	})
}

// pick is the less loaded of two targets, by what this daemon knows.
func (e *experiment) pick(daemon int) int {
	best := e.clock.Rand().IntN(targets)
	for range targetChoice - 1 {
		if other := e.clock.Rand().IntN(targets); e.load[daemon][other] < e.load[daemon][best] {
			best = other
		}
	}
	return best
}

func (e *experiment) start(t int, done func()) {
	s := &e.targets[t]
	if s.busy == slots {
		s.queue = append(s.queue, done)
		return
	}
	s.busy++
	service := time.Duration((0.5 + e.clock.Rand().ExpFloat64()/2) * float64(meanService))
	e.clock.After(service, func() {
		done()
		s.busy--
		if len(s.queue) > 0 {
			first := s.queue[0]
			s.queue = s.queue[1:]
			e.start(t, first)
		}
	})
}

// goodput is relative to the capacity.
func (e *experiment) goodput() float64 {
	total := 0.0
	for _, n := range e.good {
		total += n
	}
	return total / (capacity * (rise/2 + overload).Seconds())
}

// worst is the lowest ratio of a member's goodput to its fair share: what it
// wants, up to the same part of the capacity for each unit of weight.
func (e *experiment) worst() float64 {
	level := 0.0
	for step := 1.0; e.granted(level+step) <= capacity*(rise/2+overload).Seconds(); {
		level += step
	}
	lowest := math.Inf(1)
	for _, d := range demands {
		lowest = min(lowest, e.good[d.name]/min(e.offered[d.name], level*float64(d.weight)))
	}
	return lowest
}

func (e *experiment) granted(level float64) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += min(e.offered[d.name], level*float64(d.weight))
	}
	return sum
}

// While five times the capacity arrives, the goodput stays near the capacity
// and every member has its fair share.
func TestOverload(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(overloadSeeds) {
		adaptive := run(seed, func() gate {
			return admit.NewController(admit.Capacity{Share: targets * slots / daemons, Slots: targets * slots})
		})
		open := run(seed, func() gate { return openGate{} })
		fixed := run(seed, func() gate { return &fixedGate{} })
		t.Logf("seed %d: goodput %.3f, worst share %.3f; no admission %.3f, %.3f; fixed limit %.3f, %.3f", seed,
			adaptive.goodput(), adaptive.worst(), open.goodput(), open.worst(), fixed.goodput(), fixed.worst())
		is.True(adaptive.goodput() >= 0.95)
		is.True(adaptive.worst() >= 0.8)
		is.True(adaptive.worst() > open.worst() && adaptive.worst() > fixed.worst())
	}
}
