package burn

import (
	"maps"
	"sort"
	"time"
)

// Bucket lengths, and the ages past which a bucket is merged into a longer one
// or dropped. Each retention is slightly longer than the report window that
// reads buckets of that length.
const (
	shortBucket     = time.Minute
	shortRetention  = 70 * time.Minute
	middleBucket    = 10 * time.Minute
	middleRetention = 7 * time.Hour
	longBucket      = time.Hour
	longRetention   = 73 * time.Hour
)

// Bucket holds the counts of the time from Start to Start+Length.
type Bucket struct {
	Start  time.Time
	Length time.Duration
	Counts map[Series]Counts
	// Latency is the distribution of response latencies by service. Only hourly
	// buckets have entries.
	Latency map[string]*Latency
}

type bucketKey struct {
	start  int64 // seconds since 1970 UTC
	length time.Duration
}

// Ledger holds the counts of one daemon, or the merged counts of many. It is not
// safe for concurrent use.
type Ledger struct {
	buckets map[bucketKey]*Bucket
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{buckets: map[bucketKey]*Bucket{}} }

// Observation is one request that has ended.
type Observation struct {
	At      time.Time
	Series  Series
	Outcome Outcome
	// Latency is the time from arrival to the end of the response. It is
	// recorded only for complete responses; zero means unknown.
	Latency time.Duration
}

// Observe counts one request.
func (l *Ledger) Observe(o Observation) {
	b := l.bucket(o.At.Truncate(shortBucket), shortBucket)
	c := b.Counts[o.Series]
	c[o.Outcome]++
	b.Counts[o.Series] = c
	if o.Latency > 0 && (o.Outcome == OutcomeGood || o.Outcome == OutcomeLate) {
		l.latency(o.At, o.Series.Service).Record(o.Latency)
	}
}

// latency returns the distribution of a service for the hour of at.
func (l *Ledger) latency(at time.Time, service string) *Latency {
	b := l.bucket(at.Truncate(longBucket), longBucket)
	d, ok := b.Latency[service]
	if !ok {
		d = NewLatency()
		b.Latency[service] = d
	}
	return d
}

func (l *Ledger) bucket(start time.Time, length time.Duration) *Bucket {
	key := bucketKey{start.Unix(), length}
	b, ok := l.buckets[key]
	if !ok {
		b = &Bucket{Start: start, Length: length, Counts: map[Series]Counts{}, Latency: map[string]*Latency{}}
		l.buckets[key] = b
	}
	return b
}

// Compact merges old buckets into longer ones and drops those that no report
// window reads.
func (l *Ledger) Compact(now time.Time) {
	for key, b := range l.buckets {
		length := bucketLengthAt(now.Sub(b.Start))
		switch {
		case length == 0:
			delete(l.buckets, key)
		case length > b.Length:
			delete(l.buckets, key)
			l.bucket(b.Start.Truncate(length), length).merge(b)
		}
	}
}

// bucketLengthAt returns the length of buckets of an age, or zero past the
// longest retention.
func bucketLengthAt(age time.Duration) time.Duration {
	switch {
	case age > longRetention:
		return 0
	case age > middleRetention:
		return longBucket
	case age > shortRetention:
		return middleBucket
	default:
		return shortBucket
	}
}

func (b *Bucket) merge(o *Bucket) {
	for s, c := range o.Counts {
		b.Counts[s] = b.Counts[s].Add(c)
	}
	for service, d := range o.Latency {
		merged, ok := b.Latency[service]
		if !ok {
			merged = NewLatency()
			b.Latency[service] = merged
		}
		merged.Merge(d)
	}
}

// Merge adds the counts of another ledger, which is left unchanged.
func (l *Ledger) Merge(o *Ledger) {
	for key, b := range o.buckets {
		l.bucket(b.Start, key.length).merge(b)
	}
}

// Hours returns the starts of the hours that have counts, in order.
func (l *Ledger) Hours() []time.Time {
	set := map[int64]time.Time{}
	for _, b := range l.buckets {
		hour := b.Start.Truncate(longBucket)
		set[hour.Unix()] = hour
	}
	hours := make([]time.Time, 0, len(set))
	for _, h := range set {
		hours = append(hours, h)
	}
	sort.Slice(hours, func(i, j int) bool { return hours[i].Before(hours[j]) })
	return hours
}

// Hour returns a copy of the counts of one hour.
func (l *Ledger) Hour(start time.Time) *Ledger {
	out := NewLedger()
	for key, b := range l.buckets {
		if b.Start.Truncate(longBucket).Equal(start) {
			out.bucket(b.Start, key.length).merge(b)
		}
	}
	return out
}

// DropBefore deletes the buckets of the hours before start.
func (l *Ledger) DropBefore(start time.Time) {
	for key, b := range l.buckets {
		if b.Start.Truncate(longBucket).Before(start) {
			delete(l.buckets, key)
		}
	}
}

// Since sums the counts of the buckets that end after from.
func (l *Ledger) Since(from time.Time) map[Series]Counts {
	sum := map[Series]Counts{}
	for _, b := range l.buckets {
		if !b.Start.Add(b.Length).After(from) {
			continue
		}
		for s, c := range b.Counts {
			sum[s] = sum[s].Add(c)
		}
	}
	return sum
}

// LatencySince merges the latencies of the hours that end after from.
func (l *Ledger) LatencySince(from time.Time) map[string]*Latency {
	sum := map[string]*Latency{}
	for _, b := range l.sorted() {
		if !b.Start.Add(b.Length).After(from) {
			continue
		}
		for service, d := range b.Latency {
			if sum[service] == nil {
				sum[service] = NewLatency()
			}
			sum[service].Merge(d)
		}
	}
	return sum
}

// Buckets returns copies of the buckets in order of time, without their
// latencies.
func (l *Ledger) Buckets() []Bucket {
	sorted := l.sorted()
	out := make([]Bucket, len(sorted))
	for i, b := range sorted {
		out[i] = Bucket{Start: b.Start, Length: b.Length, Counts: maps.Clone(b.Counts)}
	}
	return out
}

func (l *Ledger) sorted() []*Bucket {
	out := make([]*Bucket, 0, len(l.buckets))
	for _, b := range l.buckets {
		out = append(out, b)
	}
	sort.Slice(out, func(i, j int) bool {
		if !out[i].Start.Equal(out[j].Start) {
			return out[i].Start.Before(out[j].Start)
		}
		return out[i].Length < out[j].Length
	})
	return out
}
