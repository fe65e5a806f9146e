package entry

import (
	"context"
	"errors"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/internal/target"
	"github.com/bambooyard/bambooyard/route"
	"github.com/bambooyard/bambooyard/verdict"
)

const retryAfterNoTarget = time.Second

func (s *Server) serveQuick(c *gin.Context) {
	q, err := s.parse(c)
	if err == nil {
		err = s.admitAndRun(c, q)
	}
	s.count(q, err)
	var aborted *abortedError
	switch {
	case errors.As(err, &aborted):
		s.opts.Log.WithFields(log.Fields{
			"event": "answer_aborted", "request": q.id, "member": q.member, "service": q.serviceName,
		}).WithError(err).Warn("connection closed")
		panic(http.ErrAbortHandler)
	case err != nil:
		s.refuse(c, q, err)
	}
}

func (s *Server) admitAndRun(c *gin.Context, q call) error {
	decision := s.opts.Gates.Arrive(q.serviceName, q.service.Limit, q.arrived, q.deadline)
	if !decision.Admitted {
		return verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, decision.RetryAfter, "service %q is overloaded", q.serviceName)
	}
	defer s.opts.Gates.Leave(q.serviceName)
	parent := c.Request.Context()
	if q.key != "" {
		// The outcome is wanted by the second try of a caller that has gone.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, q.deadline)
	defer cancel()
	if q.key == "" {
		return s.run(ctx, c, q, nil)
	}
	return s.runOnce(ctx, c, q)
}

// run sends the request to a target and passes the answer on.
func (s *Server) run(ctx context.Context, c *gin.Context, q call, o *once) error {
	a, err := s.send(ctx, q, o)
	if err != nil {
		o.failed(err)
		return err
	}
	defer a.close()
	return s.passOn(c, q, a, o)
}

// send asks one target.
func (s *Server) send(ctx context.Context, q call, o *once) (*answer, error) {
	if !o.maySend() {
		return nil, staleError()
	}
	return s.attempt(ctx, q, "")
}

// attempt sends the request to one target other than the one to avoid.
func (s *Server) attempt(ctx context.Context, q call, avoid string) (*answer, error) {
	t := q.service.Picker.Pick(route.Request{Seed: mathrand.Uint64(), Avoid: avoid})
	if t == nil {
		return nil, verdict.Refuse(verdict.CodeNoTarget, http.StatusServiceUnavailable, retryAfterNoTarget, "service %q has no live target", q.serviceName)
	}
	t.Usage.Begin()
	resp, err := s.opts.Targets.Do(ctx, t.Address, target.Request{
		Method: q.method, Path: q.path, Header: q.header, Body: q.body, Repeatable: q.repeatable(),
	})
	if err != nil {
		t.Usage.End()
		return nil, err
	}
	limit := int64(maxBufferedAnswer)
	if q.key != "" {
		limit = maxKeptBody
	}
	return receive(q.method, resp, limit, t.Usage.End)
}

// count records the request for the burn report.
func (s *Server) count(q call, err error) {
	if q.service == nil || q.member == "" || isCallerFault(err) {
		return
	}
	now := s.opts.Now()
	o := burn.Observation{
		At:      now,
		Series:  burn.Series{Service: q.serviceName, Member: q.member},
		Latency: now.Sub(q.arrived),
	}
	switch {
	case err == nil && now.After(q.deadline):
		o.Outcome = burn.OutcomeLate
	case err == nil:
		o.Outcome = burn.OutcomeGood
	case verdict.Of(err) == verdict.NotRun:
		o.Outcome = burn.OutcomeRefused
	default:
		o.Outcome = burn.OutcomeFailed
	}
	s.opts.Observer.Observe(o)
}

// isCallerFault reports a refusal for a mistake in the request itself, which
// uses no error budget.
func isCallerFault(err error) bool {
	var e *verdict.RequestError
	return errors.As(err, &e) && e.Verdict == verdict.NotRun && e.Status >= 400 && e.Status < 500
}
