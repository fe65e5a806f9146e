package gate

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/bambooyard/bambooyard/intake"
	"github.com/bambooyard/bambooyard/verdict"
)

// firstBufferBytes is the size of the first buffer for a body. It grows as bytes arrive, so that a
// body takes no memory that is only announced.
const firstBufferBytes = 1 << 10

// smallBodyBytes is the size up to which a body is always processed: with its header, it keeps to the
// allowance of the connection while it is received.
const smallBodyBytes = 4 << 10

// Body is how the body of a request is read.
type Body struct {
	// Limit is the greatest size in bytes.
	Limit int64
	// Deadline is when the client stops waiting for its response; zero if that is not known.
	Deadline time.Time
	// Factor is how often the request holds its body while it is processed; zero means once.
	Factor int64
}

// ReadBody reads the whole body of a request. The process holds the body until the request ends. The
// error is a *verdict.RequestError with the verdict NotRun; then the connection is closed after the
// response, and the rest of the body is not read.
func (g *Gate) ReadBody(w http.ResponseWriter, r *http.Request, b Body) ([]byte, error) {
	c := connOf(r)
	if c == nil {
		c = &conn{}
	}
	body, err := c.readBody(w, r, b)
	if err != nil {
		c.stopReading(w)
		return nil, err
	}
	return body, nil
}

func (c *conn) readBody(w http.ResponseWriter, r *http.Request, b Body) ([]byte, error) {
	if r.ContentLength > b.Limit {
		return nil, tooLarge(b.Limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if !b.Deadline.IsZero() {
		_ = http.NewResponseController(w).SetReadDeadline(b.Deadline)
	}
	c.receiveBody(0)
	body, err := c.readAll(r, b)
	if err != nil {
		return nil, err
	}
	if !b.Deadline.IsZero() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	if cap(body) > smallBodyBytes && !c.holdBody(c.processingBytes(int64(cap(body)), b.Factor)) {
		return nil, busy("there is no room to process the request")
	}
	if !c.bodyComplete() {
		return nil, busy("too many requests are in progress")
	}
	return body, nil
}

// readAll reads the body into a buffer that grows as far as there is room for it.
func (c *conn) readAll(r *http.Request, b Body) ([]byte, error) {
	buf := make([]byte, 0, firstBufferBytes)
	for {
		if len(buf) == cap(buf) {
			size := min(2*int64(cap(buf)), b.Limit+1)
			if r.ContentLength > 0 { // and one byte more, to see the end without growing again
				size = min(size, r.ContentLength+1)
			}
			if !c.holdBody(size) {
				return nil, busy("there is no room for the rest of the body")
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		c.receiveBody(n)
		switch {
		case int64(len(buf)) > b.Limit:
			return nil, tooLarge(b.Limit)
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, c.bodyError(err)
		}
	}
}

// bodyError returns the error for a body that cannot be read.
func (c *conn) bodyError(err error) error {
	switch {
	case c.interrupted():
		return busy("the body came slowly and made way for others")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Refuse(verdict.CodeDeadlineExceeded, http.StatusServiceUnavailable, retryAfter, "the request's body did not arrive before the deadline")
	}
	return verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0, "the request's body broke off")
}

func tooLarge(limit int64) error {
	return verdict.Refuse(verdict.CodeTooLarge, http.StatusRequestEntityTooLarge, 0, "the request's body is longer than %d bytes", limit)
}

// receiveBody counts received bytes of a body. A request whose body is being received may be
// interrupted.
func (c *conn) receiveBody(n int) {
	if c.gate == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.counted.Interrupted() {
		c.gate.ledger.Enter(c.counted, intake.Receiving, c.gate.now())
		c.gate.ledger.Receive(c.counted, int64(n), c.gate.now())
	}
}

// bodyComplete is called when the whole body has been received. It reports false if there are too
// many requests in progress.
func (c *conn) bodyComplete() bool {
	if c.gate == nil {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.process()
}

// holdBody sets what the process holds for the body, in bytes.
func (c *conn) holdBody(held int64) bool {
	if c.gate == nil {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.hold(c, c.header+held)
}

func (c *conn) processingBytes(body, factor int64) int64 {
	if c.gate == nil {
		return body
	}
	return c.gate.limits[c.listener].ProcessingBytes(body, factor)
}

func (c *conn) interrupted() bool {
	if c.gate == nil {
		return false
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.counted.Interrupted()
}

// Decode calls f, which decodes a request, while few others are being decoded.
func (g *Gate) Decode(f func()) {
	if g != nil {
		g.decoding <- struct{}{}
		defer func() { <-g.decoding }()
	}
	f()
}

// DecodeLarge is like Decode for documents that take much memory while they are decoded.
func (g *Gate) DecodeLarge(f func()) {
	if g != nil {
		g.largeDecoding <- struct{}{}
		defer func() { <-g.largeDecoding }()
	}
	f()
}

// BufferBodies returns a handler that reads the whole body of each request, of at most limit bytes,
// before next gets it.
func (g *Gate) BufferBodies(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := g.ReadBody(w, r, Body{Limit: limit})
		if err != nil {
			writeError(w, verdict.AsRequestError(err, http.StatusBadRequest))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
