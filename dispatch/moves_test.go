package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// place adds a job and starts its tasks on the given workers.
func (f *fixture) place(id string, step job.Step, on ...string) []*Run {
	step.Tasks = max(step.Tasks, len(on))
	f.Add(spec(id, step), f.now, 0)
	for i, w := range on {
		f.start(f.Job(id).occurrences[0].tasks[0][i], f.Worker(w), 1, f.now)
	}
	out := f.TakeOutput()
	f.confirmStarts(out)
	f.listAllRunning()
	return out.Starts
}

// listWorking lists every run of a worker, services as serving and others with progress
// that follows their estimates, and the end of one if it is given.
func (f *fixture) listWorking(w *Worker, ended *Run, reason port.EndReason) {
	var l port.Listing
	if ended != nil {
		l.Ended = []port.EndedTask{{Sequence: w.lastEnd + 1, Task: ended.Task.ID.String(), Attempt: ended.Attempt, Reason: reason}}
	}
	for _, run := range w.sortedRuns() {
		if run == ended {
			continue
		}
		percent := 100
		if !run.Task.Step.Service {
			percent = int(f.now.Sub(run.requestedAt).Milliseconds() * 100 / run.Task.Step.EstimateMS)
		}
		l.Running = append(l.Running, port.RunningTask{Task: run.Task.ID.String(), Attempt: run.Attempt, Percent: percent, Measurement: 10})
	}
	f.reportListing(w.Entry.ID, l)
}

// lose takes the last worker away and ends its runs.
func (f *fixture) lose() {
	last := len(f.entries) - 1
	id := f.entries[last].ID
	f.entries = f.entries[:last]
	f.SetWorkers(f.entries, f.now)
	f.HandleReplacement(f.Observe(id, f.now), f.now)
}

// serve plans for a while, in which stopped runs end at once and starts succeed, and
// returns the longest time for which the task has had no run.
func (f *fixture) serve(task *Task, d time.Duration) (away time.Duration) {
	since := f.now
	for until := f.now.Add(d); f.now.Before(until); {
		for _, w := range f.Workers() {
			if w.Listed {
				f.listWorking(w, nil, "")
				w.ExtendLease(f.now, testOptions.MaxLease)
			}
		}
		out := f.plan(50 * time.Millisecond)
		for _, r := range out.Stops {
			f.HandleStopResponse(r, r.Worker.Observe(f.now), nil, f.now)
			f.listWorking(r.Worker, r, port.EndStopped)
		}
		f.confirmStarts(out)
		if len(task.Runs) > 0 {
			since = f.now
		}
		away = max(away, f.now.Sub(since))
	}
	return away
}

// returnsInTime fails the test if the task is away for longer than a service may be.
func (f *fixture) returnsInTime(t *testing.T, task *Task) {
	t.Helper()
	if away := f.serve(task, 20*time.Second); away >= mostAway {
		t.Fatalf("%s was away for %v", task.ID, away)
	}
}

// mostAway is how long a service task may be without a run: the rule counts from 6 s after
// its last run.
const mostAway = 6 * time.Second

// Guards against LOST: a task of the step that had never run and did not fit ended the
// planning of the step, so that no room was made for an interrupted one behind it.
func TestInterruptedTaskIsPlannedBehindSiblingsThatNeverRan(t *testing.T) {
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	f.place("batch", batchStep(2, 4000, true), "a", "a")
	step := serviceStep(3, 4000)
	f.Add(spec("service", step), f.now, 0)
	tasks := f.Job("service").occurrences[0].tasks[0]
	f.start(tasks[1], f.Worker("b"), 1, f.now)
	f.start(tasks[2], f.Worker("b"), 1, f.now)
	f.confirmStarts(f.TakeOutput())
	f.listAllRunning()
	f.lose()
	f.returnsInTime(t, tasks[2])
}

// Guards against LOST: the tasks of an interrupted job that had never run took the places
// before an interrupted task of another job.
func TestTasksThatNeverRanTakeNoPlaceOfInterruptedOnes(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 8000, 64000))
	f.place("filler", serviceStep(2, 4000), "a", "a")
	leaving := f.place("leaving", serviceStep(2, 4000), "a", "a")
	f.place("a-wide", serviceStep(3, 4000), "b")
	f.place("b-other", serviceStep(1, 4000), "b")
	f.lose()
	f.plan(2 * serviceBatchWindow)
	f.Cancel("leaving")
	f.TakeOutput()
	for _, r := range leaving {
		f.HandleStopResponse(r, r.Worker.Observe(f.now), nil, f.now)
		f.listWorking(r.Worker, r, port.EndStopped)
	}
	placed := map[string]bool{}
	for _, r := range f.plan(50 * time.Millisecond).Starts {
		placed[r.Task.ID.Job] = true
	}
	is.Equal(placed, map[string]bool{"a-wide": true, "b-other": true})
}

// Guards against LOST: tasks of a job that always fails put every worker with room in a
// pause, and an interrupted service task waited until it was over.
func TestFailuresOfOtherJobsDoNotKeepServicesAway(t *testing.T) {
	f := newFixture(worker("b", 8000, 64000), worker("a", 8000, 64000))
	task := f.place("service", serviceStep(1, 4000), "a")[0].Task
	for i := range failureThreshold + maxFailureDoublings {
		id := fmt.Sprintf("bad-%02d", i)
		f.listWorking(f.Worker("b"), f.place(id, batchStep(1, 4000, false), "b")[0], port.EndFailed)
	}
	f.lose()
	f.returnsInTime(t, task)
}

// Guards against LOST: a worker on which a service task had failed several times was
// paused for longer than a service may be away, and no other had room.
func TestServiceThatFailsIsStartedAgain(t *testing.T) {
	f := newFixture(worker("a", 16000, 64000))
	task := f.place("service", serviceStep(1, 4000), "a")[0].Task
	for range failureThreshold + maxFailureDoublings {
		f.listWorking(f.Worker("a"), task.Runs[0], port.EndFailed)
		f.returnsInTime(t, task)
	}
}

// Guards against LOST: a worker that had left four start orders in a row without answer
// was paused for longer than a service may be away, although it had answered other calls.
func TestLostStartOrdersDoNotKeepServicesAway(t *testing.T) {
	f := newFixture(worker("b", 8000, 64000), worker("a", 8000, 64000))
	task := f.place("service", serviceStep(1, 4000), "a")[0].Task
	b := f.Worker("b")
	for i := range 4 {
		if f.now.Before(b.backoffUntil) {
			f.now = b.backoffUntil
		}
		id := fmt.Sprintf("batch-%d", i)
		f.Add(spec(id, batchStep(1, 4000, false)), f.now, 0)
		f.start(f.Job(id).occurrences[0].tasks[0][0], b, 1, f.now)
		r := f.TakeOutput().Starts[0]
		f.HandleStartResponse(r, r.Worker.Observe(f.now), 0, &port.UnansweredError{Op: "start"}, f.now)
		f.Cancel(id)
		f.TakeOutput()
		f.now = f.now.Add(time.Millisecond)
		f.HandleStopResponse(r, r.Worker.Observe(f.now), nil, f.now)
		f.listWorking(b, r, port.EndStopped)
	}
	f.lose()
	f.returnsInTime(t, task)
}

// Guards against LOST: no room was made for an interrupted service task where a service
// could move only to a worker on which batch work had to be stopped.
func TestAnotherServiceMovesToTheRoomOfBatchWork(t *testing.T) {
	f := newFixture(worker("a", 10000, 64000), worker("b", 10000, 64000), worker("c", 6000, 64000))
	f.place("small", serviceStep(2, 4000), "a", "a")
	f.place("large", serviceStep(1, 6000), "b")
	f.place("batch", batchStep(1, 4000, true), "b")
	task := f.place("lost", serviceStep(1, 6000), "c")[0].Task
	for i := range 10 {
		f.Add(spec(fmt.Sprintf("backlog-%02d", i), batchStep(2, 4000, true)), f.now, 0)
	}
	f.lose()
	f.returnsInTime(t, task)
}

// Guards against LOST: an interrupted service task whose room needs two other services to
// move was given up.
func TestTwoServicesMoveForAnInterruptedOne(t *testing.T) {
	var workers []port.WorkerEntry
	for i := range 6 {
		workers = append(workers, worker(fmt.Sprintf("w%d", i), 12000, 64000))
	}
	f := newFixture(append(workers, worker("last", 8000, 64000))...)
	for i, w := range workers {
		for k := range 3 { // 3 cores stay free on each worker, 18 in all
			f.place(fmt.Sprintf("small-%d-%d", i, k), serviceStep(1, 3000), w.ID)
		}
	}
	task := f.place("lost", serviceStep(1, 8000), "last")[0].Task
	f.lose()
	f.returnsInTime(t, task)
}

// Guards against LOST: no room was made for a service gang, and tasks of a backlog took
// each piece of capacity that became free.
func TestInterruptedGangGetsRoom(t *testing.T) {
	f := newFixture(worker("b", 8000, 64000), worker("a", 8000, 64000))
	gang := serviceStep(2, 4000)
	gang.Gang = true
	f.place("batch", batchStep(2, 4000, true), "b", "b")
	runs := f.place("service", gang, "a", "a")
	f.lose()
	f.returnsInTime(t, runs[0].Task)
}

// Guards against reservations of a gang that keep its own tasks out until they expire.
func TestInterruptedGangUsesItsReservations(t *testing.T) {
	f := newFixture(worker("b", 8000, 64000), worker("a", 8000, 64000))
	gang := serviceStep(2, 4000)
	gang.Gang = true
	f.place("batch", batchStep(2, 4000, true), "b", "b")
	runs := f.place("service", gang, "a", "a")
	f.lose()
	if away := f.serve(runs[0].Task, 20*time.Second); away >= reservationTTL {
		t.Fatalf("away for %v", away)
	}
}

// Guards against LOST: a task of a former owner waits behind all other work, because its
// start was not recorded yet: placements are committed after up to 250 ms.
func TestServiceOfAFormerOwnerGoesBeforeTheBacklog(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	s := spec("service", serviceStep(2, 4000))
	j := f.Add(s, f.now, 0)
	is.NoErr(f.Restore(j, Progress{Started: true, Tasks: []TaskProgress{{Index: 0, Attempt: 1}}}))
	f.place("batch", batchStep(2, 4000, true), "a", "a")
	f.Add(spec("backlog", batchStep(20, 4000, true)), f.now, 0)
	task := j.occurrences[0].tasks[0][1] // started just before the former owner was lost
	f.returnsInTime(t, task)
}

// Guards against LOST: a service task that left a draining worker held no place, and a
// pool full of tasks that run for long took it in.
func TestServiceOfADrainingWorkerReplacesBatchWork(t *testing.T) {
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000))
	f.place("batch", batchStep(2, 4000, false), "b", "b")
	task := f.place("service", serviceStep(1, 4000), "a")[0].Task
	for i := range 10 {
		f.Add(spec(fmt.Sprintf("backlog-%02d", i), batchStep(2, 4000, false)), f.now, 0)
	}
	f.entries[0].Draining, f.entries[0].Remaining = true, 20*time.Second
	f.SetWorkers(f.entries, f.now)
	f.returnsInTime(t, task)
}

// Guards against LOST: an interrupted service task with a limit per worker fits beside no
// other of its step, and the other workers are full of batch work.
func TestInterruptedTaskWithALimitPerWorkerGetsRoom(t *testing.T) {
	f := newFixture(worker("b", 8000, 64000), worker("c", 8000, 64000), worker("a", 8000, 64000))
	step := serviceStep(2, 4000)
	step.MaxPerWorker = 1
	f.place("batch", batchStep(2, 4000, true), "c", "c")
	runs := f.place("service", step, "a", "b")
	f.lose()
	f.returnsInTime(t, runs[0].Task)
}

// Guards against LOST: a moved task lost its reservation when the next worker left one
// call unanswered, and batch work took the place.
func TestMoveSurvivesAnUnansweredCall(t *testing.T) {
	f := newFixture(worker("a", 4000, 64000), worker("b", 4000, 64000))
	run := f.place("service", serviceStep(1, 4000), "a")[0]
	f.reserve(run.Task, f.Worker("b"), f.now)
	f.move(run, StopConsolidate)
	for _, r := range f.TakeOutput().Stops {
		f.HandleStopResponse(r, r.Worker.Observe(f.now), nil, f.now)
	}
	f.HandleNoResponse(f.Observe("b", f.now.Add(time.Millisecond)))
	f.now = f.now.Add(time.Millisecond)
	f.plan(50 * time.Millisecond)
	f.listAllRunning() // both workers answer again
	f.Add(spec("backlog", batchStep(4, 4000, false)), f.now, 0)
	f.confirmStarts(f.plan(50 * time.Millisecond))
	f.listEnd(run, 1, port.EndStopped)
	f.returnsInTime(t, run.Task)
}

// Guards against LOST: the reservation of a moved task expired before its stop was
// answered, and a new service took the place.
func TestLateStopOfAMoveKeepsAPlace(t *testing.T) {
	f := newFixture(worker("a", 4000, 64000), worker("b", 4000, 64000))
	run := f.place("service", serviceStep(1, 4000), "a")[0]
	f.reserve(run.Task, f.Worker("b"), f.now)
	f.move(run, StopConsolidate)
	f.TakeOutput()
	for _, w := range f.Workers() {
		w.ExtendLease(f.now, time.Minute)
	}
	f.plan(reservationTTL + time.Millisecond)
	f.Add(spec("new", serviceStep(1, 4000)), f.now, 0)
	f.confirmStarts(f.plan(2 * serviceBatchWindow))
	f.HandleStopResponse(run, run.Worker.Observe(f.now), nil, f.now)
	f.listEnd(run, 1, port.EndStopped)
	f.returnsInTime(t, run.Task)
}

// Guards against LOST: starts of a service task are refused again and again by the worker
// that ranks first, while another has room.
func TestRefusedServiceTaskTriesAnotherWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000), worker("c", 4000, 64000))
	task := f.place("service", serviceStep(1, 4000), "c")[0].Task
	f.lose()
	for _, reason := range []port.Refusal{port.RefusedCapacity, port.RefusedBusy} {
		began := f.now
		for f.now.Sub(began) < mostAway {
			for _, r := range f.plan(50 * time.Millisecond).Starts {
				if r.Worker.Entry.ID == "b" {
					f.HandleStartResponse(r, r.Worker.Observe(f.now), 0, nil, f.now)
					continue
				}
				f.HandleStartResponse(r, r.Worker.Observe(f.now), 0, &port.RefusedError{Reason: reason}, f.now)
			}
		}
		is.Equal(len(task.Runs), 1)
		f.listEnd(task.Runs[0], task.Runs[0].Worker.lastEnd+1, port.EndStopped)
	}
}
