package fake

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"time"
)

// Clock runs functions in virtual time, one at a time and in a deterministic
// order: runs with the same seed have the same history.
type Clock struct {
	now          time.Time
	events       eventHeap
	lastSequence uint64
	rand         *rand.Rand
}

// NewClock returns a clock that starts at a fixed time and whose random numbers
// are seeded with seed.
func NewClock(seed uint64) *Clock {
	return &Clock{
		now:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rand: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// Rand returns the clock's source of random numbers.
func (c *Clock) Rand() *rand.Rand { return c.rand }

// After schedules fn to run in d.
func (c *Clock) After(d time.Duration, fn func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.now.Add(d), c.lastSequence, fn})
}

// Run advances the time by d and runs everything that falls due.
func (c *Clock) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.fn()
	}
	c.now = end
}

type event struct {
	at       time.Time
	sequence uint64 // order among events of the same time
	fn       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Executor is a control.Executor in virtual time. It represents the control
// goroutine of one daemon, which can be killed or paused.
type Executor struct {
	clock *Clock
	// maxDelay bounds the delay of a call in each direction.
	maxDelay time.Duration
	skew     time.Duration
	dead     bool
	paused   bool
	deferred []func()
}

// NewExecutor returns the executor of one daemon. Calls are delayed by up to
// maxDelay in each direction.
func NewExecutor(clock *Clock, maxDelay time.Duration) *Executor {
	return &Executor{clock: clock, maxDelay: maxDelay}
}

// SetSkew sets how far the daemon's clock is ahead of the virtual time.
func (x *Executor) SetSkew(d time.Duration) { x.skew = d }

// Now returns the time by the daemon's clock.
func (x *Executor) Now() time.Time { return x.clock.now.Add(x.skew) }

// Kill ends the daemon: nothing runs on it any more, but calls in flight still
// take effect.
func (x *Executor) Kill() { x.dead = true }

// Pause defers everything that falls due on the daemon until Resume.
func (x *Executor) Pause() { x.paused = true }

// Resume schedules the deferred functions to run now, in order.
func (x *Executor) Resume() {
	x.paused = false
	deferred := x.deferred
	x.deferred = nil
	for _, fn := range deferred {
		x.clock.After(0, func() { x.run(fn) })
	}
}

func (x *Executor) run(fn func()) {
	switch {
	case x.dead:
	case x.paused:
		x.deferred = append(x.deferred, fn)
	default:
		fn()
	}
}

func (x *Executor) delay() time.Duration {
	return time.Duration(x.clock.rand.Int64N(int64(x.maxDelay) + 1))
}

// Post implements control.Executor.
func (x *Executor) Post(fn func()) bool {
	x.clock.After(0, func() { x.run(fn) })
	return !x.dead
}

// Every implements control.Executor. Ticks that fall due during a pause are merged
// into one.
func (x *Executor) Every(interval time.Duration, fn func(now time.Time)) {
	pending := false
	var tick func()
	tick = func() {
		if x.dead {
			return
		}
		if !pending {
			pending = true
			x.run(func() { pending = false; fn(x.Now()) })
		}
		x.clock.After(interval, tick)
	}
	x.clock.After(interval, tick)
}

// Go implements control.Executor. work takes effect after one random delay, and
// its continuation runs after another.
func (x *Executor) Go(work func(ctx context.Context) (then func())) {
	x.clock.After(x.delay(), func() {
		then := work(context.Background())
		x.clock.After(x.delay(), func() { x.run(then) })
	})
}
