package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
)

// Guards against TWICE: a new owner starts tasks whose ends are not in the first part of a
// worker's listing.
func TestTasksWaitForAllPartsOfAListing(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("b", 8000, 64000))
	f.SetWorkers([]port.WorkerEntry{worker("a", 8000, 64000), worker("b", 8000, 64000)}, f.now)
	j := f.Add(spec("job", batchStep(2, 1000, false)), f.now, 0)
	is.NoErr(f.Restore(j, Progress{Tasks: []TaskProgress{{Attempt: 1, Worker: "a"}, {Index: 1, Attempt: 1, Worker: "a"}}}))
	f.ExpectInheritedRuns([]string{"a", "b"}, f.now)
	f.reportListing("b", port.Listing{})
	done := func(n int64, task string) port.EndedTask {
		return port.EndedTask{Sequence: n, Task: task, Attempt: 1, Reason: port.EndDone}
	}
	for range 12 { // also when the lease of a silent worker would have expired
		f.now = f.now.Add(time.Second)
		f.reportListing("a", port.Listing{Ended: []port.EndedTask{done(1, "job.0.0.0")}, MoreEnds: true})
		f.reportListing("b", port.Listing{})
		is.Equal(len(f.plan(0).Starts), 0)
	}
	f.reportListing("a", port.Listing{Ended: []port.EndedTask{done(2, "job.0.0.1")}})
	is.Equal(len(f.plan(0).Starts), 0)
	is.True(j.State.Final())
}

// Guards against TWICE: runs whose ends are not in the first part of a listing are given up.
func TestRunsAreKeptThatAPartOfAListingLacks(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	f.Add(spec("job", batchStep(1, 1000, false)), f.now, 0)
	f.confirmStarts(f.plan(0))
	f.listAllRunning()
	for range 2 * maxMissedListings {
		f.now = f.now.Add(200 * time.Millisecond)
		f.reportListing("a", port.Listing{Ended: []port.EndedTask{{Sequence: 1, Task: "other.0.0.0", Attempt: 1, Reason: port.EndDone}}, MoreEnds: true})
		out := f.plan(0)
		is.Equal(len(out.Lost), 0)
		is.Equal(len(out.Starts), 0)
	}
}

// Guards against TWICE: a task starts whose run of a former owner was listed before, and is in no
// list now because its end is in a later part.
func TestUnknownRunIsKeptThatAPartOfAListingLacks(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	f.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: "job.0.0.0", Attempt: 1}}})
	f.now = f.now.Add(100 * time.Millisecond)
	f.reportListing("a", port.Listing{Ended: []port.EndedTask{{Sequence: 1, Task: "other.0.0.0", Attempt: 1, Reason: port.EndDone}}, MoreEnds: true})
	f.Add(spec("job", batchStep(1, 1000, false)), f.now, 0)
	f.reportListing("a", port.Listing{Ended: []port.EndedTask{{Sequence: 1, Task: "other.0.0.0", Attempt: 1, Reason: port.EndDone}, {Sequence: 2, Task: "job.0.0.0", Attempt: 1, Reason: port.EndDone}}})
	is.Equal(len(f.plan(0).Starts), 0)
}
