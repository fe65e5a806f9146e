package entry

import (
	"context"
	"errors"
	"time"

	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/retry"
	"github.com/bambooyard/bambooyard/verdict"
)

// send sends the request until it gets a response or may not be retried. The
// error's verdict is not-run only if no send can have run.
func (s *Server) send(ctx context.Context, req request, keyed *keyedRequest) (*response, error) {
	l := s.opts.Limiters.service(req.serviceName)
	l.countFirstSend()
	req.lastTarget = &traffic.LastTarget{}
	var mayHaveRunErr error // error of the last send that may have run
	for sends := 1; ; sends++ {
		if !keyed.maySend() {
			return nil, firstError(mayHaveRunErr, staleError())
		}
		resp, err := s.sendHedged(ctx, req, l)
		if err == nil {
			return resp, nil
		}
		if verdict.Of(err) != verdict.NotRun {
			mayHaveRunErr = err
		}
		retryAllowed := l.allowRetry(retry.Failure{
			Verdict: verdict.Of(err), Repeatable: req.repeatable(), Attempts: sends,
			Remaining: req.deadline.Sub(s.opts.Now()),
		})
		if !retryAllowed {
			return nil, firstError(mayHaveRunErr, err)
		}
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// sendResult is the result of one send.
type sendResult struct {
	response *response
	err      error
}

// sendHedged sends the request and, if it is repeatable and the response takes
// unusually long, sends it a second time. It returns the first response.
func (s *Server) sendHedged(ctx context.Context, req request, l *limiter) (*response, error) {
	delay, ok := l.hedgeDelay(req.deadline.Sub(s.opts.Now()))
	if !ok || !req.repeatable() {
		return s.attempt(ctx, req, l)
	}
	results := make(chan sendResult, 2)
	start := func() {
		ctx, cancel := context.WithCancel(ctx)
		go func() {
			resp, err := s.attempt(ctx, req, l)
			if resp == nil {
				cancel()
			} else {
				release := resp.release
				resp.release = func() { release(); cancel() }
			}
			results <- sendResult{resp, err}
		}()
	}
	start()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.response, r.err
	case <-timer.C:
	}
	inFlight := 1
	if l.allowHedge() {
		start()
		inFlight = 2
	}
	return firstResponse(results, inFlight)
}

// firstResponse returns the first response of the sends in flight and closes the
// others. If all fail, the error of a send that may have run takes precedence.
func firstResponse(results <-chan sendResult, inFlight int) (*response, error) {
	var lastErr error
	for ; inFlight > 0; inFlight-- {
		r := <-results
		if r.err == nil {
			go closeAll(results, inFlight-1)
			return r.response, nil
		}
		if lastErr == nil || verdict.Of(r.err) != verdict.NotRun {
			lastErr = r.err
		}
	}
	return nil, lastErr
}

// closeAll closes the responses of the n remaining sends. It returns by the
// sends' deadline.
func closeAll(results <-chan sendResult, n int) {
	for range n {
		if r := <-results; r.response != nil {
			r.response.close()
		}
	}
}

// attempt sends the request to one target, reads the start of the response and
// records the latency.
func (s *Server) attempt(ctx context.Context, req request, l *limiter) (*response, error) {
	start := s.opts.Now()
	resp, err := s.exchange(ctx, req, l)
	now := s.opts.Now()
	switch {
	case err == nil:
		l.observeResponse(now, now.Sub(start))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		l.observeTimeout(now, now.Sub(start))
	}
	return resp, err
}

// exchange sends the request to a target that the sender picks and reads the
// start of the response.
func (s *Server) exchange(ctx context.Context, req request, l *limiter) (*response, error) {
	resp, err := s.opts.Sender.Send(ctx, traffic.Call{
		Service: req.serviceName, Member: req.member, Method: req.method, Path: req.path, Header: req.header,
		Body: req.body, Repeatable: req.repeatable(), LastTarget: req.lastTarget, Retry: l.allowReconnect,
	})
	if err != nil {
		return nil, err
	}
	limit := int64(maxBufferedBody)
	if req.key != "" {
		limit = maxStoredBody
	}
	return readResponse(req.method, resp, limit, func() {})
}
