package place_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/place"
)

const (
	measureMS        = 2_000 // between two measurements of a service on a VM
	measurementLagMS = 5_000
	latencyMS        = 20.0
	p99Limit         = 1.2
)

// slopes is the true rise of each service's latency beside a VM full of a kind.
var slopes = map[string]map[string]float64{
	"stock-check": {"kind0": 2, "kind1": 0.1, "kind2": 0, "kind3": 0.6},
	"reorder":     {"kind0": 0, "kind1": 1.5, "kind2": 0.1, "kind3": 0.6},
}

// quickTraffic measures the services of a simulation and tells the planner late.
type quickTraffic struct {
	rand      *rand.Rand
	learner   *place.Planner // nil to tell no one
	late      []place.ServiceLatency
	latencies []float64
}

func (q *quickTraffic) step(s *simulation) {
	for len(q.late) > 0 && q.late[0].MeasuredUnixMS+measurementLagMS <= s.now {
		if q.learner != nil {
			q.learner.ObserveLatency(q.late[0])
		}
		q.late = q.late[1:]
	}
	if s.now%measureMS != 0 {
		return
	}
	rise := map[string]float64{}
	for _, t := range s.active {
		if t.machine != "" && t.stoppingMS == 0 {
			rise[t.machine] += slopes[serviceOf(s, t.machine)][t.Kind] * float64(t.Resources.MilliProcessors*t.perMille/1000) / 56_000
		}
	}
	for i := range s.machines {
		m := &s.machines[i]
		factor := 1 + rise[m.Name]
		for range 10 {
			q.latencies = append(q.latencies, latencyMS*factor*(1+0.2*q.rand.ExpFloat64()))
		}
		noise := 0.95 + 0.1*q.rand.Float64()
		q.late = append(q.late, place.ServiceLatency{
			Service: m.Services[0], Machine: m.Name, LatencyMS: 2 * latencyMS * factor * noise, MeasuredUnixMS: s.now,
		})
	}
}

func serviceOf(s *simulation, machine string) string {
	i, _ := slices.BinarySearchFunc(s.machines, machine, func(m place.Machine, name string) int {
		if m.Name < name {
			return -1
		}
		if m.Name > name {
			return 1
		}
		return 0
	})
	return s.machines[i].Services[0]
}

func p99(latencies []float64) float64 {
	slices.Sort(latencies)
	return latencies[int(math.Ceil(0.99*float64(len(latencies))))-1]
}

// The services' 99th percentile with batch stays within 1.2 times that without,
// which it does not when nothing is learned.
func TestInterferenceIsLearned(t *testing.T) {
	is := is.New(t)
	const machines, untilMS, utilisation = 24, 1_200_000, 0.6
	run := func(seed uint64, utilisation float64, learn bool) (float64, *simulation) {
		r := rand.New(rand.NewPCG(seed, seed))
		tasks := drawTasks(r, machines*56, utilisation, untilMS)
		for _, task := range tasks {
			task.Kind = "kind" + string(rune('0'+task.Kind[4]%4))
		}
		planner := place.NewPlanner()
		q := &quickTraffic{rand: r}
		if learn {
			q.learner = planner
		}
		s := &simulation{policy: planner, machines: association(machines), tasks: tasks, each: q.step}
		s.run(untilMS)
		return p99(q.latencies), s
	}
	for _, seed := range []uint64{7, 8, 9} {
		alone, _ := run(seed, 0, false)
		blind, blindRun := run(seed, utilisation, false)
		learned, learnedRun := run(seed, utilisation, true)
		t.Logf("seed %d: p99 alone %.1f ms; with batch %.2f times; with batch and learning %.2f times; "+
			"%.0f processor-hours finished without learning, %.0f with; %.1f evictions per 1,000 tasks",
			seed, alone, blind/alone, learned/alone, finishedWork(blindRun), finishedWork(learnedRun),
			1000*float64(learnedRun.evicted)/float64(len(learnedRun.tasks)))
		is.True(blind/alone > p99Limit)
		is.True(learned/alone <= p99Limit)
		is.Equal(learnedRun.over, 0)
		is.True(finishedWork(learnedRun) >= 0.8*finishedWork(blindRun)) // protection is not bought by idling
	}
}

// finishedWork returns the processor-hours of the tasks that finished.
func finishedWork(s *simulation) float64 {
	sum := 0.0
	for _, t := range s.tasks {
		if t.finishedMS > 0 {
			sum += float64(t.actualMS*t.Resources.MilliProcessors) / 3.6e9
		}
	}
	return sum
}

// besideStock returns an input with one VM that carries a service and maybe a task.
func besideStock(now int64, running ...place.RunningTask) place.Input {
	return place.Input{
		NowUnixMS: now, Running: running,
		Machines: []place.Machine{
			{Name: "w1", Capacity: cores(8), Free: cores(6), Services: []string{"stock-check"}},
			{Name: "w2", Capacity: cores(8), Services: []string{"stock-check"}}, // idle, yet committed
		},
	}
}

func stockLatency(at int64, ms float64) place.ServiceLatency {
	return place.ServiceLatency{Service: "stock-check", Machine: "w1", LatencyMS: ms, MeasuredUnixMS: at}
}

// A task beside a slow service is throttled in steps, each shown by a
// measurement, before it is stopped with a checkpoint.
func TestThrottleComesBeforeEviction(t *testing.T) {
	is := is.New(t)
	p := place.NewPlanner()
	p.ObserveLatency(stockLatency(0, 20))
	r := place.RunningTask{Demand: place.Demand{Task: "noisy", Kind: "k", Resources: cores(2)}, Machine: "w1"}
	var steps []any
	var last int64
	for now := int64(1_000); now < 60_000; now += 1_000 {
		p.ObserveLatency(stockLatency(now-1_000, 60))
		p.ObserveLatency(place.ServiceLatency{Service: "stock-check", Machine: "w2", LatencyMS: 20, MeasuredUnixMS: now - 1_000})
		plan := p.Plan(besideStock(now, r))
		for _, th := range plan.Throttles {
			is.True(last == 0 || now-last >= 3_000) // a measurement has shown the step before
			last = now
			steps = append(steps, th.PerMille)
			r.ThrottlePerMille = th.PerMille
		}
		if len(plan.Evictions) > 0 {
			steps = append(steps, "evicted")
			break
		}
	}
	is.Equal(steps, []any{500, 250, 125, "evicted"})
}

// A measurement that was taken before a task started does not speak against it.
func TestLateMeasurementIsOfItsOwnTime(t *testing.T) {
	is := is.New(t)
	p := place.NewPlanner()
	p.ObserveLatency(stockLatency(0, 20))
	old := place.RunningTask{Demand: place.Demand{Task: "old", Kind: "noisy", Resources: cores(2)}, Machine: "w1"}
	for now := int64(1_000); now < 10_000; now += 1_000 {
		p.Plan(besideStock(now, old))
	}
	quiet := place.Demand{Task: "quiet/0", Kind: "quiet", Resources: cores(4), RunTimeMS: 1000}
	beside := place.RunningTask{Demand: quiet, Machine: "w1"}
	for now := int64(10_000); now < 25_000; now += 1_000 {
		p.Plan(besideStock(now, beside))
		p.ObserveLatency(stockLatency(now-1_000-9_000, 60)) // of the time of the other task
	}
	for now := int64(25_000); now < 60_000; now += 1_000 {
		p.ObserveLatency(stockLatency(now-1_000, 20)) // the service is quick beside this one
		is.Equal(len(p.Plan(besideStock(now, beside)).Evictions), 0)
	}
	in := besideStock(60_000)
	in.Pending = []place.Demand{quiet}
	is.Equal(p.Plan(in).Starts, []place.Start{{Task: "quiet/0", Machine: "w1"}}) // without a limit
}
