package cell

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
)

var errNoAdvisor = errors.New("no advisor is configured")

// askAdvisor asks the advisor which workers may run a step.
func (t *term) askAdvisor(q dispatch.AdviceRequest, now time.Time) {
	timeout := requestTimeout + dispatch.AdviceTime(q.Job.Queue.Advisor)
	runAsync(t, timeout, func(ctx context.Context) (map[string]string, error) {
		if t.c.Advisor == nil {
			return nil, errNoAdvisor
		}
		return t.c.Advisor.Advise(ctx, q.Step, q.Workers)
	}, func(tickets map[string]string, err error) {
		done := t.c.Now()
		entry := t.log.WithFields(log.Fields{"event": "advice", "step": q.Step, "asked": len(q.Workers), "eligible": len(tickets),
			"took_ms": done.Sub(now).Milliseconds()})
		if err != nil {
			entry.WithError(err).Warn("call to the advisor failed; retrying")
		} else {
			entry.Info("advised")
		}
		t.engine.HandleAdvice(q, tickets, err, now, done)
		t.schedulePlan()
	})
}
