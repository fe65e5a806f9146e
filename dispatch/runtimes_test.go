package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// predicted returns the median run time that the engine predicts for a task of a step.
func (f *fixture) predicted(j *Job) time.Duration {
	return f.predict(j, &j.Spec.Steps[0]).Quantile(0.5)
}

// listEnds lists the ends of all runs of one worker at once.
func (f *fixture) listEnds(runs []*Run, reason func(*Run) port.EndReason) {
	var l port.Listing
	for i, r := range runs {
		l.Ended = append(l.Ended, port.EndedTask{Sequence: int64(i + 1), Task: r.Task.ID.String(), Attempt: r.Attempt, Reason: reason(r)})
	}
	f.reportListing(runs[0].Worker.Entry.ID, l)
}

// Guards against plans that rely on declared run times although the real ones were seen.
func TestRunTimesAreLearnedFromEndedRuns(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 64000, 64000))
	j := f.Add(spec("first", small(20)), f.now, 0)
	is.Equal(f.predicted(j), 500*time.Millisecond)
	out := f.plan(0)
	f.confirmStarts(out)
	f.now = f.now.Add(1500 * time.Millisecond)
	f.listEnds(out.Starts, func(*Run) port.EndReason { return port.EndDone })
	next := f.Add(spec("next", small(1)), f.now, 0)
	is.True(f.predicted(next) > 1200*time.Millisecond)
}

// Guards against run times learned from runs that did only a part of the work, were slowed
// down on purpose, or did not complete.
func TestOnlyWholeRunsAreLearned(t *testing.T) {
	for name, change := range map[string]func(f *fixture, r *Run) port.EndReason{
		"failed":    func(*fixture, *Run) port.EndReason { return port.EndFailed },
		"lapsed":    func(*fixture, *Run) port.EndReason { return port.EndLeaseExpired },
		"resumed":   func(_ *fixture, r *Run) port.EndReason { r.resumed = true; return port.EndDone },
		"adopted":   func(_ *fixture, r *Run) port.EndReason { r.adopted = true; return port.EndDone },
		"throttled": func(_ *fixture, r *Run) port.EndReason { r.throttled = true; return port.EndDone },
		"stopped":   func(f *fixture, r *Run) port.EndReason { f.stop(r, StopSlow); return port.EndDone },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(worker("w", 64000, 64000))
			for n := range 20 {
				f.Add(spec(fmt.Sprint(n), small(1)), f.now, 0)
			}
			out := f.plan(0)
			f.confirmStarts(out)
			f.now = f.now.Add(3 * time.Second)
			f.listEnds(out.Starts, func(r *Run) port.EndReason { return change(f, r) })
			is.Equal(f.predicted(f.Add(spec("next", small(1)), f.now, 0)), 500*time.Millisecond)
		})
	}
}

// Guards against the flags of runs that are not learned from being set nowhere.
func TestRunsThatAreNotWholeAreMarked(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 64000, 64000))
	step := job.Step{Tasks: 1, BestEffort: true, EstimateMS: 500, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}
	j := f.Add(spec("j", step), f.now, 0)
	j.occurrences[0].tasks[0][0].Checkpoint = "half"
	out := f.plan(0)
	is.True(out.Starts[0].resumed)
	f.confirmStarts(out)
	f.Worker("w").setBestEffortSuspended(true)
	f.requestThrottles(f.Worker("w"))
	is.True(out.Starts[0].throttled)

	successor := newFixture(worker("w", 64000, 64000))
	adopted := successor.Add(spec("j", step), successor.now, 0)
	successor.reportListing("w", port.Listing{Running: []port.RunningTask{{Task: "j.0.0.0", Attempt: 1, Percent: 50}}})
	is.True(adopted.occurrences[0].tasks[0][0].Runs[0].adopted)
}
