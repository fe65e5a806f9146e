// Package route picks the target of a quick request from an immutable
// snapshot of the targets, without asking other daemons per request.
//
// A Picker is built by the control goroutine and read by many traffic
// goroutines. Only the in-flight counters change after construction, and they
// are atomic.
package route

import (
	"sync/atomic"
	"time"

	"github.com/bambooyard/bambooyard/charts"

	"github.com/bambooyard/bambooyard/chart"
)

// Target is one runner of a service.
type Target struct {
	VM         string
	Address    string
	Region     string
	DataCentre string
	// Slots is how many requests the runner works on at a time.
	Slots int
	// Connections is how many open connections the runner accepts.
	Connections int
	// State is a state of the target chart; only live targets are picked.
	State chart.State
	// Usage is this daemon's own load on the target. It outlives pickers.
	Usage *Usage
	// PeerInFlight is the in-flight requests that the other daemons last reported.
	PeerInFlight int
	// PeerAge is the age of the oldest of those reports.
	PeerAge time.Duration
}

// Usage counts the requests that this daemon has in flight on one target. It
// is safe for concurrent use.
type Usage struct{ inFlight atomic.Int64 }

// InFlight returns the number of requests in flight.
func (u *Usage) InFlight() int { return int(u.inFlight.Load()) }

// Begin counts a request that starts.
func (u *Usage) Begin() { u.inFlight.Add(1) }

// End counts a request that has ended.
func (u *Usage) End() { u.inFlight.Add(-1) }

// Request is what the picker needs to know of a request.
type Request struct {
	// Seed is a random number drawn by the caller of Pick.
	Seed uint64
	// Avoid is the address of a target not to be picked again, or empty.
	Avoid string
}

// Picker picks among the live targets of one service.
type Picker struct {
	local  []Target
	remote []Target
}

// NewPicker returns a picker that prefers targets of the given region.
func NewPicker(region string, targets []Target) *Picker {
	p := &Picker{}
	for _, t := range targets {
		if t.State != charts.TargetLive {
			continue
		}
		if t.Region == region {
			p.local = append(p.local, t)
		} else {
			p.remote = append(p.remote, t)
		}
	}
	return p
}

// Size returns the number of live targets.
func (p *Picker) Size() int { return len(p.local) + len(p.remote) }

// Pick returns the less loaded of two random targets, local ones first. The
// result is nil when no target is live. The caller counts the request with
// Usage.Begin and Usage.End.
func (p *Picker) Pick(r Request) *Target {
	if t := pickFrom(p.local, r); t != nil {
		return t
	}
	return pickFrom(p.remote, r)
}

func pickFrom(targets []Target, r Request) *Target {
	n := uint64(len(targets))
	if n == 0 {
		return nil
	}
	a := &targets[(r.Seed&0xffffffff)%n]
	b := &targets[(r.Seed>>32)%n]
	if a.Address == r.Avoid {
		a = b
	}
	if b.Address == r.Avoid {
		b = a
	}
	if a.Address == r.Avoid {
		a = &targets[((r.Seed&0xffffffff)+1)%n]
		b = a
	}
	if b.load() < a.load() {
		return b
	}
	return a
}

// load is the target's in-flight requests per slot, in thousandths.
func (t *Target) load() int {
	return (t.Usage.InFlight() + t.PeerInFlight) * 1000 / t.Slots
}
