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

// errStalled is the cause of a request given up because its reused connection
// stayed silent.
var errStalled = errors.New("the connection fell silent")

// errForeign is the cause of a request given up because an answer to another
// request came in on its connection.
var errForeign = errors.New("the answer belongs to another request")

// exchange sends a request on a connection and waits for the answer to begin.
// The connection goes back to the pool or is closed in every case.
func (c *Client) exchange(ctx context.Context, p *pool, conn *connection, address string, r Request) (*Response, error) {
	before := conn.conn.sent()
	b := &body{client: c, pool: p, conn: conn, sentBefore: before, readBefore: conn.conn.read.Load()}
	attempt, cancel := context.WithCancelCause(ctx)
	b.cancel = cancel
	conn.conn.expectNothing()
	sent := c.now()
	id := c.prefix + strconv.FormatUint(c.attempts.Add(1), 36)
	req, err := newHTTPRequest(attempt, address, id, r)
	if err != nil {
		p.failed(conn)
		cancel(nil)
		return nil, verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0, "path %q cannot be sent", r.Path)
	}
	stop := c.watch(conn, r, cancel)
	resp, err := conn.transport.RoundTrip(req)
	stop()
	if err == nil && foreign(resp, conn, id) {
		_ = resp.Body.Close()
		err = errForeign
	}
	if err != nil {
		v := verdict.MayHaveRun
		if conn.conn.seal() == before {
			v = verdict.NotRun
		}
		if errors.Is(context.Cause(attempt), errStalled) {
			p.stalled(conn, sent)
		} else {
			p.failed(conn)
		}
		cancel(nil)
		return nil, failure(ctx, v, address, err)
	}
	b.ReadCloser = resp.Body
	b.keep = !resp.Close
	resp.Body = b
	return c.judge(&Response{Response: resp, body: b}, address)
}

// watch gives up a request on a reused connection that stays silent.
func (c *Client) watch(conn *connection, r Request, cancel context.CancelCauseFunc) (stop func()) {
	if !conn.reused || r.StallTimeout <= 0 {
		return func() {}
	}
	halt := c.opts.AfterFunc(r.StallTimeout, func() { cancel(errStalled) })
	return func() { halt() }
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

// foreign reports whether an answer is known to belong to another request: it
// names another attempt, or began to arrive before this one was sent.
func foreign(resp *http.Response, conn *connection, id string) bool {
	named := resp.Header.Get(HeaderAttempt)
	return (named != "" && named != id) || conn.conn.early()
}

// judge reads the target's own word about itself off an answer's header.
func (c *Client) judge(a *Response, address string) (*Response, error) {
	a.Leaving = a.Header.Get(HeaderTarget) == leavingValue
	if a.StatusCode != http.StatusServiceUnavailable {
		return a, nil
	}
	a.RetryAfter = parsePause(a.Header)
	if verdict.Parse(a.Header.Get(verdict.Header)) != verdict.NotRun {
		return a, nil
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxHeaderBytes))
	_ = a.Body.Close()
	e := verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, max(a.RetryAfter, retryAfterNoTarget), "target %s refused the request", address)
	e.Err = &RefusedError{Address: address, Leaving: a.Leaving, RetryAfter: a.RetryAfter}
	return nil, e
}

// body is an answer's body, which gives the connection back once it has been
// read to its end.
type body struct {
	io.ReadCloser
	client                 *Client
	pool                   *pool
	conn                   *connection
	cancel                 context.CancelCauseFunc
	keep                   bool
	sentBefore, readBefore int64

	once sync.Once
	// sent and received are set once the exchange has ended.
	mu             sync.Mutex
	ended          bool
	sent, received int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end ends the
// connection, so that the rest cannot reach another request.
func (b *body) Close() error {
	b.finish(b.ReadCloser == http.NoBody)
	return b.ReadCloser.Close()
}

// finish gives the connection back or closes it, once.
func (b *body) finish(complete bool) {
	b.once.Do(func() {
		b.mu.Lock()
		b.sent, b.received = b.count()
		b.ended = true
		b.mu.Unlock()
		if complete && b.keep {
			b.pool.answered(b.conn, b.client.now())
		} else {
			b.pool.failed(b.conn)
		}
		b.cancel(nil)
	})
}

func (b *body) count() (sent, received int64) {
	return b.conn.conn.sent() - b.sentBefore, b.conn.conn.read.Load() - b.readBefore
}

func (b *body) bytes() (sent, received int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return b.sent, b.received
	}
	return b.count()
}

func (c *Client) now() time.Time { return c.opts.Now() }
