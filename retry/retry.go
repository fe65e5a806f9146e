// Package retry decides whether a request gets a further attempt: after a failed
// attempt (a retry), or in parallel with one that takes unusually long (a hedge).
// Both share one budget, so that failures never multiply the load. An attempt is
// one send of the request to a target.
//
// The types are not safe for concurrent use; their owner serialises the calls.
package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bambooyard/bambooyard/verdict"
)

// Constants of the budget.
const (
	// budgetPercent is how many further attempts are allowed per 100 first ones.
	budgetPercent = 10
	// maxCredit bounds the further attempts for which credit accumulates while few
	// are made.
	maxCredit = 50
	// maxAttempts bounds the attempts of one request, the first included.
	maxAttempts = 3
)

// Budget limits further attempts to a share of the first ones.
type Budget struct {
	// credit is in hundredths of an attempt.
	credit int
}

// Deposit adds the credit of one request, at its first attempt.
func (b *Budget) Deposit() { b.credit = min(b.credit+budgetPercent, 100*maxCredit) }

// TryWithdraw takes the credit of one further attempt and reports true, unless the
// budget has too little.
func (b *Budget) TryWithdraw() bool {
	if b.credit < 100 {
		return false
	}
	b.credit -= 100
	return true
}

// Failure is a failed attempt.
type Failure struct {
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// Attempts is how often the request was sent so far, the failed attempt included.
	Attempts int
	// Remaining is the time to the deadline and Expected the time that an attempt
	// takes.
	Remaining, Expected time.Duration
}

// ShouldRetry reports whether the request may be sent once more if the budget
// allows it. A request that is not repeatable may be only if its verdict is
// verdict.NotRun, since it cannot have run then.
func (f Failure) ShouldRetry() bool {
	switch {
	case f.Verdict != verdict.NotRun && !f.Repeatable:
		return false
	default:
		return f.Attempts < maxAttempts && f.Remaining > f.Expected
	}
}

// Constants of the latency histogram.
const (
	// windowSamples is the number of latencies in a window; two windows are kept.
	windowSamples = 1000
	windows       = 2
	// maxLatencyMS and significantFigures size the histograms.
	maxLatencyMS       = 60_000
	significantFigures = 2
	// refreshSamples is the number of latencies after which the quantiles are first
	// known, and then updated.
	refreshSamples = 100
	// hedgeQuantile is the percentile of the latencies above which an attempt is
	// unusually long.
	hedgeQuantile  = 95
	medianQuantile = 50
)

// Latencies tracks the recent latencies of a service's attempts.
type Latencies struct {
	histogram *hdrhistogram.WindowedHistogram
	count     int
	// median and hedgeDelay are read from the histogram every refreshSamples.
	median, hedgeDelay time.Duration
}

// NewLatencies returns a tracker without latencies.
func NewLatencies() *Latencies {
	return &Latencies{histogram: hdrhistogram.NewWindowed(windows, 1, maxLatencyMS, significantFigures)}
}

// Observe records the latency of an attempt that got a response.
func (l *Latencies) Observe(latency time.Duration) {
	ms := min(max(1, latency.Milliseconds()), maxLatencyMS)
	if err := l.histogram.Current.RecordValue(ms); err != nil {
		return // out of the histogram's range, which the clamping above excludes
	}
	l.count++
	if l.count%refreshSamples == 0 {
		merged := l.histogram.Merge()
		l.median = time.Duration(merged.ValueAtQuantile(medianQuantile)) * time.Millisecond
		l.hedgeDelay = time.Duration(merged.ValueAtQuantile(hedgeQuantile)) * time.Millisecond
	}
	if l.count%windowSamples == 0 {
		l.histogram.Rotate()
	}
}

// Median returns the median latency, or zero if it is not known yet.
func (l *Latencies) Median() time.Duration { return l.median }

// HedgeDelay returns how long to wait for a response before a repeatable request
// is also sent to a second target. It returns false if that is not known yet or if
// too little time remains for a second attempt.
func (l *Latencies) HedgeDelay(remaining time.Duration) (time.Duration, bool) {
	return l.hedgeDelay, l.hedgeDelay > 0 && l.hedgeDelay+l.median < remaining
}
