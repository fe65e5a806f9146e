// Package traffic sends latency-critical requests to targets, which it picks from
// an immutable snapshot that the control goroutine publishes.
package traffic

import (
	"sync/atomic"
	"time"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/membership"
	"github.com/bambooyard/bambooyard/route"
	"github.com/bambooyard/bambooyard/rules"
)

// Service is the view of a service that traffic goroutines need.
type Service struct {
	Rules  rules.Service
	Picker *route.Picker
	// Limit is the number of requests that this daemon may have in flight.
	Limit int
	// Slots is the number of requests that all targets can run at the same time.
	Slots int
}

// Snapshot is the daemon's view at one moment. It is immutable once published.
type Snapshot struct {
	// CreatedAt is the time at which the snapshot was created.
	CreatedAt time.Time
	// Ready is set if the daemon may serve.
	Ready bool
	// Reason is why the daemon is not ready.
	Reason string
	// ValidUntil is the time from which the daemon may not serve under this
	// snapshot.
	ValidUntil time.Time
	Head       document.Head
	Document   document.Document
	Services   map[string]*Service // by name
	// Session is this daemon's session at CreatedAt.
	Session membership.Session
	// Daemons is the number of live daemons, this one included.
	Daemons int
	// CollectsClaims is set if this daemon collects expired claims.
	CollectsClaims bool
	// Members is the set of members' names.
	Members map[string]bool
	// Weights are the members' relative shares of a service under overload.
	Weights map[string]int
}

// Serving reports whether the daemon may serve at now, and if not, the reason.
func (s *Snapshot) Serving(now time.Time) (bool, string) {
	if !s.Ready {
		return false, s.Reason
	}
	if !now.Before(s.ValidUntil) {
		return false, "the daemon's view of the configuration has expired"
	}
	return true, ""
}

// Publisher hands snapshots from the control goroutine to traffic goroutines. It
// is safe for concurrent use.
type Publisher struct{ current atomic.Pointer[Snapshot] }

// NewPublisher returns a publisher whose first snapshot is not ready.
func NewPublisher() *Publisher {
	p := &Publisher{}
	p.current.Store(&Snapshot{Reason: "no configuration has been adopted"})
	return p
}

// Publish replaces the snapshot.
func (p *Publisher) Publish(s *Snapshot) { p.current.Store(s) }

// Load returns the current snapshot, never nil.
func (p *Publisher) Load() *Snapshot { return p.current.Load() }
