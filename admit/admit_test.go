package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/admit"
)

// For any sequence of arrivals and releases: no request is admitted at or past
// its deadline, an idle service refuses only those, the requests in flight stay
// bounded, and every refusal has a reason and a valid RetryAfter.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(1, 20).Draw(t, "share")
		c := admit.NewController(admit.Capacity{Share: share, Slots: 8 * share})
		now := time.Unix(0, 0)
		var inFlight []string
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(inFlight) > 0 && rapid.IntRange(0, 2).Draw(t, "release") == 0 {
				latency := time.Duration(rapid.IntRange(0, 3000).Draw(t, "latency")) * time.Millisecond
				c.Release(inFlight[0])
				c.Observe(now, latency)
				inFlight = inFlight[1:]
				continue
			}
			r := admit.Request{
				Member:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member"),
				Weight:   rapid.IntRange(0, 3).Draw(t, "weight"),
				Deadline: now.Add(time.Duration(rapid.IntRange(-1, 500).Draw(t, "deadline")) * time.Millisecond),
			}
			d := c.Admit(now, r)
			switch {
			case d.Admitted && !r.Deadline.After(now):
				t.Fatal("admitted past its deadline")
			case d.Admitted:
				inFlight = append(inFlight, r.Member)
			case len(inFlight) == 0 && r.Deadline.After(now):
				t.Fatal("refused by an idle service")
			case d.Reason == 0 || d.RetryAfter < time.Second || d.RetryAfter > 30*time.Second:
				t.Fatalf("refusal without a reason or a valid RetryAfter: %+v", d)
			}
			if c.InFlight() != len(inFlight) || len(inFlight) > 48*share {
				t.Fatalf("%d in flight", len(inFlight))
			}
		}
	})
}

// A request whose predicted latency exceeds its deadline is refused on arrival,
// and RetryAfter grows with the number of refusals.
func TestPredictedDeadlineMissIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latency := time.Duration(rapid.IntRange(20, 500).Draw(t, "latency")) * time.Millisecond
		c := admit.NewController(admit.Capacity{Share: 4, Slots: 4})
		now := time.Unix(0, 0)
		for range 20 {
			c.Admit(now, admit.Request{Member: "a", Deadline: now.Add(time.Hour)})
			now = now.Add(latency)
			c.Release("a")
			c.Observe(now, latency)
		}
		c.Admit(now, admit.Request{Member: "a", Deadline: now.Add(time.Hour)})
		tight := admit.Request{Member: "a", Deadline: now.Add(latency / 2)}
		first := c.Admit(now, tight)
		if first.Admitted || first.Reason != admit.ReasonDeadline {
			t.Fatalf("admitted with half of the latency left: %+v", first)
		}
		last := first
		for range 1000 {
			last = c.Admit(now, tight)
		}
		if last.RetryAfter <= first.RetryAfter {
			t.Fatalf("RetryAfter is %v after 1000 refusals", last.RetryAfter)
		}
	})
}

// When the targets serve fewer requests at a time than they have slots, the limit
// decreases until their queues are short, even if all deadlines are distant.
func TestLimitFollowsLatency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = 40 * time.Millisecond
		share := rapid.IntRange(16, 64).Draw(t, "share")
		busySlots := share/2 + rapid.IntRange(0, share/2).Draw(t, "busy slots")
		c := admit.NewController(admit.Capacity{Share: share, Slots: 8 * share})
		now := time.Unix(0, 0)
		for round := range 400 {
			admitted := 0
			for range 30 * share {
				if round < 20 && admitted == busySlots/2 {
					break // low load at first, to measure the latency without queues
				}
				if !c.Admit(now, admit.Request{Member: "a", Deadline: now.Add(time.Hour)}).Admitted {
					break
				}
				admitted++
			}
			latency := base * time.Duration(max(busySlots, admitted)) / time.Duration(busySlots)
			now = now.Add(latency)
			for range admitted {
				c.Release("a")
				c.Observe(now, latency)
			}
		}
		if c.Limit() > 3*busySlots || c.Limit() < busySlots {
			t.Fatalf("the limit is %d for %d busy slots of %d", c.Limit(), busySlots, share)
		}
	})
}

func ExampleController() {
	c := admit.NewController(admit.Capacity{Share: 2, Slots: 2})
	now := time.Unix(0, 0)
	for range 4 {
		d := c.Admit(now, admit.Request{Member: "conservators", Weight: 1, Deadline: now.Add(time.Second)})
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
