package target

import (
	"slices"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/charts"
)

// pool holds the connections to one target. It is safe for concurrent use.
type pool struct {
	mu   sync.Mutex
	idle []*connection // in the order of their last response, most recent last
	// open is the number of connections that are idle, in use or being dialled.
	open int
	// probing is set while a request uses a suspect connection.
	probing bool
}

// takeIdle removes and returns an idle connection: the most recently used proven
// one, or else a suspect one. Only one suspect connection is in use at a time,
// so that a broken path stalls at most one request. It returns nil if a new
// connection is needed.
func (p *pool) takeIdle(now time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeStale(now)
	suspect := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if !c.conn.reusable() {
			continue
		}
		if c.state == charts.ConnectionProven {
			return p.removeIdle(i)
		}
		if suspect < 0 {
			suspect = i
		}
	}
	if suspect < 0 || p.probing {
		return nil
	}
	p.probing = true
	return p.removeIdle(suspect)
}

// closeStale closes idle connections that are broken or idle for longer than
// idleTimeout, and marks those idle for longer than suspectAfter as suspect.
// The caller holds p.mu.
func (p *pool) closeStale(now time.Time) {
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		idleTime := now.Sub(c.lastResponse)
		if idleTime > suspectAfter && c.state == charts.ConnectionProven {
			c.apply(charts.ConnectionRest)
		}
		if !c.conn.broken.Load() && idleTime <= idleTimeout {
			return false
		}
		p.closeLocked(c)
		return true
	})
}

// removeIdle removes and returns idle connection i. The caller holds p.mu.
func (p *pool) removeIdle(i int) *connection {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

// closeLocked closes a connection that is in use or that the caller removes from
// idle. The caller holds p.mu.
func (p *pool) closeLocked(c *connection) {
	p.open--
	c.apply(charts.ConnectionClose)
	c.close()
}

// reserve counts a new connection and reports true, unless limit connections
// are in use. At the limit, the least recently used idle connection is closed
// in exchange.
func (p *pool) reserve(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= limit && len(p.idle) > 0 {
		p.closeLocked(p.removeIdle(0))
	}
	if p.open >= limit {
		return false
	}
	p.open++
	return true
}

// unreserve undoes reserve for a connection that could not be dialled.
func (p *pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// release returns a connection to the pool after a complete response.
func (p *pool) release(c *connection, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.state == charts.ConnectionSuspect {
		p.probing = false
	}
	c.apply(charts.ConnectionAnswer)
	c.lastResponse = now
	c.reused = true
	p.idle = append(p.idle, c)
}

// discard closes a connection whose request got no complete response.
func (p *pool) discard(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.state == charts.ConnectionSuspect {
		p.probing = false
	}
	p.closeLocked(c)
}

// discardStalled closes a connection that stalled. Idle connections without a
// response since its request was sent become suspect; if the connection was
// suspect itself, the other suspect ones are closed as well.
func (p *pool) discardStalled(c *connection, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probe := c.state == charts.ConnectionSuspect
	if probe {
		p.probing = false
	}
	c.apply(charts.ConnectionStall)
	p.open--
	c.close()
	p.idle = slices.DeleteFunc(p.idle, func(other *connection) bool {
		if other.state == charts.ConnectionProven && !other.lastResponse.After(sent) {
			other.apply(charts.ConnectionDoubt)
		}
		if !probe || other.state != charts.ConnectionSuspect {
			return false
		}
		p.closeLocked(other)
		return true
	})
}

// prune closes stale idle connections, or all idle ones if the target is not
// listed any more, and returns the number of connections left open.
func (p *pool) prune(now time.Time, listed bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeStale(now)
	if !listed {
		for _, c := range p.idle {
			p.closeLocked(c)
		}
		p.idle = nil
	}
	return p.open
}
