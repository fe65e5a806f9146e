package place

import (
	"math"

	"github.com/bambooyard/bambooyard/inventory"
)

// Bounds of what is learned about one kind of task of one member.
const (
	minRunTimeFactor = 1.0 / 8
	maxRunTimeFactor = 8.0
	maxSizeFactor    = 4.0
	// minLearningRate is the weight of a new observation once there are many.
	minLearningRate = 0.05
	// sizeDecay is the share of a measured excess that one smaller measurement removes.
	sizeDecay = 0.02
	// knownEnds is how many attempts make a kind's run times known.
	knownEnds = 5
	// maxKinds bounds the kinds that are remembered; the longest unseen goes first.
	maxKinds = 4096
)

type kindKey struct{ member, kind string }

// kindRecord is what is known of a kind.
type kindRecord struct {
	// logRunTime is the mean logarithm of measured over declared run time.
	logRunTime float64
	// spread is the mean square distance from it.
	spread float64
	ends   int
	// processors and memory are measured over declared size, at least 1.
	processors, memory float64
	seenUnixMS         int64
}

// corrections turns declared run times and sizes into expected ones.
type corrections struct{ kinds map[kindKey]*kindRecord }

func newCorrections() *corrections { return &corrections{kinds: map[kindKey]*kindRecord{}} }

// runTimeMS returns the expected run time of a whole task in milliseconds.
func (c *corrections) runTimeMS(d *Demand) int64 {
	r, ok := c.kinds[kindKey{d.Member, d.Kind}]
	if !ok {
		return d.RunTimeMS
	}
	factor := min(max(math.Exp(r.logRunTime), minRunTimeFactor), maxRunTimeFactor)
	return int64(float64(d.RunTimeMS) * factor)
}

// leastRunTimeMS returns a run time in milliseconds that few tasks of the kind
// stay below. Of a kind that is hardly known it is far below the declared one.
func (c *corrections) leastRunTimeMS(d *Demand) int64 {
	factor := minRunTimeFactor
	r, ok := c.kinds[kindKey{d.Member, d.Kind}]
	if ok && r.ends >= knownEnds {
		factor = min(max(math.Exp(r.logRunTime-2*math.Sqrt(r.spread)), minRunTimeFactor), maxRunTimeFactor)
	}
	return int64(float64(d.RunTimeMS) * factor)
}

// size returns the expected size of a task, never less than declared and never
// more than limit unless the declared size is.
func (c *corrections) size(d *Demand, limit inventory.Resources) inventory.Resources {
	r, ok := c.kinds[kindKey{d.Member, d.Kind}]
	if !ok {
		return d.Resources
	}
	size := d.Resources
	size.MilliProcessors = grow(size.MilliProcessors, r.processors, limit.MilliProcessors)
	size.MemoryMB = grow(size.MemoryMB, r.memory, limit.MemoryMB)
	return size
}

func grow(declared int64, factor float64, limit int64) int64 {
	grown := int64(math.Ceil(float64(declared) * factor))
	return max(declared, min(grown, limit))
}

// observeEnd learns from an attempt. One that was stopped says only that the
// task runs at least as long.
func (c *corrections) observeEnd(e *TaskEnd) {
	if e.Outcome == Failed || e.DeclaredRunTimeMS <= 0 || e.RanMS <= 0 {
		return
	}
	ratio := math.Log(float64(e.RanMS) / float64(e.DeclaredRunTimeMS))
	key := kindKey{e.Member, e.Kind}
	if e.Outcome == Stopped {
		if r, ok := c.kinds[key]; !ok || ratio <= r.logRunTime {
			return
		}
	}
	r := c.record(key, e.EndedUnixMS)
	r.ends++
	rate := max(1/float64(r.ends), minLearningRate)
	off := ratio - r.logRunTime
	r.logRunTime += rate * off
	r.spread = (1 - rate) * (r.spread + rate*off*off)
}

// observeUsage learns the size: a larger measurement counts at once, smaller
// ones lower it slowly.
func (c *corrections) observeUsage(u *TaskUsage) {
	r := c.record(kindKey{u.Member, u.Kind}, u.MeasuredUnixMS)
	r.processors = follow(r.processors, u.Used.MilliProcessors, u.Declared.MilliProcessors)
	r.memory = follow(r.memory, u.Used.MemoryMB, u.Declared.MemoryMB)
}

func follow(factor float64, used, declared int64) float64 {
	if declared <= 0 {
		return factor
	}
	measured := min(max(float64(used)/float64(declared), 1), maxSizeFactor)
	if measured >= factor {
		return measured
	}
	return factor + sizeDecay*(measured-factor)
}

func (c *corrections) record(key kindKey, nowUnixMS int64) *kindRecord {
	r, ok := c.kinds[key]
	if !ok {
		if len(c.kinds) >= maxKinds {
			c.forgetOldest()
		}
		r = &kindRecord{processors: 1, memory: 1}
		c.kinds[key] = r
	}
	r.seenUnixMS = max(r.seenUnixMS, nowUnixMS)
	return r
}

func (c *corrections) forgetOldest() {
	var oldest kindKey
	var seen int64 = math.MaxInt64
	for key, r := range c.kinds {
		earlier := key.member < oldest.member || key.member == oldest.member && key.kind < oldest.kind
		if r.seenUnixMS < seen || r.seenUnixMS == seen && earlier {
			oldest, seen = key, r.seenUnixMS
		}
	}
	delete(c.kinds, oldest)
}
