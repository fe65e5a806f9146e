package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
)

// newFullTakeover returns a fixture whose only worker is full of batch tasks, and a service
// task of a former owner without a recorded start.
func newFullTakeover(t *testing.T, p Progress) (*fixture, *Task) {
	t.Helper()
	f := newFixture(worker("a", 8000, 64000))
	j := f.Add(spec("service", batchStep(1, 4000, true), serviceStep(2, 4000)), f.now, 0)
	is.New(t).NoErr(f.Restore(j, p))
	f.place("batch", batchStep(2, 4000, true), "a", "a")
	f.Add(spec("backlog", batchStep(20, 4000, true)), f.now, 0)
	return f, j.occurrences[0].tasks[1][0]
}

// Guards against batch tasks that are stopped after each takeover of a full cell for services
// that have only been accepted: neither the task nor another of its step was started.
func TestServiceThatWasOnlyAcceptedDisplacesNothingAfterATakeover(t *testing.T) {
	for name, p := range map[string]Progress{
		"no record":              {},
		"record of another step": {Started: true, Tasks: []TaskProgress{{Step: 0, Attempt: 1, Done: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, _ := newFullTakeover(t, p)
			for range 100 {
				f.listWorking(f.Worker("a"), nil, "")
				f.Worker("a").ExtendLease(f.now, testOptions.MaxLease)
				out := f.plan(50 * time.Millisecond)
				is.Equal(len(out.Stops), 0)
				is.Equal(len(out.Starts), 0)
			}
		})
	}
}

// Guards against LOST after a takeover: a worker lists the end of a run that the former owner
// did not record, and the task waits behind all other work as if it had never run.
func TestListedEndShowsThatAServiceOfAFormerOwnerHasRun(t *testing.T) {
	f, task := newFullTakeover(t, Progress{})
	f.listWorking(f.Worker("a"), &Run{Task: task, Worker: f.Worker("a"), Attempt: 1}, port.EndStopped)
	f.returnsInTime(t, task)
}

// Guards against LOST after a takeover: no start of a step was recorded, a worker lists a run
// of one task, and another whose worker was lost waits as if the step had never run.
func TestListedRunShowsThatAServiceStepOfAFormerOwnerHasRun(t *testing.T) {
	f, task := newFullTakeover(t, Progress{})
	f.entries = append(f.entries, worker("b", 4000, 64000))
	f.SetWorkers(f.entries, f.now)
	f.reportListing("b", port.Listing{Running: []port.RunningTask{{Task: "service.0.1.1", Attempt: 1, Percent: 100}}})
	f.returnsInTime(t, task)
}

// A task that this owner has started says nothing about the others of its step.
func TestOwnRunSaysNothingAboutOtherTasks(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	f.place("batch", batchStep(1, 4000, true), "a")
	runs := f.place("service", serviceStep(2, 4000), "a")
	f.listWorking(f.Worker("a"), runs[0], port.EndFailed)
	is.True(runs[0].Task.interrupted())
	is.True(!runs[0].Task.siblings()[1].interrupted())
}
