package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// restart starts another boot of a worker, which lists nothing.
func (f *fixture) restart(id string) {
	for i := range f.entries {
		if f.entries[i].ID == id {
			f.entries[i].Boot++
		}
	}
	f.now = f.now.Add(time.Millisecond)
	f.SetWorkers(f.entries, f.now)
	f.reportListing(id, port.Listing{Boot: f.Worker(id).boot})
}

// replace replaces a worker by one with another ID, after the list of VMs has shown that
// its VM is not up.
func (f *fixture) replace(id string) {
	f.HandleReplacement(f.Observe(id, f.now), f.now)
	i := slices.IndexFunc(f.entries, func(e port.WorkerEntry) bool { return e.ID == id })
	f.entries[i].ID += "'"
	f.SetWorkers(f.entries, f.now)
	f.reportListing(f.entries[i].ID, port.Listing{})
}

// onlyStart plans and confirms the start of the only run.
func (f *fixture) onlyStart(t *testing.T, after time.Duration) *Run {
	t.Helper()
	out := f.plan(after)
	if len(out.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(out.Starts))
	}
	f.confirmStarts(out)
	return out.Starts[0]
}

// Guards against BUDGET: a task that crashed every worker that started it was started for
// as long as its job was open.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	crashes := map[string]func(f *fixture, id string){
		"worker restarts":    (*fixture).restart,
		"worker is replaced": (*fixture).replace,
		"worker restarts after its lease has expired": func(f *fixture, id string) {
			f.now = f.now.Add(testOptions.MaxLease + time.Second)
			f.Expire(f.now)
			f.restart(id)
		},
		"another worker has the address before the lease expires": func(f *fixture, id string) {
			i := slices.IndexFunc(f.entries, func(e port.WorkerEntry) bool { return e.ID == id })
			f.entries[i].ID += "'"
			f.SetWorkers(f.entries, f.now)
			f.reportListing(f.entries[i].ID, port.Listing{})
			f.now = f.now.Add(testOptions.MaxLease + time.Second)
			f.Expire(f.now)
		},
		"another worker has the address after the lease has expired": func(f *fixture, id string) {
			f.now = f.now.Add(testOptions.MaxLease + time.Second)
			f.Expire(f.now)
			i := slices.IndexFunc(f.entries, func(e port.WorkerEntry) bool { return e.ID == id })
			f.entries[i].ID += "'"
			f.SetWorkers(f.entries, f.now)
			f.reportListing(f.entries[i].ID, port.Listing{})
		},
	}
	for name, crash := range crashes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000), worker("c", 8000, 8000))
			j := f.Add(spec("j", small(1)), f.now, 0)
			for range maxCrashes {
				is.Equal(j.State.Final(), false)
				r := f.onlyStart(t, time.Second)
				crash(f, r.Worker.Entry.ID)
			}
			is.Equal(j.State, job.Failed)
			out := f.TakeOutput()
			is.Equal(len(out.GivenUp), 1)
			is.Equal(len(out.Finished), 1)
			is.Equal(len(f.plan(time.Second).Starts), 0)
		})
	}
}

// Guards against BUDGET: a worker that crashed before it answered the start request did not
// count.
func TestCrashBeforeTheStartIsAnsweredCounts(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	j := f.Add(spec("j", small(1)), f.now, 0)
	r := f.plan(0).Starts[0]
	f.HandleStartResponse(r, r.Worker.Observe(f.now), 0, &port.UnansweredError{Op: "start"}, f.now)
	f.restart("a")
	f.HandleStopResponse(r, r.Worker.Observe(f.now), nil, f.now)
	f.now = f.now.Add(time.Second)
	f.reportListing("a", port.Listing{Boot: 2})
	is.Equal(j.occurrences[0].tasks[0][0].Crashes, []int{1})
}

// Guards against giving up tasks whose workers did not crash: one that was cut off until
// the lease had expired, one that left as planned, one that refused the start, and one
// that no longer lists a run.
func TestOnlyCrashesOfWorkersCount(t *testing.T) {
	ends := map[string]func(f *fixture, r *Run){
		"cut off": func(f *fixture, _ *Run) {
			f.now = f.now.Add(testOptions.MaxLease + time.Second)
			f.Expire(f.now)
			f.reportListing("a", port.Listing{})
			f.restart("a")
		},
		"cut off for long": func(f *fixture, _ *Run) {
			f.now = f.now.Add(testOptions.MaxLease + time.Second)
			f.HandleNoResponse(f.Observe("a", f.now))
			f.Plan(f.now)
			f.plan(2 * time.Second)
			f.now = f.now.Add(silentRunRetention + time.Second)
			f.Plan(f.now)
			f.restart("a")
		},
		"planned departure": func(f *fixture, _ *Run) {
			f.entries[0].Draining = true
			f.SetWorkers(f.entries, f.now)
			f.HandleReplacement(f.Observe("a", f.now), f.now)
		},
		"planned restart": func(f *fixture, _ *Run) {
			f.entries[0].Draining = true
			f.SetWorkers(f.entries, f.now)
			f.entries[0].Draining = false
			f.restart("a")
			f.now = f.now.Add(time.Second)
			f.reportListing("a", port.Listing{Boot: 2})
		},
		"not listed": func(f *fixture, _ *Run) {
			for range maxMissedListings {
				f.now = f.now.Add(time.Second)
				f.reportListing("a", port.Listing{})
			}
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(worker("a", 8000, 8000))
			task := f.Add(spec("j", small(1)), f.now, 0).occurrences[0].tasks[0][0]
			end(f, f.onlyStart(t, 0))
			is.Equal(len(task.Runs), 0)
			is.Equal(len(task.Crashes), 0)
		})
	}
}

// Guards against giving up tasks that another worker at the address refused to start: they
// have not run, whichever call shows first that the worker was replaced.
func TestStartsRefusedByAnotherWorkerAreNoCrashes(t *testing.T) {
	refused := &port.RefusedError{Op: "start", Reason: port.RefusedIncarnation}
	for name, before := range map[string]func(f *fixture, id string){
		"start first":   func(*fixture, string) {},
		"listing first": func(f *fixture, id string) { f.HandleReplacement(f.Observe(id, f.now), f.now) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000), worker("c", 8000, 8000))
			j := f.Add(spec("j", small(2)), f.now, 0)
			for range maxCrashes {
				out := f.plan(time.Second)
				is.Equal(len(out.Starts), 2)
				for _, r := range out.Starts {
					before(f, r.Worker.Entry.ID)
					f.HandleStartResponse(r, r.Worker.Observe(f.now), 0, refused, f.now)
					is.Equal(len(r.Task.Runs), 0)
				}
			}
			is.Equal(j.State.Final(), false)
			for task := range j.allTasks() {
				is.Equal(len(task.Crashes), 0)
			}
		})
	}
}

// Guards against BUDGET over takeovers: a new owner started the count anew, or did not
// learn of a crash that the former one had not recorded.
func TestCrashesAreCountedOverTakeovers(t *testing.T) {
	takeovers := map[string]func(before port.WorkerEntry) (list []port.WorkerEntry, after func(f *fixture)){
		"restarted before the takeover": func(w port.WorkerEntry) ([]port.WorkerEntry, func(*fixture)) {
			w.Boot++
			return []port.WorkerEntry{w}, nil
		},
		"restarts after the takeover": func(w port.WorkerEntry) ([]port.WorkerEntry, func(*fixture)) {
			return []port.WorkerEntry{w}, func(f *fixture) { f.restart(w.ID) }
		},
		"listed again after the takeover": func(w port.WorkerEntry) ([]port.WorkerEntry, func(*fixture)) {
			return nil, func(f *fixture) {
				w.Boot++
				f.entries = []port.WorkerEntry{w}
				f.SetWorkers(f.entries, f.now)
			}
		},
		"gone before the takeover": func(w port.WorkerEntry) ([]port.WorkerEntry, func(*fixture)) {
			return nil, func(f *fixture) {
				f.now = f.now.Add(time.Second)
				for _, o := range f.UnresponsiveFor(f.now, time.Second) {
					f.HandleReplacement(o, f.now)
				}
			}
		},
	}
	for name, takeover := range takeovers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(worker("a", 8000, 8000))
			former := f.Add(spec("j", small(1)), f.now, 0)
			for range maxCrashes - 1 {
				f.onlyStart(t, time.Second)
				f.restart("a")
			}
			f.onlyStart(t, time.Second)

			list, after := takeover(f.entries[0])
			next, j := f.takeOver(t, former, list)
			next.ExpectInheritedRuns(nil, next.now)
			if after != nil {
				after(next)
			}
			is.Equal(j.State, job.Failed)
		})
	}
}

// Guards against a crash that a new owner counts although the worker lists the run.
func TestInheritedRunOnALiveWorkerIsNoCrash(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	former := f.Add(spec("j", small(1)), f.now, 0)
	r := f.onlyStart(t, 0)
	next, j := f.takeOver(t, former, f.entries)
	next.ExpectInheritedRuns([]string{"a"}, next.now)
	next.reportListing("a", port.Listing{Running: []port.RunningTask{{Task: r.Task.name(), Attempt: r.Attempt}}})
	task := j.occurrences[0].tasks[0][0]
	is.Equal(len(task.Crashes), 0)
	next.restart("a")
	is.Equal(task.Crashes, []int{r.Attempt})
}

// Guards against giving up the neighbours of a task that crashes its workers: they were
// planned together again and followed it to the next worker.
func TestNeighboursOfACrashingTaskAreNotGivenUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		workers := rapid.IntRange(4, 12).Draw(rt, "workers")
		jobs := rapid.IntRange(3, 30).Draw(rt, "jobs")
		crashing := rapid.IntRange(1, 3).Draw(rt, "crashing")
		var entries []port.WorkerEntry
		for i := range workers {
			entries = append(entries, worker(fmt.Sprintf("w%02d", i), 8000, 64000))
		}
		f := newFixture(entries...)
		all := map[string]*Job{}
		for i := range jobs {
			id := fmt.Sprintf("good-%02d", i)
			all[id] = f.Add(spec(id, small(rapid.IntRange(1, 4).Draw(rt, "tasks"))), f.now, 0)
		}
		for i := range crashing {
			id := fmt.Sprintf("bad-%d", i)
			all[id] = f.Add(spec(id, small(1)), f.now, 0)
		}
		starts := f.playCrashes(func(task *Task) bool { return task.ID.Job[0] == 'b' })
		for id, j := range all {
			want := job.Completed
			if id[0] == 'b' {
				want = job.Failed
				if n := starts[id]; n > maxCrashes {
					rt.Fatalf("%s was started %d times", id, n)
				}
			}
			if j.State != want {
				rt.Fatalf("%s is %s, want %s", id, j.State, want)
			}
		}
	})
}

// playCrashes plans until nothing is open: runs of tasks that crash end their worker, and
// the others are done unless they are lost with it. It returns the starts by job.
func (f *fixture) playCrashes(crashes func(*Task) bool) map[string]int {
	starts := map[string]int{}
	for range 200 {
		out := f.plan(500 * time.Millisecond)
		f.confirmStarts(out)
		lost := map[string]bool{}
		for _, r := range out.Starts {
			starts[r.Task.ID.Job]++
			if crashes(r.Task) {
				lost[r.Worker.Entry.ID] = true
			}
		}
		for _, w := range f.entries {
			if lost[w.ID] {
				f.replace(w.ID)
			} else {
				f.endAllOn(w.ID)
			}
		}
	}
	return starts
}

// endAllOn lists the ends of all runs on a worker as done.
func (f *fixture) endAllOn(id string) {
	w := f.Worker(id)
	l := port.Listing{Boot: w.boot}
	for i, r := range w.sortedRuns() {
		l.Ended = append(l.Ended, port.EndedTask{Sequence: w.lastEnd + int64(i) + 1, Task: r.Task.name(), Attempt: r.Attempt, Reason: port.EndDone})
	}
	f.reportListing(id, l)
}

// Guards against giving up services on days on which many workers fail: a service task
// survives several failures of workers over its life.
func TestServiceThatRunsForAWhileIsNoSuspect(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	j := f.Add(spec("service", serviceStep(1, 4000)), f.now, 0)
	r := f.startService(t)[0]
	for range 2 * maxCrashes {
		f.replace(r.Worker.Entry.ID)
		r = f.onlyStart(t, time.Second)
		f.now = f.now.Add(crashFreePeriod)
		f.listAllRunning()
		is.Equal(len(r.Task.Crashes), 0)
		is.Equal(r.Worker.suspects, 0)
	}
	is.Equal(j.State, job.Running)
}

// Guards against LOST: a service task that may not run beside other suspects waited for
// a worker without any, while all workers ran some.
func TestIsolatedServiceTaskIsNotKeptWaiting(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	f.Add(spec("service", serviceStep(2, 1000)), f.now, 0)
	for _, r := range f.startService(t) {
		r.Task.Crashes = []int{-1}
	}
	for _, w := range slices.Clone(f.entries) {
		if f.Worker(w.ID).RunCount() > 0 {
			f.replace(w.ID)
		}
	}
	f.confirmStarts(f.plan(refusalBackoff))
	f.confirmStarts(f.plan(serviceIsolationWait))
	for task := range f.Job("service").allTasks() {
		is.Equal(len(task.Crashes), isolatedCrashes)
		is.Equal(len(task.Runs), 1)
	}
}

// Guards against idle workers: a task that waits for a worker without suspects counted as
// one that fits nowhere, and others like it were not tried.
func TestIsolatedTaskHidesNoOtherTask(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	f.Add(spec("suspect", small(1)), f.now, 0).occurrences[0].tasks[0][0].Crashes = []int{1}
	f.confirmStarts(f.plan(0))
	f.Add(spec("isolated", small(1)), f.now, 0).occurrences[0].tasks[0][0].Crashes = []int{1, 2}
	f.Add(spec("other", small(1)), f.now, 0)
	out := f.plan(0)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Task.ID.Job, "other")
}

// Guards against a crash that a new owner counts for a start that was refused or not sent.
func TestWithdrawnStartIsNoCrashAfterATakeover(t *testing.T) {
	for name, err := range map[string]error{
		"no capacity": &port.RefusedError{Op: "start", Reason: port.RefusedCapacity},
		"replaced":    &port.RefusedError{Op: "start", Reason: port.RefusedIncarnation},
		"not sent":    &port.UnansweredError{Op: "start", NotSent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(worker("a", 8000, 8000))
			former := f.Add(spec("j", small(1)), f.now, 0)
			r := f.plan(time.Second).Starts[0]
			f.HandleStartResponse(r, r.Worker.Observe(f.now), 0, err, f.now)
			_, changed := f.TakeOutput().Changed[former]
			is.True(changed)
			f.entries[0].Boot++
			_, j := f.takeOver(t, former, f.entries)
			is.Equal(len(j.occurrences[0].tasks[0][0].Crashes), 0)
		})
	}
}

// takeOver returns the engine of a next owner that has restored a job.
func (f *fixture) takeOver(t *testing.T, former *Job, list []port.WorkerEntry) (*fixture, *Job) {
	t.Helper()
	next := &fixture{Engine: NewEngine(testOptions), now: f.now, entries: list}
	next.SetQueues([]job.Queue{f.queues["q"].Queue}, 1)
	next.SetWorkers(list, next.now)
	j := next.Add(former.Spec, next.now, 0)
	is.New(t).NoErr(next.Restore(j, former.Progress()))
	return next, j
}

// Guards against a crash that a new owner counts for a worker that left as planned.
func TestPlannedDepartureIsNoCrashAfterATakeover(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	former := f.Add(spec("j", small(1)), f.now, 0)
	f.onlyStart(t, time.Second)
	f.entries[0].Draining = true
	f.SetWorkers(f.entries, f.now)
	next := worker("a", 8000, 8000)
	next.Boot++
	_, j := f.takeOver(t, former, []port.WorkerEntry{next})
	is.Equal(len(j.occurrences[0].tasks[0][0].Crashes), 0)
}

// Guards against wasted work: room was made for an isolated service task, although it fits
// beside another suspect.
func TestIsolatedServiceTaskStopsNoOtherIfItFits(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	f.Add(spec("suspect", small(1)), f.now, 0).occurrences[0].tasks[0][0].Crashes = []int{1}
	f.confirmStarts(f.plan(0))
	f.Add(spec("other", batchStep(1, 8000, false)), f.now, 0)
	f.confirmStarts(f.plan(0))
	task := f.Add(spec("service", serviceStep(1, 4000)), f.now, 0).occurrences[0].tasks[0][0]
	task.Crashes, task.hasRun, task.Attempt = []int{1, 2}, true, 2
	for range 20 {
		out := f.plan(100 * time.Millisecond)
		is.Equal(len(out.Stops), 0)
		f.confirmStarts(out)
	}
	is.Equal(len(task.Runs), 1)
}
