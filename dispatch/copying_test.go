package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/copies"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// speculative returns a step of tasks that may have copies.
func speculative(tasks int) job.Step {
	step := small(tasks)
	step.EstimateMS, step.Speculative = 1000, true
	return step
}

// onRack returns a worker in a rack.
func onRack(id, rack string) port.WorkerEntry {
	w := worker(id, 1000, 8000)
	w.Rack = rack
	return w
}

// racing is a fixture with a step of four tasks, each on its own worker, and three further
// workers. All tasks but the straggler are done after a second. The steps that newRacing gets in
// addition must depend on it.
type racing struct {
	*fixture
	job       *Job
	straggler *Run
	sequence  map[string]int64
}

func newRacing(t *testing.T, step job.Step, later ...job.Step) *racing {
	t.Helper()
	var workers []port.WorkerEntry
	for i := range 7 {
		workers = append(workers, onRack(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/2%2)))
	}
	f := &racing{fixture: newFixture(workers...), sequence: map[string]int64{}}
	f.job = f.Add(spec("j", append([]job.Step{step}, later...)...), f.now, 0)
	out := f.plan(0)
	if len(out.Starts) != step.Tasks {
		t.Fatalf("%d starts, want %d", len(out.Starts), step.Tasks)
	}
	f.confirmStarts(out)
	f.straggler = out.Starts[0]
	f.now = f.now.Add(time.Second)
	for _, r := range out.Starts[1:] {
		f.end(r, port.EndDone)
	}
	return f
}

// end lists the end of a run with the next number of its worker.
func (f *racing) end(r *Run, reason port.EndReason) {
	id := r.Worker.Entry.ID
	f.sequence[id]++
	f.listEnd(r, f.sequence[id], reason)
}

// list lists a run with a progress.
func (f *fixture) list(r *Run, percent int) {
	f.reportListing(r.Worker.Entry.ID, port.Listing{Running: []port.RunningTask{{Task: r.Task.name(), Attempt: r.Attempt, Percent: percent}}})
}

// copyOf lists the straggler with little progress and returns the copy that is started.
func (f *racing) copyOf(t *testing.T) *Run {
	t.Helper()
	f.list(f.straggler, 5)
	out := f.plan(copyInterval)
	if len(out.Copies) != 1 || len(out.Starts) != 1 {
		t.Fatalf("%d copies of %d starts, want 1 of 1", len(out.Copies), len(out.Starts))
	}
	f.confirmStarts(out)
	return out.Copies[0].Run
}

// plansUntil plans every 100 ms for a time and returns the starts.
func (f *racing) plansUntil(d time.Duration) (starts []*Run) {
	for range d / (100 * time.Millisecond) {
		starts = append(starts, f.plan(100*time.Millisecond).Starts...)
	}
	return starts
}

// Guards against a copy beside the run, in its rack, under its attempt number, or with a
// start request that may be executed more than a second after the other run's end.
func TestStragglerGetsACopyElsewhere(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	second := f.copyOf(t)
	is.True(second.IsCopy())
	is.True(second.Task == f.straggler.Task)
	is.True(second.Worker.Entry.Rack != f.straggler.Worker.Entry.Rack)
	is.Equal(second.Attempt, f.straggler.Attempt+1)
	is.True(float64(second.NotAfterMS()-second.Worker.ClockMS(second.requestedAt)) <= 1000*clockRate)
	for range 30 { // at most one copy
		f.list(f.straggler, 5)
		f.list(second, 5)
		is.Equal(len(f.plan(100*time.Millisecond).Starts), 0)
	}
}

// Guards against a copy that shares the fate of the first run.
func TestCopyIsNotStartedBesideItsRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000), worker("b", 500, 8000)) // the task fits on a only
	f.Add(spec("j", speculative(1)), f.now, 0)
	out := f.plan(0)
	f.confirmStarts(out)
	f.now = f.now.Add(1400 * time.Millisecond)
	f.list(out.Starts[0], 5)
	is.Equal(len(f.plan(copyInterval).Starts), 0)
}

// Guards against copies of tasks that must have one run.
func TestStepsThatDoNotAllowCopiesGetNone(t *testing.T) {
	kinds := map[string]func(*job.Step){
		"not speculative": func(s *job.Step) { s.Speculative = false },
		"service":         func(s *job.Step) { s.Service = true },
		"gang":            func(s *job.Step) { s.Gang = true },
	}
	for name, change := range kinds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			step := speculative(4)
			change(&step)
			var workers []port.WorkerEntry
			for i := range 7 {
				workers = append(workers, onRack(fmt.Sprintf("w%d", i), "r"))
			}
			f := newFixture(workers...)
			f.Add(spec("j", step), f.now, 0)
			out := f.plan(time.Second)
			is.Equal(len(out.Starts), 4)
			f.confirmStarts(out)
			f.now = f.now.Add(time.Second)
			for k, r := range out.Starts {
				f.list(r, 5+30*k)
			}
			f.HandleNoResponse(f.Observe(out.Starts[0].Worker.Entry.ID, f.now))
			for range 20 {
				is.Equal(len(f.plan(100*time.Millisecond).Starts), 0)
			}
			// Nor is a second run adopted.
			first := out.Starts[1]
			other := f.Worker("w6")
			f.reportListing("w6", port.Listing{Running: []port.RunningTask{{Task: first.Task.name(), Attempt: 7}}})
			is.Equal(other.RunCount(), 0)
			is.Equal(len(f.TakeOutput().UnknownRuns), 1)
		})
	}
}

// Guards against a loser that goes on, and against its end changing the task afterwards.
func TestFirstDoneWinsAndTheLoserIsStopped(t *testing.T) {
	for _, copyWins := range []bool{true, false} {
		for _, last := range []port.EndReason{port.EndDone, port.EndStopped, port.EndFailed} {
			t.Run(fmt.Sprintf("copy wins %t, loser %s", copyWins, last), func(t *testing.T) {
				is := is.New(t)
				step := speculative(4)
				next := small(1) // keeps the job open
				next.After, next.Label = []int{0}, "no worker has it"
				f := newRacing(t, step, next)
				winner, loser := f.straggler, f.copyOf(t)
				if copyWins {
					winner, loser = loser, winner
				}
				f.end(winner, port.EndDone)
				out := f.TakeOutput()
				is.Equal(len(out.Stops), 1)
				is.True(out.Stops[0] == loser)
				is.Equal(len(out.Races), 1)
				is.True(out.Races[0].Winner == winner)
				is.True(out.Changed[f.job]) // the end is committed at once
				is.Equal(f.job.occurrences[0].pending, []int{0, 1})
				f.HandleStopResponse(loser, loser.Worker.Observe(f.now), nil, f.now)
				f.end(loser, last)
				is.Equal(f.job.occurrences[0].pending, []int{0, 1}) // counted once
				is.Equal(len(winner.Task.Failures), 0)
				is.Equal(len(winner.Task.Runs), 0)
				is.Equal(len(f.plansUntil(2*time.Second)), 0)
				is.Equal(f.job.State, job.Running)
			})
		}
	}
}

// Guards against BUDGET: failures of both runs count, and no copy starts that the other
// run's failure would leave without budget.
func TestFailuresOfBothRunsCount(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	second := f.copyOf(t)
	f.end(second, port.EndFailed)
	is.Equal(len(f.plansUntil(time.Second)), 0) // the first run goes on
	f.end(f.straggler, port.EndFailed)
	is.Equal(f.straggler.Task.Failures, []int{2, 1})
	third := f.plansUntil(200 * time.Millisecond)
	is.Equal(len(third), 1)
	is.Equal(third[0].Attempt, 3)
	is.True(!third[0].IsCopy())
	f.confirmStarts(Output{Starts: third})
	f.end(third[0], port.EndFailed)
	is.Equal(f.job.State, job.Failed)
	is.Equal(len(f.plansUntil(time.Second)), 0)
}

// Guards against BUDGET: the first run may fail while the copy's start request is on its way.
func TestLastAttemptIsNotCopied(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.straggler.Task.Failures = []int{-1, -2} // of three attempts
	f.list(f.straggler, 5)
	is.Equal(len(f.plansUntil(time.Second)), 0)

	lost := newRacing(t, speculative(4))
	lost.straggler.Task.Failures = []int{-1}
	lost.straggler.Task.unresolvedRuns = 1 // it may have failed without a listed end
	lost.list(lost.straggler, 5)
	is.Equal(len(lost.plansUntil(time.Second)), 0)
}

// Guards against a task that waits for the lease of a silent worker, against a third run
// after the lease, and against counting the crash of one run twice or for the other.
func TestWorkerIsLostUnderOneOfTwoRuns(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.list(f.straggler, 50)
	silent := f.straggler.Worker.Entry.ID
	f.HandleNoResponse(f.Observe(silent, f.now.Add(time.Millisecond)))
	out := f.plan(unansweredAfter + 2*time.Millisecond)
	is.Equal(len(out.Copies), 1)
	is.Equal(out.Copies[0].Reason, copies.ReasonBlocked)
	second := out.Copies[0].Run
	f.confirmStarts(out)
	for k := range 80 { // past the lease of the silent worker
		f.now = f.now.Add(100 * time.Millisecond)
		second.Worker.ExtendLease(f.now, time.Second)
		f.list(second, k)
		f.Plan(f.now)
		is.Equal(len(f.TakeOutput().Starts), 0)
	}
	is.Equal(len(second.Task.Runs), 1)
	is.Equal(len(second.Task.Crashes), 0)
	f.restart(silent)
	is.Equal(second.Task.Crashes, []int{1})
	f.restart(second.Worker.Entry.ID)
	is.Equal(second.Task.Crashes, []int{1, 2})
	is.Equal(f.job.State, job.Running)
	is.Equal(second.Task.unresolvedRuns, 2) // either may have failed without a listed end
	is.Equal(len(f.plansUntil(time.Second)), 1)
}

// Guards against a task that crashes two workers at a time.
func TestSuspectIsNotCopied(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.straggler.Task.Crashes = []int{-1}
	f.list(f.straggler, 5)
	is.Equal(len(f.plansUntil(time.Second)), 0)
}

// Guards against a start that is repeated on a worker that may have executed it, and against
// a task that waits for such a start although its step allows copies.
func TestUnansweredStartIsCopied(t *testing.T) {
	for _, listed := range []bool{false, true} {
		t.Run(fmt.Sprintf("worker answers listings %t", listed), func(t *testing.T) { testUnansweredStartIsCopied(t, listed) })
	}
}

func testUnansweredStartIsCopied(t *testing.T, listed bool) {
	is := is.New(t)
	f := newFixture(onRack("a", "r0"), onRack("b", "r1"), onRack("c", "r1"))
	f.Add(spec("j", speculative(1)), f.now, 0)
	first := f.plan(0).Starts[0]
	sent := f.now
	f.now = f.now.Add(100 * time.Millisecond)
	f.HandleStartResponse(first, first.Worker.Observe(sent), 0, &port.UnansweredError{Op: "start"}, f.now)
	is.Equal(len(f.plan(300*time.Millisecond).Starts), 0) // it could start long after the copy's end
	if listed {
		f.reportListing(first.Worker.Entry.ID, port.Listing{}) // it may begin later
	}
	out := f.plan(400 * time.Millisecond)
	is.Equal(len(out.Copies), 1)
	is.True(out.Starts[0].Worker != first.Worker)
	f.confirmStarts(out)
	f.listEnd(out.Starts[0], 1, port.EndDone)
	is.Equal(f.Job("j"), nil)
}

// Guards against a start that may be executed at any later time: the worker has restarted,
// and its clock with it.
func TestUnboundedStartIsNotCopied(t *testing.T) {
	is := is.New(t)
	f := newFixture(onRack("a", "r0"), onRack("b", "r1"))
	f.Add(spec("j", speculative(1)), f.now, 0)
	first := f.plan(0).Starts[0]
	f.HandleStartResponse(first, first.Worker.Observe(f.now), 0, &port.UnansweredError{Op: "start"}, f.now)
	f.now = f.now.Add(time.Millisecond)
	f.listBoot(first.Worker.Entry.ID, 3)
	f.reportListing(first.Worker.Entry.ID, port.Listing{Boot: 3})
	f.HandleNoResponse(f.Observe(first.Worker.Entry.ID, f.now.Add(time.Millisecond)))
	for range 30 {
		is.Equal(len(f.plan(100*time.Millisecond).Starts), 0)
	}
}

// Guards against a second copy, or a second run of the copy's attempt, while it is not known
// whether the copy runs, and against a copy that outlives its task.
func TestCopyWhoseStartIsNotAnswered(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.list(f.straggler, 5)
	out := f.plan(copyInterval)
	second := out.Copies[0].Run
	f.HandleStartResponse(second, second.Worker.Observe(f.now), 0, &port.UnansweredError{Op: "start"}, f.now)
	is.Equal(f.TakeOutput().Stops, []*Run{second})
	for range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.list(f.straggler, 5)
		f.Plan(f.now)
		is.Equal(len(f.TakeOutput().Starts), 0)
	}
	f.HandleStopResponse(second, second.Worker.Observe(f.now), nil, f.now)
	f.now = f.now.Add(time.Millisecond)
	f.reportListing(second.Worker.Entry.ID, port.Listing{}) // it does not exist
	is.Equal(len(f.straggler.Task.Runs), 1)
	is.Equal(len(f.plansUntil(time.Second)), 0)
	f.end(f.straggler, port.EndDone)
	is.Equal(f.Job("j"), nil)
}

// Guards against a task that gets no copy any more because one was refused, and against
// requests that are repeated at once.
func TestRefusedCopyIsTriedAgainAfterABackoff(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.list(f.straggler, 5)
	out := f.plan(copyInterval)
	f.HandleStartResponse(out.Copies[0].Run, out.Copies[0].Run.Worker.Observe(f.now), 0, &port.RefusedError{Reason: port.RefusedCapacity}, f.now)
	is.Equal(len(f.straggler.Task.Runs), 1)
	f.list(f.straggler, 6)
	is.Equal(len(f.plan(copyBackoff/2).Copies), 0)
	f.now = f.now.Add(copyBackoff)
	f.list(f.straggler, 7)
	is.Equal(len(f.plan(copyInterval).Copies), 1)
}

// Guards against UNASKED: a copy starts or goes on after the job was cancelled.
func TestCancelledJobStopsBothRuns(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.list(f.straggler, 5)
	second := f.plan(copyInterval).Copies[0].Run // not answered yet
	is.True(f.Cancel("j"))
	is.Equal(f.TakeOutput().Stops, []*Run{f.straggler})
	f.HandleStartResponse(second, second.Worker.Observe(f.now), 0, nil, f.now)
	is.Equal(f.TakeOutput().Stops, []*Run{second})
	is.Equal(len(f.plansUntil(time.Second)), 0)
}

// Guards against copies that take room from waiting tasks of the pool.
func TestNoCopyWhileAnythingOfThePoolWaits(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.list(f.straggler, 5)
	wide := small(1)
	wide.Resources.MilliCPU = 50000 // fits on no worker
	f.Add(spec("wide", wide), f.now, 0)
	is.Equal(len(f.plansUntil(time.Second)), 0)
	is.True(f.Cancel("wide"))
	f.list(f.straggler, 6)
	is.Equal(len(f.plan(copyInterval).Copies), 1)
}

// Guards against copies that are planned before tasks that arrive at the same time.
func TestNewTasksGoBeforeCopies(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.list(f.straggler, 5)
	f.Add(spec("burst", small(6)), f.now, 0) // fills the other six workers
	out := f.plan(copyInterval)
	is.Equal(len(out.Starts), 6)
	is.Equal(len(out.Copies), 0)
}

// Guards against more copies in one plan than are allowed.
func TestCopiesPerPlanAreBounded(t *testing.T) {
	is := is.New(t)
	var workers []port.WorkerEntry
	for i := range 40 {
		workers = append(workers, onRack(fmt.Sprintf("w%02d", i), "r"))
	}
	f := newFixture(workers...)
	f.Add(spec("j", speculative(10)), f.now, 0)
	out := f.plan(0)
	f.confirmStarts(out)
	f.now = f.now.Add(time.Millisecond)
	for _, r := range out.Starts {
		f.HandleNoResponse(f.Observe(r.Worker.Entry.ID, f.now))
	}
	is.Equal(len(f.plan(unansweredAfter).Copies), maxCopiesPerPlan)
	is.Equal(len(f.plan(copyInterval/2).Copies), 0)
	is.Equal(len(f.plan(copyInterval/2).Copies), maxCopiesPerPlan)
}

// Guards against a run that is moved being taken for one that needs a copy: it ends at once,
// and its task then starts elsewhere.
func TestMovedRunIsNotCopied(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.list(f.straggler, 5)
	f.now = f.now.Add(stallTimeout + 100*time.Millisecond)
	f.list(f.straggler, 5)
	is.Equal(f.TakeOutput().Stops, []*Run{f.straggler})
	is.Equal(len(f.plan(copyInterval).Starts), 0)
	f.end(f.straggler, port.EndStopped)
	starts := f.plansUntil(200 * time.Millisecond)
	is.Equal(len(starts), 1)
	is.True(!starts[0].IsCopy())
}

// Guards against a retry that loses work: the checkpoint of the run that is behind replaces
// that of the other one.
func TestCheckpointOfTheLeadingRunIsKept(t *testing.T) {
	is := is.New(t)
	step := speculative(4)
	step.Checkpoints = true
	f := newRacing(t, step)
	f.list(f.straggler, 5)
	second := f.copyOf(t)
	listed := func(r *Run, percent int, checkpoint string) {
		f.reportListing(r.Worker.Entry.ID, port.Listing{Running: []port.RunningTask{{Task: r.Task.name(), Attempt: r.Attempt, Percent: percent, Checkpoint: checkpoint}}})
	}
	listed(second, 50, "far")
	listed(f.straggler, 10, "near")
	is.Equal(second.Task.Checkpoint, "far")
	f.reportListing(f.straggler.Worker.Entry.ID, port.Listing{Ended: []port.EndedTask{{Sequence: 1, Task: second.Task.name(), Attempt: 1, Reason: port.EndFailed, Checkpoint: "nearer"}}})
	is.Equal(second.Task.Checkpoint, "far")
}

// Guards against a copy on a worker that is reserved for a large task that may not start yet.
func TestNoCopyOnAReservedWorker(t *testing.T) {
	is := is.New(t)
	f := newRacing(t, speculative(4))
	f.entries = append(f.entries, worker("big", 3000, 64000))
	f.SetWorkers(f.entries, f.now)
	f.reportListing("big", port.Listing{})
	for i, entry := range f.entries[:7] {
		if entry.ID != f.straggler.Worker.Entry.ID {
			f.place(fmt.Sprintf("fill%d", i), timed(time.Hour), entry.ID)
		}
	}
	f.list(f.place("running", timed(5*time.Second), "big")[0], 10)
	f.Add(spec("large", step(1, 3000, 1000)), f.now, 0)
	f.plan(copyInterval)
	is.Equal(f.reservedFor("large"), []string{"big"})
	f.unknownRunCounts["large.0.0.0"] = 1
	f.list(f.straggler, 5)
	is.Equal(startedOn(f.plan(copyInterval)), []string{})
	f.Cancel("large")
	is.Equal(startedOn(f.plan(copyInterval)), []string{"big"}) // the copy
}
