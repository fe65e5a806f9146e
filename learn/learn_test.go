package learn_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/learn"
)

func Example() {
	estimator := learn.NewEstimator()
	check := learn.Key{Service: "stock", Route: "/check"}
	sync := learn.Key{Service: "stock", Route: "/sync"}
	for range 20 {
		estimator.Observe(check, 20*time.Millisecond)
	}
	for range 4 {
		estimator.Observe(sync, 2*time.Second)
	}
	fmt.Println(estimator.IsLong(check), estimator.IsLong(sync))
	// Output: false true
}

// A route that runs much longer than its service's median is long and the
// others are short, in any mix of requests.
func TestClassFollowsRunTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := learn.NewEstimator()
		short := learn.Key{Service: "s", Route: "short"}
		long := learn.Key{Service: "s", Route: "long"}
		base := time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
		factor := rapid.IntRange(12, 200).Draw(t, "factor")
		n := rapid.IntRange(8, 900).Draw(t, "requests")
		for i := range n {
			estimator.Observe(short, base)
			if i%4 == 0 {
				estimator.Observe(long, base*time.Duration(factor))
			}
		}
		if estimator.IsLong(short) {
			t.Fatalf("short route is classified as long")
		}
		if n >= 40 && !estimator.IsLong(long) {
			t.Fatalf("route with %d times the run time is classified as short", factor)
		}
	})
}

func TestEstimatorForgetsOldRunTimesAndStaysBounded(t *testing.T) {
	estimator := learn.NewEstimator()
	for i := range 3000 {
		estimator.Observe(learn.Key{Service: "s", Route: fmt.Sprint(i)}, time.Millisecond)
	}
	if estimator.Len() > 1024 {
		t.Fatalf("%d keys are kept", estimator.Len())
	}
	k := learn.Key{Service: "s", Route: "changes"}
	for range 600 {
		estimator.Observe(k, time.Second)
	}
	for range 600 {
		estimator.Observe(k, time.Millisecond)
	}
	if estimator.IsLong(k) {
		t.Fatalf("the route is still long after 600 short runs")
	}
}

func BenchmarkIsLong(b *testing.B) {
	estimator := learn.NewEstimator()
	k := learn.Key{Service: "s", Route: "r"}
	for range 1000 {
		estimator.Observe(k, time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		estimator.IsLong(k)
	}
}

// Responses that take a millisecond must not cause a pause of a few
// milliseconds to be treated as a stalled connection.
func TestStallTimeoutOutlastsShortPauses(t *testing.T) {
	estimator := learn.NewEstimator()
	key := learn.Key{Service: "stock-check", Member: "m", Route: "GET /x"}
	for range 100 {
		estimator.Observe(key, time.Millisecond)
	}
	if got := estimator.StallTimeout(key); got != 100*time.Millisecond {
		t.Fatalf("stall timeout is %v, want 100 ms", got)
	}
}
