package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// stopsAtSpeeds starts a step of checkpointed tasks, alternately on two workers,
// lists their progress for 19 s and returns the runs to stop. The tasks on each
// worker complete the given percentage of their work per second.
func stopsAtSpeeds(t *testing.T, percentA, percentB int) (stops []*Run) {
	t.Helper()
	f := newFixture(worker("a", 4000, 8000), worker("b", 4000, 8000), worker("c", 4000, 8000))
	step := job.Step{Tasks: 8, Checkpoints: true, EstimateMS: 60000, Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}
	f.Add(spec("j", step), f.now, 0)
	for i, task := range f.Job("j").occurrences[0].tasks[0] {
		f.start(task, f.Worker([]string{"a", "b"}[i%2]), 1, f.now)
	}
	f.confirmStarts(f.TakeOutput())
	for second := 1; second < 20; second++ {
		f.now = f.now.Add(time.Second)
		for id, percent := range map[string]int{"a": percentA, "b": percentB} {
			var l port.Listing
			for _, run := range f.Worker(id).sortedRuns() {
				l.Running = append(l.Running, port.RunningTask{Task: run.Task.ID.String(), Attempt: 1, Percent: second * percent})
			}
			f.reportListing(id, l)
		}
		stops = append(stops, f.TakeOutput().Stops...)
	}
	return stops
}

func TestTasksMoveOffSlowWorker(t *testing.T) {
	is := is.New(t)
	stops := stopsAtSpeeds(t, 5, 1)
	is.True(len(stops) > 0)
	for _, run := range stops {
		is.Equal(run.Worker.Entry.ID, "b")
		is.Equal(run.StopReason(), StopSlow)
	}
}

// A step whose declared run time is much too short is slow on every worker.
func TestTasksStayIfWholeStepIsSlow(t *testing.T) {
	is := is.New(t)
	is.Equal(len(stopsAtSpeeds(t, 1, 1)), 0)
}
