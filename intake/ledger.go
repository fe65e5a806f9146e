// Package intake decides how much of the memory and of the descriptors of a process its clients may
// hold, whatever their number: how many connections each listener has, and how many bytes are held
// for requests. It does no input or output and reads no clock.
package intake

import "time"

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	// Waiting means that no byte of the next request has been received.
	Waiting Phase = iota
	// Receiving means that a part of a request has been received.
	Receiving
	// Processing means that a request is being processed. It is never interrupted.
	Processing
	// Responding means that a request has been processed and its response is being sent.
	Responding
)

// graceTime is how long a connection may be in its phase before it makes way for others. A small
// request arrives in less time.
const graceTime = 100 * time.Millisecond

// Conn is a connection as a Ledger counts it.
type Conn struct {
	listener *listener
	phase    Phase
	// since is when the phase began.
	since time.Time
	// received is the number of bytes of the request that have been received.
	received int64
	// held is what the process holds for the connection, in bytes.
	held int64
	// used is set once a request has been processed on the connection.
	used bool
	// interrupted is set when the connection had to make way for others.
	interrupted bool
}

// Interrupted reports whether the connection had to make way for others.
func (c *Conn) Interrupted() bool { return c.interrupted }

// Phase returns what the connection is doing.
func (c *Conn) Phase() Phase { return c.phase }

type listener struct {
	limits     ListenerLimits
	conns      map[*Conn]struct{}
	processing int
	// shared is what the connections hold beyond their allowances, in bytes.
	shared int64
}

// Ledger counts what the clients of a process hold. It must be used by one goroutine at a time.
type Ledger struct{ listeners map[string]*listener }

// NewLedger returns a ledger without connections.
func NewLedger(limits Limits) *Ledger {
	l := &Ledger{listeners: map[string]*listener{}}
	for name, ln := range limits {
		l.listeners[name] = &listener{limits: ln, conns: map[*Conn]struct{}{}}
	}
	return l
}

// Open adds a connection to the listener with a name. If the listener has as many as it may have, the caller
// must close evicted, which has made way; without one, conn is nil and the new connection must be
// closed. The listener must be one of the limits.
func (l *Ledger) Open(name string, now time.Time) (conn, evicted *Conn) {
	ln := l.listeners[name]
	if len(ln.conns) >= ln.limits.Connections {
		if evicted = ln.evictable(now); evicted == nil {
			return nil, nil
		}
		evicted.interrupted = true
		l.Close(evicted)
	}
	conn = &Conn{listener: ln, since: now}
	ln.conns[conn] = struct{}{}
	return conn, evicted
}

// evictable returns the connection that makes way for a new one, or nil: the one that has waited
// longest for a request, those without any request before others, then the slowest one that is
// receiving or responding.
func (ln *listener) evictable(now time.Time) *Conn {
	var best *Conn
	for c := range ln.conns {
		switch {
		case c.phase == Processing, c.phase != Waiting && now.Sub(c.since) < graceTime:
		case best == nil || c.yieldsBefore(best, now):
			best = c
		}
	}
	return best
}

func (c *Conn) yieldsBefore(other *Conn, now time.Time) bool {
	if waits, otherWaits := c.phase == Waiting, other.phase == Waiting; waits != otherWaits {
		return waits
	} else if !waits {
		return c.rate(now) < other.rate(now)
	}
	if c.used != other.used {
		return !c.used
	}
	return c.since.Before(other.since)
}

// rate returns the bytes per second at which the request is being received.
func (c *Conn) rate(now time.Time) float64 {
	if c.phase != Receiving {
		return 0
	}
	return float64(c.received) / max(now.Sub(c.since), time.Millisecond).Seconds()
}

// Receive counts received bytes of a request. The first ones end the phase Waiting.
func (l *Ledger) Receive(c *Conn, bytes int64, now time.Time) {
	if c.phase == Waiting {
		l.Enter(c, Receiving, now)
	}
	c.received += bytes
}

// Hold sets what the process holds for a connection, in bytes. If that is more than the listener has room
// for, slower connections of it make way: the caller must interrupt them. It reports false if c itself
// must be refused; then it holds as much as before.
func (l *Ledger) Hold(c *Conn, bytes int64, now time.Time) (interrupted []*Conn, ok bool) {
	ln := c.listener
	if _, open := ln.conns[c]; !open || c.interrupted {
		return nil, false
	}
	for {
		need := ln.shared - beyondAllowance(c.held) + beyondAllowance(bytes)
		if need <= ln.limits.SharedBytes || bytes <= c.held {
			ln.shared, c.held = need, bytes
			return interrupted, true
		}
		slowest := ln.slowest(c, now)
		if slowest == nil {
			return interrupted, false
		}
		slowest.interrupted = true
		slowest.release()
		interrupted = append(interrupted, slowest)
	}
}

// slowest returns the connection that makes way for what c holds, or nil if none does before c itself:
// of those that hold more than their allowance and are not being processed, the one that is receiving
// most slowly. Connections in the phase Waiting receive nothing.
func (ln *listener) slowest(c *Conn, now time.Time) *Conn {
	var best *Conn
	for other := range ln.conns {
		if other == c || other.held <= allowance || other.phase == Processing || other.phase == Responding {
			continue
		}
		if now.Sub(other.since) >= graceTime && (best == nil || other.slowerThan(best, now)) {
			best = other
		}
	}
	yields := c.phase == Waiting || c.phase == Receiving && now.Sub(c.since) >= graceTime
	if best != nil && yields && !best.slowerThan(c, now) {
		return nil
	}
	return best
}

// slowerThan reports whether c is receiving more slowly than other, or holds more at the same rate.
func (c *Conn) slowerThan(other *Conn, now time.Time) bool {
	if rate, otherRate := c.rate(now), other.rate(now); rate != otherRate {
		return rate < otherRate
	}
	return c.held > other.held
}

func beyondAllowance(held int64) int64 { return max(0, held-allowance) }

func (c *Conn) release() {
	c.listener.shared -= beyondAllowance(c.held)
	c.held = 0
}

// Enter begins a phase of a connection. It reports false, and changes nothing, if the phase is
// Processing and the connection had to make way or the listener processes as many requests as it may.
func (l *Ledger) Enter(c *Conn, phase Phase, now time.Time) bool {
	if phase == c.phase {
		return true
	}
	ln := c.listener
	if _, open := ln.conns[c]; !open {
		return !c.interrupted
	}
	if phase == Processing {
		if c.interrupted {
			return false
		}
		if ln.limits.Requests > 0 && ln.processing >= ln.limits.Requests {
			return false
		}
		ln.processing++
		c.used = true
	}
	if c.phase == Processing {
		ln.processing--
	}
	if phase == Waiting {
		c.received = 0
	}
	c.phase, c.since = phase, now
	return true
}

// Close removes a connection. It has no effect on one that is removed already.
func (l *Ledger) Close(c *Conn) {
	if _, open := c.listener.conns[c]; !open {
		return
	}
	if c.phase == Processing {
		c.listener.processing--
	}
	delete(c.listener.conns, c)
	c.release()
}

// Usage returns the number of connections of the listener with a name, and what they hold beyond their
// allowances, in bytes.
func (l *Ledger) Usage(name string) (connections int, heldBytes int64) {
	ln := l.listeners[name]
	return len(ln.conns), ln.shared
}
