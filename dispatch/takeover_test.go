package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against LOST after a takeover: tasks of a former owner waited for the longest
// lease of a worker that had left the platform's list, although its VM was not up.
func TestInheritedTasksDoNotWaitForAWorkerThatIsGone(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	j := f.Add(spec("service", serviceStep(1, 1000)), f.now, 0)
	is.NoErr(f.Restore(j, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "gone"}}}))
	f.ExpectInheritedRuns([]string{"a"}, f.now)
	is.Equal(len(f.plan(time.Second).Starts), 0)
	is.Equal(f.UnresponsiveFor(f.now, time.Second), []string{"gone"})
	f.HandleReplacement("gone", f.now)
	is.Equal(len(f.plan(0).Starts), 1)
}
