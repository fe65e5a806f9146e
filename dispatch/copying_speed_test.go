package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a copy that is as slow as the first run.
func TestCopyAvoidsColdAndSlowWorkers(t *testing.T) {
	unsuitable := map[string]func(f *racing, w *Worker){
		"cold": func(_ *racing, w *Worker) { w.Entry.WarmUp = time.Second },
		"slow": func(f *racing, w *Worker) {
			sample := speedSample{"other", slowRatio / 2}
			w.speedHistory = speedHistory{[]speedSample{sample, sample, sample}, f.now}
		},
		"the task was moved away from": func(f *racing, w *Worker) { f.straggler.Task.movedFrom = w.Entry.ID },
	}
	for name, change := range unsuitable {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRacing(t, speculative(4))
			for _, w := range f.workerList {
				w.Entry.Rack = "r"
			}
			change(f, f.Worker("w1")) // the best otherwise
			is.True(f.straggler.Worker.Entry.ID != "w1")
			is.Equal(f.copyOf(t).Worker.Entry.ID, "w2")
		})
	}
}

// Guards against work that is lost because the first run is moved although its task already
// runs elsewhere.
func TestRunWithACopyIsNotMovedOffASlowWorker(t *testing.T) {
	for _, copied := range []bool{true, false} {
		t.Run(fmt.Sprintf("copied %t", copied), func(t *testing.T) {
			is := is.New(t)
			step := speculative(4)
			step.Checkpoints, step.EstimateMS = true, 10000
			f := newRacing(t, step)
			if copied {
				f.copyOf(t)
			}
			sample := speedSample{"other", slowRatio / 2}
			f.straggler.Worker.speedHistory = speedHistory{[]speedSample{sample, sample, sample}, f.now}
			f.list(f.straggler, 6)
			is.Equal(len(f.TakeOutput().Stops) == 0, copied)
		})
	}
}

// Guards against a slow run that is taken for a fast one, because the progress that it
// resumed from counts as its own.
func TestProgressOfAResumedRunCountsFromItsFirstListing(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.straggler.resumed = true
	f.list(f.straggler, 50)
	f.now = f.now.Add(time.Second)
	f.list(f.straggler, 55)
	is.Equal(f.copyRun(f.straggler.Task, f.now).Elapsed, 11*time.Second) // at 5% a second
	is.Equal(len(f.plan(0).Copies), 1)
}
