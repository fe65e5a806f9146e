package cell

import (
	"sync"
	"time"
)

// breakerProbeInterval is the interval at which one request may call the store
// while the breaker is open. Other requests are refused at once.
const breakerProbeInterval = 250 * time.Millisecond

// breaker is a circuit breaker for the requests' calls to the store. Its zero
// value is closed, that is, allows calls. It is safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int
	probedAt time.Time
}

// breakerThreshold is the number of consecutive failed calls that opens the
// breaker. Single responses are lost even while the store is available.
const breakerThreshold = 3

// allow reports whether a request may call the store.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerThreshold {
		return true
	}
	if now.Sub(b.probedAt) < breakerProbeInterval {
		return false
	}
	b.probedAt = now
	return true
}

func (b *breaker) recordSuccess(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
}

func (b *breaker) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures++; b.failures >= breakerThreshold {
		b.probedAt = now
	}
}
