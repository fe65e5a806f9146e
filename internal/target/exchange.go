package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/verdict"
)

// errConnStalled is the cause of the cancellation of a request whose reused
// connection delivered no response within the stall timeout.
var errConnStalled = errors.New("no response within the stall timeout")

// errUnrelatedResponse reports a response that belongs to another request.
var errUnrelatedResponse = errors.New("response belongs to another request")

// exchange sends a request on a connection and waits for the response headers.
// It owns the connection: the connection is discarded on an error, and released
// to the pool or discarded once the response body ends.
func (c *Client) exchange(ctx context.Context, p *pool, conn *connection, address string, r Request) (*Response, error) {
	before := conn.conn.totalWritten()
	b := &responseBody{client: c, pool: p, conn: conn, writtenBefore: before, readBefore: conn.conn.bytesRead.Load()}
	attempt, cancel := context.WithCancelCause(ctx)
	b.cancel = cancel
	conn.conn.beginRequest()
	sent := c.now()
	id := c.prefix + strconv.FormatUint(c.attempts.Add(1), 36)
	req, err := newHTTPRequest(attempt, address, id, r)
	if err != nil {
		p.discard(conn)
		cancel(nil)
		return nil, verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0, "path %q cannot be sent", r.Path)
	}
	stopStallTimer := c.startStallTimer(conn, r, cancel)
	resp, err := conn.transport.RoundTrip(req)
	stopStallTimer()
	if err == nil && isUnrelated(resp, conn, id) {
		_ = resp.Body.Close()
		err = errUnrelatedResponse
	}
	if err != nil {
		v := verdict.MayHaveRun
		if conn.conn.stopWrites() == before {
			v = verdict.NotRun
		}
		if errors.Is(context.Cause(attempt), errConnStalled) {
			p.discardStalled(conn, sent)
		} else {
			p.discard(conn)
		}
		cancel(nil)
		return nil, requestError(ctx, v, address, err)
	}
	b.ReadCloser = resp.Body
	b.keepAlive = !resp.Close
	resp.Body = b
	return c.checkResponse(&Response{Response: resp, body: b}, address)
}

// startStallTimer cancels a request on a reused connection with errConnStalled
// after the request's stall timeout. The returned function stops the timer.
func (c *Client) startStallTimer(conn *connection, r Request, cancel context.CancelCauseFunc) (stop func()) {
	if !conn.reused || r.StallTimeout <= 0 {
		return func() {}
	}
	stopTimer := c.opts.AfterFunc(r.StallTimeout, func() { cancel(errConnStalled) })
	return func() { stopTimer() }
}

func newHTTPRequest(ctx context.Context, address, id string, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(HeaderAttempt, id)
	return req, nil
}

// isUnrelated reports whether a response is known to belong to another request:
// it names another attempt, or its bytes arrived before this one was sent.
func isUnrelated(resp *http.Response, conn *connection, id string) bool {
	attempt := resp.Header.Get(HeaderAttempt)
	return (attempt != "" && attempt != id) || conn.conn.gotUnsolicited()
}

// checkResponse sets Leaving and RetryAfter from the response headers. A 503
// with a verdict of not-run is a refusal: its body is closed and an error that
// wraps a *RefusedError is returned.
func (c *Client) checkResponse(resp *Response, address string) (*Response, error) {
	resp.Leaving = resp.Header.Get(HeaderTarget) == leavingValue
	if resp.StatusCode != http.StatusServiceUnavailable {
		return resp, nil
	}
	resp.RetryAfter = parseRetryAfter(resp.Header)
	if verdict.Parse(resp.Header.Get(verdict.Header)) != verdict.NotRun {
		return resp, nil
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeaderBytes))
	_ = resp.Body.Close()
	e := verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, max(resp.RetryAfter, defaultRetryAfter), "target %s refused the request", address)
	e.Err = &RefusedError{Address: address, Leaving: resp.Leaving, RetryAfter: resp.RetryAfter}
	return nil, e
}

// responseBody is the body of a response. It releases the connection to the
// pool once it has been read to its end. It may be closed by another goroutine
// than the one that reads.
type responseBody struct {
	io.ReadCloser
	client                    *Client
	pool                      *pool
	conn                      *connection
	cancel                    context.CancelCauseFunc
	keepAlive                 bool
	writtenBefore, readBefore int64

	once sync.Once
	// mu guards the fields below; sent and received are valid once ended is set.
	mu             sync.Mutex
	ended          bool
	sent, received int64
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer. It closes the connection if the body was not read
// to its end, so that the rest cannot be taken for another request's response.
func (b *responseBody) Close() error {
	b.finish(b.ReadCloser == http.NoBody)
	return b.ReadCloser.Close()
}

// finish releases or discards the connection; calls after the first do nothing.
func (b *responseBody) finish(complete bool) {
	b.once.Do(func() {
		b.mu.Lock()
		b.sent, b.received = b.bytesSoFar()
		b.ended = true
		b.mu.Unlock()
		if complete && b.keepAlive {
			b.pool.release(b.conn, b.client.now())
		} else {
			b.pool.discard(b.conn)
		}
		b.cancel(nil)
	})
}

// bytesSoFar returns the bytes of the connection since the request began. It
// must not be called after the connection was released.
func (b *responseBody) bytesSoFar() (sent, received int64) {
	return b.conn.conn.totalWritten() - b.writtenBefore, b.conn.conn.bytesRead.Load() - b.readBefore
}

// byteCounts returns the bytes of the request and its response so far.
func (b *responseBody) byteCounts() (sent, received int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return b.sent, b.received
	}
	return b.bytesSoFar()
}

func (c *Client) now() time.Time { return c.opts.Now() }
