package traffic

import (
	"sort"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/link"
)

// maxLinkWait bounds one wait for the link's budget.
const maxLinkWait = 20 * time.Millisecond

// Direction is one direction of the link between two regions.
type Direction struct{ From, To string }

// Links keeps this daemon within its shares of the links to other regions and
// counts the bytes that each member is billed for. It is safe for concurrent use.
type Links struct {
	own   string
	now   func() time.Time
	sleep func(time.Duration)

	mu      sync.Mutex
	buckets map[Direction]*meteredBucket
	billed  map[BillingKey]int64
}

// meteredBucket is a bucket that measures the demand for it.
type meteredBucket struct {
	bucket  *link.Bucket
	passed  int64 // bytes since the last reading
	blocked bool  // something had to wait since the last reading
	readAt  time.Time
	assured int64     // bytes per second that do not end with a loan
	until   time.Time // when the first loan ends
}

// BillingKey names what bytes are counted for.
type BillingKey struct {
	Member string
	Direction
}

// BilledBytes is one line of the bill.
type BilledBytes struct {
	BillingKey
	Bytes int64
}

// NewLinks returns links without budgets, for a daemon in the given region.
func NewLinks(own string, now func() time.Time, sleep func(time.Duration)) *Links {
	return &Links{own: own, now: now, sleep: sleep, buckets: map[Direction]*meteredBucket{}, billed: map[BillingKey]int64{}}
}

// SetShare sets this daemon's part of a direction. What is borrowed ends with
// its loan, also when control is late.
func (l *Links) SetShare(d Direction, s *link.Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b, ok := l.buckets[d]
	if !ok {
		b = &meteredBucket{bucket: link.NewBucket(0, now), readAt: now}
		l.buckets[d] = b
	}
	b.assured, b.until = s.Guaranteed(now)
	b.bucket.SetRate(s.Rate(now), now)
}

// expire ends what was borrowed once its loan has ended.
func (b *meteredBucket) expire(now time.Time) {
	if !now.Before(b.until) {
		b.bucket.SetRate(b.assured, now)
	}
}

// Demand returns the bytes per second that a direction was used for since the
// last call. What had to wait counts twice, so that demand can grow.
func (l *Links) Demand(d Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[d]
	now := l.now()
	if !ok || !now.After(b.readAt) {
		return 0
	}
	rate := int64(float64(b.passed) / now.Sub(b.readAt).Seconds())
	if b.blocked {
		rate = 2*rate + link.ChunkBytes
	}
	b.passed, b.blocked, b.readAt = 0, false, now
	return rate
}

// Billed returns the bytes of each member and direction, in a fixed order.
func (l *Links) Billed() []BilledBytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := make([]BilledBytes, 0, len(l.billed))
	for line, n := range l.billed {
		lines = append(lines, BilledBytes{line, n})
	}
	sort.Slice(lines, func(i, j int) bool {
		a, b := lines[i], lines[j]
		if a.Member != b.Member {
			return a.Member < b.Member
		}
		return a.From < b.From
	})
	return lines
}

func (l *Links) bill(region, member string, sent, received int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.billed[BillingKey{member, Direction{l.own, region}}] += sent
	l.billed[BillingKey{member, Direction{region, l.own}}] += received
}

// ready reports whether quick requests may cross to another region.
func (l *Links) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, b := range l.buckets {
		b.expire(now)
		if !b.bucket.Ready(link.LatencyCritical, now) {
			b.blocked = true
			return false
		}
	}
	return true
}

// pacer keeps the bytes to and from a region within the shares.
func (l *Links) pacer(region string) linkPacer {
	return linkPacer{links: l, out: Direction{l.own, region}, in: Direction{region, l.own}}
}

type linkPacer struct {
	links   *Links
	out, in Direction
}

// BeforeWrite implements target.Pacer.
func (p linkPacer) BeforeWrite(n int) bool { return p.links.wait(p.out, n) }

// BeforeRead implements target.Pacer.
func (p linkPacer) BeforeRead() bool { return p.links.wait(p.in, 0) }

// AfterRead implements target.Pacer.
func (p linkPacer) AfterRead(n int) {
	p.links.mu.Lock()
	defer p.links.mu.Unlock()
	if b, ok := p.links.buckets[p.in]; ok {
		b.bucket.Spend(n, p.links.now())
		b.passed += int64(n)
	}
}

// wait takes n bytes, or sleeps a short while and reports false.
func (l *Links) wait(d Direction, n int) bool {
	l.mu.Lock()
	b, ok := l.buckets[d]
	if !ok {
		l.mu.Unlock()
		return true
	}
	now := l.now()
	b.expire(now)
	if b.bucket.Take(n, link.LatencyCritical, now) {
		b.passed += int64(n)
		l.mu.Unlock()
		return true
	}
	b.blocked = true
	pause := b.bucket.Wait(now, maxLinkWait)
	l.mu.Unlock()
	l.sleep(pause)
	return false
}
