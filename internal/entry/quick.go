package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/apex/log"
	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/admit"
	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/verdict"
)

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
	g := s.opts.Limiters.service(q.serviceName)
	decision := g.arrive(q.arrived,
		admit.Capacity{Share: q.service.Limit, Slots: q.service.Slots},
		admit.Request{Member: q.member, Weight: q.snapshot.Weights[q.member], Deadline: q.deadline})
	if !decision.Admitted {
		return verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, decision.RetryAfter, "service %q %s", q.serviceName, decision.Reason)
	}
	defer g.leave(q.member)
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
