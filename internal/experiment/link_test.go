package experiment

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkLink(b *testing.B) {
	for _, delay := range []time.Duration{30 * time.Millisecond, time.Second} {
		for _, policy := range []LinkPolicy{EqualShares, ReportedDemand, Loans} {
			b.Run(fmt.Sprintf("messages up to %v/%s", delay, policy), func(b *testing.B) {
				r := RunLink(policy, seed, delay)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(r.MaxBytesPerSecond*8/1e6, "max-Mbit/s")
				b.ReportMetric(100*r.Carried, "carried-%")
			})
		}
	}
}

// With loans, the daemons together never exceed the rate of the link in any
// second, even if messages are late or lost.
func TestLoansStayWithinTheLink(t *testing.T) {
	for s := range uint64(5) {
		for _, delay := range []time.Duration{30 * time.Millisecond, 3 * time.Second} {
			if r := RunLink(Loans, s, delay); r.MaxBytesPerSecond > linkRate {
				t.Fatalf("seed %d, delay %v: %.0f bytes in one second", s, delay, r.MaxBytesPerSecond)
			}
		}
	}
}

// Head-of-line blocking: with learned run times, long requests on the same
// targets must not raise the p99 of short requests beyond 1.5 times their p99
// without long requests.
func TestLongRequestsDoNotBlockShortOnes(t *testing.T) {
	shortOnly, mixed := headOfLine(0.9, true), headOfLine(0.9, false)
	shortOnly.Duration, mixed.Duration = 30*time.Second, 30*time.Second
	base := Run(shortOnly, NewRoutePicker(shortOnly, "", true), false)
	got := Run(mixed, NewRoutePicker(mixed, "", true), false)
	if ratio := Milliseconds(got.Short, 99) / Milliseconds(base.Short, 99); ratio > 1.5 {
		t.Fatalf("p99 of short requests is %.2f times their p99 without long requests", ratio)
	}
}
