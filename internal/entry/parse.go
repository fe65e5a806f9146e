package entry

import (
	"crypto/rand"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of one request.
const (
	defaultMaxBodyBytes = 1 << 20
	maxPathBytes        = 8 << 10
	// maxHeaderBytes bounds the total size of header names and values. The HTTP
	// server's own limit is higher, so that this one determines the error response.
	maxHeaderBytes     = 64 << 10
	retryAfterNotReady = time.Second
	// maxSnapshotAge is the greatest age, by the wall clock, of the snapshot that
	// the control goroutine published. It keeps a daemon that was suspended from
	// serving under outdated rules.
	maxSnapshotAge = 3 * time.Second
)

// forwardedMethods are the request methods that are forwarded to targets.
var forwardedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost,
	http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// request is a latency-critical request that the daemon is serving.
type request struct {
	id          string
	member      string
	serviceName string
	// path is the escaped path at the target, including the query.
	path     string
	service  *traffic.Service
	snapshot *traffic.Snapshot
	arrived  time.Time
	deadline time.Time
	key      string
	body     []byte
	method   string
	header   http.Header
	// lastTarget is shared by all sends of the request.
	lastTarget *traffic.LastTarget
}

// repeatable reports whether the request may run more than once.
func (r request) repeatable() bool {
	return r.key == "" && (r.method == http.MethodGet || r.method == http.MethodHead || r.method == http.MethodOptions)
}

// badRequest returns a refusal without Retry-After: the same request would be
// refused again.
func badRequest(code verdict.Code, status int, format string, args ...any) error {
	return verdict.Refuse(code, status, 0, format, args...)
}

// newRequest returns a request with a new ID and sets the response's
// HeaderRequestID.
func newRequest(c *gin.Context) request {
	req := request{id: rand.Text(), method: c.Request.Method}
	c.Writer.Header().Set(HeaderRequestID, req.id)
	return req
}

// parse reads and validates a request before anything is sent to a target.
func (s *Server) parse(c *gin.Context) (request, error) {
	httpReq := c.Request
	req := newRequest(c)
	req.serviceName = c.Param("service")
	req.arrived = s.opts.Now()
	req.snapshot = s.opts.Publisher.Load()
	if err := checkProtocol(httpReq); err != nil {
		return req, err
	}
	if ok, reason := req.snapshot.Serving(req.arrived); !ok {
		return req, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, retryAfterNotReady, "the daemon is not ready: %s", reason)
	}
	if age := req.arrived.Round(0).Sub(req.snapshot.CreatedAt.Round(0)); age > maxSnapshotAge {
		return req, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, retryAfterNotReady, "the daemon is not ready: its configuration was last confirmed %s ago", age.Round(time.Second))
	}
	service, ok := req.snapshot.Services[req.serviceName]
	if !ok {
		return req, badRequest(verdict.CodeUnknownService, http.StatusNotFound, "service %q does not exist", req.serviceName)
	}
	req.service = service
	for _, check := range []func(*http.Request) error{req.parsePath, req.parseMember, req.parseDeadline, req.parseKey} {
		if err := check(httpReq); err != nil {
			return req, err
		}
	}
	if err := req.readBody(s.opts.Gate, c.Writer, httpReq); err != nil {
		return req, err
	}
	req.header = forwardedHeader(httpReq.Header)
	return req, nil
}

// checkProtocol refuses requests that net/http accepts but this interface does
// not support.
func checkProtocol(r *http.Request) error {
	if !r.ProtoAtLeast(1, 1) {
		// With HTTP/1.0 a complete response of unknown length looks the same as a
		// truncated one.
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

// parsePath sets the target's part of the path, with the caller's escaping.
func (r *request) parsePath(httpReq *http.Request) error {
	path := strings.TrimPrefix(httpReq.URL.EscapedPath(), servicesPrefix)
	_, rest, _ := strings.Cut(path, "/")
	r.path = "/" + rest
	if httpReq.URL.RawQuery != "" {
		r.path += "?" + httpReq.URL.RawQuery
	}
	if len(r.path) > maxPathBytes {
		return badRequest(verdict.CodeTooLarge, http.StatusRequestURITooLong, "the path and query have %d bytes, more than %d", len(r.path), maxPathBytes)
	}
	return nil
}

// singleHeader returns the value of a header field, or an error if it is repeated.
func singleHeader(h http.Header, name string) (string, error) {
	values := h.Values(name)
	if len(values) > 1 {
		return "", badRequest(verdict.CodeBadRequest, http.StatusBadRequest, "header %s is given %d times", name, len(values))
	}
	return h.Get(name), nil
}

func (r *request) parseMember(httpReq *http.Request) error {
	member, err := singleHeader(httpReq.Header, HeaderMember)
	if err != nil {
		return err
	}
	if member == "" {
		return badRequest(verdict.CodeUnknownMember, http.StatusForbidden, "header %s is missing", HeaderMember)
	}
	if !r.snapshot.Members[member] {
		return badRequest(verdict.CodeUnknownMember, http.StatusForbidden, "header %s: member %q does not exist", HeaderMember, member)
	}
	r.member = member
	return nil
}

func (r *request) parseDeadline(httpReq *http.Request) error {
	text, err := singleHeader(httpReq.Header, HeaderDeadline)
	if err != nil {
		return err
	}
	ms := r.service.Rules.DeadlineMS
	if text != "" {
		requested, err := strconv.ParseInt(text, 10, 64)
		if err != nil || requested <= 0 || requested > r.service.Rules.MaxDeadlineMS {
			return badRequest(verdict.CodeBadDeadline, http.StatusBadRequest,
				"header %s: value %q must be a whole number of milliseconds from 1 to %d", HeaderDeadline, text, r.service.Rules.MaxDeadlineMS)
		}
		ms = requested
	}
	r.deadline = r.arrived.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

func (r *request) parseKey(httpReq *http.Request) error {
	key, err := singleHeader(httpReq.Header, HeaderIdempotencyKey)
	if err != nil {
		return err
	}
	if err := idempotency.CheckKey(key); err != nil {
		return badRequest(verdict.CodeBadRequest, http.StatusBadRequest, "header %s: %v", HeaderIdempotencyKey, err)
	}
	r.key = key
	if r.service.Rules.AtMostOnce && r.key == "" && !r.repeatable() {
		return badRequest(verdict.CodeKeyRequired, http.StatusBadRequest, "service %q demands the header %s for method %s", r.serviceName, HeaderIdempotencyKey, r.method)
	}
	return nil
}

// bodyFactor is how often a request's body is held while it is sent: as received and in the buffers of
// the connection to the target.
const bodyFactor = 2

// readBody reads the whole body, so that a request whose body is cut short never
// reaches a target.
func (r *request) readBody(g *gate.Gate, w http.ResponseWriter, httpReq *http.Request) error {
	limit := r.service.Rules.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := g.ReadBody(w, httpReq, gate.Body{Limit: limit, Deadline: r.deadline, Factor: bodyFactor})
	var refused *verdict.RequestError
	if errors.As(err, &refused) && refused.Code == verdict.CodeDeadlineExceeded {
		return badRequest(verdict.CodeDeadlineExceeded, http.StatusRequestTimeout, "the request's body did not arrive before the deadline")
	}
	if err != nil {
		return err
	}
	r.body = body
	return nil
}

// hopByHopHeaders are the header fields that are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardedHeader returns a copy of a header without hop-by-hop fields and the
// deadline.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del(HeaderDeadline)
	return out
}
