// Package learn estimates how long requests run from how long earlier ones
// ran, by service, member and route, since declared sizes are often off.
package learn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of the estimates.
const (
	// maxRunTime is the longest run time told apart.
	maxRunTime = time.Hour
	// unit is the resolution of run times.
	unit = 100 * time.Microsecond
	// significantFigures of a run time that are kept.
	significantFigures = 1
	// minStallTimeout keeps a short pause of either end from being taken for a
	// silent connection.
	minStallTimeout = 100 * time.Millisecond
	// minSamples is how many run times an estimate needs.
	minSamples = 4
	// windowSamples is how many run times a window holds before it is replaced.
	windowSamples = 256
	// maxKeys bounds the memory of a table, at about 6 KB a key.
	maxKeys = 1024
	// longFactor is how much longer than its service's median long work runs.
	longFactor = 8
	// keyQuantile is the percentile of a key's run times that decides its class.
	keyQuantile = 75
	// stallQuantile is the percentile of a key's run times after which an
	// answer is overdue.
	stallQuantile = 99
	// stallFactor is how many times that run time is waited.
	stallFactor = 3
)

// Key names a kind of request whose run times are alike.
type Key struct {
	Service string
	Member  string
	// Route is the request's method and path without its last variable parts.
	Route string
}

// Estimator holds run times by key. It is not safe for concurrent use.
type Estimator struct {
	keys     map[Key]*window
	services map[string]*window
}

// NewEstimator returns an empty table.
func NewEstimator() *Estimator {
	return &Estimator{keys: map[Key]*window{}, services: map[string]*window{}}
}

// Observe records a run time of the key. A request that is still running may
// be observed with the time that it has run so far.
func (t *Estimator) Observe(k Key, ran time.Duration) {
	w, ok := t.keys[k]
	if !ok {
		t.makeRoom()
		w = newWindow()
		t.keys[k] = w
	}
	w.add(ran)
	s, ok := t.services[k.Service]
	if !ok {
		s = newWindow()
		t.services[k.Service] = s
	}
	s.add(ran)
}

// makeRoom drops the key that was observed least.
func (t *Estimator) makeRoom() {
	if len(t.keys) < maxKeys {
		return
	}
	var rarest Key
	fewest := int64(-1)
	for k, w := range t.keys {
		if n := w.samples(); fewest < 0 || n < fewest {
			rarest, fewest = k, n
		}
	}
	delete(t.keys, rarest)
}

// IsLong reports whether requests of the key run much longer than most of their
// service's. A key without enough run times is short.
func (t *Estimator) IsLong(k Key) bool {
	w := t.keys[k]
	threshold := t.LongThreshold(k.Service)
	if w == nil || threshold == 0 || w.samples() < minSamples {
		return false
	}
	return w.quantile(keyQuantile) > threshold
}

// LongThreshold returns the run time beyond which a request of the service counts
// as long, or zero when that is not known yet.
func (t *Estimator) LongThreshold(service string) time.Duration {
	s := t.services[service]
	if s == nil || s.samples() < minSamples {
		return 0
	}
	return longFactor * s.quantile(50)
}

// StallTimeout returns the time after which an answer to a request of the key is
// overdue, or zero when that is not known yet.
func (t *Estimator) StallTimeout(k Key) time.Duration {
	w := t.keys[k]
	if w == nil || w.samples() < minSamples {
		return 0
	}
	return max(minStallTimeout, stallFactor*w.quantile(stallQuantile))
}

// Len returns the number of keys.
func (t *Estimator) Len() int { return len(t.keys) }

// window holds the latest run times: a full histogram and the one being filled.
type window struct {
	current, previous *hdrhistogram.Histogram
	cached            map[float64]time.Duration
	changes           int
}

func newWindow() *window { return &window{current: newHistogram()} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRunTime/unit), significantFigures)
}

// add records one run time; run times out of range count as the nearest bound.
func (w *window) add(ran time.Duration) {
	value := min(max(int64(ran/unit), 1), int64(maxRunTime/unit))
	if w.current.TotalCount() >= windowSamples {
		w.previous, w.current = w.current, newHistogram()
	}
	_ = w.current.RecordValue(value)
	w.changes++
	if w.changes >= minSamples {
		w.changes, w.cached = 0, nil
	}
}

func (w *window) samples() int64 {
	n := w.current.TotalCount()
	if w.previous != nil {
		n += w.previous.TotalCount()
	}
	return n
}

// quantile returns a percentile of the fullest window.
func (w *window) quantile(percent float64) time.Duration {
	if d, ok := w.cached[percent]; ok {
		return d
	}
	h := w.current
	if w.previous != nil && h.TotalCount() < windowSamples/2 {
		h = w.previous
	}
	d := time.Duration(h.ValueAtPercentile(percent)) * unit
	if w.cached == nil {
		w.cached = map[float64]time.Duration{}
	}
	w.cached[percent] = d
	return d
}
