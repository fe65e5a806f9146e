package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the recorded latencies in microseconds, and their precision in
// decimal digits. Latencies outside the range are clamped to it.
const (
	minLatencyMicros   = 100
	maxLatencyMicros   = 120_000_000
	significantFigures = 2
)

// Latency is a distribution of latencies. It is not safe for concurrent use.
type Latency struct{ histogram *hdrhistogram.Histogram }

// NewLatency returns an empty distribution.
func NewLatency() *Latency {
	return &Latency{hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantFigures)}
}

// Record adds one latency.
func (l *Latency) Record(d time.Duration) {
	micros := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = l.histogram.RecordValue(micros) // the value is within the range
}

// Merge adds another distribution, which is left unchanged.
func (l *Latency) Merge(o *Latency) { l.histogram.Merge(o.histogram) }

// Quantile returns the latency at quantile q, from 0 to 1.
func (l *Latency) Quantile(q float64) time.Duration {
	return time.Duration(l.histogram.ValueAtQuantile(q*100)) * time.Microsecond
}

// Count returns the number of recorded latencies.
func (l *Latency) Count() int64 { return l.histogram.TotalCount() }
