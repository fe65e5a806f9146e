package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// crowd is a step of best-effort tasks of which a worker of 16 cores has memory for 20.
func crowd(tasks int) job.Step {
	return job.Step{
		Tasks: tasks, BestEffort: true, Checkpoints: true, Image: "scan", EstimateMS: 2500,
		Resources: job.Resources{MilliCPU: 2000, MemoryMB: 3200},
	}
}

// newPoolBesideServices returns an engine with workers of 16 cores: one without services and
// three whose services request all cores, and use a third of what they request beside tasks
// of the image "scan", which does not disturb them.
func newPoolBesideServices(t *testing.T) *fixture {
	t.Helper()
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000), worker("c", 16000, 64000), worker("d", 16000, 64000))
	f.ImportLearned([]LearnedPair{{Service: "desk", BestEffort: "scan", Permille: []int{1000, 0, 0, 0, 0, 0, 0}}})
	desk := job.Step{Tasks: 12, Service: true, Image: "desk", TargetLatencyMS: 50, MaxPerWorker: 4, Resources: job.Resources{MilliCPU: 4000, MemoryMB: 4000}}
	f.Add(spec("desk", desk), f.now, 0)
	f.plan(0)
	out := f.plan(time.Second)
	is.Equal(len(out.Starts), 12)
	f.confirmStarts(out)
	listings := map[string]port.Listing{}
	for _, r := range out.Starts {
		l := listings[r.Worker.Entry.ID]
		l.Running = append(l.Running, port.RunningTask{Task: r.Task.ID.String(), Attempt: r.Attempt, Percent: 100, Measurement: 20})
		listings[r.Worker.Entry.ID] = l
	}
	for id, l := range listings {
		f.reportListing(id, l)
	}
	return f
}

// startsByWorker counts the starts on workers with and without services.
func startsByWorker(f *fixture, out Output) (beside, alone int) {
	for _, r := range out.Starts {
		if len(f.colocationOf(r.Worker).services) > 0 {
			beside++
		} else {
			alone++
		}
	}
	return beside, alone
}

// Guards against batch jobs that take twice as long as declared: a burst of best-effort tasks
// was packed by memory on the worker without services, at 2.5 times its processors, although
// the services of the others left most of theirs idle.
func TestBestEffortBurstUsesTheIdleProcessorsBesideServices(t *testing.T) {
	is := is.New(t)
	f := newPoolBesideServices(t)
	f.Add(spec("burst", crowd(20)), f.now, 0)
	beside, alone := startsByWorker(f, f.plan(0))
	is.Equal(beside+alone, 20)
	is.True(alone <= 12) // one and a half times its processors
}

// Guards against a backlog of best-effort tasks that all run at once and are all late: the
// workers take them up to a bound, and the others wait for the first to end.
func TestBestEffortBacklogWaitsForProcessors(t *testing.T) {
	is := is.New(t)
	f := newPoolBesideServices(t)
	for i := range 10 {
		f.Add(spec(fmt.Sprintf("backlog%d", i), crowd(8)), f.now, 0)
	}
	out := f.plan(0)
	_, alone := startsByWorker(f, out)
	is.True(len(out.Starts) < 60) // there is memory for 60
	is.True(alone <= 12)
	f.confirmStarts(out)
	f.listEnd(out.Starts[0], 1, port.EndDone)
	waiting, workers, load := f.BestEffortState()
	is.Equal(waiting, 80-len(out.Starts)) // operators see the backlog
	is.Equal(workers, 4)
	is.True(load <= 4*1.5)
	is.Equal(len(f.plan(0).Starts), 1) // the place of the one that has ended
}
