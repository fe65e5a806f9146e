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

// trueSlopes is the actual rise of each service's latency beside a VM full of
// tasks of a kind.
var trueSlopes = map[string]map[string]float64{
	"stock-check": {"kind0": 2, "kind1": 0.1, "kind2": 0, "kind3": 0.6},
	"reorder":     {"kind0": 0, "kind1": 1.5, "kind2": 0.1, "kind3": 0.6},
}

// latencySource measures the services of a simulation and reports the
// measurements to the planner with a delay.
type latencySource struct {
	rand      *rand.Rand
	planner   *place.Planner // nil to report nothing
	delayed   []place.ServiceLatency
	latencies []float64
}

func (src *latencySource) step(s *simulation) {
	for len(src.delayed) > 0 && src.delayed[0].MeasuredUnixMS+measurementLagMS <= s.now {
		if src.planner != nil {
			src.planner.ObserveLatency(src.delayed[0])
		}
		src.delayed = src.delayed[1:]
	}
	if s.now%measureMS != 0 {
		return
	}
	rise := map[string]float64{}
	for _, t := range s.active {
		if t.machine != "" && t.stopAtMS == 0 {
			rise[t.machine] += trueSlopes[serviceOf(s, t.machine)][t.Kind] * float64(t.Resources.MilliProcessors*t.perMille/1000) / 56_000
		}
	}
	for i := range s.machines {
		m := &s.machines[i]
		factor := 1 + rise[m.Name]
		for range 10 {
			src.latencies = append(src.latencies, latencyMS*factor*(1+0.2*src.rand.ExpFloat64()))
		}
		noise := 0.95 + 0.1*src.rand.Float64()
		src.delayed = append(src.delayed, place.ServiceLatency{
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

// The services' 99th percentile with batch tasks stays within 1.2 times that
// without, which it does not when the planner gets no measurements.
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
		src := &latencySource{rand: r}
		if learn {
			src.planner = planner
		}
		s := &simulation{policy: planner, machines: racksOfMachines(machines), tasks: tasks, afterStep: src.step}
		s.run(untilMS)
		return p99(src.latencies), s
	}
	for _, seed := range []uint64{7, 8, 9} {
		baseline, _ := run(seed, 0, false)
		withoutLearning, unlearnedRun := run(seed, utilisation, false)
		withLearning, learnedRun := run(seed, utilisation, true)
		t.Logf("seed %d: p99 without batch tasks %.1f ms; with batch %.2f times; with batch and learning %.2f times; "+
			"%.0f processor-hours finished without learning, %.0f with; %.1f evictions per 1,000 tasks",
			seed, baseline, withoutLearning/baseline, withLearning/baseline, finishedWork(unlearnedRun), finishedWork(learnedRun),
			1000*float64(learnedRun.evicted)/float64(len(learnedRun.tasks)))
		is.True(withoutLearning/baseline > p99Limit)
		is.True(withLearning/baseline <= p99Limit)
		is.Equal(learnedRun.overcommits, 0)
		is.True(finishedWork(learnedRun) >= 0.8*finishedWork(unlearnedRun)) // the latency is not met by leaving VMs idle
	}
}

// finishedWork returns the processor-hours of the tasks that finished.
func finishedWork(s *simulation) float64 {
	sum := 0.0
	for _, t := range s.tasks {
		if t.finishedAtMS > 0 {
			sum += float64(t.actualMS*t.Resources.MilliProcessors) / 3.6e9
		}
	}
	return sum
}

// stockCheckInput returns an input with two VMs that carry a service, and the
// given running tasks.
func stockCheckInput(now int64, running ...place.RunningTask) place.Input {
	return place.Input{
		NowUnixMS: now, Running: running,
		Machines: []place.Machine{
			{Name: "w1", Capacity: cores(8), Free: cores(6), Services: []string{"stock-check"}},
			{Name: "w2", Capacity: cores(8), Services: []string{"stock-check"}}, // runs no task, but is fully committed
		},
	}
}

func stockCheckLatency(at int64, ms float64) place.ServiceLatency {
	return place.ServiceLatency{Service: "stock-check", Machine: "w1", LatencyMS: ms, MeasuredUnixMS: at}
}

// A task beside a slow service is throttled in steps, each after a measurement
// that reflects the step before, until it is evicted with a checkpoint.
func TestThrottleComesBeforeEviction(t *testing.T) {
	is := is.New(t)
	p := place.NewPlanner()
	p.ObserveLatency(stockCheckLatency(0, 20))
	r := place.RunningTask{Demand: place.Demand{Task: "noisy", Kind: "k", Resources: cores(2)}, Machine: "w1"}
	var steps []any
	var last int64
	for now := int64(1_000); now < 60_000; now += 1_000 {
		p.ObserveLatency(stockCheckLatency(now-1_000, 60))
		p.ObserveLatency(place.ServiceLatency{Service: "stock-check", Machine: "w2", LatencyMS: 20, MeasuredUnixMS: now - 1_000})
		plan := p.Plan(stockCheckInput(now, r))
		for _, th := range plan.Throttles {
			is.True(last == 0 || now-last >= 3_000) // a measurement reflects the step before
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

// A measurement that was taken before a task started is not attributed to that
// task.
func TestDelayedMeasurementIsAttributedToItsTime(t *testing.T) {
	is := is.New(t)
	p := place.NewPlanner()
	p.ObserveLatency(stockCheckLatency(0, 20))
	old := place.RunningTask{Demand: place.Demand{Task: "old", Kind: "noisy", Resources: cores(2)}, Machine: "w1"}
	for now := int64(1_000); now < 10_000; now += 1_000 {
		p.Plan(stockCheckInput(now, old))
	}
	quiet := place.Demand{Task: "quiet/0", Kind: "quiet", Resources: cores(4), RunTimeMS: 1000}
	running := place.RunningTask{Demand: quiet, Machine: "w1"}
	for now := int64(10_000); now < 25_000; now += 1_000 {
		p.Plan(stockCheckInput(now, running))
		p.ObserveLatency(stockCheckLatency(now-1_000-9_000, 60)) // taken while the other task ran
	}
	for now := int64(25_000); now < 60_000; now += 1_000 {
		p.ObserveLatency(stockCheckLatency(now-1_000, 20)) // the latency does not rise beside this task
		is.Equal(len(p.Plan(stockCheckInput(now, running)).Evictions), 0)
	}
	in := stockCheckInput(60_000)
	in.Pending = []place.Demand{quiet}
	is.Equal(p.Plan(in).Starts, []place.Start{{Task: "quiet/0", Machine: "w1"}}) // without a limit
}
