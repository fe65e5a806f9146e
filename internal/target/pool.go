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
	idle []*connection // the last answered is at the end
	// open counts the connections, idle or in use, and those being opened.
	open int
	// probing is set while a request tries a suspect connection.
	probing bool
}

// reuse takes an idle connection: the proven one that answered last, or else a
// suspect one, of which only one is tried at a time. It returns nil when a new
// connection is needed.
func (p *pool) reuse(now time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	suspect := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if !c.conn.quiet() {
			continue
		}
		if c.state == charts.ConnectionProven {
			return p.takeAt(i)
		}
		if suspect < 0 {
			suspect = i
		}
	}
	if suspect < 0 || p.probing {
		return nil
	}
	p.probing = true
	return p.takeAt(suspect)
}

// sweep closes connections that broke and suspects those that rested too long.
func (p *pool) sweep(now time.Time) {
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		rested := now.Sub(c.answered)
		if rested > maxRest && c.state == charts.ConnectionProven {
			c.apply(charts.ConnectionRest)
		}
		if !c.conn.broken.Load() && rested <= idleTimeout {
			return false
		}
		p.end(c)
		return true
	})
}

func (p *pool) takeAt(i int) *connection {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

// end closes a connection that is not idle any more. The lock must be held.
func (p *pool) end(c *connection) {
	p.open--
	c.apply(charts.ConnectionClose)
	c.close()
}

// room reserves a new connection within the limit; the idle connection that
// answered first makes way if need be.
func (p *pool) room(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= limit && len(p.idle) > 0 {
		p.end(p.takeAt(0))
	}
	if p.open >= limit {
		return false
	}
	p.open++
	return true
}

// giveBack returns the reservation of a connection that could not be opened.
func (p *pool) giveBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// answered takes a connection back after a complete answer.
func (p *pool) answered(c *connection, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.state == charts.ConnectionSuspect {
		p.probing = false
	}
	c.apply(charts.ConnectionAnswer)
	c.answered = now
	c.reused = true
	p.idle = append(p.idle, c)
}

// failed closes a connection after a request that got no complete answer.
func (p *pool) failed(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.state == charts.ConnectionSuspect {
		p.probing = false
	}
	p.end(c)
}

// stalled closes a connection that fell silent. Idle connections that have
// not answered since its request was sent become suspect; if it was suspect
// itself, the other suspects are closed.
func (p *pool) stalled(c *connection, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probe := c.state == charts.ConnectionSuspect
	if probe {
		p.probing = false
	}
	c.apply(charts.ConnectionStall)
	p.open--
	c.close()
	p.idle = slices.DeleteFunc(p.idle, func(sibling *connection) bool {
		if sibling.state == charts.ConnectionProven && !sibling.answered.After(sent) {
			sibling.apply(charts.ConnectionDoubt)
		}
		if !probe || sibling.state != charts.ConnectionSuspect {
			return false
		}
		p.end(sibling)
		return true
	})
}

// tidy sweeps the idle connections, or closes them all unless the target is
// listed, and returns the number that are open.
func (p *pool) tidy(now time.Time, listed bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	if !listed {
		for _, c := range p.idle {
			p.end(c)
		}
		p.idle = nil
	}
	return p.open
}
