// Package experiment measures decisions against their alternatives in virtual
// time, with the same arrivals for every alternative.
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
	// Daemons, Targets, Slots and Connections are the sizes.
	Daemons, Targets, Slots, Connections int
	// Utilisation is the part of all slots that the work fills.
	Utilisation float64
	// ShortRunTime is the mean run time of short work.
	ShortRunTime time.Duration
	// LongShare is the part of requests that run LongFactor times longer.
	LongShare  float64
	LongFactor float64
	// DropLong leaves the long requests out but keeps the short ones' arrivals.
	DropLong bool
	// FirstDaemonShare is the part of requests that reach the first daemon;
	// zero spreads them evenly.
	FirstDaemonShare float64
	// SlowTargets run every request SlowFactor times longer.
	SlowTargets int
	SlowFactor  float64
	// Delay is the one-way delay between daemons and targets.
	Delay time.Duration
	// ReportInterval is the time between load reports.
	ReportInterval time.Duration
	Duration       time.Duration
}

// Baseline returns the Association's order desk with short work only.
func Baseline(seed uint64) Scenario {
	return Scenario{
		Name: "even", Seed: seed, Daemons: 8, Targets: 65, Slots: 8, Connections: 64,
		Utilisation: 0.8, ShortRunTime: 20 * time.Millisecond, LongFactor: 100,
		SlowFactor: 1, Delay: 500 * time.Microsecond, ReportInterval: 250 * time.Millisecond,
		Duration: 20 * time.Second,
	}
}

// Result is what one way of picking gave.
type Result struct {
	Policy string
	// Short and Long are latencies in microseconds.
	Short, Long *hdrhistogram.Histogram
	// Arrived is the requests that reached a target, OverSlots those that
	// found all slots taken.
	Arrived, OverSlots int
	// Waited is the requests held back by a daemon.
	Waited int
	// Refused is the tries that a target refused.
	Refused int
	// Ended is the requests that ended.
	Ended int
}

// OverSlotRate is the part of requests that found all slots taken.
func (r *Result) OverSlotRate() float64 { return float64(r.OverSlots) / float64(max(1, r.Arrived)) }

// request is one simulated request.
type request struct {
	arrived time.Time
	long    bool
	runTime time.Duration
	tries   int
	daemon  int
	avoid   int
	class   route.Class
}

// runner is one simulated target: slots and a first-in, first-out queue.
type runner struct {
	busy  int
	queue []func()
	slow  float64
}

// Policy is one way of picking targets.
type Policy interface {
	// Name identifies the way in results.
	Name() string
	// Pick returns a target's index, or -1 to hold the request back.
	Pick(daemon int, r *request) int
	// Done tells that a request on a target has ended after a run time.
	Done(daemon, target int, r *request, ran time.Duration)
	// Report runs at each report interval; daemons exchange their loads.
	Report()
}

// cluster is a simulation of daemons and targets.
type cluster struct {
	Scenario
	clock    *fake.Clock
	rand     *rand.Rand
	runners  []*runner
	waiting  [][]*request // by daemon
	way      Policy
	refusing bool // targets refuse what finds no free slot
	result   *Result
}

// maxTries bounds the targets that one request asks when targets refuse.
const maxTries = 3

// Run simulates a scenario with one way of picking. With refusing set, targets
// refuse requests that find no free slot.
func Run(s Scenario, way Policy, refusing bool) *Result {
	c := &cluster{
		Scenario: s,
		clock:    fake.NewClock(s.Seed),
		rand:     rand.New(rand.NewPCG(s.Seed, 1)),
		waiting:  make([][]*request, s.Daemons),
		way:      way,
		refusing: refusing,
		result:   &Result{Policy: way.Name(), Short: latencies(), Long: latencies()},
	}
	for i := range s.Targets {
		slow := 1.0
		if i < s.SlowTargets {
			slow = s.SlowFactor
		}
		c.runners = append(c.runners, &runner{slow: slow})
	}
	c.scheduleArrival()
	c.scheduleReport()
	c.clock.Run(s.Duration)
	return c.result
}

func latencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

// meanRunTime is the mean over short and long work.
func (s Scenario) meanRunTime() time.Duration {
	return time.Duration(float64(s.ShortRunTime) * (1 - s.LongShare + s.LongShare*s.LongFactor))
}

func (c *cluster) scheduleArrival() {
	rate := c.Utilisation * float64(c.Targets*c.Slots) / c.meanRunTime().Seconds()
	gap := time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second))
	c.clock.After(gap, func() {
		r := c.draw()
		if !r.long || !c.DropLong {
			c.start(r)
		}
		c.scheduleArrival()
	})
}

// draw makes a request; it takes the same random numbers for every way.
func (c *cluster) draw() *request {
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

func (c *cluster) start(r *request) {
	target := c.way.Pick(r.daemon, r)
	if target < 0 {
		c.result.Waited++
		c.waiting[r.daemon] = append(c.waiting[r.daemon], r)
		return
	}
	c.clock.After(c.Delay, func() { c.reach(r, target) })
}

func (c *cluster) reach(r *request, target int) {
	t := c.runners[target]
	run := func() { c.run(r, target) }
	if t.busy < c.Slots {
		c.result.Arrived++
		run()
		return
	}
	if c.refusing && r.tries < maxTries {
		c.result.Refused++
		c.clock.After(c.Delay, func() {
			c.way.Done(r.daemon, target, r, 0)
			r.tries++
			r.avoid = target
			c.start(r)
		})
		return
	}
	c.result.Arrived++
	c.result.OverSlots++
	t.queue = append(t.queue, run)
}

func (c *cluster) run(r *request, target int) {
	t := c.runners[target]
	t.busy++
	ran := time.Duration(float64(r.runTime) * t.slow)
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

func (c *cluster) end(r *request, target int, ran time.Duration) {
	c.way.Done(r.daemon, target, r, ran)
	c.result.Ended++
	latency := int64(c.clock.Now().Sub(r.arrived) / time.Microsecond)
	if r.long {
		_ = c.result.Long.RecordValue(latency)
	} else {
		_ = c.result.Short.RecordValue(latency)
	}
	c.release(r.daemon)
}

// release starts held-back requests of a daemon, first come first served.
func (c *cluster) release(daemon int) {
	for len(c.waiting[daemon]) > 0 {
		r := c.waiting[daemon][0]
		target := c.way.Pick(daemon, r)
		if target < 0 {
			return
		}
		c.waiting[daemon] = c.waiting[daemon][1:]
		c.clock.After(c.Delay, func() { c.reach(r, target) })
	}
}

func (c *cluster) scheduleReport() {
	c.clock.After(c.ReportInterval, func() {
		c.way.Report()
		c.scheduleReport()
	})
}

// Milliseconds returns a latency's percentile in milliseconds.
func Milliseconds(h *hdrhistogram.Histogram, percent float64) float64 {
	return math.Round(float64(h.ValueAtPercentile(percent))/10) / 100
}
