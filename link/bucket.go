// Package link divides the bandwidth of a link between regions among the daemons,
// so that their shares never add up to more than the capacity of the link, and
// limits each daemon to its share.
package link

import "time"

// ChunkBytes is the largest chunk that is sent or received at a time.
const ChunkBytes = 16 << 10

// Priority orders the traffic that competes for a daemon's share.
type Priority uint8

// Priorities, the highest first.
const (
	// LatencyCritical is the priority of latency-critical requests.
	LatencyCritical Priority = iota
	// Batch is the priority of batch transfers.
	Batch
)

// Bucket is a token bucket with one token per byte. Taking a chunk may make it
// negative; nothing more is taken until it is positive again. It is not safe for
// concurrent use.
type Bucket struct {
	rate       float64 // bytes per second
	tokens     float64 // bytes
	lastRefill time.Time
}

// NewBucket returns a full bucket with a rate in bytes per second.
func NewBucket(rate int64, now time.Time) *Bucket {
	return &Bucket{rate: float64(rate), tokens: ChunkBytes, lastRefill: now}
}

// SetRate changes the rate, in bytes per second, from now on.
func (b *Bucket) SetRate(rate int64, now time.Time) {
	b.refill(now)
	b.rate = float64(rate)
}

// Take takes n bytes and reports true, unless the bucket is empty for the
// priority. Batch traffic leaves half of a full bucket to latency-critical traffic.
func (b *Bucket) Take(n int, p Priority, now time.Time) bool {
	if !b.Ready(p, now) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// Ready reports whether a chunk of the priority may be sent now.
func (b *Bucket) Ready(p Priority, now time.Time) bool {
	b.refill(now)
	if p == Batch {
		return b.tokens > ChunkBytes/2
	}
	return b.tokens > 0
}

// Spend takes n bytes that have crossed the link already, even if the bucket holds
// fewer.
func (b *Bucket) Spend(n int, now time.Time) {
	b.refill(now)
	b.tokens -= float64(n)
}

// Wait returns the time until a latency-critical chunk may be sent, at most
// limit.
func (b *Bucket) Wait(now time.Time, limit time.Duration) time.Duration {
	b.refill(now)
	if b.tokens > 0 {
		return 0
	}
	if b.rate <= 0 {
		return limit
	}
	return min(limit, time.Duration((1-b.tokens)/b.rate*float64(time.Second)))
}

// refill adds the bytes that have accrued since the last call. It ignores a now
// that is not later.
func (b *Bucket) refill(now time.Time) {
	if !now.After(b.lastRefill) {
		return
	}
	b.tokens = min(ChunkBytes, b.tokens+b.rate*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
}
