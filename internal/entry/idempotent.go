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
	// maxStoredBody bounds the response bodies that are stored for replay.
	maxStoredBody = 1 << 20
	// outcomeTimeout bounds the wait for an outcome to be stored. The wait may
	// exceed the request's deadline.
	outcomeTimeout = time.Second
	// retryAfterInProgress is sent to a caller whose key is claimed by an earlier
	// attempt without an outcome yet, or whose stored outcome cannot be read.
	retryAfterInProgress = time.Second
)

// keyedRequest is the idempotency state of a request that must run at most once.
// It is nil for a request without an idempotency key; maySend and handleFailure
// accept nil.
type keyedRequest struct {
	server *Server
	flow   *idempotency.Flow
	ticket claims.Ticket
}

// runKeyed claims the request's key and then sends the request, or replays the
// stored outcome of an earlier attempt.
func (s *Server) runKeyed(ctx context.Context, c *gin.Context, req request) error {
	session := req.snapshot.Session
	if !session.Live(req.arrived) {
		return staleError()
	}
	key := idempotency.Key{Member: req.member, Service: req.serviceName, Value: req.key}
	claim := idempotency.Claim{
		Session: session.ID, AttemptID: req.id, RequestDigest: req.digest(), ClaimedUnixMS: req.arrived.UnixMilli(),
	}
	flow := idempotency.NewFlow(claim, req.deadline)
	result := s.opts.Claims.Claim(ctx, key, claim, req.deadline)
	if result.Err != nil {
		return result.Err
	}
	next := flow.Claimed(result.Action, s.opts.Now(), s.session())
	switch next.Reason {
	case idempotency.ReasonReplayed:
		return s.replay(ctx, c, *result.Stored.Outcome)
	case idempotency.ReasonKeyReused:
		return badRequest(verdict.CodeKeyReused, http.StatusUnprocessableEntity, "idempotency key %q belongs to another request", req.key)
	case idempotency.ReasonInProgress:
		err := verdict.Refuse(verdict.CodeKeyInProgress, http.StatusConflict, retryAfterInProgress, "a request with idempotency key %q has begun and its outcome is not known", req.key)
		err.Verdict = next.Verdict
		return err
	}
	keyed := &keyedRequest{server: s, flow: flow, ticket: result.Ticket}
	if next.Command == idempotency.CommandRelease {
		s.opts.Claims.Release(keyed.ticket)
		return staleError()
	}
	return s.sendAndRespond(ctx, c, req, keyed)
}

// session returns the ID of the daemon's current session, or "" if it has expired.
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

// digest returns a hash of method, path and body. It detects different requests
// with the same idempotency key.
func (r request) digest() string {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s %s %d ", r.method, r.path, len(r.body))
	_, _ = d.Write(r.body)
	return fmt.Sprintf("%016x", d.Sum64())
}

// maySend reports whether the request may be sent now: before its deadline and
// under the session that claimed its key. It must be checked before every send.
func (k *keyedRequest) maySend() bool {
	return k == nil || k.flow.MaySend(k.server.opts.Now(), k.server.session())
}

// handleFailure ends a request without a complete response. The claim is
// released only if no byte of the request was sent.
func (k *keyedRequest) handleFailure(err error) {
	if k == nil {
		return
	}
	next := k.flow.NoResponse()
	if verdict.Of(err) == verdict.NotRun {
		next = k.flow.NotSent()
	}
	if next.Command == idempotency.CommandRelease {
		k.server.opts.Claims.Release(k.ticket)
	}
}

// storeOutcome stores the outcome for replay and reports whether it succeeded.
// An incomplete body is left out.
func (k *keyedRequest) storeOutcome(status int, header http.Header, body []byte, complete bool) bool {
	outcome := idempotency.Outcome{
		Status: status, Header: headerFields(header), BodyOmitted: !complete, EndedUnixMS: k.server.opts.Now().UnixMilli(),
	}
	if complete {
		outcome.Body = body
	}
	// The request has run: store its outcome even if the deadline has passed or
	// the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	err := k.server.opts.Claims.Complete(ctx, k.ticket, outcome)
	return k.flow.Stored(err == nil).Reason == idempotency.ReasonResponded
}

func headerFields(h http.Header) []idempotency.HeaderField {
	var list []idempotency.HeaderField
	for _, name := range sortedHeaderNames(h) {
		for _, v := range h[name] {
			list = append(list, idempotency.HeaderField{Name: name, Value: v})
		}
	}
	return list
}

// replay writes a stored outcome to the caller.
func (s *Server) replay(ctx context.Context, c *gin.Context, outcome idempotency.Outcome) error {
	body, err := s.opts.Claims.Body(ctx, outcome)
	var notFound *platform.NotFoundError
	switch {
	case outcome.BodyOmitted || errors.As(err, &notFound):
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
	for _, f := range outcome.Header {
		header.Add(f.Name, f.Value)
	}
	header.Set(verdict.Header, verdict.Ran.String())
	header.Set(HeaderReplayed, "true")
	c.Writer.WriteHeader(outcome.Status)
	_, _ = c.Writer.Write(body)
	return nil
}
