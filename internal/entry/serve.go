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

func (s *Server) serveRequest(c *gin.Context) {
	req, err := s.parse(c)
	if err == nil {
		err = s.admitAndRun(c, req)
	}
	s.observe(req, err)
	var aborted *abortedError
	switch {
	case errors.As(err, &aborted):
		s.opts.Log.WithFields(log.Fields{
			"event": "answer_aborted", "request": req.id, "member": req.member, "service": req.serviceName,
		}).WithError(err).Warn("response interrupted; closing the caller's connection")
		panic(http.ErrAbortHandler)
	case err != nil:
		s.writeError(c, req, err)
	}
}

func (s *Server) admitAndRun(c *gin.Context, req request) error {
	l := s.opts.Limiters.service(req.serviceName)
	decision := l.admit(req.arrived,
		admit.Capacity{Share: req.service.Limit, Slots: req.service.Slots},
		admit.Request{Member: req.member, Weight: req.snapshot.Weights[req.member], Deadline: req.deadline})
	if !decision.Admitted {
		return verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, decision.RetryAfter, "service %q %s", req.serviceName, decision.Reason)
	}
	defer l.release(req.member)
	parent := c.Request.Context()
	if req.key != "" {
		// Finish the request even if its caller disconnects: a retry with the same
		// key needs the outcome.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, req.deadline)
	defer cancel()
	if req.key == "" {
		return s.sendAndRespond(ctx, c, req, nil)
	}
	return s.runKeyed(ctx, c, req)
}

// sendAndRespond sends the request to a target and writes the response.
func (s *Server) sendAndRespond(ctx context.Context, c *gin.Context, req request, keyed *keyedRequest) error {
	resp, err := s.send(ctx, req, keyed)
	if err != nil {
		keyed.handleFailure(err)
		return err
	}
	defer resp.close()
	return s.writeResponse(c, req, resp, keyed)
}

// observe reports the request's outcome to the observer. Caller errors and
// requests without a known service and member are left out.
func (s *Server) observe(req request, err error) {
	if req.service == nil || req.member == "" || isCallerError(err) {
		return
	}
	now := s.opts.Now()
	o := burn.Observation{
		At:      now,
		Series:  burn.Series{Service: req.serviceName, Member: req.member},
		Latency: now.Sub(req.arrived),
	}
	switch {
	case err == nil && now.After(req.deadline):
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

// isCallerError reports whether err is a refusal with a 4xx status, which uses no
// error budget.
func isCallerError(err error) bool {
	var e *verdict.RequestError
	return errors.As(err, &e) && e.Verdict == verdict.NotRun && e.Status >= 400 && e.Status < 500
}
