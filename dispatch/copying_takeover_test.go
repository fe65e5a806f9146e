package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// takeOverCopy returns the next owner, which has read what the former one stored, and its
// task. It has contacted no worker.
func (f *racing) takeOverCopy(t *testing.T, stored Progress) (*racing, *Task) {
	t.Helper()
	next := &racing{fixture: &fixture{Engine: NewEngine(testOptions), now: f.now, entries: f.entries}, sequence: f.sequence}
	next.SetQueues([]job.Queue{{Name: "q", Pool: "pool", MaxAttempts: 3, Stretch: 9, Slack: time.Minute}}, 1)
	next.SetWorkers(f.entries, next.now)
	j := next.Add(f.job.Spec, next.now, 0)
	is.New(t).NoErr(next.Restore(j, stored))
	var ids []string
	for _, entry := range f.entries {
		ids = append(ids, entry.ID)
	}
	next.ExpectInheritedRuns(ids, next.now)
	return next, j.occurrences[0].tasks[0][f.straggler.Task.ID.Index]
}

// contactOthers contacts the workers other than those of two runs.
func (f *racing) contactOthers(a, b *Run) {
	for _, entry := range f.entries {
		if entry.ID != a.Worker.Entry.ID && entry.ID != b.Worker.Entry.ID {
			f.reportListing(entry.ID, port.Listing{})
		}
	}
}

// Guards against a third run after a takeover, and against a task that is lost because only
// one of its runs is known to the next owner.
func TestNextOwnerAdoptsBothRuns(t *testing.T) {
	for _, committed := range []bool{true, false} {
		t.Run(fmt.Sprintf("copy committed %t", committed), func(t *testing.T) {
			is := is.New(t)
			f := newRacing(t, speculative(4))
			stored := f.job.Progress()
			second := f.copyOf(t)
			if committed {
				stored = f.job.Progress()
			}
			next, task := f.takeOverCopy(t, stored)
			next.list(f.straggler, 5)
			next.contactOthers(f.straggler, second)
			next.now = next.now.Add(time.Second)
			next.list(f.straggler, 6)
			is.Equal(len(next.plan(copyInterval).Starts), 0) // another run may exist
			next.list(second, 5)
			is.Equal(len(task.Runs), 2)
			third := port.RunningTask{Task: task.name(), Attempt: 9}
			next.reportListing("w6", port.Listing{Running: []port.RunningTask{third}})
			is.Equal(len(task.Runs), 2)
			is.Equal(len(next.TakeOutput().UnknownRuns), 1) // stopped
			next.reportListing("w6", port.Listing{})
			next.end(second, port.EndFailed)
			is.Equal(task.Failures, []int{2})
			next.getsNoStart(t, f.straggler)
			next.end(f.straggler, port.EndDone)
			is.Equal(next.Job("j"), nil)
		})
	}
}

// getsNoStart plans for a second, while a run makes hardly any progress.
func (f *racing) getsNoStart(t *testing.T, r *Run) {
	t.Helper()
	for k := range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.list(r, 6+k/5)
		f.Plan(f.now)
		is.New(t).Equal(len(f.TakeOutput().Starts), 0)
	}
}

// Guards against a second copy under the next owner, which learns only of the end of the
// first one, or of nothing but what was stored.
func TestLimitOfOneCopyHoldsOverATakeover(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprintf("end listed %t", listed), func(t *testing.T) {
			is := is.New(t)
			f := newRacing(t, speculative(4))
			second := f.copyOf(t)
			next, task := f.takeOverCopy(t, f.job.Progress())
			next.list(f.straggler, 5)
			next.contactOthers(f.straggler, second)
			if listed {
				next.end(second, port.EndFailed)
			} else {
				next.reportListing(second.Worker.Entry.ID, port.Listing{})
			}
			next.getsNoStart(t, f.straggler)
			is.Equal(len(task.Runs), 1)
		})
	}
}

// Guards against a crash under the first of two runs that is counted for the second, or for
// neither, after a takeover.
func TestCrashesUnderBothRunsAreCountedOverATakeover(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	second := f.copyOf(t)
	list := append([]port.WorkerEntry(nil), f.entries...)
	for i := range list {
		if id := list[i].ID; id == f.straggler.Worker.Entry.ID || id == second.Worker.Entry.ID {
			list[i].Boot++
		}
	}
	_, j := f.takeOver(t, f.job, list)
	task := j.occurrences[0].tasks[0][f.straggler.Task.ID.Index]
	is.Equal(task.Crashes, []int{1, 2})
}

// Guards against BUDGET: a copy after a takeover, although the end of an earlier run is not
// known, which may be the second failure of three.
func TestUnresolvedRunsCountAfterATakeover(t *testing.T) {
	t.Run("given up by the former owner", func(t *testing.T) {
		is := is.New(t)
		f := newRacing(t, speculative(4))
		for unresolved, want := range []bool{true, false} {
			f.straggler.Task.Failures, f.straggler.Task.unresolvedRuns = []int{7}, unresolved
			next, task := f.takeOverCopy(t, f.job.Progress())
			next.contactOthers(f.straggler, f.straggler)
			next.list(f.straggler, 5)
			is.Equal(len(task.Runs), 1)
			is.Equal(next.mayCopy(task.Runs[0], false, next.now), want)
		}
	})
	t.Run("not found by the next owner", func(t *testing.T) {
		is := is.New(t)
		f := newRacing(t, speculative(4))
		f.straggler.Task.Failures = []int{7}
		next, task := f.takeOverCopy(t, f.job.Progress())
		for _, entry := range f.entries {
			next.reportListing(entry.ID, port.Listing{})
		}
		out := next.plan(time.Second)
		next.confirmStarts(out)
		is.Equal(len(task.Runs), 1)
		is.True(!next.mayCopy(task.Runs[0], false, next.now))
	})
}
