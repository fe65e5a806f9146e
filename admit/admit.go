// Package admit implements admission control for latency-critical requests. It
// admits or refuses each request immediately.
//
// A request is refused when it cannot meet its deadline at the current service
// rate, when the service has reached its adaptive concurrency limit, or when its
// member exceeds its fair share while other members have demand. Requests are
// never queued: a refusal says when to retry.
//
// A Controller is not safe for concurrent use; its owner serialises the calls.
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

// Request is one arriving request.
type Request struct {
	Member string
	// Weight is the member's share relative to other members.
	Weight   int
	Deadline time.Time
}

// Reason says why a request is refused.
type Reason uint8

const (
	// ReasonDeadline means that the request cannot be answered by its deadline.
	ReasonDeadline Reason = iota + 1
	// ReasonLimit means that too many requests are in flight.
	ReasonLimit
	// ReasonShare means that the member uses its fair share and other members
	// have demand.
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

// Decision is the result for one request.
type Decision struct {
	Admitted bool
	// Reason says why the request is refused.
	Reason Reason
	// RetryAfter is how long a refused caller must wait before it retries.
	RetryAfter time.Duration
}

// Bounds of Decision.RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// maxOvershoot bounds the requests in flight, relative to the limit, when
// members below their own limits are admitted beyond it.
const maxOvershoot = 1.5

// Controller admits the requests of one service.
type Controller struct {
	limit    adaptiveLimit
	shares   shares
	inFlight int
	// expectedRetries is how many refused requests are expected to be retried,
	// as of retriesUpdatedAt.
	expectedRetries  float64
	retriesUpdatedAt time.Time
}

// NewController returns a controller without requests in flight.
func NewController(capacity Capacity) *Controller {
	c := &Controller{}
	c.limit.setCapacity(capacity)
	return c
}

// SetCapacity changes the capacity; requests already admitted stay admitted.
func (c *Controller) SetCapacity(capacity Capacity) { c.limit.setCapacity(capacity) }

// InFlight returns the number of admitted requests that have not ended.
func (c *Controller) InFlight() int { return c.inFlight }

// Limit returns how many requests may be in flight at the moment.
func (c *Controller) Limit() int { return c.limit.value() }

// Admit decides on a request that arrives at now. The caller must Release every
// admitted request.
func (c *Controller) Admit(now time.Time, r Request) Decision {
	c.limit.advance(now)
	m := c.shares.recordArrival(now, r, float64(c.limit.value()), c.limit.expectedLatency())
	remaining := r.Deadline.Sub(now)
	switch {
	case remaining <= 0:
		return c.refuse(now, ReasonDeadline)
	case c.inFlight == 0:
		// One request is always admitted, so that the latency is measured again.
	case c.limit.predictLatency(c.inFlight) > remaining:
		return c.refuse(now, ReasonDeadline)
	case c.inFlight >= c.limitFor(m):
		c.limit.reached = true
		return c.refuse(now, ReasonLimit)
	case m.atLimit():
		c.limit.reached = true
		return c.refuse(now, ReasonShare)
	}
	m.inFlight++
	c.inFlight++
	if c.inFlight*10 >= c.limit.value()*8 {
		c.limit.reached = true
	}
	return Decision{Admitted: true}
}

// limitFor returns how many requests of all members may be in flight, the member's
// next one included. Members that exceed their limits do not block one that is
// below its own.
func (c *Controller) limitFor(m *member) int {
	limit := c.limit.value()
	if m.limit == unlimited {
		return limit
	}
	return int(float64(limit) * maxOvershoot)
}

// Release counts an admitted request of the member that has ended.
func (c *Controller) Release(member string) {
	c.inFlight--
	c.shares.release(member)
}

// Observe records the latency of a request that was answered or timed out.
func (c *Controller) Observe(now time.Time, latency time.Duration) { c.limit.observe(now, latency) }

// refuse returns a refusal. Its RetryAfter spreads the retries over the time in
// which the requests refused earlier can be served.
func (c *Controller) refuse(now time.Time, reason Reason) Decision {
	rate := c.limit.serviceRate()
	elapsed := now.Sub(c.retriesUpdatedAt).Seconds()
	c.expectedRetries = max(0, c.expectedRetries-rate*max(0, elapsed)) + 1
	c.retriesUpdatedAt = now
	wait := time.Duration(math.Min(c.expectedRetries/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	return Decision{Reason: reason, RetryAfter: max(minRetryAfter, wait)}
}
