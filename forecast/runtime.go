package forecast

import (
	"math"
	"time"
)

const (
	// minSigma is the least spread: tasks differ by some percent even where their declared
	// run times are exact.
	minSigma = 0.05
	// maxSigma keeps the mean of a prediction within a small multiple of its median.
	maxSigma = 1.5
	// minSeconds and maxSeconds bound a median, so that every quantile is a positive
	// duration.
	minSeconds = 1e-3
	maxSeconds = 1e8
)

// RunTime is a log-normal distribution of a run time. The zero value has a median of one
// second and the least spread.
type RunTime struct {
	mu, sigma float64 // of the logarithm of the seconds
}

// newRunTime returns a distribution with its parameters within their bounds.
func newRunTime(mu, sigma float64) RunTime {
	if math.IsNaN(mu) {
		mu = 0
	}
	if math.IsNaN(sigma) {
		sigma = maxSigma
	}
	mu = min(max(mu, math.Log(minSeconds)), math.Log(maxSeconds))
	return RunTime{mu: mu, sigma: min(max(sigma, minSigma), maxSigma)}
}

// spread returns the standard deviation of the logarithm; the zero value has none set.
func (r RunTime) spread() float64 { return max(r.sigma, minSigma) }

// Quantile returns the run time that is not exceeded with the probability p. A probability
// outside 0.001 to 0.999 counts as the nearer of the two.
func (r RunTime) Quantile(p float64) time.Duration {
	return seconds(math.Exp(r.mu + r.spread()*normalQuantile(p)))
}

// Mean returns the expected run time.
func (r RunTime) Mean() time.Duration {
	s := r.spread()
	return seconds(math.Exp(r.mu + s*s/2))
}

// Errors of a prediction from progress, as standard deviations of the logarithm.
const (
	// progressError remains until the end: the speed of a task varies while it runs.
	progressError = 0.15
	// progressResolution is the step in which workers list progress, with the delay of a
	// listing; it weighs most in the first tenths of a run.
	progressResolution = 0.03
	// leastUndone is the part of the work that is assumed to remain at a progress of 1,
	// which is listed rounded.
	leastUndone = 0.005
)

// Remaining returns the distribution of the remaining run time of a task that has run for
// elapsed and reports progress (0 to 1; negative: unknown), both since the same start. A task
// that runs past its quantiles is expected to take longer, never zero.
func (r RunTime) Remaining(elapsed time.Duration, progress float64) RunTime {
	if elapsed <= 0 {
		return r
	}
	rest := r.beyond(elapsed.Seconds())
	if !(progress > 0) { // also if it is not a number
		return rest
	}
	progress = min(progress, 1)
	undone := max(1-progress, leastUndone)
	mu := math.Log(elapsed.Seconds() * undone / progress)
	sigma := math.Hypot(progressError, progressResolution/progress)
	// Both are estimates of the same logarithm and are weighted by their precision.
	byProgress, byTime := 1/(sigma*sigma), 1/(rest.sigma*rest.sigma)
	total := byProgress + byTime
	return newRunTime((mu*byProgress+rest.mu*byTime)/total, math.Sqrt(1/total))
}

// longestTail is the number of standard deviations above the median from which a task that
// still runs shows that the spread was taken for too small. The tail of a narrow log-normal
// distribution would let such a task end sooner the later it is.
const longestTail = 2

// beyond returns the distribution of the run time that remains after elapsed seconds,
// given that the task still runs: the log-normal distribution with the same median and
// the same quantile at one standard deviation above it.
func (r RunTime) beyond(elapsed float64) RunTime {
	s := r.spread()
	a := (math.Log(elapsed) - r.mu) / s
	if a > longestTail {
		a, s = longestTail, (math.Log(elapsed)-r.mu)/longestTail
	}
	const upper = 0.8413 // one standard deviation above the median
	// The differences are taken relative to elapsed, which loses no precision where they are
	// small.
	median := elapsed * math.Expm1(s*(tailQuantile(a, 0.5)-a))
	above := elapsed * math.Expm1(s*(tailQuantile(a, upper)-a))
	if median <= 0 || above <= median {
		return newRunTime(math.Log(minSeconds), minSigma)
	}
	return newRunTime(math.Log(median), math.Log(above/median))
}

// tailQuantile returns the p-quantile of a standard normal variable that exceeds a, which is
// at most longestTail.
func tailQuantile(a, p float64) float64 {
	survival := 0.5 * math.Erfc(a/math.Sqrt2)
	return math.Sqrt2 * math.Erfinv(1-2*(1-p)*survival)
}

// normalQuantile returns the p-quantile of the standard normal distribution.
func normalQuantile(p float64) float64 {
	const tail = 0.001
	if !(p >= tail) {
		p = tail
	}
	return math.Sqrt2 * math.Erfinv(2*min(p, 1-tail)-1)
}

// seconds converts to a duration of at least a microsecond, without overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 1e-6), maxSeconds) * float64(time.Second))
}
