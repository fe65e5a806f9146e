package entry

import (
	"context"
	"errors"
	"time"

	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/retry"
	"github.com/bambooyard/bambooyard/verdict"
)

// send sends the request until it is answered or may not be sent again. Its
// error says not-run only if no send may have run.
func (s *Server) send(ctx context.Context, q call, o *once) (*answer, error) {
	g := s.opts.Limiters.service(q.serviceName)
	g.first()
	q.tried = &traffic.LastTarget{}
	var ran error // of the last send that may have run
	for sends := 1; ; sends++ {
		if !o.maySend() {
			return nil, firstOf(ran, staleError())
		}
		a, err := s.hedged(ctx, q, g)
		if err == nil {
			return a, nil
		}
		if verdict.Of(err) != verdict.NotRun {
			ran = err
		}
		again := g.again(retry.Failure{
			Verdict: verdict.Of(err), Repeatable: q.repeatable(), Attempts: sends,
			Remaining: q.deadline.Sub(s.opts.Now()),
		})
		if !again {
			return nil, firstOf(ran, err)
		}
	}
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// sent is the end of one send.
type sent struct {
	answer *answer
	err    error
}

// hedged sends the request, and once more if the answer takes unusually long
// and the request may run twice. The first answer counts.
func (s *Server) hedged(ctx context.Context, q call, g *gate) (*answer, error) {
	after, ok := g.hedgeAfter(q.deadline.Sub(s.opts.Now()))
	if !ok || !q.repeatable() {
		return s.attempt(ctx, q, g)
	}
	results := make(chan sent, 2)
	start := func() {
		ctx, cancel := context.WithCancel(ctx)
		go func() {
			a, err := s.attempt(ctx, q, g)
			if a == nil {
				cancel()
			} else {
				end := a.end
				a.end = func() { end(); cancel() }
			}
			results <- sent{a, err}
		}()
	}
	start()
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.answer, r.err
	case <-timer.C:
	}
	waiting := 1
	if g.hedge() {
		start()
		waiting = 2
	}
	return firstAnswer(results, waiting)
}

// firstAnswer returns the first answer of the sends under way, and gives up
// the others'.
func firstAnswer(results <-chan sent, waiting int) (*answer, error) {
	var failed error
	for ; waiting > 0; waiting-- {
		r := <-results
		if r.err == nil {
			go closeAll(results, waiting-1)
			return r.answer, nil
		}
		if failed == nil || verdict.Of(r.err) != verdict.NotRun {
			failed = r.err
		}
	}
	return nil, failed
}

// closeAll ends with the sends' deadline at the latest.
func closeAll(results <-chan sent, n int) {
	for range n {
		if r := <-results; r.answer != nil {
			r.answer.close()
		}
	}
}

// attempt sends the request to one target and reads the begin of its answer.
func (s *Server) attempt(ctx context.Context, q call, g *gate) (*answer, error) {
	begun := s.opts.Now()
	a, err := s.exchange(ctx, q, g)
	now := s.opts.Now()
	switch {
	case err == nil:
		g.answered(now, now.Sub(begun))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		g.timedOut(now, now.Sub(begun))
	}
	return a, err
}

// exchange sends the request to a target that the picker chooses.
func (s *Server) exchange(ctx context.Context, q call, g *gate) (*answer, error) {
	a, err := s.opts.Sender.Send(ctx, traffic.Call{
		Service: q.serviceName, Member: q.member, Method: q.method, Path: q.path, Header: q.header,
		Body: q.body, Repeatable: q.repeatable(), LastTarget: q.tried, Retry: g.move,
	})
	if err != nil {
		return nil, err
	}
	limit := int64(maxBufferedAnswer)
	if q.key != "" {
		limit = maxKeptBody
	}
	return receive(q.method, a, limit, func() {})
}
