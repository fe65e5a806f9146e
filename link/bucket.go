// Package link divides the bytes of a link between regions among the daemons,
// so that their shares never add up to more than the link carries, and keeps
// each daemon within its share.
package link

import "time"

// ChunkBytes is the largest piece that is sent or received at a time.
const ChunkBytes = 16 << 10

// Priority orders what competes for a daemon's share.
type Priority uint8

// Priorities, the most urgent first.
const (
	LatencyCritical Priority = iota
	Batch
)

// Bucket is a token bucket of bytes. It may go into debt by one piece, which
// later bytes make good. It is not safe for concurrent use.
type Bucket struct {
	rate  float64 // bytes per second
	level float64 // bytes
	last  time.Time
}

// NewBucket returns a full bucket with a rate in bytes per second.
func NewBucket(rate int64, now time.Time) *Bucket {
	return &Bucket{rate: float64(rate), level: ChunkBytes, last: now}
}

// SetRate changes the rate from now on.
func (b *Bucket) SetRate(rate int64, now time.Time) {
	b.fill(now)
	b.rate = float64(rate)
}

// Take spends n bytes and reports true, unless the bucket is empty. Batch
// bytes leave half of a full bucket to quick ones.
func (b *Bucket) Take(n int, p Priority, now time.Time) bool {
	if !b.Ready(p, now) {
		return false
	}
	b.level -= float64(n)
	return true
}

// Ready reports whether a piece may be sent now.
func (b *Bucket) Ready(p Priority, now time.Time) bool {
	b.fill(now)
	if p == Batch {
		return b.level > ChunkBytes/2
	}
	return b.level > 0
}

// Spend counts n bytes that have crossed the link already.
func (b *Bucket) Spend(n int, now time.Time) {
	b.fill(now)
	b.level -= float64(n)
}

// Wait returns the time until quick bytes may be sent, at most the given limit.
func (b *Bucket) Wait(now time.Time, limit time.Duration) time.Duration {
	b.fill(now)
	if b.level > 0 {
		return 0
	}
	if b.rate <= 0 {
		return limit
	}
	return min(limit, time.Duration((1-b.level)/b.rate*float64(time.Second)))
}

// fill adds what has come in since the last call. Time never runs backwards.
func (b *Bucket) fill(now time.Time) {
	if !now.After(b.last) {
		return
	}
	b.level = min(ChunkBytes, b.level+b.rate*now.Sub(b.last).Seconds())
	b.last = now
}
