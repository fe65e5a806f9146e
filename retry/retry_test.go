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

// In every sequence, second sends are at most a tenth of the first ones so far,
// and no request is repeated that must not be.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budget
		first, second := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			first++
			b.Deposit()
			for sends := 1; rapid.IntRange(0, 2).Draw(t, "fails") == 0; sends++ {
				f := retry.Failure{
					Verdict:    rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun}).Draw(t, "verdict"),
					Repeatable: rapid.Bool().Draw(t, "repeatable"),
					Attempts:   sends, Remaining: time.Second, Expected: time.Millisecond,
				}
				if !f.ShouldRetry() || !b.TryWithdraw() {
					break
				}
				second++
				if f.Verdict != verdict.NotRun && !f.Repeatable {
					t.Fatal("a request was repeated that must not be")
				}
			}
			if second*10 > first {
				t.Fatalf("%d second sends for %d first ones", second, first)
			}
		}
	})
}

// With a third of the targets failing, the budget bounds the load, and what it
// allows is not wasted. The baselines are no retries and two retries for each.
func TestThirdOfTargetsFails(t *testing.T) {
	is := is.New(t)
	none, bounded, unbounded := failing(1, func(*retry.Budget, int) bool { return false }),
		failing(1, func(b *retry.Budget, sends int) bool {
			return retry.Failure{Repeatable: true, Attempts: sends, Remaining: time.Second}.ShouldRetry() && b.TryWithdraw()
		}),
		failing(1, func(_ *retry.Budget, sends int) bool { return sends < 3 })
	t.Logf("none %+v, budget %+v, without budget %+v", none, bounded, unbounded)
	is.True(bounded.second*10 <= bounded.first)
	is.True(bounded.second*100 >= bounded.first*9)
	is.True(bounded.answered > none.answered)
	is.True(unbounded.second*10 > 4*unbounded.first)
}

type sends struct{ first, second, answered int }

func failing(seed uint64, again func(b *retry.Budget, sends int) bool) sends {
	const requests = 100_000
	r := rand.New(rand.NewPCG(seed, seed))
	var b retry.Budget
	var s sends
	for range requests {
		s.first++
		b.Deposit()
		for n := 1; ; n++ {
			if r.IntN(3) > 0 {
				s.answered++
				break
			}
			if !again(&b, n) {
				break
			}
			s.second++
		}
	}
	return s
}

func TestHedgeWaitsForUnusualLatency(t *testing.T) {
	is := is.New(t)
	l := retry.NewLatencies()
	_, ok := l.HedgeDelay(time.Hour)
	is.True(!ok) // nothing is known
	for i := range 2000 {
		l.Observe(time.Duration(i%100+1) * time.Millisecond)
	}
	after, ok := l.HedgeDelay(time.Second)
	is.True(ok)
	is.True(after >= 94*time.Millisecond && after <= 97*time.Millisecond)
	_, ok = l.HedgeDelay(100 * time.Millisecond)
	is.True(!ok) // no time is left for a second send
}

func ExampleBudget() {
	var b retry.Budget
	for range 25 {
		b.Deposit()
	}
	fmt.Println(b.TryWithdraw(), b.TryWithdraw(), b.TryWithdraw())
	// Output: true true false
}
