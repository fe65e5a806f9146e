package gate

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bambooyard/bambooyard/intake"
	"github.com/bambooyard/bambooyard/verdict"
)

const (
	// headerFieldBytes is about what the HTTP server takes for a header field beside its text.
	headerFieldBytes = 150
	// bufferBytes is the size of the HTTP server's buffers. What is read into them may belong to the
	// next request.
	bufferBytes = 4 << 10
	// writeTimeout is how long one write may take: a client that does not read its responses must not
	// hold them.
	writeTimeout = 10 * time.Second
	// lingerTime and lingerBytes bound what is read of a refused request after its response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// retryAfter is the Retry-After of requests that are refused for lack of room. It leaves time to
	// send the requests that have room.
	retryAfter = time.Second
)

// conn is a connection that a Gate counts.
type conn struct {
	net.Conn
	gate    *Gate
	counted *intake.Conn
	// listener is the name of the listener that has accepted the connection.
	listener string

	// carriesHTTP is set if what is received are requests of HTTP. The user of another connection
	// says what it holds.
	carriesHTTP atomic.Bool
	// unread is set when the rest of a request is not read. It is used by the request's goroutine.
	unread bool

	// These fields are guarded by gate.mu.

	// held is what a connection that does not carry HTTP holds, in bytes.
	held int64

	// inRequest is set from the end of a request's header until the response is sent.
	inRequest bool
	// header is what the header of the request being received takes, in bytes.
	header int64
	// buffered is what the bytes that were read into a buffer last take if they are the header of the
	// next request.
	buffered int64
	// ownDeadline is set while the server has set a deadline for writes.
	ownDeadline bool
}

// Read implements net.Conn. It fails, and closes the connection, if there is no room for what it has
// read as the header of a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.carriesHTTP.Load() && !c.received(p[:n]) {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// received counts received bytes. It reports false if there is no room for them.
func (c *conn) received(data []byte) bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	cost := 2*int64(len(data)) + headerFieldBytes*int64(bytes.Count(data, []byte{'\n'}))
	if c.inRequest {
		if len(data) <= bufferBytes {
			c.buffered = max(c.buffered, cost)
		}
		return true
	}
	if c.counted.Phase() == intake.Waiting {
		c.header = c.buffered
	}
	c.buffered = cost
	c.header += cost
	g.ledger.Receive(c.counted, int64(len(data)), g.now())
	return g.hold(c, c.header)
}

// hold sets what the process holds for c. It reports false if there is no room, or if c is closed or
// interrupted already. The caller must hold g.mu.
func (g *Gate) hold(c *conn, held int64) bool {
	if _, open := g.conns[c.counted]; !open || c.counted.Interrupted() {
		return false
	}
	interrupted, ok := g.ledger.Hold(c.counted, held, g.now())
	for _, victim := range interrupted {
		g.conns[victim].interrupt()
	}
	if !ok {
		g.report(refusedForMemory, c.listener)
	}
	return ok
}

// interrupt ends what the connection receives: the pending read fails. The caller must hold g.mu.
func (c *conn) interrupt() {
	c.gate.report(interruptedRequest, c.listener)
	_ = c.Conn.SetReadDeadline(longAgo)
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// SetReadDeadline implements net.Conn. The deadline of an interrupted connection does not change.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.counted.Interrupted() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.gate.mu.Lock()
	own := c.ownDeadline
	c.gate.mu.Unlock()
	if !own {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.gate.mu.Lock()
	c.ownDeadline = !t.IsZero()
	c.gate.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite lets the HTTP server send the end of its data before it closes the connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.gate.mu.Lock()
	c.gate.ledger.Close(c.counted)
	delete(c.gate.conns, c.counted)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// beginRequest is called when the header of a request has been received. It reports false if there
// are too many requests in progress.
func (c *conn) beginRequest() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.inRequest = true
	return c.process()
}

// process begins to process the request. It reports false if there are too many in progress. The
// caller must hold gate.mu.
func (c *conn) process() bool {
	ok := c.gate.ledger.Enter(c.counted, intake.Processing, c.gate.now())
	if !ok {
		c.gate.report(refusedRequest, c.listener)
	}
	return ok
}

// endRequest is called when the request has been processed.
func (c *conn) endRequest() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.Enter(c.counted, intake.Responding, c.gate.now())
}

// waitForRequest is called when the response has been sent. The bytes that have been read last may be
// a part of the next request.
func (c *conn) waitForRequest() {
	g := c.gate
	g.mu.Lock()
	g.ledger.Enter(c.counted, intake.Waiting, g.now())
	c.inRequest, c.header = false, 0
	g.ledger.Hold(c.counted, 0, g.now())
	ok := g.hold(c, c.buffered)
	g.mu.Unlock()
	if !ok {
		_ = c.Close()
	}
}

// Hold adds to what a connection that does not carry HTTP holds, in bytes. It reports false if there is
// no room; then nothing is added.
func (c *conn) Hold(bytes int64) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.gate.hold(c, c.held+bytes) {
		return false
	}
	c.held += bytes
	return true
}

// Used tells that a complete message has been received on a connection that does not carry HTTP.
// Connections without one make way first.
func (c *conn) Used() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.gate.ledger.Enter(c.counted, intake.Processing, c.gate.now()) {
		c.gate.ledger.Enter(c.counted, intake.Waiting, c.gate.now())
	}
}

// refuse answers a request that is not begun. It leaves the rest of the request unread.
func (c *conn) refuse(w http.ResponseWriter) {
	c.stopReading(w)
	writeError(w, busy("too many requests are in progress"))
}

// writeError writes an error response that has the names of the servers' own errors.
func writeError(w http.ResponseWriter, e *verdict.RequestError) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds()))
	}
	w.Header().Set(verdict.Header, e.Verdict.String())
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(map[string]string{
		"code": string(e.Code), "error": e.Message, "message": e.Message, "verdict": e.Verdict.String(),
	})
}

// stopReading closes the connection after the response.
func (c *conn) stopReading(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	c.unread = true
}

// linger sends the response of a request whose body has not been read, and discards what still comes
// for a while: a connection that is closed with bytes that have not been read is reset, and the client
// may lose the response.
func (c *conn) linger(w http.ResponseWriter, r *http.Request) {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, r.Body, lingerBytes)
	_ = c.Conn.SetReadDeadline(longAgo) // the server must not wait for the rest
}

// busy returns the error for a request that there is no room for, and why.
func busy(reason string) *verdict.RequestError {
	return verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, retryAfter, "%s", reason)
}
