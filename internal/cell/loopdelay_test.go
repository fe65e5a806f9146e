package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// ticks records n ticks at an interval and returns how often the state changed.
func ticks(d *loopDelay, now *time.Time, n int, interval time.Duration) int {
	changes := 0
	for range n {
		*now = now.Add(interval)
		if d.tick(*now) {
			changes++
		}
	}
	return changes
}

func TestLateTicksCountAsOverload(t *testing.T) {
	is := is.New(t)
	var d loopDelay
	now := time.Unix(1000, 0)
	is.Equal(ticks(&d, &now, 1000, tickInterval+10*time.Millisecond), 0) // slightly late
	is.Equal(ticks(&d, &now, 40, 3*tickInterval), 1)
	is.True(d.overloaded)
	is.Equal(ticks(&d, &now, 100, tickInterval+30*time.Millisecond), 0) // still late
	is.True(d.overloaded)
	is.Equal(ticks(&d, &now, 100, tickInterval), 1)
	is.True(!d.overloaded)
}

func TestOneLateTickIsNoOverload(t *testing.T) {
	is := is.New(t)
	var d loopDelay
	now := time.Unix(1000, 0)
	ticks(&d, &now, 20, tickInterval)
	is.Equal(ticks(&d, &now, 1, 3*tickInterval), 0)
	is.Equal(ticks(&d, &now, 20, tickInterval), 0)
}

func TestSuspensionCountsAsOverloadOnlyBriefly(t *testing.T) {
	is := is.New(t)
	var d loopDelay
	now := time.Unix(1000, 0)
	ticks(&d, &now, 20, tickInterval)
	ticks(&d, &now, 1, time.Minute)
	ticks(&d, &now, int(2*time.Second/tickInterval), tickInterval)
	is.True(!d.overloaded)
}

// TestOverloadStretchesShortWaits checks that an overloaded owner renews leases at the
// TestOverloadStretchesShortWaits checks that an overloaded owner lists services over
// their target less often, but never as rarely as a worker without services.
func TestOverloadStretchesShortWaits(t *testing.T) {
	is := is.New(t)
	e := dispatch.NewEngine(dispatch.Options{MaxLease: 6 * time.Second, StartWindow: 1500 * time.Millisecond, MaxViolation: 4 * time.Second})
	now := time.Unix(1000, 0)
	e.SetQueues([]job.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}, 1)
	e.SetWorkers([]port.WorkerEntry{{ID: "w", Pool: "pool", Boot: 1, Capacity: job.Resources{MilliCPU: 64000, MemoryMB: 250000}}}, now)
	e.HandleListing(e.Observe("w", now), port.Listing{ClockMS: 1000, Boot: 1}, now)
	w, hb := e.Worker("w"), &workerHeartbeat{}
	is.Equal(hb.wait(w, false, true), time.Duration(0)) // idle worker
	e.Add(benchJob(0, true), now, 0)
	e.Add(benchJob(1, false), now, 0)
	now = now.Add(time.Second)
	e.Plan(now)
	for _, r := range e.TakeOutput().Starts {
		e.HandleStartResponse(r, r.Worker.Observe(now), 2000, nil, now)
	}
	is.True(w.Colocated())
	is.Equal(hb.wait(w, false, false), colocatedWait)
	is.Equal(hb.wait(w, false, true), colocatedWait) // measurements lag too much for more
	listOverTarget(e, w, now)
	is.True(w.OverLatencyTarget())
	is.Equal(hb.wait(w, false, false), overTargetWait)
	is.Equal(hb.wait(w, false, true), colocatedWait)
	is.Equal(hb.wait(w, true, true), time.Duration(0)) // uncommitted ends
	hb.failed = true
	is.Equal(hb.wait(w, false, true), time.Duration(0)) // unresponsive worker
	hb.sentAt = now
	is.True(hb.due(w, false, false, now.Add(retryInterval)))
	is.True(!hb.due(w, false, true, now.Add(retryInterval)))
	is.True(hb.due(w, false, true, now.Add(idleRetryInterval)))
}

// listOverTarget passes the engine a listing in which all services exceed their targets.
func listOverTarget(e *dispatch.Engine, w *dispatch.Worker, now time.Time) {
	l := port.Listing{ClockMS: 3000, Boot: 1}
	for _, j := range e.Jobs() {
		for i := range j.Spec.Steps[0].Tasks {
			id := job.TaskID{Job: j.Spec.ID, Index: i}
			l.Running = append(l.Running, port.RunningTask{Task: id.String(), Attempt: 1, Percent: 100, Measurement: 2 * j.Spec.Steps[0].TargetLatencyMS})
		}
	}
	e.HandleListing(e.Observe(w.Entry.ID, now), l, now)
}

func TestOverloadLengthensShortPausesBetweenPlans(t *testing.T) {
	is := is.New(t)
	is.Equal(planPause(time.Millisecond, false), planPauseFactor*time.Millisecond)
	is.Equal(planPause(time.Millisecond, true), overloadedPlanPause)
	is.Equal(planPause(time.Second, false), maxPlanPause)
	is.Equal(planPause(time.Second, true), maxPlanPause)
}

func TestOverloadExtendsTimeouts(t *testing.T) {
	is := is.New(t)
	is.Equal((&loopDelay{}).timeout(requestTimeout), requestTimeout)
	is.Equal((&loopDelay{overloaded: true}).timeout(requestTimeout), requestTimeout+overloadedTimeout)
}
