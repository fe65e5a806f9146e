// Package experiment compares routing and link-sharing policies with their
// alternatives in virtual time, with the same arrivals for every policy.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/route"
)

// Scenario is the load and the targets of one experiment.
type Scenario struct {
	Name string
	Seed uint64
	// Daemons and Targets are counts; Slots and Connections are limits of each
	// target.
	Daemons, Targets, Slots, Connections int
	// Utilisation is the offered load as a fraction of all slots.
	Utilisation float64
	// ShortRunTime is the mean run time of short requests.
	ShortRunTime time.Duration
	// LongShare is the fraction of requests that run LongFactor times longer.
	LongShare  float64
	LongFactor float64
	// DropLong omits the long requests without changing the arrivals of the short
	// ones.
	DropLong bool
	// FirstDaemonShare is the fraction of requests that all go to the first
	// daemon; the others are spread evenly over all daemons.
	FirstDaemonShare float64
	// SlowTargets is the number of targets on which every request runs SlowFactor
	// times longer.
	SlowTargets int
	SlowFactor  float64
	// Delay is the one-way delay between daemons and targets.
	Delay time.Duration
	// ReportInterval is the interval of load reports between daemons.
	ReportInterval time.Duration
	Duration       time.Duration
}

// Baseline returns the scenario of the Association's order desk with short
// requests only.
func Baseline(seed uint64) Scenario {
	return Scenario{
		Name: "even", Seed: seed, Daemons: 8, Targets: 65, Slots: 8, Connections: 64,
		Utilisation: 0.8, ShortRunTime: 20 * time.Millisecond, LongFactor: 100,
		SlowFactor: 1, Delay: 500 * time.Microsecond, ReportInterval: 250 * time.Millisecond,
		Duration: 20 * time.Second,
	}
}

// Result is the result of one policy.
type Result struct {
	Policy string
	// Short and Long are latencies in microseconds.
	Short, Long *hdrhistogram.Histogram
	// Arrived is the number of requests that a target accepted, OverSlots the
	// number of those that found no free slot.
	Arrived, OverSlots int
	// HeldBack is the number of requests that a daemon held back.
	HeldBack int
	// Refused is the number of attempts that a target refused.
	Refused int
	// Ended is the number of completed requests.
	Ended int
}

// OverSlotRate returns the fraction of accepted requests that found no free slot.
func (r *Result) OverSlotRate() float64 { return float64(r.OverSlots) / float64(max(1, r.Arrived)) }

// request is a simulated request.
type request struct {
	arrived  time.Time
	long     bool
	runTime  time.Duration
	refusals int
	daemon   int
	avoid    int // index of the target that refused last, or -1
	class    route.Class
}

// simulatedTarget is a target with a FIFO queue of requests that found no free slot.
type simulatedTarget struct {
	busy       int
	queue      []func()
	slowFactor float64
}

// Policy is a routing policy.
type Policy interface {
	// Name identifies the policy in results.
	Name() string
	// Pick returns a target's index, or -1 to hold the request back.
	Pick(daemon int, r *request) int
	// Done is called when a request on a target has ended; ran is its run time,
	// zero if the target refused it.
	Done(daemon, target int, r *request, ran time.Duration)
	// Report is called at each report interval, for daemons to exchange loads.
	Report()
}

// cluster is a simulation of daemons and targets.
type cluster struct {
	Scenario
	clock         *fake.Clock
	rand          *rand.Rand
	targets       []*simulatedTarget
	heldBack      [][]*request // by daemon
	policy        Policy
	targetsRefuse bool // targets refuse requests that find no free slot
	result        *Result
}

// maxRefusals bounds the refusals of a request; it is then queued at the target.
const maxRefusals = 3

// Run simulates a scenario with a policy. If targetsRefuse is set, targets refuse
// requests that find no free slot instead of queueing them.
func Run(s Scenario, policy Policy, targetsRefuse bool) *Result {
	c := &cluster{
		Scenario:      s,
		clock:         fake.NewClock(s.Seed),
		rand:          rand.New(rand.NewPCG(s.Seed, 1)),
		heldBack:      make([][]*request, s.Daemons),
		policy:        policy,
		targetsRefuse: targetsRefuse,
		result:        &Result{Policy: policy.Name(), Short: newHistogram(), Long: newHistogram()},
	}
	for i := range s.Targets {
		slow := 1.0
		if i < s.SlowTargets {
			slow = s.SlowFactor
		}
		c.targets = append(c.targets, &simulatedTarget{slowFactor: slow})
	}
	c.scheduleArrival()
	c.scheduleReport()
	c.clock.Run(s.Duration)
	return c.result
}

// newHistogram returns a histogram of latencies up to 10 minutes in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

// meanRunTime returns the mean run time of short and long requests together.
func (s Scenario) meanRunTime() time.Duration {
	return time.Duration(float64(s.ShortRunTime) * (1 - s.LongShare + s.LongShare*s.LongFactor))
}

// scheduleArrival schedules the next arrival of a Poisson process.
func (c *cluster) scheduleArrival() {
	rate := c.Utilisation * float64(c.Targets*c.Slots) / c.meanRunTime().Seconds()
	gap := time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second))
	c.clock.After(gap, func() {
		r := c.newRequest()
		if !r.long || !c.DropLong {
			c.start(r)
		}
		c.scheduleArrival()
	})
}

// newRequest returns a random request. It consumes the same random numbers for
// every policy, so that all policies get the same arrivals.
func (c *cluster) newRequest() *request {
	r := &request{arrived: c.clock.Now(), avoid: -1}
	r.long = c.rand.Float64() < c.LongShare
	mean := float64(c.ShortRunTime)
	if r.long {
		mean *= c.LongFactor
	}
	// Half of the run time is fixed, half is exponential.
	r.runTime = time.Duration(mean/2 + mean/2*c.rand.ExpFloat64())
	first := c.rand.Float64() < c.FirstDaemonShare
	r.daemon = c.rand.IntN(c.Daemons)
	if first {
		r.daemon = 0
	}
	return r
}

// start picks a target for a request, or holds the request back.
func (c *cluster) start(r *request) {
	target := c.policy.Pick(r.daemon, r)
	if target < 0 {
		c.result.HeldBack++
		c.heldBack[r.daemon] = append(c.heldBack[r.daemon], r)
		return
	}
	c.clock.After(c.Delay, func() { c.arrive(r, target) })
}

// arrive runs, queues or refuses a request that has reached a target.
func (c *cluster) arrive(r *request, target int) {
	t := c.targets[target]
	run := func() { c.run(r, target) }
	if t.busy < c.Slots {
		c.result.Arrived++
		run()
		return
	}
	if c.targetsRefuse && r.refusals < maxRefusals {
		c.result.Refused++
		c.clock.After(c.Delay, func() {
			c.policy.Done(r.daemon, target, r, 0)
			r.refusals++
			r.avoid = target
			c.start(r)
		})
		return
	}
	c.result.Arrived++
	c.result.OverSlots++
	t.queue = append(t.queue, run)
}

// run runs a request on a slot of the target, which then runs the next queued one.
func (c *cluster) run(r *request, target int) {
	t := c.targets[target]
	t.busy++
	ran := time.Duration(float64(r.runTime) * t.slowFactor)
	c.clock.After(ran, func() {
		t.busy--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
		c.clock.After(c.Delay, func() { c.end(r, target, ran) })
	})
}

// end records the latency of a request whose response has reached its daemon.
func (c *cluster) end(r *request, target int, ran time.Duration) {
	c.policy.Done(r.daemon, target, r, ran)
	c.result.Ended++
	latency := int64(c.clock.Now().Sub(r.arrived) / time.Microsecond)
	if r.long {
		_ = c.result.Long.RecordValue(latency)
	} else {
		_ = c.result.Short.RecordValue(latency)
	}
	c.release(r.daemon)
}

// release starts the requests that a daemon holds back, in FIFO order, while the
// policy picks targets for them.
func (c *cluster) release(daemon int) {
	for len(c.heldBack[daemon]) > 0 {
		r := c.heldBack[daemon][0]
		target := c.policy.Pick(daemon, r)
		if target < 0 {
			return
		}
		c.heldBack[daemon] = c.heldBack[daemon][1:]
		c.clock.After(c.Delay, func() { c.arrive(r, target) })
	}
}

// scheduleReport schedules the next exchange of loads between daemons.
func (c *cluster) scheduleReport() {
	c.clock.After(c.ReportInterval, func() {
		c.policy.Report()
		c.scheduleReport()
	})
}

// Milliseconds returns a percentile of latencies in milliseconds, rounded to
// 10 microseconds.
func Milliseconds(h *hdrhistogram.Histogram, percent float64) float64 {
	return math.Round(float64(h.ValueAtPercentile(percent))/10) / 100
}
