package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// TestCountsAgreeWithTasksAndJobs checks the counts of waiting tasks by job, and of
// jobs that have not started by queue, after random events.
func TestCountsAgreeWithTasksAndJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(worker("w0", 4000, 64000), worker("w1", 4000, 64000))
		var runs []*Run
		sequence := map[string]int64{}
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				step := small(rapid.IntRange(1, 4).Draw(t, "tasks"))
				step.Gang = rapid.Bool().Draw(t, "gang")
				step.Speculative = rapid.Bool().Draw(t, "speculative")
				queue := rapid.SampledFrom([]string{"q", "other"}).Draw(t, "queue")
				j := f.Add(job.Spec{ID: fmt.Sprintf("j%d", n), Queue: queue, Steps: []job.Step{step}}, f.now, 0)
				if rapid.Bool().Draw(t, "restored") {
					is.New(t).NoErr(f.Restore(j, Progress{Tasks: []TaskProgress{{Done: rapid.Bool().Draw(t, "done")}}}))
				}
			case 1:
				out := f.plan(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				runs = append(runs, out.Starts...)
				f.confirmStarts(out)
			case 2:
				if len(runs) > 0 {
					r := runs[rapid.IntRange(0, len(runs)-1).Draw(t, "run")]
					reason := rapid.SampledFrom([]port.EndReason{port.EndDone, port.EndFailed, port.EndStopped}).Draw(t, "reason")
					sequence[r.Worker.Entry.ID]++
					f.listEnd(r, sequence[r.Worker.Entry.ID], reason)
				}
			case 3:
				f.HandleReplacement(f.Observe(rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"), f.now), f.now)
			case 4:
				f.Cancel(fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(t, "job")))
			}
			checkCounts(t, f.Engine)
		}
	})
}

func checkCounts(t *rapid.T, e *Engine) {
	is := is.New(t)
	unstarted := map[string]int{}
	for _, j := range e.Jobs() {
		if !j.Started {
			unstarted[j.Spec.Queue]++
		}
		waiting := 0
		for task := range j.allTasks() {
			if !task.Done && len(task.Runs) == 0 {
				waiting++
			}
		}
		is.Equal(j.waiting, waiting) // job's count of waiting tasks
	}
	is.Equal(e.Unstarted(), unstarted) // jobs that have not started, by queue
}

// Guards against a negative depth of a queue: a job that was cancelled before its requested
// start was confirmed was subtracted again when a worker listed the run.
func TestCancelledJobIsNotSubtractedTwiceFromTheDepth(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 8000, 8000))
	f.Add(spec("j", small(1)), f.now, 0)
	out := f.plan(0)
	is.Equal(len(out.Starts), 1)
	f.Cancel("j")
	f.reportListing("w", port.Listing{Running: []port.RunningTask{{Task: "j.0.0.0", Attempt: out.Starts[0].Attempt}}})
	is.Equal(f.Unstarted(), map[string]int{})
}
