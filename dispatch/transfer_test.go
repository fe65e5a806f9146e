package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// full returns a fixture whose only worker has no room for the job "service" of two tasks.
func full() (*fixture, *Job) {
	f := newFixture(worker("a", 4000, 64000))
	f.Add(spec("other", serviceStep(1, 4000)), f.now, 0)
	f.confirmStarts(f.plan(time.Second))
	f.listAllRunning()
	return f, f.Add(spec("service", serviceStep(2, 2000)), f.now, 0)
}

// Guards against LOST: a service that has not begun waits for good in a full cell after a
// takeover, because a job that a former owner may have started does not move.
func TestServiceOfAFormerOwnerIsTransferableThoughItHasNotBegun(t *testing.T) {
	is := is.New(t)
	f, j := full()
	f.plan(time.Second)
	f.plan(transferNewAfter)
	is.Equal(len(f.Transferable(j, f.now)), 0) // it moves as a whole
	is.NoErr(f.Restore(j, Progress{}))
	f.listAllRunning()
	f.plan(0)
	steps := f.Transferable(j, f.now)
	is.Equal(len(steps), 1)
	found := steps[0]
	is.Equal(len(found.Tasks), 2)
	is.True(!found.Interrupted)
	for _, s := range found.Tasks {
		f.GiveAway(s.ID("service"))
	}
	is.Equal(f.Unstarted(), map[string]int{}) // it has begun in another cell
	is.Equal(len(f.plan(time.Second).Starts), 0)
}

// Guards against TWICE: a task that another cell runs is started or adopted here.
func TestTaskElsewhereIsNeitherStartedNorAdopted(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	j := f.Add(spec("service", serviceStep(1, 1000)), f.now, 0)
	f.GiveAway(job.TaskID{Job: "service"})
	is.Equal(len(f.plan(time.Second).Starts), 0)
	f.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: "service.0.0.0", Attempt: 3}}})
	out := f.plan(0)
	is.Equal(len(out.UnknownRuns), 1) // it is stopped
	f.reportListing("a", port.Listing{})
	f.TakeIn(j, TransferredTask{Attempt: 20}, f.now)
	out = f.plan(time.Second)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Attempt, 21)
}

// Guards against BUDGET: a task that crashes workers is started more often because the cell that
// hosts it does not give it up, and the home cell does not know of the crashes.
func TestHostedTaskThatCrashesWorkersIsGivenUpAtHome(t *testing.T) {
	is := is.New(t)
	host := newFixture(worker("a", 8000, 64000))
	j := host.AddHosted(spec("service", serviceStep(1, 1000)), host.now, 0)
	host.TakeIn(j, TransferredTask{Attempt: 2, Crashes: []int{1}}, host.now)
	for range maxCrashes - 1 {
		out := host.plan(3 * time.Second)
		is.Equal(len(out.Starts), 1)
		host.recordCrash(out.Starts[0].Task, out.Starts[0].Attempt)
		host.markLost(out.Starts[0], LossWorkerGone)
	}
	is.Equal(len(host.plan(3*time.Second).Starts), 0)
	steps := host.Transferable(j, host.now)
	is.Equal(len(steps), 1)
	found := steps[0]
	is.True(found.GivenUp)

	home := newFixture(worker("a", 8000, 64000))
	j = home.Add(spec("service", serviceStep(1, 1000)), home.now, 0)
	home.GiveAway(job.TaskID{Job: "service"})
	home.TakeIn(j, found.Tasks[0], home.now)
	is.Equal(j.State, job.Failed)
}

// The load of both cells counts a transferred task once.
func TestLoadFollowsTransferredTasks(t *testing.T) {
	is := is.New(t)
	home, host := newFixture(worker("a", 8000, 64000)), newFixture(worker("b", 8000, 64000))
	s := spec("service", serviceStep(3, 1000))
	home.Add(s, home.now, 0)
	hosted := host.AddHosted(s, host.now, 0)
	reserved := func(f *fixture) int64 { _, n, _ := f.Load(); return n }
	is.Equal(reserved(home), int64(3000))
	is.Equal(reserved(host), int64(0))
	home.GiveAway(job.TaskID{Job: "service", Index: 1})
	host.TakeIn(hosted, TransferredTask{Index: 1}, host.now)
	is.Equal(reserved(home), int64(2000))
	is.Equal(reserved(host), int64(1000))
	home.Cancel("service")
	host.Cancel("service")
	is.Equal(reserved(home), int64(0))
	is.Equal(reserved(host), int64(0))
}

// Guards against LOST: a step that fits nowhere keeps the other steps of its job from being
// transferred, and a task that has not run yet keeps interrupted ones of its step.
func TestEachStepIsTransferableBesideOneThatFitsNowhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("lost", 40000, 64000))
	f.place("full", serviceStep(1, 8000), "a")
	late := serviceStep(2, 4000)
	j := f.Add(spec("service", serviceStep(1, 30000), late), f.now, 0)
	tasks := j.occurrences[0].tasks
	f.start(tasks[0][0], f.Worker("lost"), 1, f.now)
	f.start(tasks[1][1], f.Worker("lost"), 1, f.now)
	f.confirmStarts(f.TakeOutput())
	f.lose()
	for range 4 {
		f.listAllRunning()
		f.plan(time.Second)
	}
	var sizes []int64
	for _, found := range f.Transferable(j, f.now) {
		sizes = append(sizes, found.Step.Resources.MilliCPU)
		is.Equal(len(found.Tasks), 1)
	}
	is.Equal(sizes, []int64{30000, 4000, 4000}) // the last is the task that has not run
}
