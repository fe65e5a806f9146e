// Package learn estimates the run times of requests from those of earlier
// requests, by service, member and route, since declared sizes are often
// inaccurate.
package learn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the estimates.
const (
	// maxRunTime is the longest run time that is recorded; longer ones count as
	// this.
	maxRunTime = time.Hour
	// resolution is the resolution of run times.
	resolution = 100 * time.Microsecond
	// significantFigures is the number of decimal digits of a run time that are
	// kept.
	significantFigures = 1
	// minStallTimeout keeps a short pause of either end from being treated as a
	// stalled connection.
	minStallTimeout = 100 * time.Millisecond
	// minSamples is the number of run times that an estimate needs.
	minSamples = 4
	// windowSamples is the number of run times that a histogram holds before it
	// is replaced.
	windowSamples = 256
	// maxKeys bounds the memory of an Estimator, at about 6 KB a key.
	maxKeys = 1024
	// longFactor is the multiple of the service's median run time above which a
	// request is long.
	longFactor = 8
	// keyPercentile is the percentile of a key's run times that decides whether
	// the key is long.
	keyPercentile = 75
	// stallPercentile is the percentile of a key's run times from which the
	// stall timeout is derived.
	stallPercentile = 99
	// stallFactor is the multiple of that percentile after which a response is
	// overdue.
	stallFactor = 3
)

// Key identifies requests whose run times are alike.
type Key struct {
	Service string
	Member  string
	// Route is the request's method and path without its trailing variable
	// parts.
	Route string
}

// Estimator holds run times by key. It is not safe for concurrent use.
type Estimator struct {
	keys     map[Key]*runTimeWindow
	services map[string]*runTimeWindow
}

// NewEstimator returns an estimator without run times.
func NewEstimator() *Estimator {
	return &Estimator{keys: map[Key]*runTimeWindow{}, services: map[string]*runTimeWindow{}}
}

// Observe records a run time of the key. A request that is still running may be
// observed with its run time so far.
func (e *Estimator) Observe(k Key, ran time.Duration) {
	w, ok := e.keys[k]
	if !ok {
		e.evictLeastObserved()
		w = newRunTimeWindow()
		e.keys[k] = w
	}
	w.add(ran)
	s, ok := e.services[k.Service]
	if !ok {
		s = newRunTimeWindow()
		e.services[k.Service] = s
	}
	s.add(ran)
}

// evictLeastObserved removes the key with the fewest run times if there is no
// space for another.
func (e *Estimator) evictLeastObserved() {
	if len(e.keys) < maxKeys {
		return
	}
	var leastObserved Key
	fewest := int64(-1)
	for k, w := range e.keys {
		if n := w.samples(); fewest < 0 || n < fewest {
			leastObserved, fewest = k, n
		}
	}
	delete(e.keys, leastObserved)
}

// IsLong reports whether requests of the key run much longer than most requests
// of their service. A key without enough run times is short.
func (e *Estimator) IsLong(k Key) bool {
	w := e.keys[k]
	threshold := e.LongThreshold(k.Service)
	if w == nil || threshold == 0 || w.samples() < minSamples {
		return false
	}
	return w.percentile(keyPercentile) > threshold
}

// LongThreshold returns the run time above which a request of the service is
// long, or zero if that is not known yet.
func (e *Estimator) LongThreshold(service string) time.Duration {
	s := e.services[service]
	if s == nil || s.samples() < minSamples {
		return 0
	}
	return longFactor * s.percentile(50)
}

// StallTimeout returns the time after which a response to a request of the key
// is overdue, or zero if that is not known yet.
func (e *Estimator) StallTimeout(k Key) time.Duration {
	w := e.keys[k]
	if w == nil || w.samples() < minSamples {
		return 0
	}
	return max(minStallTimeout, stallFactor*w.percentile(stallPercentile))
}

// Len returns the number of keys.
func (e *Estimator) Len() int { return len(e.keys) }

// runTimeWindow holds the latest run times: the histogram that is being filled
// and the full one before it.
type runTimeWindow struct {
	current, previous *hdrhistogram.Histogram
	cachedPercentiles map[float64]time.Duration
	addedSinceCached  int
}

func newRunTimeWindow() *runTimeWindow { return &runTimeWindow{current: newHistogram()} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRunTime/resolution), significantFigures)
}

// add records one run time; values out of range count as the nearest bound.
func (w *runTimeWindow) add(ran time.Duration) {
	value := min(max(int64(ran/resolution), 1), int64(maxRunTime/resolution))
	if w.current.TotalCount() >= windowSamples {
		w.previous, w.current = w.current, newHistogram()
	}
	_ = w.current.RecordValue(value)
	w.addedSinceCached++
	if w.addedSinceCached >= minSamples {
		w.addedSinceCached, w.cachedPercentiles = 0, nil
	}
}

func (w *runTimeWindow) samples() int64 {
	n := w.current.TotalCount()
	if w.previous != nil {
		n += w.previous.TotalCount()
	}
	return n
}

// percentile returns a percentile of the current histogram, or of the previous
// one while the current one is less than half full.
func (w *runTimeWindow) percentile(percent float64) time.Duration {
	if d, ok := w.cachedPercentiles[percent]; ok {
		return d
	}
	h := w.current
	if w.previous != nil && h.TotalCount() < windowSamples/2 {
		h = w.previous
	}
	d := time.Duration(h.ValueAtPercentile(percent)) * resolution
	if w.cachedPercentiles == nil {
		w.cachedPercentiles = map[float64]time.Duration{}
	}
	w.cachedPercentiles[percent] = d
	return d
}
