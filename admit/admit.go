// Package admit decides at once whether a quick request is taken or refused.
//
// A Gate is not safe for concurrent use; its owner serialises the calls.
package admit

import "time"

// Gate admits requests up to a limit of requests in flight.
type Gate struct {
	limit    int
	inFlight int
}

// NewGate returns a gate with a limit of requests in flight.
func NewGate(limit int) *Gate { return &Gate{limit: limit} }

// SetLimit changes the limit; requests already admitted stay admitted.
func (g *Gate) SetLimit(limit int) { g.limit = limit }

// Decision is the answer to one arrival.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// retryAfterOverload is when a caller refused for load may come back.
const retryAfterOverload = time.Second

// Arrive decides on a request that arrives at now and must be answered by deadline.
func (g *Gate) Arrive(now, deadline time.Time) Decision {
	if !deadline.After(now) || g.inFlight >= g.limit {
		return Decision{RetryAfter: retryAfterOverload}
	}
	g.inFlight++
	return Decision{Admitted: true}
}

// Leave counts an admitted request that has ended.
func (g *Gate) Leave() { g.inFlight-- }
