package entry

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/target"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of one request.
const (
	defaultMaxBodyBytes = 1 << 20
	maxBufferedAnswer   = 64 << 10
	maxKeyBytes         = 255
	outcomeTimeout      = 5 * time.Second
	retryAfterNotReady  = time.Second
	retryAfterNoTarget  = time.Second
)

// call is one quick request on its way through the daemon.
type call struct {
	id          string
	member      string
	serviceName string
	path        string
	service     *traffic.Service
	arrived     time.Time
	deadline    time.Time
	key         string
	body        []byte
	method      string
	header      http.Header
}

// repeatable reports whether the request may run more than once.
func (q call) repeatable() bool {
	return q.key == "" && (q.method == http.MethodGet || q.method == http.MethodHead || q.method == http.MethodOptions)
}

func (s *Server) serveQuick(c *gin.Context) {
	q, err := s.parse(c)
	if err == nil {
		err = s.admitAndRun(c, q)
	}
	if err != nil {
		s.refuse(c, q, err)
	}
	s.count(q, err)
}

// parse checks everything about a request that costs no target a byte.
func (s *Server) parse(c *gin.Context) (call, error) {
	r := c.Request
	q := call{
		id:          rand.Text(),
		member:      r.Header.Get(HeaderMember),
		serviceName: c.Param("service"),
		arrived:     s.opts.Now(),
		key:         r.Header.Get(HeaderIdempotencyKey),
		method:      r.Method,
	}
	c.Writer.Header().Set(HeaderRequestID, q.id)
	snapshot := s.opts.Publisher.Load()
	if !snapshot.Ready {
		return q, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, retryAfterNotReady, "the daemon is not ready: %s", snapshot.Reason)
	}
	service, ok := snapshot.Services[q.serviceName]
	if !ok {
		return q, verdict.Refuse(verdict.CodeUnknownService, http.StatusNotFound, 0, "service %q does not exist", q.serviceName)
	}
	q.service = service
	if !snapshot.Members[q.member] {
		return q, verdict.Refuse(verdict.CodeUnknownMember, http.StatusForbidden, 0, "header %s: member %q does not exist", HeaderMember, q.member)
	}
	if err := q.parseDeadline(r.Header.Get(HeaderDeadline)); err != nil {
		return q, err
	}
	if err := q.checkKey(); err != nil {
		return q, err
	}
	if err := q.readBody(r); err != nil {
		return q, err
	}
	q.path = c.Param("path")
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	q.header = forwarded(r.Header)
	return q, nil
}

func (q *call) parseDeadline(text string) error {
	ms := q.service.Rules.DeadlineMS
	if text != "" {
		asked, err := strconv.ParseInt(text, 10, 64)
		if err != nil || asked <= 0 || asked > q.service.Rules.MaxDeadlineMS {
			return verdict.Refuse(verdict.CodeBadDeadline, http.StatusBadRequest, 0,
				"header %s: value %q must be a whole number of milliseconds from 1 to %d", HeaderDeadline, text, q.service.Rules.MaxDeadlineMS)
		}
		ms = asked
	}
	q.deadline = q.arrived.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

func (q *call) checkKey() error {
	if len(q.key) > maxKeyBytes {
		return verdict.Refuse(verdict.CodeTooLarge, http.StatusBadRequest, 0, "header %s: longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	if q.service.Rules.AtMostOnce && q.key == "" && !q.repeatable() {
		return verdict.Refuse(verdict.CodeKeyRequired, http.StatusBadRequest, 0, "service %q demands the header %s", q.serviceName, HeaderIdempotencyKey)
	}
	return nil
}

func (q *call) readBody(r *http.Request) error {
	limit := q.service.Rules.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0, "the request's body broke off")
	}
	if int64(len(body)) > limit {
		return verdict.Refuse(verdict.CodeTooLarge, http.StatusRequestEntityTooLarge, 0, "the request's body is longer than %d bytes", limit)
	}
	q.body = body
	return nil
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", HeaderDeadline}

func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func (s *Server) admitAndRun(c *gin.Context, q call) error {
	decision := s.opts.Gates.Arrive(q.serviceName, q.service.Limit, q.arrived, q.deadline)
	if !decision.Admitted {
		return verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, decision.RetryAfter, "service %q is overloaded", q.serviceName)
	}
	defer s.opts.Gates.Leave(q.serviceName)
	ctx, cancel := context.WithDeadline(c.Request.Context(), q.deadline)
	defer cancel()
	if q.key == "" {
		return s.run(ctx, c, q, nil)
	}
	return s.runOnce(ctx, c, q)
}

// runOnce claims the request's key before it runs.
func (s *Server) runOnce(ctx context.Context, c *gin.Context, q call) error {
	key := idempotency.Key{Member: q.member, Service: q.serviceName, Value: q.key}
	claim := idempotency.Claim{
		Session:       s.opts.Session(),
		Try:           q.id,
		RequestDigest: q.digest(),
		ClaimedUnixMS: q.arrived.UnixMilli(),
	}
	result := s.opts.Claims.Claim(ctx, key, claim)
	if result.Err != nil {
		return result.Err
	}
	switch result.Action {
	case idempotency.ActionRun:
		return s.run(ctx, c, q, func(o idempotency.Outcome) { s.complete(key, claim, o) })
	case idempotency.ActionReplay:
		replay(c, *result.Stored.Outcome)
		return nil
	case idempotency.ActionRefuseReused:
		return verdict.Refuse(verdict.CodeKeyReused, http.StatusUnprocessableEntity, 0, "idempotency key %q belongs to another request", q.key)
	default:
		e := verdict.Refuse(verdict.CodeKeyInProgress, http.StatusConflict, retryAfterNoTarget, "a request with idempotency key %q has begun and its outcome is not known", q.key)
		e.Verdict = verdict.MayHaveRun
		return e
	}
}

func (q call) digest() string {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s %s %d ", q.method, q.path, len(q.body))
	_, _ = d.Write(q.body)
	return fmt.Sprintf("%016x", d.Sum64())
}

func (s *Server) complete(key idempotency.Key, claim idempotency.Claim, o idempotency.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	o.EndedUnixMS = s.opts.Now().UnixMilli()
	if err := s.opts.Claims.Complete(ctx, key, claim, o); err != nil {
		s.opts.Log.WithFields(log.Fields{"event": "outcome_not_kept", "request": claim.Try}).WithError(err).Warn("outcome not kept")
	}
}

func replay(c *gin.Context, o idempotency.Outcome) {
	header := c.Writer.Header()
	header.Set("Content-Type", o.ContentType)
	header.Set(verdict.Header, verdict.Ran.String())
	c.Writer.WriteHeader(o.Status)
	_, _ = c.Writer.Write(o.Body)
}

// run sends the request to a target and passes the answer on.
func (s *Server) run(ctx context.Context, c *gin.Context, q call, keep func(idempotency.Outcome)) error {
	answer, err := s.opts.Sender.Send(ctx, traffic.Call{
		Service: q.serviceName, Member: q.member, Method: q.method, Path: q.path,
		Header: q.header, Body: q.body, Repeatable: q.repeatable(),
	})
	if err != nil {
		return err
	}
	resp := answer.Response
	defer resp.Body.Close() //nolint:errcheck // the answer was read or is given up
	return passOn(c, resp, keep)
}

// passOn buffers small answers, so that a truncated one becomes an error, and
// streams large ones; a large answer that breaks off aborts the connection.
func passOn(c *gin.Context, resp *http.Response, keep func(idempotency.Outcome)) error {
	data, complete, err := target.ReadAll(resp.Body, maxBufferedAnswer)
	if err != nil {
		return &verdict.RequestError{Code: verdict.CodeTruncated, Message: "the target's answer broke off", Status: http.StatusBadGateway, Err: err}
	}
	header := c.Writer.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Set(verdict.Header, verdict.Ran.String())
	if keep != nil && complete {
		keep(idempotency.Outcome{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: data})
	}
	c.Writer.WriteHeader(resp.StatusCode)
	_, _ = c.Writer.Write(data)
	if complete {
		return nil
	}
	if _, err := io.Copy(c.Writer, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// count records the request for the burn report.
func (s *Server) count(q call, err error) {
	if q.service == nil {
		return
	}
	series := burn.Series{Service: q.serviceName, Member: q.member}
	switch {
	case err == nil && s.opts.Now().After(q.deadline):
		s.opts.Burn.Record(series, burn.OutcomeLate)
	case err == nil:
		s.opts.Burn.Record(series, burn.OutcomeGood)
	case verdict.Of(err) == verdict.NotRun:
		s.opts.Burn.Record(series, burn.OutcomeRefused)
	default:
		s.opts.Burn.Record(series, burn.OutcomeFailed)
	}
}
