package cell

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
)

// sendRequests sends the requests of the engine's output to workers and the
// advisor.
func (t *term) sendRequests(out dispatch.Output, now time.Time) {
	for _, r := range out.Starts {
		t.start(r, now)
	}
	for _, r := range out.Stops {
		t.stop(r, now)
	}
	for _, run := range out.UnknownRuns {
		t.stopUnknownRun(run)
	}
	for _, th := range out.Throttles {
		t.throttle(th, now)
	}
	for _, req := range out.AdviceRequests {
		t.callAdvisor(req, now)
	}
}

// Timeouts of requests to workers: twice the round trip between regions, and the
// response time of a slow worker.
const (
	requestTimeout = 700 * time.Millisecond
	stopTimeout    = 900 * time.Millisecond
)

func (t *term) start(r *dispatch.Run, now time.Time) {
	task := r.Task
	req := port.StartRequest{
		Task: task.ID.String(), Attempt: r.Attempt, Payload: task.Job.Spec.Payload,
		Checkpoint: task.Checkpoint, Ticket: r.Ticket, Epoch: t.epoch, NotAfterMS: r.NotAfterMS(),
	}
	target, observed := r.Worker.Target(), r.Worker.Observe(now)
	waited := now.Sub(task.ReadySince(now))
	if r.IsCopy() {
		waited = 0 // the task has had a run since
	} else {
		observe(t.c.instruments.startLatency, waited)
	}
	if r.FirstOfJob {
		observe(t.c.instruments.firstStartLatency, now.Sub(task.Job.Arrived()))
	}
	t.log.WithFields(log.Fields{"event": "task_start", "task": req.Task, "attempt": req.Attempt, "worker": target.ID,
		"resumed": req.Checkpoint != "", "waited_ms": waited.Milliseconds()}).Info("start requested")
	runAsync(t, t.c.loopDelay.timeout(requestTimeout), func(ctx context.Context) (int64, error) {
		return t.c.Workers.Start(ctx, target, req)
	}, func(clock int64, err error) {
		if err != nil {
			t.log.WithFields(log.Fields{"event": "task_start_failed", "task": req.Task, "attempt": req.Attempt, "worker": target.ID}).WithError(err).Info("start request refused or unanswered")
		}
		t.engine.HandleStartResponse(r, observed, clock, err, t.c.Now())
		t.checkEpoch(r.Worker, err)
		t.schedulePlan()
	})
}

// checkEpoch ends the term if a worker has refused a request because it has seen a
// higher epoch. A worker that has moved to another cell has seen that of its new owner.
func (t *term) checkEpoch(w *dispatch.Worker, err error) {
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Reason == port.RefusedEpoch && t.c.contains(w.Entry) {
		t.c.loseOwnership("a worker has seen a higher epoch")
	}
}

// contains reports whether a worker belongs to the cell.
func (c *Cell) contains(w port.WorkerEntry) bool {
	if c.group == nil {
		return true
	}
	n, ok := c.group.cellMap.CellOf(w)
	return ok && n == c.Number
}

func (t *term) stop(r *dispatch.Run, now time.Time) {
	name, target, observed := r.Task.ID.String(), r.Worker.Target(), r.Worker.Observe(now)
	t.log.WithFields(log.Fields{"event": "task_stop", "task": name, "attempt": r.Attempt, "worker": target.ID, "reason": string(r.StopReason())}).Info("stop requested")
	runAsync(t, t.c.loopDelay.timeout(stopTimeout), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.c.Workers.Stop(ctx, target, name, r.Attempt, t.epoch)
	}, func(_ struct{}, err error) {
		t.engine.HandleStopResponse(r, observed, err, t.c.Now())
		t.checkEpoch(r.Worker, err)
		t.schedulePlan()
	})
}

// stopUnknownRun stops a listed attempt that the engine has not adopted. If the
// request fails, the worker lists the attempt again, and it is stopped then.
func (t *term) stopUnknownRun(run dispatch.UnknownRun) {
	target := run.Worker.Target()
	t.log.WithFields(log.Fields{"event": "stray_stop", "task": run.Task, "attempt": run.Attempt, "worker": target.ID}).Info("stopping an unknown run")
	runAsync(t, t.c.loopDelay.timeout(stopTimeout), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.c.Workers.Stop(ctx, target, run.Task, run.Attempt, t.epoch)
	}, func(_ struct{}, err error) {
		t.checkEpoch(run.Worker, err)
	})
}

func (t *term) throttle(th dispatch.Throttle, now time.Time) {
	r := th.Run
	name, target, observed := r.Task.ID.String(), r.Worker.Target(), r.Worker.Observe(now)
	t.log.WithFields(log.Fields{"event": "task_throttle", "task": name, "attempt": r.Attempt, "worker": target.ID, "percent": th.Percent}).Info("throttle requested")
	runAsync(t, t.c.loopDelay.timeout(requestTimeout), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.c.Workers.Throttle(ctx, target, name, r.Attempt, t.epoch, th.Percent)
	}, func(_ struct{}, err error) {
		t.engine.HandleThrottleResponse(r, observed, th.Percent, err, t.c.Now())
		t.checkEpoch(r.Worker, err)
	})
}
