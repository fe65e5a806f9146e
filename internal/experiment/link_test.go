package experiment

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkLink(b *testing.B) {
	for _, delay := range []time.Duration{30 * time.Millisecond, time.Second} {
		for _, way := range []LinkPolicy{EqualShares, ReportedDemand, Loans} {
			b.Run(fmt.Sprintf("messages up to %v/%s", delay, way), func(b *testing.B) {
				r := RunLink(way, seed, delay)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(r.MaxBytesPerSecond*8/1e6, "max-Mbit/s")
				b.ReportMetric(100*r.Carried, "carried-%")
			})
		}
	}
}

// The link's rate holds in every second, also with late and lost messages.
func TestLoansStayWithinTheLink(t *testing.T) {
	for s := range uint64(5) {
		for _, delay := range []time.Duration{30 * time.Millisecond, 3 * time.Second} {
			if r := RunLink(Loans, s, delay); r.MaxBytesPerSecond > linkBytes {
				t.Fatalf("seed %d, delay %v: %.0f bytes in one second", s, delay, r.MaxBytesPerSecond)
			}
		}
	}
}

// Short work beside long work keeps its tail, whatever was declared.
func TestShortWorkIsNotHeldByLongWork(t *testing.T) {
	alone, mixed := headOfLine(0.9, true), headOfLine(0.9, false)
	alone.Duration, mixed.Duration = 30*time.Second, 30*time.Second
	base := Run(alone, NewRoutePicker(alone, "", true), false)
	got := Run(mixed, NewRoutePicker(mixed, "", true), false)
	if ratio := Milliseconds(got.Short, 99) / Milliseconds(base.Short, 99); ratio > 1.5 {
		t.Fatalf("short work's p99 is %.2f times its p99 alone", ratio)
	}
}
