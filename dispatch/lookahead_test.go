package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/lookahead"
)

// step returns a step of ordinary tasks.
func step(tasks int, milliCPU, estimateMS int64) job.Step {
	return job.Step{Tasks: tasks, EstimateMS: estimateMS, Resources: job.Resources{MilliCPU: milliCPU, MemoryMB: 100}}
}

// fill starts tasks that fill the workers, and returns their runs.
func (f *fixture) fill(s job.Step) []*Run {
	f.Add(spec("fill", s), f.now, 0)
	out := f.plan(0)
	f.confirmStarts(out)
	return out.Starts
}

// passTime plans every 100 ms for a while, while all runs go on, and returns the starts and the
// ends of reservations.
func (f *fixture) passTime(d time.Duration) (starts []*Run, ends []ReservationEnd) {
	for until := f.now.Add(d); f.now.Before(until); {
		for _, w := range f.workers {
			w.ExtendLease(f.now, testOptions.MaxLease)
		}
		out := f.plan(100 * time.Millisecond)
		f.confirmStarts(out)
		starts, ends = append(starts, out.Starts...), append(ends, endsOf(out)...)
	}
	return starts, ends
}

func endsOf(out Output) []ReservationEnd {
	var ends []ReservationEnd
	for _, r := range out.Reservations {
		if r.End != "" {
			ends = append(ends, r.End)
		}
	}
	return ends
}

// reservedFor returns the workers that are reserved for a job's tasks.
func (f *fixture) reservedFor(id string) []string {
	var workers []string
	for _, a := range f.lookahead.reserved {
		for _, part := range a.parts {
			if a.tasks[0].ID.Job == id {
				workers = append(workers, part.worker.Entry.ID)
			}
		}
	}
	return workers
}

// Guards against large tasks that wait without bound because small ones take what becomes
// free: without reservations, one in twenty waits for more than 10 s.
func TestLargeTasksBehindAStreamOfSmallOnes(t *testing.T) {
	is := is.New(t)
	for _, l := range lookaheadLoads(3) {
		if l.name != "offered=0.85" && l.name != "memory" {
			continue
		}
		without, with := l.load.play(withoutLookahead, nil), l.load.play(nil, nil)
		t.Log(l.name, "large: without", without.large.quantile(0.95), without.large.largestTenth(), "with", with.large.quantile(0.95), with.large.largestTenth())
		t.Log(l.name, "small: without", without.small.quantile(0.95), without.small.largestTenth(), "with", with.small.quantile(0.95), with.small.largestTenth())
		is.Equal(len(with.large), len(without.large))
		is.True(3*with.large.quantile(0.95) < 2*without.large.quantile(0.95))
		is.True(3*with.large.largestTenth() < 2*without.large.largestTenth())
		is.True(with.small.quantile(0.5) <= yardStep)
		lost, gained := with.small.largestTenth()-without.small.largestTenth(), without.large.largestTenth()-with.large.largestTenth()
		is.True(10*lost < gained)
	}
}

// Guards against reservations that outlive what they rely on while workers drain under load:
// on workers that drain, beyond the limit, for tasks that run, or two on a worker; and against
// tasks that never start because of one that was left behind.
func TestReservationsWhileWorkersDrainUnderLoad(t *testing.T) {
	is := is.New(t)
	for _, l := range lookaheadLoads(5) {
		if l.name != "offered=0.95" && l.name != "gangs" {
			continue
		}
		l.load.arrivals = time.Minute
		steps, seen := 0, 0
		r := l.load.play(nil, func(p *yardPlay) {
			reserved := map[*Worker]bool{}
			for _, a := range p.lookahead.reserved {
				for _, task := range a.tasks {
					is.True(task.advance == a && task.waiting())
				}
				for _, part := range a.parts {
					is.True(!reserved[part.worker] && part.worker.advance == part && !part.worker.Entry.Draining)
					reserved[part.worker] = true
				}
			}
			is.True(len(reserved) <= lookahead.Limit(len(p.entries)))
			is.Equal(len(p.lookahead.workers), len(reserved))
			for _, w := range p.workers {
				is.True(reserved[w] == (w.advance != nil))
			}
			seen += len(reserved)
			if steps++; steps%20 == 0 {
				p.entries = slices.Clone(p.entries)
				n := steps / 20 * 7 % len(p.entries)
				p.entries[n].Draining, p.entries[n].Remaining = !p.entries[n].Draining, time.Minute
				p.SetWorkers(p.entries, p.now)
			}
		})
		is.True(seen > 100)
		is.True(len(r.large) > 0)
	}
}

// Guards against look-ahead that changes plans in which everything fits.
func TestStartsAreUnchangedWhereEverythingFits(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		l := yardLoad{workers: 24, offered: 0.35, largeShare: 0.05, arrivals: time.Minute, seed: seed}
		without, with := l.play(withoutLookahead, nil), l.play(nil, nil)
		is.True(len(with.starts) > 1000)
		is.True(without.large.quantile(1) <= yardStep) // everything fits at once
		is.Equal(with.starts, without.starts)
	}
}

// Guards against small tasks that take what becomes free on a reserved worker, and against
// reserved workers that stay idle although a task would end in time.
func TestShortTasksFillAReservedWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	runs := f.fill(step(8, 1000, 4000))
	f.Add(spec("large", step(1, 7000, 4000)), f.now, 0)
	f.plan(0)
	is.Equal(f.reservedFor("large"), []string{"a"})
	f.listEnd(runs[0], 1, port.EndDone)
	f.listEnd(runs[1], 2, port.EndDone)
	f.listEnd(runs[2], 3, port.EndDone)
	f.Add(spec("long", step(1, 1000, 60_000)), f.now, 0)
	f.Add(spec("longer", step(1, 1000, 90_000)), f.now, 0)
	f.Add(spec("short", step(1, 1000, 100)), f.now, 0)
	out := f.plan(0)
	var started []string
	for _, r := range out.Starts {
		started = append(started, r.Task.ID.Job)
	}
	slices.Sort(started)
	// One core is spare beside the large task, one is used until then, and one stays free.
	is.Equal(len(started), 2)
	is.True(started[0] == "long" || started[0] == "longer")
	is.Equal(started[1], "short")
}

// Guards against a reservation that follows a task that runs on past its expected end for as
// long as it runs.
func TestTaskThatRunsOnMovesTheReservation(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	f.place("fillA", step(8, 1000, 2000), "a", "a", "a", "a", "a", "a", "a", "a")
	onB := f.place("fillB", step(8, 1000, 6000), "b", "b", "b", "b", "b", "b", "b", "b")
	f.Add(spec("large", step(1, 8000, 4000)), f.now, 0)
	f.plan(0)
	is.Equal(f.reservedFor("large"), []string{"a"})
	for i, r := range onB[:7] { // one run is left, which is soon done
		f.listEnd(r, int64(i+1), port.EndDone)
	}
	_, ends := f.passTime(8 * time.Second)
	is.True(slices.Contains(ends, ReservationOverdue))
	is.Equal(f.reservedFor("large"), []string{"b"})
	f.listEnd(onB[7], 8, port.EndDone)
	starts, ends := f.passTime(100 * time.Millisecond)
	is.Equal(len(starts), 1)
	is.Equal(ends, []ReservationEnd{ReservationUsed})
	is.Equal(len(f.lookahead.workers), 0)
}

// Guards against workers that are reserved without bound: for tasks that never fit, and for
// many large tasks at a time.
func TestReservationsAreBounded(t *testing.T) {
	is := is.New(t)
	var entries []port.WorkerEntry
	for i := range 24 {
		entries = append(entries, worker(fmt.Sprintf("w%02d", i), 8000, 8000))
	}
	f := newFixture(entries...)
	f.fill(step(8*24, 1000, 2000))
	f.Add(spec("large", step(10, 8000, 4000)), f.now, 0)
	most, expired := 0, false
	for range 600 {
		_, ends := f.passTime(100 * time.Millisecond)
		most = max(most, len(f.lookahead.workers))
		expired = expired || slices.Contains(ends, ReservationExpired)
	}
	is.Equal(most, lookahead.Limit(24))
	is.Equal(most, 3)
	is.True(expired) // none of the runs has ended
}

// Guards against reservations of workers that start nothing any more, and for jobs that have
// been cancelled.
func TestReservationIsGivenUp(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"drain": func(f *fixture) {
			f.entries[0].Draining = true
			f.SetWorkers(f.entries, f.now)
		},
		"lost":     func(f *fixture) { f.HandleReplacement(f.Observe("a", f.now), f.now) },
		"unlisted": func(f *fixture) { f.SetWorkers(f.entries[1:], f.now) },
		"silent":   func(f *fixture) { f.HandleNoResponse(f.Observe("a", f.now.Add(time.Millisecond))) },
		"shrunk": func(f *fixture) {
			f.entries[0].Capacity.MilliCPU = 4000
			f.SetWorkers(f.entries, f.now)
		},
		"cancelled": func(f *fixture) { f.Cancel("large") },
		"removed":   func(f *fixture) { f.entries[0].Pool = "other"; f.SetWorkers(f.entries, f.now) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
			f.place("fillA", step(8, 1000, 2000), "a", "a", "a", "a", "a", "a", "a", "a")
			f.place("service", serviceStep(1, 8000), "b")
			f.Add(spec("large", step(1, 8000, 4000)), f.now, 0)
			f.plan(0)
			is.Equal(f.reservedFor("large"), []string{"a"})
			change(f)
			f.plan(200 * time.Millisecond)
			is.Equal(len(f.reservedFor("large")), 0)
			is.Equal(len(f.lookahead.workers), 0)
		})
	}
}

// Guards against LOST: a reservation for an ordinary task that delays a service task, an
// interrupted one or a new one, or a task of a queue with a higher priority.
func TestReservationDelaysNoService(t *testing.T) {
	service := func(f *fixture) { f.Add(spec("next", serviceStep(1, 1000)), f.now, 0) }
	for name, add := range map[string]func(*fixture){
		"new": service,
		"interrupted": func(f *fixture) {
			service(f)
			f.Job("next").occurrences[0].tasks[0][0].hasRun = true
		},
		"moved": func(f *fixture) {
			service(f)
			task := f.Job("next").occurrences[0].tasks[0][0]
			f.reserve(task, f.Worker("a"), f.now)
		},
		"priority": func(f *fixture) {
			f.SetQueues([]job.Queue{{Name: "first", Pool: "pool", Priority: -1, MaxAttempts: 3, Stretch: 2}}, 1)
			f.Add(job.Spec{ID: "next", Queue: "first", Steps: []job.Step{step(1, 1000, 60_000)}}, f.now, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(worker("a", 8000, 8000))
			runs := f.fill(step(8, 1000, 2000))
			f.Add(spec("large", step(1, 8000, 4000)), f.now, 0)
			f.plan(0)
			is.Equal(f.reservedFor("large"), []string{"a"})
			f.listEnd(runs[0], 1, port.EndDone)
			f.Add(spec("ordinary", step(1, 1000, 60_000)), f.now, 0)
			add(f)
			f.now = f.now.Add(serviceBatchWindow)
			starts := f.plan(0).Starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Task.ID.Job, "next")
		})
	}
}

// Guards against a copy, or a move that is not necessary, on a worker that is reserved.
func TestRunsDoNotMoveToReservedWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000), worker("b", 1000, 8000))
	other := f.place("other", step(1, 1000, 1000), "b")
	runs := f.fill(step(8, 1000, 2000))
	f.Add(spec("large", step(1, 8000, 4000)), f.now, 0)
	f.plan(0)
	is.Equal(f.reservedFor("large"), []string{"a"})
	f.listEnd(runs[0], 1, port.EndDone)
	is.Equal(f.alternativeWorker(other[0], f.now), nil)
	f.Cancel("large")
	is.True(f.alternativeWorker(other[0], f.now) != nil)
}

// Guards against a gang that waits because its workers never become free at the same time.
func TestGangGetsWorkersAtOneTime(t *testing.T) {
	is := is.New(t)
	var entries []port.WorkerEntry
	for i := range 16 {
		entries = append(entries, worker(fmt.Sprintf("w%02d", i), 8000, 8000))
	}
	f := newFixture(entries...)
	runs := f.fill(step(8*16, 1000, 2000))
	gang := step(2, 8000, 2000)
	gang.Gang = true
	f.Add(spec("gang", gang), f.now, 0)
	f.plan(0)
	reserved := f.reservedFor("gang")
	is.Equal(len(reserved), 2)
	ended := map[string]int64{}
	var starts []*Run
	for _, id := range reserved {
		is.Equal(len(starts), 0)
		for _, r := range runs {
			if r.Worker.Entry.ID == id {
				ended[id]++
				f.listEnd(r, ended[id], port.EndDone)
			}
		}
		f.Add(spec("long"+id, step(8, 1000, 60_000)), f.now, 0)
		starts = f.plan(0).Starts
	}
	is.Equal(len(starts), 2)
	is.Equal(starts[0].Task.ID.Job, "gang")
	is.Equal(starts[1].Task.ID.Job, "gang")
}

// Guards against a step that should run within one rack and gets a worker in another, which is
// free a little sooner.
func TestReservationKeepsAStepInItsRack(t *testing.T) {
	is := is.New(t)
	near, far := worker("near", 8000, 8000), worker("far", 8000, 8000)
	far.Rack = "r2"
	f := newFixture(near, far)
	f.place("fillN", step(8, 1000, 3000), "near", "near", "near", "near", "near", "near", "near", "near")
	f.place("fillF", step(8, 1000, 2000), "far", "far", "far", "far", "far", "far", "far", "far")
	large := step(1, 8000, 4000)
	large.DataRack = "r1"
	f.Add(spec("large", large), f.now, 0)
	f.plan(0)
	is.Equal(f.reservedFor("large"), []string{"near"})
}

// Guards against best-effort tasks that are judged by their processors, which do not count
// against the capacity, and not by their memory, which does.
func TestBestEffortTasksAreReservedForByMemory(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	bestEffort := func(tasks int, milliCPU, memoryMB int64) job.Step {
		return job.Step{Tasks: tasks, EstimateMS: 2000, BestEffort: true, Image: "scan", Resources: job.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB}}
	}
	runs := f.fill(bestEffort(8, 100, 1000))
	f.Add(spec("large", bestEffort(1, 100, 6000)), f.now, 0)
	f.plan(0)
	is.Equal(f.reservedFor("large"), []string{"a"})
	f.listEnd(runs[0], 1, port.EndDone)
	f.listEnd(runs[1], 2, port.EndDone)
	f.listEnd(runs[2], 3, port.EndDone)
	long := bestEffort(1, 3000, 1000) // three exceed the processors, but not the load that is accepted
	long.EstimateMS = 60_000
	f.Add(spec("one", long), f.now, 0)
	f.Add(spec("two", long), f.now, 0)
	f.Add(spec("three", long), f.now, 0)
	is.Equal(len(f.plan(0).Starts), 2) // in what is spare beside the large task
	f.Cancel("large")
	is.Equal(len(f.plan(0).Starts), 1)
}

// Guards against tasks of one size that wait for nothing: the end of any run makes room.
func TestTasksOfOneSizeAreNotReservedFor(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000), worker("b", 8000, 8000))
	f.fill(step(16, 1000, 2000))
	f.Add(spec("more", step(16, 1000, 2000)), f.now, 0)
	f.passTime(time.Second)
	is.Equal(len(f.reservedFor("more")), 0)
}

// Guards against a new owner that keeps to what a former one has reserved, of which it knows
// neither the time nor the reason.
func TestNextOwnerStartsWithoutReservations(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	runs := f.fill(step(8, 1000, 2000))
	j := f.Add(spec("large", step(1, 8000, 4000)), f.now, 0)
	f.plan(0)
	is.Equal(f.reservedFor("large"), []string{"a"})

	next := newFixture(worker("a", 8000, 8000))
	fill := next.Add(runs[0].Task.Job.Spec, next.now, 0)
	is.NoErr(next.Restore(fill, runs[0].Task.Job.Progress()))
	is.NoErr(next.Restore(next.Add(j.Spec, next.now, 0), j.Progress()))
	var l port.Listing
	for _, r := range runs[:7] {
		l.Running = append(l.Running, port.RunningTask{Task: r.Task.name(), Attempt: r.Attempt, Percent: 40})
	}
	next.reportListing("a", l)
	is.Equal(len(next.reservedFor("large")), 0)
	next.Add(spec("ordinary", step(1, 1000, 10_000)), next.now, 0) // longer than the runs, within the horizon
	out := next.plan(0)
	is.Equal(len(out.Starts), 1) // what the lost start has left, as without reservations
	is.Equal(next.reservedFor("large"), []string{"a"})
}

// Guards against workers that stay reserved for a job that is being given to another cell.
func TestHeldJobReservesNoWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	f.fill(step(8, 1000, 2000))
	f.Add(spec("large", step(1, 8000, 1000)), f.now, 0)
	f.plan(100 * time.Millisecond)
	is.Equal(f.reservedFor("large"), []string{"a"})
	f.Hold("large")
	f.plan(100 * time.Millisecond)
	is.Equal(len(f.reservedFor("large")), 0)
}

// Guards against a reserved worker that stays empty, because an earlier task of the step has
// lost its reservation and fits nowhere.
func TestReservedTaskStartsAfterASiblingWithoutAReservation(t *testing.T) {
	is := is.New(t)
	var workers []port.WorkerEntry
	for i := range 16 {
		workers = append(workers, worker(fmt.Sprintf("w%02d", i), 8000, 8000))
	}
	f := newFixture(workers...)
	f.fill(step(16*8, 1000, 2000))
	f.Add(spec("large", step(2, 8000, 1000)), f.now, 0)
	f.plan(100 * time.Millisecond)
	f.plan(100 * time.Millisecond)
	tasks := f.Job("large").occurrences[0].tasks[0]
	is.True(tasks[0].advance != nil && tasks[1].advance != nil)
	f.release(tasks[0].advance, ReservationExpired, f.now)
	tasks[0].notReservedBefore = f.now.Add(lookahead.Pause)
	w := tasks[1].advance.parts[0].worker
	for _, r := range w.sortedRuns() {
		f.listWorking(w, r, port.EndDone)
	}
	is.Equal(startedOn(f.plan(100*time.Millisecond)), []string{w.Entry.ID})
}
