package place

import (
	"math"

	"github.com/bambooyard/bambooyard/inventory"
)

// Bounds of the estimates for one kind of task of one member.
const (
	minRunTimeFactor = 1.0 / 8
	maxRunTimeFactor = 8.0
	maxSizeFactor    = 4.0
	// minLearningRate is the weight of a new observation once there are many.
	minLearningRate = 0.05
	// sizeDecay is the fraction of the excess over a smaller measurement that
	// this measurement removes from a size factor.
	sizeDecay = 0.02
	// minRunTimeSamples is the number of attempts from which the spread of a
	// kind's run times is trusted.
	minRunTimeSamples = 5
	// maxKinds bounds the kinds that are kept; the least recently seen kind is
	// evicted first.
	maxKinds = 4096
)

type kindKey struct{ member, kind string }

// kindRecord holds the estimates for a kind of task.
type kindRecord struct {
	// logRunTime is the mean logarithm of the ratio of measured to declared run
	// time.
	logRunTime float64
	// logRunTimeVariance is the mean square deviation from logRunTime.
	logRunTimeVariance float64
	samples            int
	// processorFactor and memoryFactor are the ratios of measured to declared
	// size, at least 1.
	processorFactor, memoryFactor float64
	lastSeenUnixMS                int64
}

// estimator derives expected run times and sizes from declared ones.
type estimator struct{ kinds map[kindKey]*kindRecord }

func newEstimator() *estimator { return &estimator{kinds: map[kindKey]*kindRecord{}} }

// runTimeMS returns the expected run time of a whole task in milliseconds.
func (est *estimator) runTimeMS(d *Demand) int64 {
	r, ok := est.kinds[kindKey{d.Member, d.Kind}]
	if !ok {
		return d.RunTimeMS
	}
	factor := min(max(math.Exp(r.logRunTime), minRunTimeFactor), maxRunTimeFactor)
	return int64(float64(d.RunTimeMS) * factor)
}

// optimisticRunTimeMS returns a run time in milliseconds that few tasks of the
// kind stay below. For a kind with few samples it is far below the declared run
// time.
func (est *estimator) optimisticRunTimeMS(d *Demand) int64 {
	factor := minRunTimeFactor
	r, ok := est.kinds[kindKey{d.Member, d.Kind}]
	if ok && r.samples >= minRunTimeSamples {
		factor = min(max(math.Exp(r.logRunTime-2*math.Sqrt(r.logRunTimeVariance)), minRunTimeFactor), maxRunTimeFactor)
	}
	return int64(float64(d.RunTimeMS) * factor)
}

// size returns the expected size of a task. It is never less than the declared
// size, and never more than limit unless the declared size is.
func (est *estimator) size(d *Demand, limit inventory.Resources) inventory.Resources {
	r, ok := est.kinds[kindKey{d.Member, d.Kind}]
	if !ok {
		return d.Resources
	}
	size := d.Resources
	size.MilliProcessors = scaleUp(size.MilliProcessors, r.processorFactor, limit.MilliProcessors)
	size.MemoryMB = scaleUp(size.MemoryMB, r.memoryFactor, limit.MemoryMB)
	return size
}

func scaleUp(declared int64, factor float64, limit int64) int64 {
	grown := int64(math.Ceil(float64(declared) * factor))
	return max(declared, min(grown, limit))
}

// observeEnd updates the run time estimate from an attempt that has ended. A
// stopped attempt gives only a lower bound of the task's run time.
func (est *estimator) observeEnd(e *TaskEnd) {
	if e.Outcome == Failed || e.DeclaredRunTimeMS <= 0 || e.RanMS <= 0 {
		return
	}
	ratio := math.Log(float64(e.RanMS) / float64(e.DeclaredRunTimeMS))
	key := kindKey{e.Member, e.Kind}
	if e.Outcome == Stopped {
		if r, ok := est.kinds[key]; !ok || ratio <= r.logRunTime {
			return
		}
	}
	r := est.kindRecord(key, e.EndedUnixMS)
	r.samples++
	rate := max(1/float64(r.samples), minLearningRate)
	deviation := ratio - r.logRunTime
	r.logRunTime += rate * deviation
	r.logRunTimeVariance = (1 - rate) * (r.logRunTimeVariance + rate*deviation*deviation)
}

// observeUsage updates the size factors: a larger measurement takes effect at
// once, smaller ones lower the factors slowly.
func (est *estimator) observeUsage(u *TaskUsage) {
	r := est.kindRecord(kindKey{u.Member, u.Kind}, u.MeasuredUnixMS)
	r.processorFactor = updateSizeFactor(r.processorFactor, u.Used.MilliProcessors, u.Declared.MilliProcessors)
	r.memoryFactor = updateSizeFactor(r.memoryFactor, u.Used.MemoryMB, u.Declared.MemoryMB)
}

func updateSizeFactor(factor float64, used, declared int64) float64 {
	if declared <= 0 {
		return factor
	}
	measured := min(max(float64(used)/float64(declared), 1), maxSizeFactor)
	if measured >= factor {
		return measured
	}
	return factor + sizeDecay*(measured-factor)
}

func (est *estimator) kindRecord(key kindKey, nowUnixMS int64) *kindRecord {
	r, ok := est.kinds[key]
	if !ok {
		if len(est.kinds) >= maxKinds {
			est.evictOldestKind()
		}
		r = &kindRecord{processorFactor: 1, memoryFactor: 1}
		est.kinds[key] = r
	}
	r.lastSeenUnixMS = max(r.lastSeenUnixMS, nowUnixMS)
	return r
}

// evictOldestKind removes the least recently seen kind, the first by name among
// equals.
func (est *estimator) evictOldestKind() {
	var oldest kindKey
	var seen int64 = math.MaxInt64
	for key, r := range est.kinds {
		earlier := key.member < oldest.member || key.member == oldest.member && key.kind < oldest.kind
		if r.lastSeenUnixMS < seen || r.lastSeenUnixMS == seen && earlier {
			oldest, seen = key, r.lastSeenUnixMS
		}
	}
	delete(est.kinds, oldest)
}
