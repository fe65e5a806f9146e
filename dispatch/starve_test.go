package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
)

// Guards against a best-effort task with a large share of a worker's processors that waits
// without bound because smaller ones take what becomes free.
func TestBestEffortTaskWithALargeShareIsNotStarved(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	stream := step(1, 2000, 2000)
	stream.BestEffort, stream.Image = true, "small"
	n := 0
	add := func() {
		f.Add(spec(fmt.Sprintf("small%04d", n), stream), f.now, 0)
		n++
	}
	for range 16 {
		add()
	}
	large := step(1, 8000, 2000)
	large.BestEffort, large.Image = true, "large"
	since := f.now
	task := (*Task)(nil)
	for i := 0; i < 1200; i++ {
		if i == 20 {
			since = f.now
			task = f.Add(spec("large", large), f.now, 0).occurrences[0].tasks[0][0]
		}
		if i%2 == 0 {
			add()
		}
		out := f.plan(100 * time.Millisecond)
		f.confirmStarts(out)
		if task != nil && task.hasRun {
			is.True(f.now.Sub(since) <= maxContentionWait+time.Second)
			return
		}
		for _, w := range f.Workers() {
			w.ExtendLease(f.now, testOptions.MaxLease)
			var ended *Run
			for _, r := range w.sortedRuns() {
				if ended == nil && f.now.Sub(r.requestedAt) >= 2*time.Second+time.Duration(i%7)*50*time.Millisecond {
					ended = r
				}
			}
			f.listWorking(w, ended, port.EndDone)
		}
	}
	is.Fail()
}
