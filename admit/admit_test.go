package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/admit"
)

// Whatever arrives and ends: nothing is admitted at or past its deadline, an
// idle service refuses nobody, the requests in flight stay bounded, and every
// refusal tells its reason and when to come back.
func TestGateKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(1, 20).Draw(t, "share")
		g := admit.NewController(admit.Capacity{Share: share, Slots: 8 * share})
		now := time.Unix(0, 0)
		var inFlight []string
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(inFlight) > 0 && rapid.IntRange(0, 2).Draw(t, "leave") == 0 {
				latency := time.Duration(rapid.IntRange(0, 3000).Draw(t, "latency")) * time.Millisecond
				g.Leave(inFlight[0])
				g.Observe(now, latency)
				inFlight = inFlight[1:]
				continue
			}
			r := admit.Request{
				Member:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member"),
				Weight:   rapid.IntRange(0, 3).Draw(t, "weight"),
				Deadline: now.Add(time.Duration(rapid.IntRange(-1, 500).Draw(t, "deadline")) * time.Millisecond),
			}
			d := g.Arrive(now, r)
			switch {
			case d.Admitted && !r.Deadline.After(now):
				t.Fatal("admitted past its deadline")
			case d.Admitted:
				inFlight = append(inFlight, r.Member)
			case len(inFlight) == 0 && r.Deadline.After(now):
				t.Fatal("refused by an idle service")
			case d.Reason == 0 || d.RetryAfter < time.Second || d.RetryAfter > 30*time.Second:
				t.Fatalf("a refusal of no use: %+v", d)
			}
			if g.InFlight() != len(inFlight) || len(inFlight) > 48*share {
				t.Fatalf("%d in flight", len(inFlight))
			}
		}
	})
}

// A request that would wait past its deadline is refused at its arrival, and
// the wait to come back grows with the number of those refused.
func TestDeadlineIsForeseen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latency := time.Duration(rapid.IntRange(20, 500).Draw(t, "latency")) * time.Millisecond
		g := admit.NewController(admit.Capacity{Share: 4, Slots: 4})
		now := time.Unix(0, 0)
		for range 20 {
			g.Arrive(now, admit.Request{Member: "a", Deadline: now.Add(time.Hour)})
			now = now.Add(latency)
			g.Leave("a")
			g.Observe(now, latency)
		}
		g.Arrive(now, admit.Request{Member: "a", Deadline: now.Add(time.Hour)})
		tight := admit.Request{Member: "a", Deadline: now.Add(latency / 2)}
		first := g.Arrive(now, tight)
		if first.Admitted || first.Reason != admit.ReasonDeadline {
			t.Fatalf("admitted with half of the latency left: %+v", first)
		}
		last := first
		for range 1000 {
			last = g.Arrive(now, tight)
		}
		if last.RetryAfter <= first.RetryAfter {
			t.Fatalf("after 1000 refusals: come back after %v", last.RetryAfter)
		}
	})
}

// Where the targets work on fewer requests than their slots, the limit falls
// until they no longer queue long, however far the deadline is.
func TestLimitFollowsLatency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = 40 * time.Millisecond
		share := rapid.IntRange(16, 64).Draw(t, "share")
		working := share/2 + rapid.IntRange(0, share/2).Draw(t, "working")
		g := admit.NewController(admit.Capacity{Share: share, Slots: 8 * share})
		now := time.Unix(0, 0)
		for round := range 400 {
			admitted := 0
			for range 30 * share {
				if round < 20 && admitted == working/2 {
					break // a calm time shows the latency without queues
				}
				if !g.Arrive(now, admit.Request{Member: "a", Deadline: now.Add(time.Hour)}).Admitted {
					break
				}
				admitted++
			}
			latency := base * time.Duration(max(working, admitted)) / time.Duration(working)
			now = now.Add(latency)
			for range admitted {
				g.Leave("a")
				g.Observe(now, latency)
			}
		}
		if g.Limit() > 3*working || g.Limit() < working {
			t.Fatalf("the limit is %d for %d working slots of %d", g.Limit(), working, share)
		}
	})
}

func ExampleController() {
	g := admit.NewController(admit.Capacity{Share: 2, Slots: 2})
	now := time.Unix(0, 0)
	for range 4 {
		d := g.Arrive(now, admit.Request{Member: "conservators", Weight: 1, Deadline: now.Add(time.Second)})
		if d.Admitted {
			fmt.Println("admitted")
		} else {
			fmt.Println("the service", d.Reason, "- retry after", d.RetryAfter)
		}
	}
	// Output:
	// admitted
	// admitted
	// the service has too many requests in flight - retry after 1s
	// the service has too many requests in flight - retry after 1s
}
