package cell

import (
	"math"
	"time"
)

// Detection of an overloaded control loop. Ticks run late when the loop's queue is
// long or the process gets too little processor time.
const (
	// delayAveragingTime is the time over which delays of ticks are averaged, so that
	// one late tick does not count as overload.
	delayAveragingTime = time.Second
	// maxDelaySample bounds the delay of one tick, which includes a suspension.
	maxDelaySample = 250 * time.Millisecond
	// overloadedAbove and normalBelow are the mean delays at which the loop begins and
	// ceases to be overloaded.
	overloadedAbove = 50 * time.Millisecond
	normalBelow     = 20 * time.Millisecond
	// overloadedTimeout is added to timeouts of requests to workers while the loop is
	// overloaded, because their responses then wait in this process. A listing's
	// timeout stays well below the lease.
	overloadedTimeout = time.Second
)

// loopDelay measures how late the ticks of the control loop are.
type loopDelay struct {
	lastTick   time.Time
	mean       time.Duration
	overloaded bool
}

// tick records a tick. It reports whether the loop has begun or ceased to be
// overloaded.
func (d *loopDelay) tick(now time.Time) (changed bool) {
	if d.lastTick.IsZero() {
		d.lastTick = now
		return false
	}
	interval := now.Sub(d.lastTick)
	d.lastTick = now
	sample := min(maxDelaySample, max(0, interval-tickInterval))
	decay := math.Exp(-float64(min(interval, tickInterval+maxDelaySample)) / float64(delayAveragingTime))
	d.mean = time.Duration(decay*float64(d.mean) + (1-decay)*float64(sample))
	overloaded := d.mean > overloadedAbove || d.overloaded && d.mean > normalBelow
	changed = overloaded != d.overloaded
	d.overloaded = overloaded
	return changed
}

// timeout returns the timeout of a request that normally has the given one.
func (d *loopDelay) timeout(normal time.Duration) time.Duration {
	if d.overloaded {
		return normal + overloadedTimeout
	}
	return normal
}
