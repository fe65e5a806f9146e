package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
)

// newPairFixture returns a fixture in which an interrupted service task fits on worker "a" once
// both tasks of a step have moved, and only there. Each of the other workers has room for as
// many as spare says.
func newPairFixture(maxUnavailable, maxPerWorker int, spare ...int64) (*fixture, *Task) {
	entries := []port.WorkerEntry{worker("a", 8000, 64000)}
	for i, n := range spare {
		entries = append(entries, worker(fmt.Sprintf("b%d", i), 1000+3000*n, 64000))
	}
	f := newFixture(append(entries, worker("lost", 8000, 64000))...)
	pair := serviceStep(2, 3000)
	pair.MaxUnavailable, pair.MaxPerWorker = maxUnavailable, maxPerWorker
	f.place("pair", pair, "a", "a")
	task := f.place("large", serviceStep(1, 8000), "lost")[0].Task
	f.lose()
	return f, task
}

// Guards against AVAIL: two tasks of one step move at once although the step tolerates one
// that is away.
func TestRelocationsKeepToMaxUnavailable(t *testing.T) {
	for maxUnavailable, moves := range map[int]int{0: 0, 1: 0, 2: 2, -1: 2} {
		t.Run(fmt.Sprint(maxUnavailable), func(t *testing.T) {
			is := is.New(t)
			f, _ := newPairFixture(maxUnavailable, 0, 1, 1)
			stops := 0
			for range 10 {
				stops += len(f.plan(relocateInterval).Stops)
			}
			is.Equal(stops, moves)
		})
	}
}

// Guards against LOST: a task is stopped although another that moves takes its next place.
func TestRelocatedTasksHaveAPlaceEach(t *testing.T) {
	for name, c := range map[string]struct {
		maxPerWorker int
		spare        []int64
		moves        int
	}{
		"room for one":                     {0, []int64{1}, 0},
		"room for two":                     {0, []int64{2}, 2},
		"room for two, one per worker":     {1, []int64{2}, 0},
		"room on two workers, one on each": {1, []int64{1, 1}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, task := newPairFixture(2, c.maxPerWorker, c.spare...)
			var stops []*Run
			for range 10 {
				stops = append(stops, f.plan(relocateInterval).Stops...)
			}
			is.Equal(len(stops), c.moves)
			for _, r := range stops {
				is.True(r.Task.reserved != nil)
				is.True(r.Task.reserved.worker != r.Worker)
			}
			for _, w := range f.Workers() {
				is.True(w.reservedUse.Fits(w.Entry.Capacity))
			}
			is.Equal(task.reserved != nil, c.moves > 0)
		})
	}
}

// Guards against more tasks that are away than necessary: one move suffices on a worker that
// lacks more.
func TestOneRelocationIsPreferredToTwo(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 10000, 64000), worker("b", 10000, 64000), worker("c", 5000, 64000), worker("lost", 8000, 64000))
	f.place("pair", serviceStep(2, 2000), "a", "a")
	f.place("other", serviceStep(1, 2000), "a")
	f.place("single", serviceStep(1, 5000), "b")
	f.place("stays", serviceStep(1, 2000), "b")
	f.place("large", serviceStep(1, 8000), "lost")
	f.lose()
	out := f.plan(relocateInterval)
	is.Equal(len(out.Stops), 1)
	is.Equal(out.Stops[0].Task.ID.Job, "single")
}

// Guards against LOST: services move to workers on which other tasks have to be stopped for
// them, and these are not stopped for each.
func TestSeveralServicesMoveToTheRoomOfBatchWork(t *testing.T) {
	f := newFixture(worker("a", 8000, 64000), worker("b", 6000, 64000), worker("lost", 8000, 64000))
	f.place("one", serviceStep(1, 3000), "a")
	f.place("two", serviceStep(1, 3000), "a")
	f.place("batch", batchStep(2, 3000, true), "b", "b")
	task := f.place("large", serviceStep(1, 8000), "lost")[0].Task
	f.Add(spec("backlog", batchStep(20, 3000, true)), f.now, 0)
	f.lose()
	f.returnsInTime(t, task)
}

// Guards against LOST: workers that accept no runs, which have the most free capacity, were the
// only ones considered for a service that makes way for an interrupted one.
func TestRelocationConsidersWorkersThatMayRunTheTask(t *testing.T) {
	for name, change := range map[string]func(f *fixture, w *port.WorkerEntry){
		"draining":     func(_ *fixture, w *port.WorkerEntry) { w.Draining, w.Remaining = true, 20*time.Second },
		"another pool": func(_ *fixture, w *port.WorkerEntry) { w.Pool = "other" },
		"silent": func(f *fixture, w *port.WorkerEntry) {
			f.HandleNoResponse(f.Observe(w.ID, f.now.Add(time.Millisecond)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entries := []port.WorkerEntry{worker("a", 10000, 64000), worker("b", 10000, 64000)}
			for i := range maxRelocateTargets {
				entries = append(entries, worker(fmt.Sprintf("r%02d", i), 16000, 64000))
			}
			f := newFixture(append(entries, worker("lost", 10000, 64000))...)
			f.place("small", serviceStep(2, 4000), "a", "b")
			f.place("other", serviceStep(2, 2000), "a", "b")
			task := f.place("large", serviceStep(1, 8000), "lost")[0].Task
			for i := range maxRelocateTargets {
				change(f, &f.entries[2+i])
			}
			f.lose()
			out := f.plan(relocateInterval)
			is.Equal(len(out.Stops), 1)
			is.True(task.reserved != nil)
		})
	}
}

// Guards against LOST: a task of a former owner was stopped to make way, although it could not be
// started again yet.
func TestNoRelocationOfATaskThatMayNotStartAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 10000, 64000), worker("b", 10000, 64000), worker("lost", 6000, 64000))
	small := f.Add(spec("small", serviceStep(2, 4000)), f.now, 0)
	is.NoErr(f.Restore(small, Progress{Tasks: []TaskProgress{{Index: 0, Attempt: 1, Worker: "gone"}, {Index: 1, Attempt: 1}}}))
	f.ExpectInheritedRuns(nil, f.now)
	f.reportListing("a", port.Listing{Running: []port.RunningTask{
		{Task: "small.0.0.0", Attempt: 1, Percent: 100}, {Task: "small.0.0.1", Attempt: 1, Percent: 100},
	}})
	task := f.place("large", serviceStep(2, 6000), "b", "lost")[1].Task
	f.lose()
	for range 5 {
		is.Equal(len(f.plan(relocateInterval).Stops), 0)
	}
	f.now = f.now.Add(handoverWindow)
	out := f.plan(relocateInterval)
	is.Equal(len(out.Stops), 1)
	is.True(task.reserved != nil)
}

// Guards against LOST: only the first of several interrupted tasks was searched for, again and
// again without a result, while services could move for another.
func TestInterruptedTasksTakeTurnsInTheSearch(t *testing.T) {
	f := newFixture(worker("a", 10000, 64000), worker("b", 10000, 64000), worker("lost", 64000, 64000))
	f.place("small", serviceStep(2, 4000), "a", "a")
	f.place("stays", serviceStep(1, 6000), "b")
	for i := range 20 {
		f.place(fmt.Sprintf("huge-%02d", i), serviceStep(1, 10000), "lost")
	}
	task := f.place("large", serviceStep(1, 6000), "lost")[0].Task
	f.lose()
	f.returnsInTime(t, task)
}

// BenchmarkRelocateServices measures a search in a cell that is full of services, in which no
// or few moves are possible.
func BenchmarkRelocateServices(b *testing.B) {
	for _, c := range []struct {
		name        string
		free, large int64
	}{
		{"none", 1900, 16000},  // no task fits anywhere
		{"tight", 3000, 14900}, // four tasks that just fit would have to move
		{"half", 4000, 14500},
		{"found", 6500, 16000},
	} {
		b.Run(c.name, func(b *testing.B) {
			free := c.free
			var entries []port.WorkerEntry
			for i := range 490 {
				entries = append(entries, worker(fmt.Sprintf("w%03d", i), 64000, 512000))
			}
			f := newFixture(append(entries, worker("lost", 64000, 512000))...)
			on := map[int64][]string{} // the workers of the tasks by size
			for i, w := range entries {
				use := int64(0)
				for k := int64(0); use < 64000-free-5000; k++ {
					size := 2000 + (int64(i)*7+k*13)%31*100
					on[size] = append(on[size], w.ID)
					use += size
				}
				on[64000-free-use] = append(on[64000-free-use], w.ID)
			}
			for _, size := range slices.Sorted(maps.Keys(on)) {
				f.place(fmt.Sprintf("s%d", size), serviceStep(1, size), on[size]...)
			}
			task := f.place("large", serviceStep(1, c.large), "lost")[0].Task
			f.lose()
			now := f.now.Add(time.Second)
			moves := 0
			for b.Loop() {
				found, _ := f.findRelocations(task, f.mostRoom(task, (*Worker).unreserved, now), now)
				moves = len(found)
			}
			b.ReportMetric(float64(moves), "moves")
		})
	}
}
