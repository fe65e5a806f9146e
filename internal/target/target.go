// Package target sends quick requests to runners over HTTP/1.1 and says, for
// every failure, whether the request may have run.
package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of connections to targets.
const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxHeaderBytes     = 64 << 10
	retryAfterNoTarget = time.Second
)

// Request is a quick request as it goes to a target.
type Request struct {
	Method string
	// Path is the escaped path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable is set when the request may run more than once.
	Repeatable bool
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	pooled http.RoundTripper
	fresh  http.RoundTripper
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		pooled: newTransport(false),
		// A request that must not be repeated gets a connection of its own:
		// net/http repeats requests by itself when a reused connection breaks.
		fresh: newTransport(true),
	}
}

func newTransport(disableKeepAlives bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    64,
		MaxConnsPerHost:        64,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Do sends a request to the target at an IP address and port. The answer's
// body must be closed. The error is a *verdict.RequestError whose verdict is
// NotRun only when no byte of the request was written.
func (c *Client) Do(ctx context.Context, address string, r Request) (*http.Response, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0, "path %q cannot be sent", r.Path)
	}
	req.Header = r.Header
	transport := c.pooled
	if !r.Repeatable {
		transport = c.fresh
		req.GetBody = nil
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, failure(ctx, written.Load(), address, err)
	}
	return resp, nil
}

func failure(ctx context.Context, written bool, address string, err error) error {
	e := &verdict.RequestError{
		Code:       verdict.CodeTargetFailed,
		Message:    "target " + address + " gave no answer",
		Verdict:    verdict.MayHaveRun,
		Status:     http.StatusBadGateway,
		RetryAfter: retryAfterNoTarget,
		Err:        err,
	}
	if !written {
		e.Verdict = verdict.NotRun
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
