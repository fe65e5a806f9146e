package cell

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
)

// carryOut gives the engine's orders.
func (t *tenure) carryOut(out dispatch.Output, now time.Time) {
	for _, r := range out.Starts {
		t.start(r, now)
	}
	for _, r := range out.Stops {
		t.stop(r, now)
	}
	for _, s := range out.OrphanRuns {
		t.stopStray(s)
	}
	for _, th := range out.Throttles {
		t.throttle(th)
	}
	for _, q := range out.AdviceRequests {
		t.ask(q, now)
	}
}

// Time-outs of orders: twice the round trip between regions and a slow
// worker's answer.
const (
	orderTimeout = 700 * time.Millisecond
	stopTimeout  = 900 * time.Millisecond
)

func (t *tenure) start(r *dispatch.Run, now time.Time) {
	task := r.Task
	order := port.StartRequest{
		Task: task.ID.String(), Attempt: r.Attempt, Payload: task.Job.Spec.Payload,
		Checkpoint: task.Checkpoint, Ticket: r.Ticket, Epoch: t.epoch, NotAfterMS: r.NotAfterMS(),
	}
	target := r.Worker.Target()
	observe(t.c.gauges.handOver, now.Sub(task.ReadySince(now)))
	if r.FirstOfJob {
		observe(t.c.gauges.firstStart, now.Sub(task.Job.Arrived()))
	}
	t.log.WithFields(log.Fields{"event": "task_start", "task": order.Task, "attempt": order.Attempt, "worker": target.ID,
		"resumed": order.Checkpoint != "", "waited_ms": now.Sub(task.ReadySince(now)).Milliseconds()}).Info("ordered")
	do(t, orderTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Workers.Start(ctx, target, order)
	}, func(clock int64, err error) {
		if err != nil {
			t.log.WithFields(log.Fields{"event": "task_start_failed", "task": order.Task, "attempt": order.Attempt, "worker": target.ID}).WithError(err).Info("start")
		}
		t.engine.HandleStartResponse(r, clock, err, now, t.c.Now())
		t.orderAnswered(err)
		t.kick()
	})
}

// orderAnswered ends the tenure when a worker knows a higher epoch.
func (t *tenure) orderAnswered(err error) {
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Reason == port.RefusedEpoch {
		t.c.lose("a worker knows a higher epoch")
	}
}

func (t *tenure) stop(r *dispatch.Run, now time.Time) {
	name, target := r.Task.ID.String(), r.Worker.Target()
	t.log.WithFields(log.Fields{"event": "task_stop", "task": name, "attempt": r.Attempt, "worker": target.ID, "reason": string(r.StopReason())}).Info("ordered")
	do(t, stopTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.c.Workers.Stop(ctx, target, name, r.Attempt, t.epoch)
	}, func(_ struct{}, err error) {
		t.engine.HandleStopResponse(r, err, now, t.c.Now())
		t.orderAnswered(err)
		t.kick()
	})
}

// stopStray ends a run that no open task has. It is listed again, and stopped
// again, if this order fails.
func (t *tenure) stopStray(s dispatch.OrphanRun) {
	target := s.Worker.Target()
	t.log.WithFields(log.Fields{"event": "stray_stop", "task": s.Task, "attempt": s.Attempt, "worker": target.ID}).Info("ordered")
	do(t, stopTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.c.Workers.Stop(ctx, target, s.Task, s.Attempt, t.epoch)
	}, func(_ struct{}, err error) {
		t.orderAnswered(err)
	})
}

func (t *tenure) throttle(th dispatch.Throttle) {
	r := th.Run
	name, target := r.Task.ID.String(), r.Worker.Target()
	t.log.WithFields(log.Fields{"event": "task_throttle", "task": name, "attempt": r.Attempt, "worker": target.ID, "percent": th.Percent}).Info("ordered")
	do(t, orderTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.c.Workers.Throttle(ctx, target, name, r.Attempt, t.epoch, th.Percent)
	}, func(_ struct{}, err error) {
		t.engine.HandleThrottleResponse(r, th.Percent, err, t.c.Now())
		t.orderAnswered(err)
	})
}
