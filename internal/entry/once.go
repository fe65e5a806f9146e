package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/claims"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

const (
	// maxKeptBody bounds the answers that are kept to be given again.
	maxKeptBody = 1 << 20
	// outcomeTimeout bounds the wait for an outcome to be kept, past the deadline too.
	outcomeTimeout = time.Second
	// retryAfterInProgress is when a caller may ask again for another try's outcome.
	retryAfterInProgress = time.Second
)

// once is the course of a request that must run at most once. A nil once is
// that of a request which may be sent without a claim.
type once struct {
	server *Server
	flow   *idempotency.Flow
	ticket claims.Ticket
}

// runOnce claims the request's key before it runs.
func (s *Server) runOnce(ctx context.Context, c *gin.Context, q call) error {
	session := q.snapshot.Session
	if !session.Live(q.arrived) {
		return staleError()
	}
	key := idempotency.Key{Member: q.member, Service: q.serviceName, Value: q.key}
	claim := idempotency.Claim{
		Session: session.ID, AttemptID: q.id, RequestDigest: q.digest(), ClaimedUnixMS: q.arrived.UnixMilli(),
	}
	flow := idempotency.NewFlow(claim, q.deadline)
	result := s.opts.Claims.Claim(ctx, key, claim, q.deadline)
	if result.Err != nil {
		return result.Err
	}
	next := flow.Claimed(result.Action, s.opts.Now(), s.session())
	switch next.Reason {
	case idempotency.ReasonReplayed:
		return s.replay(ctx, c, *result.Stored.Outcome)
	case idempotency.ReasonKeyReused:
		return badRequest(verdict.CodeKeyReused, http.StatusUnprocessableEntity, "idempotency key %q belongs to another request", q.key)
	case idempotency.ReasonInProgress:
		e := verdict.Refuse(verdict.CodeKeyInProgress, http.StatusConflict, retryAfterInProgress, "a request with idempotency key %q has begun and its outcome is not known", q.key)
		e.Verdict = next.Verdict
		return e
	}
	o := &once{server: s, flow: flow, ticket: result.Ticket}
	if next.Command == idempotency.CommandRelease {
		s.opts.Claims.Release(o.ticket)
		return staleError()
	}
	return s.run(ctx, c, q, o)
}

// session returns the daemon's present session, or nothing if it has lapsed.
func (s *Server) session() string {
	session := s.opts.Publisher.Load().Session
	if !session.Live(s.opts.Now()) {
		return ""
	}
	return session.ID
}

func staleError() error {
	return verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, retryAfterNotReady,
		"the daemon's session has ended, or the deadline has passed, before the request was sent")
}

// digest tells requests apart that come with the same key.
func (q call) digest() string {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s %s %d ", q.method, q.path, len(q.body))
	_, _ = d.Write(q.body)
	return fmt.Sprintf("%016x", d.Sum64())
}

// maySend is asked right before every send.
func (o *once) maySend() bool {
	return o == nil || o.flow.MaySend(o.server.opts.Now(), o.server.session())
}

// failed ends a request that got no complete answer: its claim goes only if no
// byte of it was sent.
func (o *once) failed(err error) {
	if o == nil {
		return
	}
	next := o.flow.NoResponse()
	if verdict.Of(err) == verdict.NotRun {
		next = o.flow.NotSent()
	}
	if next.Command == idempotency.CommandRelease {
		o.server.opts.Claims.Release(o.ticket)
	}
}

// keep writes the outcome and reports whether it is kept.
func (o *once) keep(status int, header http.Header, body []byte, whole bool) bool {
	outcome := idempotency.Outcome{
		Status: status, Header: fields(header), BodyOmitted: !whole, EndedUnixMS: o.server.opts.Now().UnixMilli(),
	}
	if whole {
		outcome.Body = body
	}
	// The answer is there: neither the deadline nor the caller's leaving ends this.
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	err := o.server.opts.Claims.Complete(ctx, o.ticket, outcome)
	return o.flow.Stored(err == nil).Reason == idempotency.ReasonResponded
}

func fields(h http.Header) []idempotency.HeaderField {
	var list []idempotency.HeaderField
	for _, name := range sortedNames(h) {
		for _, v := range h[name] {
			list = append(list, idempotency.HeaderField{Name: name, Value: v})
		}
	}
	return list
}

// replay gives a kept answer again.
func (s *Server) replay(ctx context.Context, c *gin.Context, o idempotency.Outcome) error {
	body, err := s.opts.Claims.Body(ctx, o)
	var notFound *platform.NotFoundError
	switch {
	case o.BodyOmitted || errors.As(err, &notFound):
		return &verdict.RequestError{
			Code: verdict.CodeAnswerNotKept, Message: "the request has run and its answer can no longer be given",
			Verdict: verdict.Ran, Status: http.StatusGone, Err: err,
		}
	case err != nil:
		return &verdict.RequestError{
			Code: verdict.CodeStoreUnavailable, Message: "the request has run and its answer cannot be read at the moment",
			Verdict: verdict.Ran, Status: http.StatusServiceUnavailable, RetryAfter: retryAfterInProgress, Err: err,
		}
	}
	header := c.Writer.Header()
	for _, f := range o.Header {
		header.Add(f.Name, f.Value)
	}
	header.Set(verdict.Header, verdict.Ran.String())
	header.Set(HeaderReplayed, "true")
	c.Writer.WriteHeader(o.Status)
	_, _ = c.Writer.Write(body)
	return nil
}
