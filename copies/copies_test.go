package copies

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// run returns a run that took elapsed for a percentage of its work.
func run(elapsed time.Duration, percent int) Run {
	return Run{MayCopy: true, Elapsed: elapsed, Progress: float64(percent) / 100}
}

// step returns a step of ten tasks, of which those without a given run have taken a second.
func step(runs ...Run) Step {
	finished := make([]time.Duration, 10-len(runs))
	for i := range finished {
		finished[i] = time.Second
	}
	return Step{
		Forecast: NewStepForecast(600*time.Millisecond, finished, runs),
		Tasks:    10, MilliCPU: 1000, Runs: runs,
	}
}

// Guards against a step that waits for its last task on a worker that is slow for all tasks.
func TestStragglerOnASlowWorkerIsCopied(t *testing.T) {
	is := is.New(t)
	straggler := run(1200*time.Millisecond, 30)
	straggler.WorkerSpeed = 0.3
	chosen := Choose([]Step{step(straggler)})
	is.Equal(len(chosen), 1)
	is.Equal(chosen[0].Reason, ReasonSlow)
	is.True(chosen[0].NewRun >= time.Second && chosen[0].NewRun < 1300*time.Millisecond)
	is.True(chosen[0].Gain > time.Second)
}

// Guards against copies that end no earlier than the run: the task is larger than others,
// and the other tasks of its worker run at full speed.
func TestLargeTaskOnANormalWorkerIsNotCopied(t *testing.T) {
	is := is.New(t)
	large := run(1200*time.Millisecond, 30)
	large.WorkerSpeed = 1
	is.Equal(len(Choose([]Step{step(large)})), 0)
}

// Guards against waiting for the lease of a worker that does not answer.
func TestRunOnAHungWorkerIsCopied(t *testing.T) {
	is := is.New(t)
	hung := run(400*time.Millisecond, 50)
	hung.Blocked = 3 * time.Second
	chosen := Choose([]Step{step(hung)})
	is.Equal(len(chosen), 1)
	is.Equal(chosen[0].Reason, ReasonBlocked)
	is.Equal(chosen[0].Gain, 3*time.Second)
}

// Guards against waiting for a task whose progress is listed, but does not advance.
func TestRunWithoutProgressIsCopied(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Choose([]Step{step(run(1200*time.Millisecond, 0))})), 1)
}

// Guards against copies of a step whose declared run time is too low: all of its tasks take
// five times as long, and so would the copies.
func TestStepThatIsSlowByItselfIsNotCopied(t *testing.T) {
	is := is.New(t)
	var runs []Run
	for i := range 10 {
		runs = append(runs, run(time.Second, 18+i%5))
	}
	s := step(runs...)
	is.Equal(len(Choose([]Step{s})), 0)
	s.Runs[3].MayCopy = false // the others are compared with it all the same
	is.Equal(len(Choose([]Step{s})), 0)
}

// Guards against copies that take capacity from tasks of the same step that wait for it.
func TestStepInABurstIsNotCopied(t *testing.T) {
	is := is.New(t)
	s := step(run(2*time.Second, 10))
	is.Equal(len(Choose([]Step{s})), 1)
	s.Waiting = 1
	is.Equal(len(Choose([]Step{s})), 0)
}

// Guards against copies that save less than they cost.
func TestRunThatIsNearlyDoneIsNotCopied(t *testing.T) {
	is := is.New(t)
	nearlyDone := run(3*time.Second, 80)
	nearlyDone.WorkerSpeed = 0.3
	is.Equal(len(Choose([]Step{step(nearlyDone)})), 0)
	waiting := run(0, 0)
	waiting.Blocked = 100 * time.Millisecond
	is.Equal(len(Choose([]Step{step(waiting)})), 0)
}

// Guards against a step that is copied as a whole.
func TestCopiesOfAStepAreBounded(t *testing.T) {
	is := is.New(t)
	slow := run(2*time.Second, 10)
	s := step(slow, slow, slow, slow)
	is.Equal(len(Choose([]Step{s})), 2) // a quarter of ten
	s.Copied = 1
	is.Equal(len(Choose([]Step{s})), 1)
	s.Copied = 2
	is.Equal(len(Choose([]Step{s})), 0)
}

// Guards against spending processors on the copy that saves least for them.
func TestHighestGainPerProcessorTimeGoesFirst(t *testing.T) {
	is := is.New(t)
	wide, slow, slower := step(run(2*time.Second, 10)), step(run(2*time.Second, 10)), step(run(4*time.Second, 10))
	wide.MilliCPU = 8000
	chosen := Choose([]Step{wide, slow, slower})
	is.Equal(len(chosen), 3)
	is.Equal([]int{chosen[0].Step, chosen[1].Step, chosen[2].Step}, []int{2, 1, 0})
}

// Guards against copies of steps of which nothing is known, and against a copy of a single
// task whose declared run time is merely too low.
func TestDeclaredRunTimeAloneIsNotTrusted(t *testing.T) {
	is := is.New(t)
	single := func(declared time.Duration, r Run) Step {
		return Step{Forecast: NewStepForecast(declared, nil, []Run{r}), Tasks: 1, Runs: []Run{r}}
	}
	is.Equal(len(Choose([]Step{single(0, run(3*time.Second, 10))})), 0)
	is.Equal(len(Choose([]Step{single(time.Second, run(1500*time.Millisecond, 50))})), 0)
	is.Equal(len(Choose([]Step{single(time.Second, run(1500*time.Millisecond, 10))})), 1)
}

// TestCandidatesAreWithinTheLimits checks the stated limits for random steps.
func TestCandidatesAreWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		var steps []Step
		for range rapid.IntRange(1, 3).Draw(t, "steps") {
			var finished []time.Duration
			for range rapid.IntRange(0, 5).Draw(t, "finished") {
				finished = append(finished, ms("took", 5000))
			}
			var runs []Run
			for range rapid.IntRange(0, 6).Draw(t, "runs") {
				r := run(ms("elapsed", 5000), rapid.IntRange(0, 100).Draw(t, "percent"))
				r.MayCopy, r.ListedAgo = rapid.Bool().Draw(t, "may"), ms("ago", 1500)
				r.WorkerSpeed = rapid.Float64Range(0, 2).Draw(t, "speed")
				if rapid.Bool().Draw(t, "blocked") {
					r.Blocked = ms("until", 4000)
				}
				runs = append(runs, r)
			}
			steps = append(steps, Step{
				Forecast: NewStepForecast(ms("declared", 3000), finished, runs), Runs: runs,
				Tasks:   len(runs) + len(finished),
				Waiting: rapid.IntRange(0, 1).Draw(t, "waiting"), Copied: rapid.IntRange(0, 2).Draw(t, "copied"),
			})
		}
		slow := make([]int, len(steps))
		for _, c := range Choose(steps) {
			s := steps[c.Step]
			r := s.Runs[c.Run]
			is.True(r.MayCopy)
			is.Equal(s.Waiting, 0)
			is.True(c.Gain >= minGain && c.NewRun > 0)
			is.True(c.Gain >= time.Duration(gainShare*float64(c.NewRun)))
			if c.Reason == ReasonSlow {
				slow[c.Step]++
				is.Equal(r.Blocked, time.Duration(0))
				is.True(s.Copied+slow[c.Step] <= max(1, s.Tasks/4))
			}
		}
	})
}
