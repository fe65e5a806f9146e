package entry

import (
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of one request.
const (
	defaultMaxBodyBytes = 1 << 20
	maxPathBytes        = 8 << 10
	// maxHeaderBytes bounds the sum of the header's names and values. The
	// server's own limit is higher, so that this one gives the precise answer.
	maxHeaderBytes     = 64 << 10
	retryAfterNotReady = time.Second
	// maxSnapshotAge is how old the control goroutine's word may be, by the wall
	// clock. A daemon that wakes from a freeze does not serve by old rules.
	maxSnapshotAge = 3 * time.Second
)

// methods are the request methods that are passed on.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost,
	http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// call is one quick request on its way through the daemon.
type call struct {
	id          string
	member      string
	serviceName string
	// path is the escaped path at the target, with its query.
	path     string
	service  *traffic.Service
	snapshot *traffic.Snapshot
	arrived  time.Time
	deadline time.Time
	key      string
	body     []byte
	method   string
	header   http.Header
	// tried is shared by all sends of the request.
	tried *traffic.LastTarget
}

// repeatable reports whether the request may run more than once.
func (q call) repeatable() bool {
	return q.key == "" && (q.method == http.MethodGet || q.method == http.MethodHead || q.method == http.MethodOptions)
}

// badRequest is a refusal of a request that can never be served as it is.
func badRequest(code verdict.Code, status int, format string, args ...any) error {
	return verdict.Refuse(code, status, 0, format, args...)
}

// newCall returns a call with an ID, which the answer tells the caller.
func newCall(c *gin.Context) call {
	q := call{id: rand.Text(), method: c.Request.Method}
	c.Writer.Header().Set(HeaderRequestID, q.id)
	return q
}

// parse checks everything about a request that costs no target a byte.
func (s *Server) parse(c *gin.Context) (call, error) {
	r := c.Request
	q := newCall(c)
	q.serviceName = c.Param("service")
	q.arrived = s.opts.Now()
	q.snapshot = s.opts.Publisher.Load()
	if err := checkProtocol(r); err != nil {
		return q, err
	}
	if ok, reason := q.snapshot.Serving(q.arrived); !ok {
		return q, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, retryAfterNotReady, "the daemon is not ready: %s", reason)
	}
	if age := q.arrived.Round(0).Sub(q.snapshot.CreatedAt.Round(0)); age > maxSnapshotAge {
		return q, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, retryAfterNotReady, "the daemon is not ready: its configuration was last confirmed %s ago", age.Round(time.Second))
	}
	service, ok := q.snapshot.Services[q.serviceName]
	if !ok {
		return q, badRequest(verdict.CodeUnknownService, http.StatusNotFound, "service %q does not exist", q.serviceName)
	}
	q.service = service
	for _, check := range []func(*http.Request) error{q.parsePath, q.parseMember, q.parseDeadline, q.parseKey} {
		if err := check(r); err != nil {
			return q, err
		}
	}
	if err := q.readBody(c.Writer, r); err != nil {
		return q, err
	}
	q.header = forwarded(r.Header)
	return q, nil
}

// checkProtocol refuses what the HTTP library accepts but this interface does not.
func checkProtocol(r *http.Request) error {
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 cannot tell a complete answer of unknown length from a truncated one.
		return badRequest(verdict.CodeBadRequest, http.StatusHTTPVersionNotSupported, "protocol %s: HTTP/1.1 is required", r.Proto)
	}
	size := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > maxHeaderBytes {
		return badRequest(verdict.CodeTooLarge, http.StatusRequestHeaderFieldsTooLarge, "the request's header has %d bytes, more than %d", size, maxHeaderBytes)
	}
	if r.Header.Get("Upgrade") != "" {
		return badRequest(verdict.CodeBadRequest, http.StatusBadRequest, "header Upgrade: changing the protocol is not supported")
	}
	return nil
}

// parsePath takes the part of the path that belongs to the target, as the
// caller has escaped it.
func (q *call) parsePath(r *http.Request) error {
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix)
	_, rest, _ := strings.Cut(path, "/")
	q.path = "/" + rest
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	if len(q.path) > maxPathBytes {
		return badRequest(verdict.CodeTooLarge, http.StatusRequestURITooLong, "the path and query have %d bytes, more than %d", len(q.path), maxPathBytes)
	}
	return nil
}

// single returns the value of a header that may be given once.
func single(h http.Header, name string) (string, error) {
	values := h.Values(name)
	if len(values) > 1 {
		return "", badRequest(verdict.CodeBadRequest, http.StatusBadRequest, "header %s is given %d times", name, len(values))
	}
	return h.Get(name), nil
}

func (q *call) parseMember(r *http.Request) error {
	member, err := single(r.Header, HeaderMember)
	if err != nil {
		return err
	}
	if member == "" {
		return badRequest(verdict.CodeUnknownMember, http.StatusForbidden, "header %s is missing", HeaderMember)
	}
	if !q.snapshot.Members[member] {
		return badRequest(verdict.CodeUnknownMember, http.StatusForbidden, "header %s: member %q does not exist", HeaderMember, member)
	}
	q.member = member
	return nil
}

func (q *call) parseDeadline(r *http.Request) error {
	text, err := single(r.Header, HeaderDeadline)
	if err != nil {
		return err
	}
	ms := q.service.Rules.DeadlineMS
	if text != "" {
		asked, err := strconv.ParseInt(text, 10, 64)
		if err != nil || asked <= 0 || asked > q.service.Rules.MaxDeadlineMS {
			return badRequest(verdict.CodeBadDeadline, http.StatusBadRequest,
				"header %s: value %q must be a whole number of milliseconds from 1 to %d", HeaderDeadline, text, q.service.Rules.MaxDeadlineMS)
		}
		ms = asked
	}
	q.deadline = q.arrived.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

func (q *call) parseKey(r *http.Request) error {
	key, err := single(r.Header, HeaderIdempotencyKey)
	if err != nil {
		return err
	}
	if err := idempotency.CheckKey(key); err != nil {
		return badRequest(verdict.CodeBadRequest, http.StatusBadRequest, "header %s: %v", HeaderIdempotencyKey, err)
	}
	q.key = key
	if q.service.Rules.AtMostOnce && q.key == "" && !q.repeatable() {
		return badRequest(verdict.CodeKeyRequired, http.StatusBadRequest, "service %q demands the header %s for method %s", q.serviceName, HeaderIdempotencyKey, q.method)
	}
	return nil
}

// readBody reads the body whole, so that none of it goes to a target unless
// all of it is there.
func (q *call) readBody(w http.ResponseWriter, r *http.Request) error {
	limit := q.service.Rules.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	if r.ContentLength == 0 {
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(q.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return badRequest(verdict.CodeDeadlineExceeded, http.StatusRequestTimeout, "the request's body did not arrive before the deadline")
	case err != nil:
		return badRequest(verdict.CodeBadRequest, http.StatusBadRequest, "the request's body broke off")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	q.body = body
	return nil
}

func bodyTooLarge(limit int64) error {
	return badRequest(verdict.CodeTooLarge, http.StatusRequestEntityTooLarge, "the request's body is longer than %d bytes", limit)
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwarded returns a copy of a header without the fields of one connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	out.Del(HeaderDeadline)
	return out
}
