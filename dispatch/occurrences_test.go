package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// wideSteps returns as many steps as a job may have, each with as many tasks as a step may have. Each
// depends on the one before if chained is set.
func wideSteps(chained bool) []job.Step {
	steps := make([]job.Step, job.MaxSteps)
	for s := range steps {
		steps[s] = small(job.MaxTasksPerStep)
		if chained && s > 0 {
			steps[s].After = []int{s - 1}
		}
	}
	return steps
}

// Guards against LOST for all callers: the memory of an accepted job followed from all tasks that it
// will ever have, and each owner of the cell exceeded its memory, one after the other.
func TestMemoryOfAJobFollowsFromTheTasksThatCanRun(t *testing.T) {
	now := time.Unix(1000, 0)
	year := spec("year", small(6))
	year.Schedule = job.Schedule{Times: 365 * 24 * 12, FirstUnixMS: now.UnixMilli(), IntervalMS: 5 * 60 * 1000}
	tomorrow := spec("tomorrow", wideSteps(false)...)
	tomorrow.Schedule = job.Schedule{Times: 1, FirstUnixMS: now.Add(24 * time.Hour).UnixMilli()}
	for _, s := range []job.Spec{year, tomorrow, spec("chain", wideSteps(true)...)} {
		t.Run(s.ID, func(t *testing.T) {
			f := newFixture(worker("w", 8000, 8000))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			j := f.Add(s, now, now.UnixMilli())
			runtime.ReadMemStats(&after)
			const limit = 2 << 20 // a step of 1,000 tasks takes a third of it
			if used := after.TotalAlloc - before.TotalAlloc; used > limit {
				t.Errorf("adding the job takes %d bytes, want at most %d", used, limit)
			}
			runtime.KeepAlive(j)
		})
	}
}

// budgeted returns a fixture whose engine has the smallest budget.
func budgeted(workers ...port.WorkerEntry) *fixture {
	f := newFixture(workers...)
	f.options.Budget = NewBudget(MinBudget)
	return f
}

// complete confirms and ends all starts of a plan.
func (f *fixture) complete(out Output, sequence map[string]int64) {
	f.confirmStarts(out)
	for _, r := range out.Starts {
		sequence[r.Worker.Entry.ID]++
		f.listEnd(r, sequence[r.Worker.Entry.ID], port.EndDone)
	}
}

// Guards against LOST: occurrences that were missed are all due at once. They run in turn, within the
// budget, and keep no other job waiting.
func TestMissedOccurrencesRunInTurnBesideOtherJobs(t *testing.T) {
	is := is.New(t)
	f := budgeted(worker("a", 100_000, 100_000), worker("b", 100_000, 100_000))
	missed := spec("missed", small(3))
	missed.Schedule = job.Schedule{Times: 20_000, FirstUnixMS: 1, IntervalMS: 1}
	j := f.Add(missed, f.now, f.now.UnixMilli())
	started, sequence := map[string]int{}, map[string]int64{}
	for round := 0; j.State != job.Completed; round++ {
		is.True(round < 1000)
		id := fmt.Sprintf("other%d", round)
		f.Add(spec(id, small(1)), f.now, f.now.UnixMilli())
		out := f.plan(100 * time.Millisecond)
		is.True(f.options.Budget.tasks <= MinBudget)
		for _, r := range out.Starts {
			started[r.Task.name()]++
		}
		if waited := round - 20; waited >= 0 { // its objective is 2 s after its arrival
			is.Equal(started[fmt.Sprintf("other%d.0.0.0", waited)], 1)
		}
		f.complete(out, sequence)
	}
	for k := range 20_000 {
		for i := range 3 {
			is.Equal(started[job.TaskID{Job: "missed", Occurrence: k, Index: i}.String()], 1)
		}
	}
	is.Equal(len(f.tasks), 0)
	is.Equal(f.options.Budget.tasks, 0)
	is.Equal(f.options.Budget.jobs, 0)
}

// Guards against LOST: the tasks of jobs that fit on no worker take all the memory for tasks, and no
// other job begins. All of them have the same priority.
func TestTasksThatFitNowhereMakeWayInMemory(t *testing.T) {
	is := is.New(t)
	f := budgeted(worker("w", 8000, 8000))
	impossible := wideSteps(false)
	for s := range impossible {
		impossible[s].Label = "no worker has it"
	}
	for n := range 8 {
		f.Add(spec(fmt.Sprintf("impossible%d", n), impossible...), f.now, 0)
		f.plan(100 * time.Millisecond)
	}
	sequence := map[string]int64{}
	for n := range 20 {
		id := fmt.Sprintf("job%d", n)
		j := f.Add(spec(id, small(4)), f.now, 0)
		for range (displaceAfter + 500*time.Millisecond) / (100 * time.Millisecond) {
			f.complete(f.plan(100*time.Millisecond), sequence)
			is.True(f.options.Budget.tasks <= MinBudget)
		}
		is.Equal(j.State, job.Completed)
	}
}

// Guards against LOST: a step of which no task fits keeps later occurrences of the other steps from
// running.
func TestStepThatFitsNowhereDoesNotHoldUpOtherOccurrences(t *testing.T) {
	is := is.New(t)
	f := budgeted(worker("w", 8000, 8000))
	impossible := small(1)
	impossible.Label = "no worker has it"
	s := spec("j", impossible, small(1))
	s.Schedule = job.Schedule{Times: 2 * maxWaitingOfStep, FirstUnixMS: 1, IntervalMS: 1}
	f.Add(s, f.now, f.now.UnixMilli())
	ran, sequence := 0, map[string]int64{}
	for range 400 {
		out := f.plan(100 * time.Millisecond)
		ran += len(out.Starts)
		f.complete(out, sequence)
	}
	is.Equal(ran, 2*maxWaitingOfStep)
}

// played is a job that is played by TestTasksRunOnceInOrderOverTakeovers.
type played struct {
	*fixture
	rt      *rapid.T
	spec    job.Spec
	job     *Job
	limit   int
	running map[string]*Run // by task
	done    map[string]bool
	ended   map[string][]port.EndedTask // ends that are not acknowledged, by worker
	last    map[string]int64
	// committed is what a next owner reads.
	committed Progress
}

func (p *played) check(r *Run) {
	id := r.Task.ID
	if p.done[r.Task.name()] {
		p.rt.Fatalf("%s is started after it was done", r.Task.name())
	}
	if p.running[r.Task.name()] != nil {
		p.rt.Fatalf("%s is started twice", r.Task.name())
	}
	if due := p.spec.DueUnixMS(id.Occurrence); due > p.now.UnixMilli() {
		p.rt.Fatalf("%s is started %d ms too early", r.Task.name(), due-p.now.UnixMilli())
	}
	for _, before := range r.Task.Step.After {
		for i := range p.spec.Steps[before].Tasks {
			if name := (job.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: before, Index: i}).String(); !p.done[name] {
				p.rt.Fatalf("%s is started before %s is done", r.Task.name(), name)
			}
		}
	}
}

func (p *played) list() {
	for _, w := range p.entries {
		l := port.Listing{Ended: p.ended[w.ID]}
		for name, r := range p.running {
			if r.Worker.Entry.ID == w.ID {
				l.Running = append(l.Running, port.RunningTask{Task: name, Attempt: r.Attempt})
			}
		}
		p.reportListing(w.ID, l)
	}
}

func (p *played) begin() {
	p.fixture = &fixture{Engine: NewEngine(testOptions), now: p.now, entries: p.entries}
	p.options.Budget = NewBudget(p.limit)
	p.SetQueues([]job.Queue{{Name: "q", Pool: "pool", Stretch: 2, Slack: time.Second}}, 1)
	p.SetWorkers(p.entries, p.now)
	p.job = p.Add(p.spec, p.now, p.now.UnixMilli())
}

// takeOver replaces the owner by one that has read what was committed last.
func (p *played) takeOver() {
	p.begin()
	if err := p.Restore(p.job, p.committed); err != nil {
		p.rt.Fatal(err)
	}
	p.ExpectInheritedRuns([]string{"a", "b"}, p.now)
}

// Each task of a job runs once, when it is due and the steps before it are done, whichever tasks are in
// memory, and also if owners are replaced that have not committed their last changes.
func TestTasksRunOnceInOrderOverTakeovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &played{rt: rt, running: map[string]*Run{}, done: map[string]bool{}, ended: map[string][]port.EndedTask{}, last: map[string]int64{}}
		p.fixture = newFixture(worker("a", 4000, 8000), worker("b", 3000, 8000))
		p.spec = spec("j")
		for s := range rapid.IntRange(1, 4).Draw(rt, "steps") {
			step := small(rapid.IntRange(1, 4).Draw(rt, "tasks"))
			for before := range s {
				if rapid.Bool().Draw(rt, "after") {
					step.After = append(step.After, before)
				}
			}
			p.spec.Steps = append(p.spec.Steps, step)
		}
		if times := rapid.IntRange(0, 12).Draw(rt, "times"); times > 0 {
			p.spec.Schedule = job.Schedule{
				Times: times, FirstUnixMS: p.now.UnixMilli() + rapid.Int64Range(-5000, 3000).Draw(rt, "first"), IntervalMS: rapid.Int64Range(1, 1500).Draw(rt, "interval"),
			}
		}
		p.limit = rapid.IntRange(10, 60).Draw(rt, "limit")
		p.begin()
		for round := 0; p.job.State != job.Completed; round++ {
			if round == 600 {
				rt.Fatalf("the job is %s, %d tasks are done", p.job.State, len(p.done))
			}
			out := p.plan(200 * time.Millisecond)
			for _, r := range out.Starts {
				p.check(r)
				p.running[r.Task.name()] = r
			}
			p.confirmStarts(out)
			for name, r := range p.running {
				if rapid.IntRange(0, 2).Draw(rt, "ends") > 0 {
					w := r.Worker.Entry.ID
					p.last[w]++
					p.ended[w] = append(p.ended[w], port.EndedTask{Sequence: p.last[w], Task: name, Attempt: r.Attempt, Reason: port.EndDone})
					p.done[name] = true
					delete(p.running, name)
				}
			}
			switch action := rapid.IntRange(0, 9).Draw(rt, "action"); {
			case action == 0:
				p.takeOver()
			case action < 4:
				p.list()
				p.committed = p.job.Progress()
				clear(p.ended)
			default:
				p.list()
			}
		}
		total := p.spec.Occurrences() * p.spec.Numbering().PerOccurrence()
		if len(p.done) != total || len(p.tasks) != 0 || p.options.Budget.tasks != 0 {
			rt.Fatalf("%d of %d tasks are done, and %d in memory (%d counted)", len(p.done), total, len(p.tasks), p.options.Budget.tasks)
		}
	})
}

// A progress with the ranges of an earlier version, which follow parts of 100 tasks, is restored without
// the tasks that are done.
func TestRangesThatCoverPartsOfStepsAreRestored(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(worker("w", 1_000_000, 1_000_000))
		s := spec("j", small(rapid.IntRange(1, 7).Draw(rt, "first")), small(rapid.IntRange(1, 7).Draw(rt, "second")))
		s.Schedule = job.Schedule{Times: rapid.IntRange(1, 9).Draw(rt, "times"), FirstUnixMS: 1, IntervalMS: 1}
		numbers := s.Numbering()
		total := s.Occurrences() * numbers.PerOccurrence()
		done := map[string]bool{}
		p := Progress{Started: true}
		for range rapid.IntRange(1, 4).Draw(rt, "ranges") {
			from := rapid.IntRange(0, total-1).Draw(rt, "from")
			to := rapid.IntRange(from, total).Draw(rt, "to")
			p.Done = p.Done.Add(from, to)
			for n := from; n < to; n++ {
				k, step, i := numbers.At(n)
				done[job.TaskID{Job: "j", Occurrence: k, Step: step, Index: i}.String()] = true
			}
		}
		j := f.Add(s, f.now, f.now.UnixMilli())
		if err := f.Restore(j, p); err != nil {
			rt.Fatal(err)
		}
		started, sequence := map[string]bool{}, map[string]int64{}
		for range 50 {
			out := f.plan(100 * time.Millisecond)
			for _, r := range out.Starts {
				started[r.Task.name()] = true
			}
			f.complete(out, sequence)
		}
		for name := range started {
			if done[name] {
				rt.Fatalf("%s is started after it was done", name)
			}
		}
		if j.State != job.Completed || len(started)+len(done) != total {
			rt.Fatalf("the job is %s; %d tasks were done and %d started, of %d", j.State, len(done), len(started), total)
		}
	})
}

// Guards against memory that a takeover takes for what is done: the ranges of a job that has run for
// most of a year.
func TestRestoreCreatesNoTasksThatAreDone(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 8000, 8000))
	s := spec("year", small(6))
	s.Schedule = job.Schedule{Times: 105_120, FirstUnixMS: f.now.Add(-300 * 24 * time.Hour).UnixMilli(), IntervalMS: 5 * 60 * 1000}
	j := f.Add(s, f.now, f.now.UnixMilli())
	is.NoErr(f.Restore(j, Progress{Done: job.Ranges{{0, 6 * 86_400}}}))
	is.Equal(j.State, job.Running)
	is.True(len(f.tasks) <= 6)
	out := f.plan(0)
	is.Equal(len(out.Starts), 6)
	is.Equal(out.Starts[0].Task.ID.Occurrence, 86_400)
	is.Equal(j.Progress().Done, job.Ranges{{0, 6 * 86_400}})
}

// Guards against an owner that creates and drops tasks in every plan: jobs that fit on no worker take
// turns in memory seconds apart.
func TestJobsThatFitNowhereTakeTurnsInMemory(t *testing.T) {
	is := is.New(t)
	f := budgeted(worker("w", 8000, 8000))
	for n := range 40 {
		s := spec(fmt.Sprintf("impossible%d", n), small(job.MaxTasksPerStep))
		s.Steps[0].Label = "no worker has it"
		f.Add(s, f.now, 0)
	}
	const seconds = 60
	held, turns := map[string]bool{}, 0
	for range seconds * 20 {
		f.plan(50 * time.Millisecond)
		for id, j := range f.jobs {
			if j.created > 0 && !held[id] {
				turns++
			}
			held[id] = j.created > 0
		}
	}
	is.True(turns >= 40)                                      // each has its turn
	is.True(turns <= 40*int(seconds/displaceAfter.Seconds())) // none has more than one in displaceAfter
}
