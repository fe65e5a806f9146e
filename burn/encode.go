package burn

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// encodedBucket is the JSON form of a bucket.
type encodedBucket struct {
	StartUnix     int64            `json:"start_unix"`
	LengthSeconds int64            `json:"length_seconds"`
	Counts        []encodedCounts  `json:"counts,omitempty"`
	Latency       []encodedLatency `json:"latency,omitempty"`
}

type encodedCounts struct {
	Series
	Counts Counts `json:"counts"`
}

type encodedLatency struct {
	Service string `json:"service"`
	// Histogram is the compressed V2 encoding of HdrHistogram.
	Histogram []byte `json:"histogram"`
}

// DecodeError reports a stored ledger that cannot be read.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("ledger cannot be read: %v", e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the ledger as JSON. The encoding is deterministic: equal ledgers
// have equal bytes.
func (l *Ledger) Encode() ([]byte, error) {
	buckets := make([]encodedBucket, 0, len(l.buckets))
	for _, b := range l.sorted() {
		e := encodedBucket{StartUnix: b.Start.Unix(), LengthSeconds: int64(b.Length / time.Second)}
		for s, c := range b.Counts {
			e.Counts = append(e.Counts, encodedCounts{s, c})
		}
		sort.Slice(e.Counts, func(i, j int) bool { return e.Counts[i].Less(e.Counts[j].Series) })
		for service, d := range b.Latency {
			histogram, err := d.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			if err != nil {
				return nil, err
			}
			e.Latency = append(e.Latency, encodedLatency{service, histogram})
		}
		sort.Slice(e.Latency, func(i, j int) bool { return e.Latency[i].Service < e.Latency[j].Service })
		buckets = append(buckets, e)
	}
	return json.Marshal(buckets)
}

// Decode reads a ledger from its JSON form. The error is a *DecodeError.
func Decode(data []byte) (*Ledger, error) {
	var buckets []encodedBucket
	if err := json.Unmarshal(data, &buckets); err != nil {
		return nil, &DecodeError{err}
	}
	l := NewLedger()
	for _, e := range buckets {
		b := l.bucket(time.Unix(e.StartUnix, 0).UTC(), time.Duration(e.LengthSeconds)*time.Second)
		for _, c := range e.Counts {
			b.Counts[c.Series] = b.Counts[c.Series].Add(c.Counts)
		}
		for _, d := range e.Latency {
			histogram, err := hdrhistogram.Decode(d.Histogram)
			if err != nil {
				return nil, &DecodeError{err}
			}
			b.Latency[d.Service] = &Latency{histogram}
		}
	}
	return l, nil
}
