package cell

import (
	"sync"
	"time"
)

// gateProbe is how often a request may try the store while it does not answer.
// The others are refused at once.
const gateProbe = 250 * time.Millisecond

// gate remembers whether the store answers requests. It is safe for concurrent
// use; its zero value is open.
type gate struct {
	mu       sync.Mutex
	failures int
	probedAt time.Time
}

// gateFailures is how many calls must fail in a row before requests are refused
// without a call. Single answers get lost while the store serves.
const gateFailures = 3

// open reports whether a request may call the store.
func (g *gate) open(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < gateFailures {
		return true
	}
	if now.Sub(g.probedAt) < gateProbe {
		return false
	}
	g.probedAt = now
	return true
}

func (g *gate) answered(time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = 0
}

func (g *gate) failed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures++; g.failures >= gateFailures {
		g.probedAt = now
	}
}
