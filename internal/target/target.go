// Package target sends latency-critical requests to runners over HTTP/1.1 and
// reports, for every failure, whether the request may have run.
package target

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooyard/bambooyard/link"
	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of connections to targets.
const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	suspectAfter   = 5 * time.Second // idle time after which a connection is suspect
	maxHeaderBytes = 64 << 10
	// defaultConnections bounds the open connections to a target if the request
	// sets no limit.
	defaultConnections = 64
	defaultRetryAfter  = time.Second
	maxRetryAfter      = 30 * time.Second
	// pacedReadBuffer bounds the bytes that the kernel receives ahead of a Pacer.
	pacedReadBuffer = 64 << 10
)

// HeaderTarget is the response header in which a target announces that it is
// leaving: its value is then "leaving".
const HeaderTarget = "Bambooyard-Target"

// leavingValue is the value of HeaderTarget for a target that is leaving.
const leavingValue = "leaving"

// HeaderAttempt is the request header with an ID that is unique to each attempt.
// A target that echoes it lets the client reject a response to another request.
const HeaderAttempt = "Bambooyard-Attempt-Id"

// Request is a latency-critical request to a target.
type Request struct {
	Method string
	// Path is the escaped path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Connections bounds the open connections to the target; zero means
	// defaultConnections.
	Connections int
	// StallTimeout bounds the wait for the response headers on a reused
	// connection, after which a repeatable request is resent on a new
	// connection; zero means no limit.
	StallTimeout time.Duration
	// Retry reports whether the retry budget allows a request that may have run
	// to be resent; nil forbids it.
	Retry func() bool
	// Pacer limits the rate of the bytes sent and received; nil means no limit.
	Pacer Pacer
}

// Pacer delays bytes that would exceed a rate limit. BeforeWrite and BeforeRead
// are called again until they report true or the connection is closed, so each
// call waits only briefly.
type Pacer interface {
	// BeforeWrite reports whether n bytes, at most ChunkBytes, may be sent; they
	// are then charged to the budget.
	BeforeWrite(n int) bool
	// BeforeRead reports whether more bytes may be read.
	BeforeRead() bool
	// AfterRead charges n bytes that were read to the budget.
	AfterRead(n int)
}

// ChunkBytes bounds the bytes of a single read or write that a Pacer limits.
const ChunkBytes = link.ChunkBytes

// Response is a target's response. Its body must be closed; it is complete once
// a read returns io.EOF.
type Response struct {
	*http.Response
	// Leaving is set if the target announced that it is leaving.
	Leaving bool
	// RetryAfter is how long the target asks to receive no requests; zero if it
	// does not ask.
	RetryAfter time.Duration
	body       *responseBody
}

// Bytes returns the bytes sent and received for the request so far, headers
// included.
func (r *Response) Bytes() (sent, received int64) { return r.body.byteCounts() }

// RefusedError reports a request that the target refused with status 503 and a
// verdict of not-run. It is wrapped in a *verdict.RequestError whose verdict is
// NotRun.
type RefusedError struct {
	Address    string
	Leaving    bool
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "target " + e.Address + " refused the request" }

// Options are the settings of a Client.
type Options struct {
	Now func() time.Time
	// AfterFunc runs a function later unless stopped, as time.AfterFunc does.
	AfterFunc func(d time.Duration, fn func()) (stop func() bool)
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	opts     Options
	prefix   string // of the attempt IDs, unique to this client
	attempts atomic.Uint64
	mu       sync.Mutex
	pools    map[string]*pool
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	return &Client{opts: o, prefix: rand.Text() + "-", pools: map[string]*pool{}}
}

// SystemClock returns options that use the system's clock.
func SystemClock() Options {
	return Options{
		Now: time.Now,
		AfterFunc: func(d time.Duration, fn func()) func() bool {
			return time.AfterFunc(d, fn).Stop
		},
	}
}

// Do sends a request to the target at an IP address and port. A repeatable
// request whose reused connection fails is resent once on a new connection; if
// it may have run, the retry budget must allow that. The error is a
// *verdict.RequestError whose verdict is NotRun only if no byte of the request
// was written or the target refused it.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	if r.Connections <= 0 {
		r.Connections = defaultConnections
	}
	p := c.pool(address)
	first := verdict.NotRun
	if r.Repeatable {
		if conn := p.takeIdle(c.opts.Now()); conn != nil {
			resp, err := c.exchange(ctx, p, conn, address, r)
			if err == nil || ctx.Err() != nil || !mayResend(r, err) {
				return resp, err
			}
			first = verdict.Of(err)
		}
	}
	// A request that must not be repeated always gets a new connection: the
	// handshake proves that the target is reachable, whereas a reused connection
	// may be half-open.
	conn, err := c.dial(ctx, p, address, r)
	if err != nil {
		return nil, withFirstVerdict(first, err)
	}
	resp, err := c.exchange(ctx, p, conn, address, r)
	return resp, withFirstVerdict(first, err)
}

// withFirstVerdict returns the error of the second attempt with the verdict for
// both attempts: NotRun only if neither may have run.
func withFirstVerdict(first verdict.Verdict, err error) error {
	var e *verdict.RequestError
	if first != verdict.NotRun && errors.As(err, &e) {
		e.Verdict = first
	}
	return err
}

// mayResend reports whether a repeatable request may be resent after err. A
// request that may have run needs the retry budget.
func mayResend(r Request, err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return false
	}
	return verdict.Of(err) == verdict.NotRun || (r.Retry != nil && r.Retry())
}

// PruneIdle closes idle connections that are broken or stale, and all idle ones to
// targets whose address is not listed.
func (c *Client) PruneIdle(listed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	for address, p := range c.pools {
		if open := p.prune(now, listed[address]); open == 0 && !listed[address] {
			delete(c.pools, address)
		}
	}
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

func (c *Client) dial(ctx context.Context, p *pool, address string, r Request) (*connection, error) {
	if !p.reserve(r.Connections) {
		return nil, verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, defaultRetryAfter,
			"target %s: all %d connections are in use", address, r.Connections)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.unreserve()
		return nil, requestError(ctx, verdict.NotRun, address, err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok && r.Pacer != nil {
		_ = tcp.SetReadBuffer(pacedReadBuffer)
	}
	return newConnection(conn, r.Pacer, c.opts.Now()), nil
}

// requestError wraps the cause of a failed attempt. The code is
// CodeDeadlineExceeded if ctx has ended, CodeTargetFailed otherwise.
func requestError(ctx context.Context, v verdict.Verdict, address string, err error) error {
	e := &verdict.RequestError{
		Code:       verdict.CodeTargetFailed,
		Message:    "target " + address + " gave no answer",
		Verdict:    v,
		Status:     http.StatusBadGateway,
		RetryAfter: defaultRetryAfter,
		Err:        err,
	}
	if ctx.Err() != nil {
		e.Code, e.Status = verdict.CodeDeadlineExceeded, http.StatusGatewayTimeout
	}
	return e
}

// ReadAll reads a response body of up to limit bytes. It reports whether the
// body ended within the limit; a truncated body is an error.
func ReadAll(body io.Reader, limit int64) (data []byte, complete bool, err error) {
	data, err = io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, false, err
	}
	return data, int64(len(data)) <= limit, nil
}

// parseRetryAfter returns a Retry-After header in seconds, at most maxRetryAfter,
// or zero if the header is absent or not a positive number.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
