package cell

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
)

var errNoAdvisor = errors.New("no advisor is configured")

// callAdvisor sends a request to the advisor.
func (t *term) callAdvisor(req dispatch.AdviceRequest, now time.Time) {
	timeout := requestTimeout + dispatch.AdviceTime(req.Job.Queue.Advisor)
	runAsync(t, timeout, func(ctx context.Context) (map[string]string, error) {
		if t.c.Advisor == nil {
			return nil, errNoAdvisor
		}
		return t.c.Advisor.Advise(ctx, req.Step, req.Workers)
	}, func(tickets map[string]string, err error) {
		done := t.c.Now()
		entry := t.log.WithFields(log.Fields{"event": "advice", "step": req.Step, "asked": len(req.Workers), "eligible": len(tickets),
			"took_ms": done.Sub(now).Milliseconds()})
		if err != nil {
			entry.WithError(err).Warn("call to the advisor failed; retrying")
		} else {
			entry.Info("the advisor has replied")
		}
		t.engine.HandleAdvice(req, tickets, err, now, done)
		t.schedulePlan()
	})
}
