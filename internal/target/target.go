// Package target sends quick requests to runners over HTTP/1.1 and says, for
// every failure, whether the request may have run.
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
	maxRest        = 5 * time.Second // after which an idle connection is suspect
	maxHeaderBytes = 64 << 10
	// defaultConnections is the limit for a request that names none.
	defaultConnections = 64
	retryAfterNoTarget = time.Second
	maxPause           = 30 * time.Second
	// pacedReadBuffer bounds what the kernel takes in ahead of a Pacer.
	pacedReadBuffer = 64 << 10
)

// HeaderTarget is the answer header by which a target says that it leaves:
// its value is then "leaving".
const HeaderTarget = "Bambooyard-Target"

// leavingValue is the value of HeaderTarget that says the target leaves.
const leavingValue = "leaving"

// HeaderAttempt is the request header that is different for every try. A
// target that repeats it in its answer proves whose answer it is.
const HeaderAttempt = "Bambooyard-Attempt-Id"

// Request is a quick request as it goes to a target.
type Request struct {
	Method string
	// Path is the escaped path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// Connections bounds the open connections to the target; zero is the
	// limit of a target that only this daemon uses.
	Connections int
	// StallTimeout is how long an answer on a reused connection may take to begin
	// before a repeatable request moves to a new connection; zero is no limit.
	StallTimeout time.Duration
	// Retry is asked before a request that may have run is sent again; nil
	// forbids it.
	Retry func() bool
	// Pacer keeps the bytes within a budget; nil is no budget.
	Pacer Pacer
}

// Pacer holds back bytes that would exceed a budget.
type Pacer interface {
	// BeforeWrite waits up to a short while and reports whether n bytes may be
	// sent, which are then spent. n is at most PieceBytes.
	BeforeWrite(n int) bool
	// BeforeRead waits up to a short while and reports whether more may be read.
	BeforeRead() bool
	// AfterRead counts bytes that were read.
	AfterRead(n int)
}

// ChunkBytes is the largest piece that a Pacer is asked for.
const ChunkBytes = link.ChunkBytes

// Response is a target's answer. Its body must be closed; reading it to its end
// proves it complete.
type Response struct {
	*http.Response
	// Leaving is set when the target said that it leaves.
	Leaving bool
	// RetryAfter is how long the target asked to be left alone.
	RetryAfter time.Duration
	body       *body
}

// Bytes returns the bytes sent and received for the request so far, headers
// included.
func (a *Response) Bytes() (sent, received int64) { return a.body.bytes() }

// RefusedError reports a request that the target refused by its protocol. It
// is wrapped in a *verdict.RequestError whose verdict is NotRun.
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
	prefix   string // of the attempts' IDs
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
// request whose reused connection fails is sent once more on a new connection,
// if the retry budget allows. The error is a *verdict.RequestError whose
// verdict is NotRun only when no byte of the request was written or the target
// refused it.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	if r.Connections <= 0 {
		r.Connections = defaultConnections
	}
	p := c.pool(address)
	first := verdict.NotRun
	if r.Repeatable {
		if conn := p.reuse(c.opts.Now()); conn != nil {
			answer, err := c.exchange(ctx, p, conn, address, r)
			if err == nil || ctx.Err() != nil || !mayMove(r, err) {
				return answer, err
			}
			first = verdict.Of(err)
		}
	}
	// A request that must not be repeated always gets a new connection, whose
	// handshake has just shown that both ends know of it.
	conn, err := c.dial(ctx, p, address, r)
	if err != nil {
		return nil, after(first, err)
	}
	answer, err := c.exchange(ctx, p, conn, address, r)
	return answer, after(first, err)
}

// after returns the error of a second try with the verdict of both.
func after(first verdict.Verdict, err error) error {
	var e *verdict.RequestError
	if first != verdict.NotRun && errors.As(err, &e) {
		e.Verdict = first
	}
	return err
}

// mayMove reports whether a repeatable request may be sent again.
func mayMove(r Request, err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return false
	}
	return verdict.Of(err) == verdict.NotRun || (r.Retry != nil && r.Retry())
}

// Sweep closes idle connections that broke or rested too long, and all idle
// ones to targets that are not listed.
func (c *Client) Sweep(listed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	for address, p := range c.pools {
		if open := p.tidy(now, listed[address]); open == 0 && !listed[address] {
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
	if !p.room(r.Connections) {
		return nil, verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, retryAfterNoTarget,
			"target %s: all %d connections are in use", address, r.Connections)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.giveBack()
		return nil, failure(ctx, verdict.NotRun, address, err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok && r.Pacer != nil {
		_ = tcp.SetReadBuffer(pacedReadBuffer)
	}
	return newConnection(conn, r.Pacer, c.opts.Now()), nil
}

func failure(ctx context.Context, v verdict.Verdict, address string, err error) error {
	e := &verdict.RequestError{
		Code:       verdict.CodeTargetFailed,
		Message:    "target " + address + " gave no answer",
		Verdict:    v,
		Status:     http.StatusBadGateway,
		RetryAfter: retryAfterNoTarget,
		Err:        err,
	}
	if ctx.Err() != nil {
		e.Code, e.Status = verdict.CodeDeadlineExceeded, http.StatusGatewayTimeout
	}
	return e
}

// ReadAll reads an answer's body of up to limit bytes. It reports whether the
// body ended within the limit; an incomplete body is an error.
func ReadAll(body io.Reader, limit int64) (data []byte, complete bool, err error) {
	data, err = io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, false, err
	}
	return data, int64(len(data)) <= limit, nil
}

// parsePause reads a Retry-After header in seconds.
func parsePause(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxPause)
}
