package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of the clients of the platform's HTTP interface.
const (
	callTimeout       = 2 * time.Second
	dialTimeout       = 500 * time.Millisecond
	maxReplyBytes     = 64 << 20
	maxErrorBodyBytes = 4 << 10
	idleConnsPerHost  = 16
)

// Wire types of the platform's HTTP interface. Package fake serves them too.
type (
	// GetRequest is the body of a table read by keys.
	GetRequest struct {
		Keys []string `json:"keys"`
	}
	// ScanRequest is the body of a table read by prefix.
	ScanRequest struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	// RowsReply is the response to a table read.
	RowsReply struct {
		Rows []Row `json:"rows"`
	}
	// CommitReply is the response to a transaction.
	CommitReply struct {
		Version Version `json:"version"`
	}
	// ConflictReply is the body of a 409 response.
	ConflictReply struct {
		Keys []string `json:"keys"`
	}
	// RefusedReply is the body of a worker's 422 response.
	RefusedReply struct {
		Reason string `json:"reason"`
	}
)

// Client is a client of the platform's HTTP interface. It implements Table and
// VMList and is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewHTTPClient returns an HTTP client with the platform's timeouts.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnsPerHost,
			IdleConnTimeout:     time.Minute,
		},
	}
}

// NewClient returns a client of the platform at address, an IP address and port.
func NewClient(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var reply RowsReply
	err := c.post(ctx, "/table/get", GetRequest{Keys: keys}, &reply)
	return reply.Rows, err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var reply RowsReply
	err := c.post(ctx, "/table/scan", ScanRequest{Prefix: prefix, After: after, Limit: limit}, &reply)
	return reply.Rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (Version, error) {
	var reply CommitReply
	err := c.post(ctx, "/table/commit", txn, &reply)
	return reply.Version, err
}

// List implements VMList.
func (c *Client) List(ctx context.Context) ([]VMStatus, error) {
	var reply []VMStatus
	err := c.call(ctx, http.MethodGet, "/vms", nil, &reply)
	return reply, err
}

// Objects returns a client of the platform's object store.
func (c *Client) Objects() ObjectStore { return objects{c} }

type objects struct{ c *Client }

func objectPath(key string) string { return "/objects/" + url.PathEscape(key) }

func (o objects) Put(ctx context.Context, key string, body []byte) error {
	return o.c.call(ctx, http.MethodPut, objectPath(key), body, nil)
}

func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	var body []byte
	err := o.c.call(ctx, http.MethodGet, objectPath(key), nil, &body)
	return body, err
}

func (o objects) Delete(ctx context.Context, key string) error {
	return o.c.call(ctx, http.MethodDelete, objectPath(key), nil, nil)
}

// NewWorkers returns a Workers whose requests are sent through client.
func NewWorkers(client *http.Client) Workers {
	return func(address string) Worker { return worker{NewClient(address, client)} }
}

// worker implements Worker over HTTP.
type worker struct{ c *Client }

func (w worker) Start(ctx context.Context, request StartRequest) error {
	return w.c.post(ctx, "/worker/start", request, nil)
}

func (w worker) Stop(ctx context.Context, request StopRequest) error {
	return w.c.post(ctx, "/worker/stop", request, nil)
}

func (w worker) Throttle(ctx context.Context, request ThrottleRequest) error {
	return w.c.post(ctx, "/worker/throttle", request, nil)
}

func (w worker) Exchange(ctx context.Context, request ExchangeRequest) (ExchangeReply, error) {
	var reply ExchangeReply
	err := w.c.post(ctx, "/worker/exchange", request, &reply)
	return reply, err
}

func (c *Client) post(ctx context.Context, path string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &UnavailableError{Op: path, Verdict: verdict.NotRun, Err: err}
	}
	return c.call(ctx, http.MethodPost, path, body, reply)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &UnavailableError{Op: path, Verdict: verdict.NotRun, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnavailableError{Op: path, Verdict: verdictOf(err), Err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read or is discarded
	return decode(path, resp, reply)
}

// verdictOf returns NotRun when no connection was established, or else MayHaveRun.
func verdictOf(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// decode maps the status of a response to an error, or decodes its body into reply.
func decode(path string, resp *http.Response, reply any) error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return decodeReply(path, resp.Body, reply)
	case http.StatusConflict:
		var conflict ConflictReply
		if err := json.NewDecoder(resp.Body).Decode(&conflict); err != nil {
			return &UnavailableError{Op: path, Verdict: verdict.NotRun, Err: err}
		}
		return &ConflictError{Keys: conflict.Keys}
	case http.StatusNotFound:
		return &NotFoundError{Key: path}
	case http.StatusUnprocessableEntity:
		var refused RefusedReply
		if err := json.NewDecoder(resp.Body).Decode(&refused); err != nil {
			return &RefusedError{Reason: "no reason could be read: " + err.Error()}
		}
		return &RefusedError{Reason: refused.Reason}
	case http.StatusServiceUnavailable:
		return &UnavailableError{Op: path, Verdict: verdict.NotRun, Err: statusError(resp)}
	default:
		return &UnavailableError{Op: path, Verdict: verdict.MayHaveRun, Err: statusError(resp)}
	}
}

// decodeReply decodes body into reply: as raw bytes if it is a *[]byte, or else as
// JSON. A nil reply discards the body.
func decodeReply(path string, body io.Reader, reply any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxReplyBytes))
	if err != nil {
		return &UnavailableError{Op: path, Verdict: verdict.MayHaveRun, Err: err}
	}
	switch r := reply.(type) {
	case nil:
		return nil
	case *[]byte:
		*r = data
		return nil
	default:
		if err := json.Unmarshal(data, reply); err != nil {
			return &UnavailableError{Op: path, Verdict: verdict.MayHaveRun, Err: err}
		}
		return nil
	}
}

// statusError returns an error with the status and the start of the body.
func statusError(resp *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	return fmt.Errorf("status %d: %s", resp.StatusCode, text)
}
