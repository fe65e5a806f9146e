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

// errWritesStopped is returned by writes after stopWrites.
var errWritesStopped = errors.New("write on a connection that was closed by the client")

// errSecondDial is returned when a transport dials a second connection.
var errSecondDial = errors.New("transport may not replace its connection")

// connection is an open connection to a target with its own transport. The
// transport cannot dial another connection, so that net/http never resends a
// request by itself.
type connection struct {
	conn      *trackedConn
	transport *http.Transport
	// state is a state of charts.Connection; it is guarded by pool.mu.
	state chart.State
	// lastResponse is when the last response ended, or when the connection was
	// opened; it is guarded by pool.mu.
	lastResponse time.Time
	// reused is set once a request got a complete response.
	reused bool
}

func newConnection(conn net.Conn, pacer Pacer, now time.Time) *connection {
	c := &connection{
		conn:         &trackedConn{Conn: conn, pacer: pacer},
		state:        charts.Connection.Initial(),
		lastResponse: now,
	}
	var dialled atomic.Bool
	c.transport = &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if dialled.Swap(true) {
				return nil, errSecondDial
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

// apply applies an event of charts.Connection; an event that the state does not
// accept is ignored.
func (c *connection) apply(e chart.Event) {
	if next, err := charts.Connection.Next(c.state, e); err == nil {
		c.state = next
	}
}

// close closes the connection; no byte is sent on it afterwards.
func (c *connection) close() {
	c.conn.stopWrites()
	_ = c.conn.Close()
	c.transport.CloseIdleConnections()
}

// trackedConn counts the bytes of a connection, detects bytes that no request
// asked for, and knows whether the connection is idle with nothing left to
// read. Its methods are safe for concurrent use.
type trackedConn struct {
	net.Conn
	pacer         Pacer // nil if the bytes are not limited
	mu            sync.Mutex
	writesStopped bool
	bytesWritten  int64
	bytesRead     atomic.Int64
	// readPending is set while the transport waits for bytes; it then has
	// consumed all bytes of the previous response.
	readPending atomic.Bool
	broken      atomic.Bool
	// awaitingFirstWrite is set from beginRequest until the first byte of the
	// request is written; unsolicited is set by bytes that arrive in between.
	awaitingFirstWrite, unsolicited bool
}

// Write implements net.Conn. Bytes are counted before they are sent, so that a
// request whose bytes may have reached the target is never reported as not run.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.pacer == nil {
		return c.writeChunk(p)
	}
	sent := 0
	for sent < len(p) {
		chunk := p[sent:min(len(p), sent+ChunkBytes)]
		for !c.pacer.BeforeWrite(len(chunk)) {
			if c.stopped() {
				return sent, errWritesStopped
			}
		}
		n, err := c.writeChunk(chunk)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

func (c *trackedConn) writeChunk(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesStopped {
		c.mu.Unlock()
		return 0, errWritesStopped
	}
	c.bytesWritten += int64(len(p))
	c.awaitingFirstWrite = false
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.readPending.Store(true)
	if c.pacer != nil {
		for !c.pacer.BeforeRead() && !c.stopped() {
			continue
		}
		p = p[:min(len(p), ChunkBytes)]
	}
	n, err := c.Conn.Read(p)
	c.readPending.Store(false)
	c.bytesRead.Add(int64(n))
	c.mu.Lock()
	c.unsolicited = c.unsolicited || (n > 0 && c.awaitingFirstWrite)
	c.mu.Unlock()
	if c.pacer != nil {
		c.pacer.AfterRead(n)
	}
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

func (c *trackedConn) stopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writesStopped
}

// stopWrites rejects all further writes and returns the number of bytes written.
func (c *trackedConn) stopWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.bytesWritten
}

// totalWritten returns the number of bytes written to the connection so far.
func (c *trackedConn) totalWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten
}

// beginRequest marks the start of a request: bytes that arrive before the first
// byte of the request is written are unsolicited.
func (c *trackedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingFirstWrite = true
}

// gotUnsolicited reports whether bytes arrived that no request asked for.
func (c *trackedConn) gotUnsolicited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited
}

// reusable reports whether the connection is open with nothing left to read.
func (c *trackedConn) reusable() bool { return c.readPending.Load() && !c.broken.Load() }
