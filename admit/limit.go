package admit

import (
	"slices"
	"time"
)

// Constants of the concurrency limit.
const (
	// sampleWindow is how long latencies are sampled before the limit is adjusted.
	sampleWindow = 100 * time.Millisecond
	// maxSampleWindow is how long they are sampled when requests are few.
	maxSampleWindow = time.Second
	// minSamples is the fewest latencies that adjust the limit.
	minSamples = 8
	// maxSamples bounds the latencies of one window.
	maxSamples = 256
	// medianTTL is how long a measured median latency is used.
	medianTTL = 2 * time.Second
	// baselineHorizon is the minimum time for which the lowest median latency is
	// kept.
	baselineHorizon = 30 * time.Second
	// queueTolerance is the median latency, relative to the baseline, above which
	// the targets' queues count as too long.
	queueTolerance = 2
	// decreaseFactor multiplies the limit at each decrease. increaseFactor is added
	// at each increase, relative to the share of slots, so that the limits of all
	// daemons grow at the same rate.
	decreaseFactor = 0.93
	increaseFactor = 0.04
	// initialFactor gives the initial limit and minFactor the lowest, relative to
	// the share of slots; maxFactor gives the highest, relative to all slots.
	initialFactor = 1.25
	minFactor     = 0.5
	maxFactor     = 2
	// queueAllowance is the queueing delay that is always allowed, and
	// maxQueueFactor the most requests in flight with it, relative to all slots.
	queueAllowance = 5 * time.Millisecond
	maxQueueFactor = 4
	// defaultLatency is the expected latency before any was measured.
	defaultLatency = 50 * time.Millisecond
)

// adaptiveLimit is the number of requests that may be in flight, adjusted to the
// measured latency: it decreases when requests queue at the targets, and
// increases while it is reached and they do not.
type adaptiveLimit struct {
	capacity Capacity
	current  float64
	reached  bool

	samples     []time.Duration
	windowStart time.Time
	// median is the median latency of the last complete window, or zero once it
	// is older than medianTTL.
	median     time.Duration
	measuredAt time.Time
	// minMedian and prevMinMedian are the lowest medians of the current and the
	// previous horizon.
	minMedian, prevMinMedian time.Duration
	horizonStart             time.Time
}

func (l *adaptiveLimit) setCapacity(c Capacity) {
	c.Share = max(1, c.Share)
	c.Slots = max(c.Share, c.Slots)
	if c == l.capacity {
		return
	}
	if l.capacity.Share == 0 {
		l.current = initialFactor * float64(c.Share)
	} else {
		l.current *= float64(c.Share) / float64(l.capacity.Share)
	}
	l.capacity = c
	l.clamp()
}

func (l *adaptiveLimit) clamp() {
	share, slots := float64(l.capacity.Share), float64(l.capacity.Slots)
	l.current = min(max(l.current, minFactor*share, 1), maxFactor*slots)
}

// value returns the limit plus the requests that complete within queueAllowance,
// so that a fast service does not refuse requests during a short burst.
func (l *adaptiveLimit) value() int {
	value := l.current
	if baseline := l.baseline(); baseline > 0 {
		value *= 1 + float64(queueAllowance)/float64(baseline)
	}
	return max(1, int(min(value, maxQueueFactor*float64(l.capacity.Slots))))
}

func (l *adaptiveLimit) observe(now time.Time, latency time.Duration) {
	if len(l.samples) == 0 {
		l.windowStart = now
	}
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, latency)
	}
	l.advance(now)
}

// advance closes the window when it is over and adjusts the limit.
func (l *adaptiveLimit) advance(now time.Time) {
	if l.median > 0 && now.Sub(l.measuredAt) > medianTTL {
		l.median = 0
	}
	age := now.Sub(l.windowStart)
	switch {
	case len(l.samples) == 0 || age < sampleWindow:
		return
	case len(l.samples) < minSamples && age < maxSampleWindow:
		return
	}
	slices.Sort(l.samples)
	n := len(l.samples)
	l.median, l.measuredAt = l.samples[n/2], now
	l.samples = l.samples[:0]
	if n >= minSamples {
		l.updateBaseline(now)
		l.adjust()
	}
}

func (l *adaptiveLimit) updateBaseline(now time.Time) {
	if now.Sub(l.horizonStart) > baselineHorizon {
		l.prevMinMedian, l.minMedian, l.horizonStart = l.minMedian, l.median, now
	}
	l.minMedian = min(l.minMedian, l.median)
}

// baseline returns the median latency without queues at the targets.
func (l *adaptiveLimit) baseline() time.Duration {
	if l.prevMinMedian > 0 {
		return min(l.minMedian, l.prevMinMedian)
	}
	return l.minMedian
}

func (l *adaptiveLimit) adjust() {
	switch {
	case float64(l.median) > queueTolerance*float64(l.baseline()):
		l.current *= decreaseFactor
	case l.reached:
		l.current += max(1, increaseFactor*float64(l.capacity.Share))
	}
	l.reached = false
	l.clamp()
}

// expectedLatency returns the latency that a request has at present.
func (l *adaptiveLimit) expectedLatency() time.Duration {
	switch {
	case l.median > 0:
		return l.median
	case l.baseline() > 0:
		return l.baseline()
	default:
		return defaultLatency
	}
}

// serviceRate estimates how many requests per second the targets complete for this
// daemon at the limit. It is at least one.
func (l *adaptiveLimit) serviceRate() float64 {
	return max(1, l.current/l.expectedLatency().Seconds())
}

// predictLatency returns the latency of the next request: the last measured
// median, scaled up by the ratio by which the requests in flight exceed the limit
// or the share of slots, whichever is higher. It returns zero if no recent median
// is known.
func (l *adaptiveLimit) predictLatency(inFlight int) time.Duration {
	if l.median == 0 {
		return 0 // the request itself provides a measurement
	}
	excess := float64(inFlight+1) / max(l.current, float64(l.capacity.Share))
	return time.Duration(float64(l.median) * max(1, excess))
}
