package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/lookahead"
)

// lookaheadLoads returns the loads by which look-ahead is judged, small jobs with few large
// ones, in a fixed order.
func lookaheadLoads(seed uint64) []namedLoad {
	base := yardLoad{workers: 24, offered: 0.85, largeShare: 0.15, arrivals: 3 * time.Minute, seed: seed}
	light, full, memory, gangs := base, base, base, base
	light.offered, full.offered = 0.70, 0.95
	memory.byMemory, memory.offered, memory.largeShare = true, 0.6, 0.2
	gangs.largeTasks = 3
	return []namedLoad{{"offered=0.70", light}, {"offered=0.85", base}, {"offered=0.95", full}, {"memory", memory}, {"gangs", gangs}}
}

type namedLoad struct {
	name string
	load yardLoad
}

// withoutLookahead makes an engine place as it does when no worker is ever reserved.
func withoutLookahead(e *Engine) { e.lookahead.disabled = true }

// BenchmarkWaits plays loads with and without look-ahead and reports the waits of small and
// large tasks: the median, the 95% quantile and the mean of the largest tenth.
func BenchmarkWaits(b *testing.B) {
	const seeds = 4
	for _, l := range lookaheadLoads(1) {
		for _, mode := range []struct {
			name   string
			adjust func(*Engine)
		}{{"without", withoutLookahead}, {"with", nil}} {
			b.Run(fmt.Sprintf("%s/%s", l.name, mode.name), func(b *testing.B) {
				var r loadResult
				for range b.N {
					r = loadResult{}
					for seed := range uint64(seeds) {
						l.load.seed = seed + 1
						one := l.load.play(mode.adjust, nil)
						r.small, r.large = append(r.small, one.small...), append(r.large, one.large...)
						r.inTime += one.inTime / seeds
					}
				}
				for _, w := range []struct {
					name  string
					waits waits
				}{{"small", r.small}, {"large", r.large}} {
					b.ReportMetric(w.waits.quantile(0.5).Seconds(), w.name+"-median-s")
					b.ReportMetric(w.waits.quantile(0.95).Seconds(), w.name+"-95%-s")
					b.ReportMetric(w.waits.largestTenth().Seconds(), w.name+"-largest-tenth-s")
				}
				b.ReportMetric(r.inTime, "in-time")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// newEngineWithLargeTasks returns an engine full of small tasks, with more of them and large
// ones waiting.
func newEngineWithLargeTasks(workers int) (*Engine, time.Time) {
	e, now := newFullEngine(workers, 0, 0)
	for i := range workers * 4 {
		step := job.Step{Tasks: 16, EstimateMS: int64(1000 + 100*(i%30)), Image: fmt.Sprintf("i%d", i%7), Resources: job.Resources{MilliCPU: int64(1000 + 1000*(i%2)), MemoryMB: 3000}}
		e.Add(job.Spec{ID: fmt.Sprintf("small%d", i), Queue: "batch", Steps: []job.Step{step}}, now, 0)
	}
	for i := range 40 {
		step := job.Step{Tasks: 1, EstimateMS: 4000, Image: "large", Resources: job.Resources{MilliCPU: 40000, MemoryMB: 100000}}
		e.Add(job.Spec{ID: fmt.Sprintf("large%d", i), Queue: "batch", Steps: []job.Step{step}}, now, 0)
	}
	// Without a plan, which would take long to fill so many workers.
	next := 0
	for _, w := range e.workerList {
		for ; next < workers*4; next++ {
			fits := true
			for _, t := range e.Job(fmt.Sprintf("small%d", next)).occurrences[0].tasks[0] {
				if fits = demand(t.Step).Fits(w.free()); !fits {
					break
				}
				if len(t.Runs) == 0 {
					e.start(t, w, 1, now)
				}
			}
			if !fits {
				break
			}
		}
	}
	for _, r := range e.TakeOutput().Starts {
		e.HandleStartResponse(r, r.Worker.Observe(now), now.UnixMilli()-999*1000, nil, now)
	}
	return e, now
}

// BenchmarkPlanWhileLargeWait measures plans in which nothing fits while large tasks wait,
// 10 ms apart. Plans with and without look-ahead alternate, so that other load on the machine
// affects both.
func BenchmarkPlanWhileLargeWait(b *testing.B) {
	for _, size := range []int{490, 1800} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			without, now := newEngineWithLargeTasks(size)
			without.lookahead.disabled = true
			with, _ := newEngineWithLargeTasks(size)
			comparePlans(b, without, with, now, 10*time.Millisecond)
			if len(with.lookahead.reserved) != lookahead.Limit(size) {
				b.Fatalf("%d reservations", len(with.lookahead.reserved))
			}
		})
	}
}

// BenchmarkPlanWithoutLarge measures plans in which nothing fits and no large task waits,
// with and without look-ahead.
func BenchmarkPlanWithoutLarge(b *testing.B) {
	for _, size := range []int{490, 1800} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			without, now := newFullEngine(size, size*9/2, size*40)
			without.lookahead.disabled = true
			with, _ := newFullEngine(size, size*9/2, size*40)
			comparePlans(b, without, with, now, 0)
		})
	}
}

// comparePlans reports the times of alternating plans of two engines.
func comparePlans(b *testing.B, without, with *Engine, now time.Time, interval time.Duration) {
	times := map[*Engine]waits{}
	for b.Loop() {
		now = now.Add(interval)
		for _, e := range []*Engine{without, with} {
			for _, w := range e.workers { // leases are renewed
				w.leaseUntilMS = w.ClockMS(now) + 5000
			}
			begin := time.Now()
			e.Plan(now)
			times[e] = append(times[e], time.Since(begin))
		}
	}
	before, after := times[without].quantile(0.5), times[with].quantile(0.5)
	b.ReportMetric(float64(before.Microseconds()), "without-median-µs")
	b.ReportMetric(float64(after.Microseconds()), "with-median-µs")
	b.ReportMetric(float64(after)/float64(before), "median-ratio")
	b.ReportMetric(float64(times[without].quantile(0.95).Microseconds()), "without-95%-µs")
	b.ReportMetric(float64(times[with].quantile(0.95).Microseconds()), "with-95%-µs")
	b.ReportMetric(0, "ns/op")
}
