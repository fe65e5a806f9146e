package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
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
