package admit

import (
	"slices"
	"time"
)

// Constants of the limit of requests in flight.
const (
	// window is how long latencies are gathered before the limit is corrected.
	window = 100 * time.Millisecond
	// maxWindow is how long they are gathered when requests are few.
	maxWindow = time.Second
	// minSamples is the fewest latencies that correct the limit.
	minSamples = 8
	// maxSamples bounds the latencies of one window.
	maxSamples = 256
	// validity is how long measured latencies count.
	validity = 2 * time.Second
	// baseHorizon is how long the lowest median latency is remembered at least.
	baseHorizon = 30 * time.Second
	// queueTolerance is the median latency, relative to the lowest, above which
	// the targets' queues count as too long.
	queueTolerance = 2
	// decrease is the factor of one correction downwards and increase is what
	// one upwards adds, relative to the share of slots: so the daemons' limits
	// grow alike.
	decrease = 0.93
	increase = 0.04
	// startFactor is the first limit and minFactor the lowest, relative to the
	// share of slots; maxFactor is the highest, relative to all slots.
	startFactor = 1.25
	minFactor   = 0.5
	maxFactor   = 2
	// queueAllowance is the wait in a queue that is always allowed, and
	// maxQueueFactor the most requests in flight with it, relative to all slots.
	queueAllowance = 5 * time.Millisecond
	maxQueueFactor = 4
	// unmeasured is the latency that is expected before any was measured.
	unmeasured = 50 * time.Millisecond
)

// limit is the number of requests that may be in flight, corrected by the
// latency that is measured: it falls when requests queue at the targets and
// rises while it is reached and they do not.
type limit struct {
	capacity Capacity
	current  float64
	reached  bool

	samples []time.Duration
	begun   time.Time
	// median is the latency of the last whole window, or zero once it is too old.
	median   time.Duration
	measured time.Time
	// lowest and lowestBefore are the lowest medians of two horizons.
	lowest, lowestBefore time.Duration
	horizonBegun         time.Time
}

func (l *limit) setCapacity(c Capacity) {
	c.Share = max(1, c.Share)
	c.Slots = max(c.Share, c.Slots)
	if c == l.capacity {
		return
	}
	if l.capacity.Share == 0 {
		l.current = startFactor * float64(c.Share)
	} else {
		l.current *= float64(c.Share) / float64(l.capacity.Share)
	}
	l.capacity = c
	l.bound()
}

func (l *limit) bound() {
	share, slots := float64(l.capacity.Share), float64(l.capacity.Slots)
	l.current = min(max(l.current, minFactor*share, 1), maxFactor*slots)
}

// value adds to the limit what is worked off within the queue allowance, so
// that a fast service is not refused for a moment's burst.
func (l *limit) value() int {
	value := l.current
	if base := l.base(); base > 0 {
		value *= 1 + float64(queueAllowance)/float64(base)
	}
	return max(1, int(min(value, maxQueueFactor*float64(l.capacity.Slots))))
}

func (l *limit) observe(now time.Time, latency time.Duration) {
	if len(l.samples) == 0 {
		l.begun = now
	}
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, latency)
	}
	l.advance(now)
}

// advance ends the window when it is time and corrects the limit.
func (l *limit) advance(now time.Time) {
	if l.median > 0 && now.Sub(l.measured) > validity {
		l.median = 0
	}
	age := now.Sub(l.begun)
	switch {
	case len(l.samples) == 0 || age < window:
		return
	case len(l.samples) < minSamples && age < maxWindow:
		return
	}
	slices.Sort(l.samples)
	n := len(l.samples)
	l.median, l.measured = l.samples[n/2], now
	l.samples = l.samples[:0]
	if n >= minSamples {
		l.learnBase(now)
		l.correct()
	}
}

func (l *limit) learnBase(now time.Time) {
	if now.Sub(l.horizonBegun) > baseHorizon {
		l.lowestBefore, l.lowest, l.horizonBegun = l.lowest, l.median, now
	}
	l.lowest = min(l.lowest, l.median)
}

// base is the median latency without queues at the targets.
func (l *limit) base() time.Duration {
	if l.lowestBefore > 0 {
		return min(l.lowest, l.lowestBefore)
	}
	return l.lowest
}

func (l *limit) correct() {
	switch {
	case float64(l.median) > queueTolerance*float64(l.base()):
		l.current *= decrease
	case l.reached:
		l.current += max(1, increase*float64(l.capacity.Share))
	}
	l.reached = false
	l.bound()
}

// expected is the latency of a request at present.
func (l *limit) expected() time.Duration {
	switch {
	case l.median > 0:
		return l.median
	case l.base() > 0:
		return l.base()
	default:
		return unmeasured
	}
}

// rate is how many requests a second this daemon can have served, at least one.
func (l *limit) rate() float64 {
	return max(1, l.current/l.expected().Seconds())
}

// predict is the latency of a request that finds others in flight: the median
// measured last, stretched as far as more are in flight than may be.
func (l *limit) predict(inFlight int) time.Duration {
	if l.median == 0 {
		return 0 // not measured: the request itself will tell
	}
	excess := float64(inFlight+1) / max(l.current, float64(l.capacity.Share))
	return time.Duration(float64(l.median) * max(1, excess))
}
