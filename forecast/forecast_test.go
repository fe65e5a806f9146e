package forecast

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var batch = Kind{"batch", "sum"}

// relativeError returns the mean of |log(predicted/real)| over a stream of steps whose tasks
// really take 2 s within a fifth, and whose declared run times are off by up to spread.
func relativeError(seed uint64, spread float64, learn bool) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	m := NewModel()
	sum, n := 0.0, 0
	for step := range 60 {
		// Off by a factor for the step as a whole.
		off := 1 + spread*(2*rng.Float64()-1)
		for range 20 {
			took := time.Duration((2 + 0.4*(2*rng.Float64()-1)) * float64(time.Second))
			estimate := time.Duration(2 * off * float64(time.Second))
			if step >= 20 {
				sum += math.Abs(math.Log(m.Predict(batch, estimate).Quantile(0.5).Seconds() / took.Seconds()))
				n++
			}
			if learn {
				m.Observe(batch, estimate, took, 1)
			}
		}
	}
	return sum / float64(n)
}

// Guards against plans that rely on declared run times which are off by nine tenths.
func TestEstimatesOffByNineTenths(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		declared, learned := relativeError(seed, 0.9, false), relativeError(seed, 0.9, true)
		if learned > declared/2 {
			t.Errorf("seed %d: error %.2f with learned run times, %.2f with declared ones", seed, learned, declared)
		}
	}
	is.True(relativeError(1, 0.1, true) < 0.2) // good estimates stay good
}

// Guards against a model that keeps the run times of an image after a new version of it.
func TestRunTimesThatChangeAreFollowed(t *testing.T) {
	is := is.New(t)
	m := NewModel()
	for range 1000 {
		m.Observe(batch, time.Second, time.Second, 1)
	}
	for range 400 {
		m.Observe(batch, time.Second, 3*time.Second, 1)
	}
	median := m.Predict(batch, time.Second).Quantile(0.5)
	is.True(median > 2500*time.Millisecond && median < 3500*time.Millisecond)
}

// Guards against run times that are learned on crowded VMs and predicted for empty ones.
func TestSlowdownIsNotLearned(t *testing.T) {
	is := is.New(t)
	m := NewModel()
	for range 200 {
		m.Observe(batch, 2*time.Second, 5*time.Second, 2.5)
	}
	is.True(math.Abs(m.Predict(batch, 2*time.Second).Quantile(0.5).Seconds()-2) < 0.1)
}

// Guards against predictions for a new image that ignore what its queue has shown.
func TestNewKindFollowsItsQueue(t *testing.T) {
	is := is.New(t)
	m := NewModel()
	for i := range 200 {
		m.Observe(Kind{"batch", fmt.Sprint(i % 5)}, time.Second, 2*time.Second, 1)
		m.Observe(Kind{"urgent", "u"}, time.Second, time.Second/2, 1)
	}
	seconds := func(k Kind) float64 { return m.Predict(k, time.Second).Quantile(0.5).Seconds() }
	is.True(seconds(Kind{"batch", "new"}) > 1.7)
	is.True(seconds(Kind{"urgent", "new"}) < 0.6)
	other := seconds(Kind{"other", "new"})
	is.True(other > 0.6 && other < 1.7)
}

// Guards against an empty model that claims to know: a new owner starts with one.
func TestEmptyModelPredictsDeclaredRunTimes(t *testing.T) {
	is := is.New(t)
	r := NewModel().Predict(batch, 2*time.Second)
	is.True(math.Abs(r.Quantile(0.5).Seconds()-2) < 0.001)
	is.True(r.Quantile(0.9) > 4*time.Second)
	is.True(r.Quantile(0.1) < time.Second)
}

// Guards against the growth of an owner's memory with the number of images.
func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	m := NewModel()
	for i := range 3 * MaxKinds {
		m.Observe(batch, time.Second, 3*time.Second, 1) // in use, so never dropped
		m.Observe(Kind{fmt.Sprint("q", i), fmt.Sprint(i)}, time.Second, time.Second, 1)
	}
	is.Equal(m.Kinds(), MaxKinds)
	is.Equal(len(m.queues.entries), maxQueues)
	is.True(m.kinds.find(batch) != nil)
	is.True(m.kinds.find(Kind{"q0", "0"}) == nil)
}

// Guards against one stuck run that makes all later ones look long.
func TestStuckRunChangesLittle(t *testing.T) {
	is := is.New(t)
	m := NewModel()
	for range 100 {
		m.Observe(batch, time.Second, time.Second, 1)
	}
	m.Observe(batch, time.Second, time.Hour, 1)
	is.True(m.Predict(batch, time.Second).Quantile(0.5) < 1100*time.Millisecond)
}

// Guards against a remaining time of zero, or one that shrinks, for a task that runs past
// every quantile: capacity would be expected at once, for ever.
func TestOverdueTaskIsExpectedToTakeLonger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRunTime(rapid.Float64Range(-3, 5).Draw(t, "mu"), rapid.Float64Range(0, 1.5).Draw(t, "sigma"))
		over := time.Duration(rapid.Float64Range(1, 50).Draw(t, "over") * float64(r.Quantile(0.999)))
		first, second := r.Remaining(over, -1), r.Remaining(2*over, -1)
		if first.Mean() <= 0 || first.Quantile(0.001) <= 0 || second.Mean() <= first.Mean() {
			t.Fatalf("remaining %v after %v, %v after %v", first.Mean(), over, second.Mean(), 2*over)
		}
	})
}

// Guards against a remaining time that disagrees with the simulated one.
func TestRemainingMatchesSimulation(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for _, sigma := range []float64{0.1, 0.5, 1} {
		r := newRunTime(math.Log(2), sigma)
		for _, elapsed := range []float64{0.5, 1, 2, 3} {
			sum, n := 0.0, 0
			for range 200_000 {
				if v := math.Exp(r.mu + sigma*rng.NormFloat64()); v > elapsed {
					sum, n = sum+v-elapsed, n+1
				}
			}
			if n < 1000 {
				continue
			}
			got, want := r.Remaining(time.Duration(elapsed*float64(time.Second)), -1).Mean().Seconds(), sum/float64(n)
			if math.Abs(got/want-1) > 0.15 {
				t.Errorf("spread %.1f, after %.1f s: %.2f s, simulated %.2f s", sigma, elapsed, got, want)
			}
		}
	}
}

// Guards against a prediction that ignores a task's progress: half done after 3 s means
// about 3 s more, whatever was declared.
func TestProgressCorrectsTheDeclaredRunTime(t *testing.T) {
	is := is.New(t)
	r := NewModel().Predict(batch, time.Second)
	half := r.Remaining(3*time.Second, 0.5).Quantile(0.5)
	is.True(half > 2*time.Second && half < 3500*time.Millisecond)
	done := r.Remaining(3*time.Second, 1).Mean()
	is.True(done > 0 && done < 100*time.Millisecond)
	is.Equal(r.Remaining(0, 0.5), r)
	is.Equal(r.Remaining(time.Second, math.NaN()), r.Remaining(time.Second, -1))
}

// Guards against predictions that are not positive durations, for any input.
func TestPredictionsArePositive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel()
		duration := rapid.OneOf(rapid.Int64(), rapid.Int64Range(-1, int64(time.Minute)))
		factor := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, 1, math.NaN(), math.Inf(1)}))
		for range rapid.IntRange(0, 20).Draw(t, "observations") {
			m.Observe(batch, time.Duration(duration.Draw(t, "estimate")), time.Duration(duration.Draw(t, "took")), factor.Draw(t, "slowdown"))
		}
		r := m.Predict(batch, time.Duration(duration.Draw(t, "estimate")))
		rest := r.Remaining(time.Duration(duration.Draw(t, "elapsed")), factor.Draw(t, "progress"))
		for _, d := range []RunTime{{}, r, rest} {
			low, median, high := d.Quantile(0.01), d.Quantile(0.5), d.Quantile(0.99)
			if low <= 0 || median < low || high < median || d.Mean() <= 0 {
				t.Fatalf("quantiles %v %v %v, mean %v", low, median, high, d.Mean())
			}
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	m := NewModel()
	b.ReportAllocs()
	for i := range b.N {
		m.Observe(batch, time.Second+time.Duration(i%7)*time.Millisecond, 2*time.Second, 1)
	}
}

func BenchmarkPredict(b *testing.B) {
	m := NewModel()
	for range 100 {
		m.Observe(batch, time.Second, 2*time.Second, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = m.Predict(batch, time.Second).Quantile(0.9)
	}
}

func BenchmarkRemaining(b *testing.B) {
	r := NewModel().Predict(batch, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		_ = r.Remaining(1500*time.Millisecond, 0.4).Mean()
	}
}
