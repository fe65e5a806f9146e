package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/burn"
)

// TestEndedTasksAreObserved checks that each ended task is counted once in the error
// budget report, with its outcome.
func TestEndedTasksAreObserved(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, 2)
	sim.startDaemon()
	var counts burn.Counts
	sim.daemons[0].manager.opts.Observe = func(o burn.Observation) {
		is.Equal(o.Series, burn.Series{Service: burn.BatchService, Member: "m"})
		counts[o.Outcome]++
	}
	sim.runUntil(func() bool { return sim.owner() != nil })
	late, good, bad := testJob("late", 2, time.Second), testJob("good", 3, time.Second), testJob("bad", 1, time.Second)
	late.DeadlineUnixMS = sim.clock.Now().UnixMilli()
	good.DeadlineUnixMS = sim.clock.Now().Add(time.Hour).UnixMilli()
	bad.Payload = "fail"
	sim.submit(late)
	sim.submit(good)
	sim.submit(bad)
	sim.clock.Run(time.Minute)
	is.Equal(counts, burn.Counts{burn.OutcomeGood: 3, burn.OutcomeLate: 2, burn.OutcomeFailed: 1})
}
