package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/retry"
	"github.com/bambooyard/bambooyard/verdict"
)

// In any sequence, further attempts are at most a tenth of the first ones so far,
// and no request is repeated that must not be.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budget
		first, further := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			first++
			b.Deposit()
			for attempts := 1; rapid.IntRange(0, 2).Draw(t, "fails") == 0; attempts++ {
				f := retry.Failure{
					Verdict:    rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun}).Draw(t, "verdict"),
					Repeatable: rapid.Bool().Draw(t, "repeatable"),
					Attempts:   attempts, Remaining: time.Second, Expected: time.Millisecond,
				}
				if !f.ShouldRetry() || !b.TryWithdraw() {
					break
				}
				further++
				if f.Verdict != verdict.NotRun && !f.Repeatable {
					t.Fatal("a request was repeated that must not be")
				}
			}
			if further*10 > first {
				t.Fatalf("%d further attempts for %d first ones", further, first)
			}
		}
	})
}

// While a third of the targets fails, the budget bounds the load and nearly all of
// it is used. The baselines are no retries, and two retries for each request.
func TestBudgetWhileThirdOfTargetsFails(t *testing.T) {
	is := is.New(t)
	none, bounded, unbounded := simulate(1, func(*retry.Budget, int) bool { return false }),
		simulate(1, func(b *retry.Budget, attempts int) bool {
			return retry.Failure{Repeatable: true, Attempts: attempts, Remaining: time.Second}.ShouldRetry() && b.TryWithdraw()
		}),
		simulate(1, func(_ *retry.Budget, attempts int) bool { return attempts < 3 })
	t.Logf("none %+v, budget %+v, without budget %+v", none, bounded, unbounded)
	is.True(bounded.further*10 <= bounded.first)
	is.True(bounded.further*100 >= bounded.first*9)
	is.True(bounded.answered > none.answered)
	is.True(unbounded.further*10 > 4*unbounded.first)
}

type counts struct{ first, further, answered int }

func simulate(seed uint64, retryAllowed func(b *retry.Budget, attempts int) bool) counts {
	const requests = 100_000
	r := rand.New(rand.NewPCG(seed, seed))
	var b retry.Budget
	var c counts
	for range requests {
		c.first++
		b.Deposit()
		for n := 1; ; n++ {
			if r.IntN(3) > 0 {
				c.answered++
				break
			}
			if !retryAllowed(&b, n) {
				break
			}
			c.further++
		}
	}
	return c
}

func TestHedgeDelayIsTheHighQuantile(t *testing.T) {
	is := is.New(t)
	l := retry.NewLatencies()
	_, ok := l.HedgeDelay(time.Hour)
	is.True(!ok) // no latency is known
	for i := range 2000 {
		l.Observe(time.Duration(i%100+1) * time.Millisecond)
	}
	after, ok := l.HedgeDelay(time.Second)
	is.True(ok)
	is.True(after >= 94*time.Millisecond && after <= 97*time.Millisecond)
	_, ok = l.HedgeDelay(100 * time.Millisecond)
	is.True(!ok) // too little time for a second attempt
}

func ExampleBudget() {
	var b retry.Budget
	for range 25 {
		b.Deposit()
	}
	fmt.Println(b.TryWithdraw(), b.TryWithdraw(), b.TryWithdraw())
	// Output: true true false
}
