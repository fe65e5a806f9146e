package entry

import (
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/admit"
)

// Gates holds the admission gate of each service. It is safe for concurrent use.
type Gates struct {
	mu    sync.Mutex
	gates map[string]*admit.Gate
}

// NewGates returns no gates.
func NewGates() *Gates { return &Gates{gates: map[string]*admit.Gate{}} }

// Arrive asks the service's gate, with its current limit.
func (g *Gates) Arrive(service string, limit int, now, deadline time.Time) admit.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate, ok := g.gates[service]
	if !ok {
		gate = admit.NewGate(limit)
		g.gates[service] = gate
	}
	gate.SetLimit(limit)
	return gate.Arrive(now, deadline)
}

// Leave tells the service's gate that an admitted request has ended.
func (g *Gates) Leave(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates[service].Leave()
}
