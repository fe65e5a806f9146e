// Package forecast learns how long tasks really run.
//
// Declared run times differ from real ones by half to nine tenths in either direction. A
// Model learns for each kind of task how the logarithm of the run time depends on that of
// the declared one, and with what spread. Kinds that were seen seldom follow their queue,
// and queues the whole. The package performs no I/O and reads no clock.
package forecast

import (
	"container/list"
	"math"
	"time"
)

// Kind is what tasks with similar run times have in common.
type Kind struct{ Queue, Image string }

const (
	// MaxKinds is the number of kinds that a model keeps; the one that was observed least
	// recently is dropped first.
	MaxKinds = 1024
	// maxQueues is the number of queues that a model keeps.
	maxQueues = 128
	// unknownEstimate stands for a declared run time that is missing.
	unknownEstimate = time.Second
)

// Model holds what was learned. It is not safe for concurrent use.
type Model struct {
	all    fit
	queues *recent[string]
	kinds  *recent[Kind]
}

// NewModel returns a model that predicts the declared run times, with the spread that
// these have on average.
func NewModel() *Model {
	return &Model{queues: newRecent[string](maxQueues), kinds: newRecent[Kind](MaxKinds)}
}

// Observe records that a task with the declared run time estimate has run for took on a
// VM that slowed it down by slowdown (1: not at all).
func (m *Model) Observe(k Kind, estimate, took time.Duration, slowdown float64) {
	if took <= 0 {
		return
	}
	if !(slowdown >= 1) || math.IsInf(slowdown, 0) {
		slowdown = 1
	}
	x, y := logSeconds(estimate), logSeconds(took)-math.Log(slowdown)
	m.all.observe(prior, x, y)
	whole := m.all.line(prior)
	queue := m.queues.get(k.Queue)
	queue.observe(whole, x, y)
	m.kinds.get(k).observe(queue.line(whole), x, y)
}

// Predict returns the distribution of the run time of a task.
func (m *Model) Predict(k Kind, estimate time.Duration) RunTime {
	l := m.all.line(prior)
	if queue := m.queues.find(k.Queue); queue != nil {
		l = queue.line(l)
	}
	if kind := m.kinds.find(k); kind != nil {
		l = kind.line(l)
	}
	return newRunTime(l.at(logSeconds(estimate)), math.Sqrt(l.variance))
}

// Kinds returns the number of kinds that the model keeps.
func (m *Model) Kinds() int { return len(m.kinds.entries) }

func logSeconds(d time.Duration) float64 {
	if d <= 0 {
		d = unknownEstimate
	}
	return math.Log(min(max(d.Seconds(), minSeconds), maxSeconds))
}

// recent is a bounded map that drops the entry that was least recently changed.
type recent[K comparable] struct {
	capacity int
	entries  map[K]*list.Element
	order    *list.List // of *keyedFit[K], the last one changed at the front
}

type keyedFit[K comparable] struct {
	key K
	fit fit
}

func newRecent[K comparable](capacity int) *recent[K] {
	return &recent[K]{capacity: capacity, entries: map[K]*list.Element{}, order: list.New()}
}

// find returns the fit of a key, or nil.
func (r *recent[K]) find(key K) *fit {
	if e := r.entries[key]; e != nil {
		return &e.Value.(*keyedFit[K]).fit
	}
	return nil
}

// get returns the fit of a key for a change, and adds it if it is missing.
func (r *recent[K]) get(key K) *fit {
	if e := r.entries[key]; e != nil {
		r.order.MoveToFront(e)
		return &e.Value.(*keyedFit[K]).fit
	}
	if len(r.entries) >= r.capacity {
		last := r.order.Back()
		delete(r.entries, last.Value.(*keyedFit[K]).key)
		r.order.Remove(last)
	}
	k := &keyedFit[K]{key: key}
	r.entries[key] = r.order.PushFront(k)
	return &k.fit
}
