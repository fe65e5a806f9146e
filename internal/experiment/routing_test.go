package experiment

import (
	"fmt"
	"testing"
	"time"
)

// seed is the seed of every run in this file.
const seed = 1

// policies returns the policies that BenchmarkRouting compares.
func policies(s Scenario) []Policy {
	return []Policy{
		NewRoundRobin(s),
		NewTwoChoices(s, "two choices, local", 0),
		NewTwoChoices(s, "two choices, peers in full", 1),
		NewTwoChoices(s, "two choices, peers at 1/4", 0.25),
		NewLeastInFlight(s, "least in flight, local", 0),
		NewLeastInFlight(s, "least in flight, peers in full", 1),
		NewLeastInFlight(s, "least in flight, peers at 1/4", 0.25),
		NewFixedShares(s),
		NewRoutePicker(s, "route.Picker", false),
	}
}

// scenarios returns the scenarios of BenchmarkRouting.
func scenarios() []Scenario {
	skewed, slow, mixed := Baseline(seed), Baseline(seed), Baseline(seed)
	skewed.Name, skewed.FirstDaemonShare = "one daemon gets 39%", 0.3
	slow.Name, slow.Utilisation, slow.SlowTargets, slow.SlowFactor = "10 of 65 targets 3 times slower", 0.7, 10, 3
	mixed.Name, mixed.LongShare, mixed.LongFactor, mixed.Utilisation, mixed.Duration = "10% of work 100 times longer", 0.1, 100, 0.6, 60*time.Second
	return []Scenario{Baseline(seed), skewed, slow, mixed}
}

// BenchmarkRouting reports the latencies of every policy in every scenario.
func BenchmarkRouting(b *testing.B) {
	for _, s := range scenarios() {
		for _, policy := range policies(s) {
			b.Run(s.Name+"/"+policy.Name(), func(b *testing.B) { report(b, Run(s, policy, false)) })
		}
		for _, policy := range []Policy{NewTwoChoices(s, "two choices, local, refusals", 0), NewRoutePicker(s, "route.Picker, refusals", false)} {
			b.Run(s.Name+"/"+policy.Name(), func(b *testing.B) { report(b, Run(s, policy, true)) })
		}
	}
}

func report(b *testing.B, r *Result) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(Milliseconds(r.Short, 50), "short-p50-ms")
	b.ReportMetric(Milliseconds(r.Short, 99), "short-p99-ms")
	if r.Long.TotalCount() > 0 {
		b.ReportMetric(Milliseconds(r.Long, 99), "long-p99-ms")
	}
	b.ReportMetric(100*r.OverSlotRate(), "over-slots-%")
	b.ReportMetric(100*float64(r.HeldBack)/float64(max(1, r.Arrived)), "held-%")
	b.ReportMetric(100*float64(r.Refused)/float64(max(1, r.Arrived)), "refused-%")
}

// headOfLine returns a scenario in which one request in ten is 100 times longer,
// or the same scenario without these requests.
func headOfLine(utilisation float64, shortOnly bool) Scenario {
	s := Baseline(seed)
	s.LongShare, s.LongFactor, s.Utilisation = 0.1, 100, utilisation
	s.Duration, s.DropLong = 2*time.Minute, shortOnly
	return s
}

// BenchmarkHeadOfLine reports the p99 of short requests beside long ones, and its
// ratio to the p99 without long requests.
func BenchmarkHeadOfLine(b *testing.B) {
	for _, utilisation := range []float64{0.7, 0.8, 0.9, 1.2} {
		shortOnly, mixed := headOfLine(utilisation, true), headOfLine(utilisation, false)
		base := Run(shortOnly, NewRoutePicker(shortOnly, "", true), false)
		for _, policy := range []Policy{
			NewRoundRobin(mixed),
			NewTwoChoices(mixed, "two choices, local", 0),
			NewLeastInFlight(mixed, "least in flight, local", 0),
			NewRoutePicker(mixed, "route.Picker without run times", false),
			NewRoutePicker(mixed, "route.Picker with learned run times", true),
		} {
			b.Run(fmt.Sprintf("all work %g of slots/%s", utilisation, policy.Name()), func(b *testing.B) {
				r := Run(mixed, policy, false)
				report(b, r)
				b.ReportMetric(Milliseconds(r.Short, 99)/Milliseconds(base.Short, 99), "p99-ratio-to-alone")
				b.ReportMetric(Milliseconds(base.Short, 99), "alone-p99-ms")
				b.ReportMetric(Milliseconds(r.Long, 50), "long-p50-ms")
			})
		}
	}
}
