package learn_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/learn"
)

func Example() {
	t := learn.NewEstimator()
	check := learn.Key{Service: "stock", Route: "/check"}
	sync := learn.Key{Service: "stock", Route: "/sync"}
	for range 20 {
		t.Observe(check, 20*time.Millisecond)
	}
	for range 4 {
		t.Observe(sync, 2*time.Second)
	}
	fmt.Println(t.IsLong(check), t.IsLong(sync))
	// Output: false true
}

// A route that runs much longer than its service's median is long and the
// others are short, whatever the order of the requests.
func TestClassFollowsRunTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := learn.NewEstimator()
		short := learn.Key{Service: "s", Route: "short"}
		long := learn.Key{Service: "s", Route: "long"}
		base := time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
		factor := rapid.IntRange(12, 200).Draw(t, "factor")
		n := rapid.IntRange(8, 900).Draw(t, "requests")
		for i := range n {
			table.Observe(short, base)
			if i%4 == 0 {
				table.Observe(long, base*time.Duration(factor))
			}
		}
		if table.IsLong(short) {
			t.Fatalf("short work is taken for long")
		}
		if n >= 40 && !table.IsLong(long) {
			t.Fatalf("work %d times longer is taken for short", factor)
		}
	})
}

func TestTableForgetsOldRunTimesAndStaysBounded(t *testing.T) {
	table := learn.NewEstimator()
	for i := range 3000 {
		table.Observe(learn.Key{Service: "s", Route: fmt.Sprint(i)}, time.Millisecond)
	}
	if table.Len() > 1024 {
		t.Fatalf("%d keys are kept", table.Len())
	}
	k := learn.Key{Service: "s", Route: "changes"}
	for range 600 {
		table.Observe(k, time.Second)
	}
	for range 600 {
		table.Observe(k, time.Millisecond)
	}
	if table.IsLong(k) {
		t.Fatalf("the route is still long after 600 short runs")
	}
}

func BenchmarkLong(b *testing.B) {
	table := learn.NewEstimator()
	k := learn.Key{Service: "s", Route: "r"}
	for range 1000 {
		table.Observe(k, time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.IsLong(k)
	}
}

// Answers that take a millisecond do not make a pause of some milliseconds
// count as a silent connection.
func TestStallTimeoutOutlastsShortPauses(t *testing.T) {
	table := learn.NewEstimator()
	key := learn.Key{Service: "stock-check", Member: "m", Route: "GET /x"}
	for range 100 {
		table.Observe(key, time.Millisecond)
	}
	if got := table.StallTimeout(key); got != 100*time.Millisecond {
		t.Fatalf("stall timeout is %v, want 100 ms", got)
	}
}
