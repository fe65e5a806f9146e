// Package admit decides at once whether a quick request is taken or refused.
//
// A request is refused when it cannot make its deadline at the present service
// rate, when the service has as many requests in flight as its latency allows,
// or when its member uses more than its share while others want theirs.
// Nothing is held back: a refusal tells when to come back.
//
// A Gate is not safe for concurrent use; its owner serialises the calls.
package admit

import (
	"math"
	"time"
)

// Capacity is what one daemon may use of a service.
type Capacity struct {
	// Share is this daemon's equal share of the service's slots.
	Share int
	// Slots is the number of the service's slots.
	Slots int
}

// Request is one arrival.
type Request struct {
	Member string
	// Weight is the member's share relative to others.
	Weight   int
	Deadline time.Time
}

// Reason says why a request is refused.
type Reason uint8

const (
	// ReasonDeadline is that the request cannot be answered by its deadline.
	ReasonDeadline Reason = iota + 1
	// ReasonLimit is that too many requests are in flight.
	ReasonLimit
	// ReasonShare is that the member uses its share and others want theirs.
	ReasonShare
)

// String returns a description for the caller.
func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "cannot answer by the deadline"
	case ReasonLimit:
		return "has too many requests in flight"
	case ReasonShare:
		return "has the member's share of requests in flight"
	default:
		return ""
	}
}

// Decision is the answer to one arrival.
type Decision struct {
	Admitted bool
	// Reason says why the request is refused.
	Reason Reason
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Bounds of when a refused caller may come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// maxOvershoot is how far, relative to the limit, members below their bounds
// may raise the requests in flight.
const maxOvershoot = 1.5

// Controller admits the requests of one service.
type Controller struct {
	limit    limit
	shares   shares
	inFlight int
	// refused is how many refused requests are expected back, and refusedAt
	// when that was last brought up to date.
	refused   float64
	refusedAt time.Time
}

// NewController returns a gate without requests.
func NewController(c Capacity) *Controller {
	g := &Controller{}
	g.limit.setCapacity(c)
	return g
}

// SetCapacity changes the capacity; requests already admitted stay admitted.
func (g *Controller) SetCapacity(c Capacity) { g.limit.setCapacity(c) }

// InFlight returns the number of admitted requests that have not ended.
func (g *Controller) InFlight() int { return g.inFlight }

// Limit returns how many requests may be in flight at the moment.
func (g *Controller) Limit() int { return g.limit.value() }

// Arrive decides on a request that arrives at now.
func (g *Controller) Arrive(now time.Time, r Request) Decision {
	g.limit.advance(now)
	m := g.shares.arrive(now, r, float64(g.limit.value()), g.limit.expected())
	remaining := r.Deadline.Sub(now)
	switch {
	case remaining <= 0:
		return g.refuse(now, ReasonDeadline)
	case g.inFlight == 0:
		// One request is always let through, so that the latency is measured anew.
	case g.limit.predict(g.inFlight) > remaining:
		return g.refuse(now, ReasonDeadline)
	case g.inFlight >= g.cap(m):
		g.limit.reached = true
		return g.refuse(now, ReasonLimit)
	case m.full():
		g.limit.reached = true
		return g.refuse(now, ReasonShare)
	}
	m.inFlight++
	g.inFlight++
	if g.inFlight*10 >= g.limit.value()*8 {
		g.limit.reached = true
	}
	return Decision{Admitted: true}
}

// cap is how many requests may be in flight for the member's next to be
// admitted. A member below its bound does not wait for those above theirs.
func (g *Controller) cap(m *member) int {
	limit := g.limit.value()
	if m.bound == unbounded {
		return limit
	}
	return int(float64(limit) * maxOvershoot)
}

// Leave counts an admitted request that has ended.
func (g *Controller) Leave(member string) {
	g.inFlight--
	g.shares.leave(member)
}

// Observe counts the latency of a request that was answered or timed out.
func (g *Controller) Observe(now time.Time, latency time.Duration) { g.limit.observe(now, latency) }

// refuse spreads the callers' return over the time in which those refused
// before can be served.
func (g *Controller) refuse(now time.Time, reason Reason) Decision {
	perSecond := g.limit.rate()
	elapsed := now.Sub(g.refusedAt).Seconds()
	g.refused = max(0, g.refused-perSecond*max(0, elapsed)) + 1
	g.refusedAt = now
	wait := time.Duration(math.Min(g.refused/perSecond, maxRetryAfter.Seconds()) * float64(time.Second))
	return Decision{Reason: reason, RetryAfter: max(minRetryAfter, wait)}
}
