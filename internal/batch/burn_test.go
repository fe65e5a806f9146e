package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/burn"
)

// Each task is counted once for the burn report, by how it ended.
func TestEndedTasksAreObserved(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, 2)
	w.startDaemon()
	var counts burn.Counts
	w.daemons[0].m.opts.Observe = func(o burn.Observation) {
		is.Equal(o.Series, burn.Series{Service: burn.BatchService, Member: "m"})
		counts[o.Outcome]++
	}
	w.runUntil(func() bool { return w.owner() != nil })
	late, good, bad := testJob("late", 2, time.Second), testJob("good", 3, time.Second), testJob("bad", 1, time.Second)
	late.DeadlineUnixMS = w.clock.Now().UnixMilli()
	good.DeadlineUnixMS = w.clock.Now().Add(time.Hour).UnixMilli()
	bad.Payload = "fail"
	w.submit(late)
	w.submit(good)
	w.submit(bad)
	w.clock.Run(time.Minute)
	is.Equal(counts, burn.Counts{burn.OutcomeGood: 3, burn.OutcomeLate: 2, burn.OutcomeFailed: 1})
}
