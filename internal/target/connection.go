package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
)

// errSealed reports a write on a connection that has been given up.
var errSealed = errors.New("the connection has been given up")

// errSpent reports that a transport asked for a second connection.
var errSpent = errors.New("the connection has ended")

// connection is one open connection to a target with a transport of its own.
// The transport cannot open another, so that net/http never repeats a request
// by itself.
type connection struct {
	conn      *countedConn
	transport *http.Transport
	// state is a state of the connection chart; the pool's lock guards it.
	state chart.State
	// answered is when the last answer ended; the pool's lock guards it.
	answered time.Time
	// reused is set once a request has been answered.
	reused bool
}

func newConnection(conn net.Conn, pacer Pacer, now time.Time) *connection {
	c := &connection{
		conn:     &countedConn{Conn: conn, pacer: pacer},
		state:    charts.Connection.Initial(),
		answered: now,
	}
	var used atomic.Bool
	c.transport = &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, errSpent
			}
			return c.conn, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return c
}

// apply fires an event of the connection chart, if the state accepts it.
func (c *connection) apply(e chart.Event) {
	if next, err := charts.Connection.Next(c.state, e); err == nil {
		c.state = next
	}
}

// close ends the connection; no byte leaves on it afterwards.
func (c *connection) close() {
	c.conn.seal()
	_ = c.conn.Close()
	c.transport.CloseIdleConnections()
}

// countedConn counts the bytes of a connection and tells whether it is idle
// with nothing left to read.
type countedConn struct {
	net.Conn
	pacer   Pacer // nil when there is no budget
	mu      sync.Mutex
	sealed  bool
	written int64
	read    atomic.Int64
	// waiting is set while the reader waits for bytes, so that every earlier
	// byte belongs to an answer that has ended.
	waiting atomic.Bool
	broken  atomic.Bool
	// unsent is set from when a request takes the connection until its first
	// byte is written; stray is set by bytes that arrive in between.
	unsent, stray bool
}

// Write implements net.Conn. Bytes count as written before they leave.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.pacer == nil {
		return c.writePiece(p)
	}
	sent := 0
	for sent < len(p) {
		piece := p[sent:min(len(p), sent+ChunkBytes)]
		for !c.pacer.BeforeWrite(len(piece)) {
			if c.isSealed() {
				return sent, errSealed
			}
		}
		n, err := c.writePiece(piece)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

func (c *countedConn) writePiece(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.unsent = false
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.waiting.Store(true)
	if c.pacer != nil {
		for !c.pacer.BeforeRead() && !c.isSealed() {
			continue
		}
		p = p[:min(len(p), ChunkBytes)]
	}
	n, err := c.Conn.Read(p)
	c.waiting.Store(false)
	c.read.Add(int64(n))
	c.mu.Lock()
	c.stray = c.stray || (n > 0 && c.unsent)
	c.mu.Unlock()
	if c.pacer != nil {
		c.pacer.AfterRead(n)
	}
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

func (c *countedConn) isSealed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sealed
}

// seal lets no further byte leave and returns the number of bytes written.
func (c *countedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// sent returns the number of bytes written so far.
func (c *countedConn) sent() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// expectNothing begins a request: no byte may arrive before one is written.
func (c *countedConn) expectNothing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent = true
}

// early reports whether bytes arrived that no request had asked for.
func (c *countedConn) early() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stray
}

// quiet reports whether the connection is open and nothing is left to read.
func (c *countedConn) quiet() bool { return c.waiting.Load() && !c.broken.Load() }
