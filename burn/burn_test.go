package burn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/rules"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func Example() {
	l := burn.NewLedger()
	s := burn.Series{Service: "reorder", Member: "conservators"}
	for i := range 1000 {
		o := burn.Observation{At: start, Series: s, Latency: 20 * time.Millisecond}
		if i < 4 {
			o.Outcome = burn.OutcomeRefused
		}
		l.Observe(o)
	}
	objectives := []rules.Objective{{Service: "reorder", LatencyMS: 250, Target: 0.999}}
	line := burn.NewReport(l, objectives, start.Add(time.Minute)).Lines[0]
	fmt.Printf("burn rate %.1f, alert %s\n", line.Windows[0].Burn, line.Alert)
	// Output: burn rate 4.0, alert ticket
}

func drawObservation(t *rapid.T) burn.Observation {
	return burn.Observation{
		At: start.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Hour)).Draw(t, "at"))),
		Series: burn.Series{
			Service: rapid.SampledFrom([]string{"reorder", "stock"}).Draw(t, "service"),
			Member:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "member"),
		},
		Outcome: burn.Outcome(rapid.IntRange(0, burn.Outcomes-1).Draw(t, "outcome")),
		Latency: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "latency")),
	}
}

// TestTotalsEqualIndependentCount spreads requests over daemons at random, encodes
// and decodes the ledgers, merges them in any order and compacts the result. The
// totals must equal an independent count.
func TestTotalsEqualIndependentCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*burn.Ledger{burn.NewLedger(), burn.NewLedger(), burn.NewLedger()}
		want := map[burn.Series]burn.Counts{}
		for range rapid.IntRange(1, 50).Draw(t, "requests") {
			o := drawObservation(t)
			ledgers[rapid.IntRange(0, 2).Draw(t, "daemon")].Observe(o)
			c := want[o.Series]
			c[o.Outcome]++
			want[o.Series] = c
		}
		sum := burn.NewLedger()
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
			data, err := ledgers[i].Encode()
			if err != nil {
				t.Fatal(err)
			}
			l, err := burn.Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			sum.Merge(l)
		}
		sum.Compact(start.Add(rapid.SampledFrom([]time.Duration{0, 12 * time.Hour, 60 * time.Hour}).Draw(t, "age")))
		if diff := cmp.Diff(want, sum.Since(start.Add(-time.Hour))); diff != "" {
			t.Fatalf("counts differ (-want +got):\n%s", diff)
		}
	})
}

func TestResponseSlowerThanObjectiveIsLate(t *testing.T) {
	is := is.New(t)
	r := burn.NewRecorder()
	r.SetObjectives([]rules.Objective{
		{Service: "s", LatencyMS: 100, Target: 0.99},
		{Service: "s", Member: "patient", LatencyMS: 1000, Target: 0.99},
	})
	slow := 500 * time.Millisecond
	r.Observe(burn.Observation{At: start, Series: burn.Series{Service: "s", Member: "hurried"}, Latency: slow})
	r.Observe(burn.Observation{At: start, Series: burn.Series{Service: "s", Member: "patient"}, Latency: slow})
	counts := r.Snapshot().Since(start)
	is.Equal(counts[burn.Series{Service: "s", Member: "hurried"}], burn.Counts{burn.OutcomeLate: 1})
	is.Equal(counts[burn.Series{Service: "s", Member: "patient"}], burn.Counts{burn.OutcomeGood: 1})
}

func TestWindowsExcludeOlderCounts(t *testing.T) {
	is := is.New(t)
	l := burn.NewLedger()
	s := burn.Series{Service: "s", Member: "m"}
	for _, age := range []time.Duration{2 * time.Minute, 30 * time.Minute, 5 * time.Hour, 70 * time.Hour, 80 * time.Hour} {
		l.Observe(burn.Observation{At: start.Add(-age), Series: s, Outcome: burn.OutcomeFailed})
	}
	l.Compact(start)
	report := burn.NewReport(l, nil, start)
	var totals []int64
	for _, w := range report.Lines[0].Windows {
		totals = append(totals, w.Counts.Total())
	}
	is.Equal(totals, []int64{1, 2, 3, 4})
}
