package traffic

import (
	"sort"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/link"
)

// maxBudgetWait bounds a single wait for the budget of a link, so that a write
// on a closed connection ends soon.
const maxBudgetWait = 20 * time.Millisecond

// Direction is one direction of the link between two regions, named by region.
type Direction struct{ From, To string }

// Links limits this daemon to its shares of the links to other regions and
// counts the bytes that each member is billed for. It is safe for concurrent use.
type Links struct {
	region string
	now    func() time.Time
	sleep  func(time.Duration)

	mu      sync.Mutex
	buckets map[Direction]*meteredBucket
	billed  map[BillingKey]int64
}

// meteredBucket is a token bucket with a measurement of the demand for it.
type meteredBucket struct {
	bucket         *link.Bucket
	bytes          int64     // bytes since the last measurement
	throttled      bool      // set if bytes had to wait since the last measurement
	measuredAt     time.Time // time of the last measurement
	guaranteedRate int64     // bytes per second without borrowed rate
	loanExpiry     time.Time // time at which the first loan expires
}

// BillingKey identifies a byte counter.
type BillingKey struct {
	Member string
	Direction
}

// BilledBytes is the number of bytes that a member is billed for.
type BilledBytes struct {
	BillingKey
	Bytes int64
}

// NewLinks returns links without budgets, for a daemon in the given region.
func NewLinks(region string, now func() time.Time, sleep func(time.Duration)) *Links {
	return &Links{region: region, now: now, sleep: sleep, buckets: map[Direction]*meteredBucket{}, billed: map[BillingKey]int64{}}
}

// SetShare sets this daemon's share of a direction. Borrowed rate expires with
// its loan even if the control loop does not call SetShare again in time.
func (l *Links) SetShare(d Direction, s *link.Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b, ok := l.buckets[d]
	if !ok {
		b = &meteredBucket{bucket: link.NewBucket(0, now), measuredAt: now}
		l.buckets[d] = b
	}
	b.guaranteedRate, b.loanExpiry = s.Guaranteed(now)
	b.bucket.SetRate(s.Rate(now), now)
}

// expireLoan removes the borrowed rate once the first loan has expired.
func (b *meteredBucket) expireLoan(now time.Time) {
	if !now.Before(b.loanExpiry) {
		b.bucket.SetRate(b.guaranteedRate, now)
	}
}

// Demand returns the demand for a direction since the last call in bytes per
// second. If bytes had to wait, it is twice the measured rate plus one chunk, so
// that the demand of a throttled daemon can grow.
func (l *Links) Demand(d Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[d]
	now := l.now()
	if !ok || !now.After(b.measuredAt) {
		return 0
	}
	rate := int64(float64(b.bytes) / now.Sub(b.measuredAt).Seconds())
	if b.throttled {
		rate = 2*rate + link.ChunkBytes
	}
	b.bytes, b.throttled, b.measuredAt = 0, false, now
	return rate
}

// Billed returns the bytes by member and direction, sorted by member and origin.
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

// recordBilled counts the bytes of a member's request to another region.
func (l *Links) recordBilled(region, member string, sent, received int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.billed[BillingKey{member, Direction{l.region, region}}] += sent
	l.billed[BillingKey{member, Direction{region, l.region}}] += received
}

// hasBudget reports whether all links have budget for latency-critical requests
// to other regions.
func (l *Links) hasBudget() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, b := range l.buckets {
		b.expireLoan(now)
		if !b.bucket.Ready(link.LatencyCritical, now) {
			b.throttled = true
			return false
		}
	}
	return true
}

// pacer returns a target.Pacer for the bytes to and from a region.
func (l *Links) pacer(region string) linkPacer {
	return linkPacer{links: l, out: Direction{l.region, region}, in: Direction{region, l.region}}
}

type linkPacer struct {
	links   *Links
	out, in Direction
}

// BeforeWrite implements target.Pacer.
func (p linkPacer) BeforeWrite(n int) bool { return p.links.takeOrWait(p.out, n) }

// BeforeRead implements target.Pacer.
func (p linkPacer) BeforeRead() bool { return p.links.takeOrWait(p.in, 0) }

// AfterRead implements target.Pacer.
func (p linkPacer) AfterRead(n int) {
	p.links.mu.Lock()
	defer p.links.mu.Unlock()
	if b, ok := p.links.buckets[p.in]; ok {
		b.bucket.Spend(n, p.links.now())
		b.bytes += int64(n)
	}
}

// takeOrWait spends n bytes of a direction and reports true, or sleeps for up to
// maxBudgetWait and reports false. A direction without a share has no limit.
func (l *Links) takeOrWait(d Direction, n int) bool {
	l.mu.Lock()
	b, ok := l.buckets[d]
	if !ok {
		l.mu.Unlock()
		return true
	}
	now := l.now()
	b.expireLoan(now)
	if b.bucket.Take(n, link.LatencyCritical, now) {
		b.bytes += int64(n)
		l.mu.Unlock()
		return true
	}
	b.throttled = true
	pause := b.bucket.Wait(now, maxBudgetWait)
	l.mu.Unlock()
	l.sleep(pause)
	return false
}
