// Package traffic holds the immutable snapshot that the control goroutine
// publishes and the traffic goroutines read.
package traffic

import (
	"sync/atomic"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/route"
	"github.com/bambooyard/bambooyard/rules"
)

// Service is what traffic needs to know of one service.
type Service struct {
	Rules  rules.Service
	Picker *route.Picker
	// Limit is how many requests this daemon may have in flight.
	Limit int
}

// Snapshot is the daemon's view at one moment. It never changes.
type Snapshot struct {
	// Ready is set when the daemon may serve.
	Ready bool
	// Reason says why the daemon is not ready.
	Reason   string
	Head     document.Head
	Document document.Document
	Services map[string]*Service
	// Peers is the number of other live daemons.
	Peers int
	// Members is the set of members' names.
	Members map[string]bool
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
