package admit_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/admit"
	"github.com/bambooyard/bambooyard/internal/fake"
)

// Parameters of the simulated service, whose demand ramps up to an overload. The
// sizes are those of a service in use.
const (
	daemons       = 8
	targets       = 65
	slots         = 8
	connections   = 64
	meanService   = 50 * time.Millisecond
	deadline      = 250 * time.Millisecond
	capacity      = targets * slots * float64(time.Second) / float64(meanService) // requests per second
	baselineTime  = 2 * time.Second
	rampTime      = 2 * time.Second
	overloadTime  = 3 * time.Second
	targetChoice  = 2
	overloadSeeds = 2
)

// demand is a member's weight and its demand during the overload, as a multiple
// of the capacity.
type demand struct {
	name     string
	weight   int
	overload float64
}

var demands = []demand{
	{"state-library", 2, 3.9}, {"conservators", 1, 0.5}, {"council-archive", 1, 0.4}, {"museum", 1, 0.15}, {"school", 1, 0.05},
}

// admitter is implemented by the admission policies that are compared.
type admitter interface {
	Admit(now time.Time, r admit.Request) admit.Decision
	Release(member string)
	Observe(now time.Time, latency time.Duration)
}

// noLimit admits every request.
type noLimit struct{}

func (noLimit) Admit(time.Time, admit.Request) admit.Decision {
	return admit.Decision{Admitted: true}
}
func (noLimit) Release(string)                   {}
func (noLimit) Observe(time.Time, time.Duration) {}

// fixedLimit admits up to the daemon's share of slots.
type fixedLimit struct{ inFlight int }

func (l *fixedLimit) Admit(time.Time, admit.Request) admit.Decision {
	if l.inFlight >= targets*slots/daemons {
		return admit.Decision{}
	}
	l.inFlight++
	return admit.Decision{Admitted: true}
}
func (l *fixedLimit) Release(string)                   { l.inFlight-- }
func (l *fixedLimit) Observe(time.Time, time.Duration) {}

// target serves as many requests at a time as it has slots and queues the rest.
type target struct {
	busy, open int
	queue      []func()
}

type simulation struct {
	clock     *fake.Clock
	admitters []admitter
	targets   [targets]target
	load      [daemons][targets]int
	// offered and completed count, by member, the requests that arrived during the
	// overload and those of them that were answered by their deadline.
	offered, completed map[string]float64
}

func run(seed uint64, newAdmitter func() admitter) *simulation {
	s := &simulation{clock: fake.NewClock(seed), offered: map[string]float64{}, completed: map[string]float64{}}
	for range daemons {
		s.admitters = append(s.admitters, newAdmitter())
	}
	for _, d := range demands {
		s.arrivals(d)
	}
	s.clock.Run(baselineTime + rampTime + overloadTime)
	return s
}

// arrivals starts a member's arrivals: a tenth of its overload demand at first, so
// that all members together use half of the capacity, then a linear ramp up to
// its full overload demand.
func (s *simulation) arrivals(d demand) {
	started := s.clock.Now()
	var next func()
	next = func() {
		at := s.clock.Now().Sub(started)
		ramp := min(1, max(0, float64(at-baselineTime)/float64(rampTime)))
		perSecond := capacity * d.overload * (0.1 + 0.9*ramp)
		s.clock.After(time.Duration(s.clock.Rand().ExpFloat64()/perSecond*float64(time.Second)), func() {
			s.arrive(d, s.clock.Rand().IntN(daemons), at > baselineTime+rampTime/2)
			next()
		})
	}
	next()
}

func (s *simulation) arrive(d demand, daemon int, counts bool) {
	a, now := s.admitters[daemon], s.clock.Now()
	if counts {
		s.offered[d.name]++
	}
	if !a.Admit(now, admit.Request{Member: d.name, Weight: d.weight, Deadline: now.Add(deadline)}).Admitted {
		return
	}
	t := s.pick(daemon)
	if s.targets[t].open >= connections {
		a.Release(d.name)
		return
	}
	s.targets[t].open++
	s.load[daemon][t]++
	s.start(t, func() {
		s.targets[t].open--
		s.load[daemon][t]--
		latency := s.clock.Now().Sub(now)
		if latency <= deadline && counts {
			s.completed[d.name]++
		}
		a.Release(d.name)
		a.Observe(s.clock.Now(), latency)
	})
}

// pick returns the less loaded of two random targets, counting only this
// daemon's own requests.
func (s *simulation) pick(daemon int) int {
	best := s.clock.Rand().IntN(targets)
	for range targetChoice - 1 {
		if other := s.clock.Rand().IntN(targets); s.load[daemon][other] < s.load[daemon][best] {
			best = other
		}
	}
	return best
}

func (s *simulation) start(t int, done func()) {
	target := &s.targets[t]
	if target.busy == slots {
		target.queue = append(target.queue, done)
		return
	}
	target.busy++
	service := time.Duration((0.5 + s.clock.Rand().ExpFloat64()/2) * float64(meanService))
	s.clock.After(service, func() {
		done()
		target.busy--
		if len(target.queue) > 0 {
			first := target.queue[0]
			target.queue = target.queue[1:]
			s.start(t, first)
		}
	})
}

// goodput returns the rate of requests answered by their deadline, relative to
// the capacity.
func (s *simulation) goodput() float64 {
	total := 0.0
	for _, n := range s.completed {
		total += n
	}
	return total / (capacity * (rampTime/2 + overloadTime).Seconds())
}

// worstShare returns the lowest ratio of a member's goodput to its fair share:
// its demand, up to the same part of the capacity per unit of weight.
func (s *simulation) worstShare() float64 {
	perWeight := 0.0
	for step := 1.0; s.allocated(perWeight+step) <= capacity*(rampTime/2+overloadTime).Seconds(); {
		perWeight += step
	}
	lowest := math.Inf(1)
	for _, d := range demands {
		lowest = min(lowest, s.completed[d.name]/min(s.offered[d.name], perWeight*float64(d.weight)))
	}
	return lowest
}

func (s *simulation) allocated(perWeight float64) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += min(s.offered[d.name], perWeight*float64(d.weight))
	}
	return sum
}

// While five times the capacity arrives, goodput stays near the capacity and
// every member gets its fair share.
func TestOverload(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(overloadSeeds) {
		adaptive := run(seed, func() admitter {
			return admit.NewController(admit.Capacity{Share: targets * slots / daemons, Slots: targets * slots})
		})
		unlimited := run(seed, func() admitter { return noLimit{} })
		fixed := run(seed, func() admitter { return &fixedLimit{} })
		t.Logf("seed %d: goodput %.3f, worst share %.3f; no admission %.3f, %.3f; fixed limit %.3f, %.3f", seed,
			adaptive.goodput(), adaptive.worstShare(), unlimited.goodput(), unlimited.worstShare(), fixed.goodput(), fixed.worstShare())
		is.True(adaptive.goodput() >= 0.95)
		is.True(adaptive.worstShare() >= 0.8)
		is.True(adaptive.worstShare() > unlimited.worstShare() && adaptive.worstShare() > fixed.worstShare())
	}
}
