// Package traffic holds the immutable snapshot that the control goroutine
// publishes and the traffic goroutines read.
package traffic

import (
	"sync/atomic"
	"time"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/membership"
	"github.com/bambooyard/bambooyard/route"
	"github.com/bambooyard/bambooyard/rules"
)

// Service is what traffic needs to know of one service.
type Service struct {
	Rules  rules.Service
	Picker *route.Picker
	// Limit is how many requests this daemon may have in flight.
	Limit int
	// Slots is the number of requests that all targets work on at a time.
	Slots int
}

// Snapshot is the daemon's view at one moment. It never changes.
type Snapshot struct {
	// CreatedAt is when the snapshot was made.
	CreatedAt time.Time
	// Ready is set when the daemon may serve.
	Ready bool
	// Reason says why the daemon is not ready.
	Reason string
	// ValidUntil is when the daemon may serve no longer under this snapshot.
	ValidUntil time.Time
	Head       document.Head
	Document   document.Document
	Services   map[string]*Service
	// Session is this daemon's session when the snapshot was made.
	Session membership.Session
	// Daemons is the number of live daemons, this one included.
	Daemons int
	// SweepsClaims is set when this daemon deletes expired claims.
	SweepsClaims bool
	// Members is the set of members' names.
	Members map[string]bool
	// Weights are the members' shares of a service under overload.
	Weights map[string]int
}

// Serving reports whether the daemon may serve at now, and if not, why.
func (s *Snapshot) Serving(now time.Time) (bool, string) {
	if !s.Ready {
		return false, s.Reason
	}
	if !now.Before(s.ValidUntil) {
		return false, "the daemon's view of the configuration has expired"
	}
	return true, ""
}

// Publisher hands snapshots from control to traffic. It is safe for
// concurrent use.
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
