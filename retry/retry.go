// Package retry decides whether a request is sent a second time: after a
// failure (a retry), or beside a first send that takes unusually long (a
// hedge). Both share one budget, so that failures never multiply the load.
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
	// percent is how many second sends are allowed for 100 first ones.
	percent = 10
	// maxSaved bounds the second sends that a calm time can save up.
	maxSaved = 50
	// maxSends bounds the sends of one request.
	maxSends = 3
)

// Budget allows second sends up to a share of the first ones.
type Budget struct {
	// credit is in hundredths of a second send.
	credit int
}

// Deposit counts a request that is sent for the first time.
func (b *Budget) Deposit() { b.credit = min(b.credit+percent, 100*maxSaved) }

// TryWithdraw uses the budget for one second send, if it allows it.
func (b *Budget) TryWithdraw() bool {
	if b.credit < 100 {
		return false
	}
	b.credit -= 100
	return true
}

// Failure is a send that has failed.
type Failure struct {
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// Attempts is how often the request was sent so far.
	Attempts int
	// Remaining is the time to the deadline and Expected the time that a send takes.
	Remaining, Expected time.Duration
}

// ShouldRetry reports whether the request may be sent once more, if the budget
// allows it. A request that must not be repeated may be if no byte of it was
// sent.
func (f Failure) ShouldRetry() bool {
	switch {
	case f.Verdict != verdict.NotRun && !f.Repeatable:
		return false
	default:
		return f.Attempts < maxSends && f.Remaining > f.Expected
	}
}

// Constants of the measured latencies.
const (
	// perWindow is how many latencies make a window; two windows are remembered.
	perWindow = 1000
	windows   = 2
	// maxLatencyMS and figures size the histograms.
	maxLatencyMS = 60_000
	figures      = 2
	// minObserved is the fewest latencies that tell what is unusual.
	minObserved = 100
	// hedgeQuantile is the latency in percent above which a send is unusually long.
	hedgeQuantile = 95
	median        = 50
)

// Latencies remembers how long the sends of a service took lately.
type Latencies struct {
	recent *hdrhistogram.WindowedHistogram
	count  int
	// typical and unusual are read from the histogram once in a while.
	typical, unusual time.Duration
}

// NewLatencies returns no latencies.
func NewLatencies() *Latencies {
	return &Latencies{recent: hdrhistogram.NewWindowed(windows, 1, maxLatencyMS, figures)}
}

// Observe adds the latency of an answered send.
func (l *Latencies) Observe(latency time.Duration) {
	ms := min(max(1, latency.Milliseconds()), maxLatencyMS)
	if err := l.recent.Current.RecordValue(ms); err != nil {
		return // out of the histogram's range, which the bounds above exclude
	}
	l.count++
	if l.count%minObserved == 0 {
		merged := l.recent.Merge()
		l.typical = time.Duration(merged.ValueAtQuantile(median)) * time.Millisecond
		l.unusual = time.Duration(merged.ValueAtQuantile(hedgeQuantile)) * time.Millisecond
	}
	if l.count%perWindow == 0 {
		l.recent.Rotate()
	}
}

// Median returns the median latency, or zero if it is not known.
func (l *Latencies) Median() time.Duration { return l.typical }

// HedgeDelay returns how long to wait for an answer before a repeatable request
// is sent to a second target, or false if that is not known or no time is left.
func (l *Latencies) HedgeDelay(remaining time.Duration) (time.Duration, bool) {
	return l.unusual, l.unusual > 0 && l.unusual+l.typical < remaining
}
