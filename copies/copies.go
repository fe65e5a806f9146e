// Package copies decides which running tasks deserve a second run, a copy, on another
// worker. It is a pure decision: the runs of the steps go in, and the copies to start come
// out. The caller chooses the workers and knows which steps allow copies.
package copies

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minObserved is the least run time from which a run's progress is judged. Progress is
	// listed in whole percents, and the first listing may precede the task's first work.
	minObserved = 300 * time.Millisecond
	// minGain is the least time that a copy must be expected to save. Starting it, and
	// learning of its end, takes about 0.1 s.
	minGain = 200 * time.Millisecond
	// gainShare is the least gain as a share of the copy's run time, which is what the
	// copy costs in processor time.
	gainShare = 0.25
	// maxShare is the share of a step's tasks that may have copies because they are slow,
	// at least one. If more are slow, the step is slow by itself.
	maxShare = 0.25
)

// Forecast predicts the run times of the tasks of one step.
type Forecast interface {
	// NewRun returns the expected run time of a new run; zero if it is not known.
	NewRun() time.Duration
	// Remaining returns the expected remaining run time of a run that has run for elapsed
	// and reports progress, from 0 to 1.
	Remaining(elapsed time.Duration, progress float64) time.Duration
}

// Run is the only run of a task.
type Run struct {
	// MayCopy is set if the task may have a copy now. Other runs are only compared with.
	MayCopy bool
	// Elapsed is the time that the run took for Progress, from 0 to 1. It is zero if no
	// progress has been listed.
	Elapsed  time.Duration
	Progress float64
	// ListedAgo is the time since the progress was listed.
	ListedAgo time.Duration
	// Blocked is not zero if it is not known whether the run continues, because its
	// worker or the start request is not answered: the time after which the run is given
	// up and its task may be started again.
	Blocked time.Duration
	// WorkerSpeed is the speed of other tasks on the run's worker, relative to tasks of
	// their steps elsewhere; zero if it is not known.
	WorkerSpeed float64
}

// Step is a step of a job that allows copies.
type Step struct {
	Forecast Forecast
	// Tasks is the number of the step's tasks, Waiting the number of those that are not
	// done and have no run, and Copied the number of those with two runs.
	Tasks, Waiting, Copied int
	// MilliCPU is the processor capacity that a run requests.
	MilliCPU int64
	// Runs are the runs of the tasks that are not done and have one run.
	Runs []Run
}

// Reason is why a run deserves a copy.
type Reason string

// Reasons for a copy.
const (
	// ReasonSlow means that the run is expected to end later than a new one.
	ReasonSlow Reason = "slow"
	// ReasonBlocked means that the worker or the start request is not answered.
	ReasonBlocked Reason = "unanswered"
)

// Candidate is a run that deserves a copy.
type Candidate struct {
	Step, Run int // indexes
	Reason    Reason
	// Gain is the time by which the copy is expected to end earlier, and NewRun its
	// expected run time.
	Gain, NewRun time.Duration
}

// Choose returns the runs that deserve a copy, those with the highest gain per processor
// time first. A step that waits for capacity has none: its tasks without a run delay it
// more.
func Choose(steps []Step) []Candidate {
	var chosen []Candidate
	for s := range steps {
		if steps[s].Waiting == 0 {
			chosen = append(chosen, steps[s].candidates(s)...)
		}
	}
	value := func(c Candidate) float64 {
		cost := c.NewRun.Seconds() * float64(max(1, steps[c.Step].MilliCPU))
		return c.Gain.Seconds() / cost
	}
	slices.SortStableFunc(chosen, func(a, b Candidate) int { return cmp.Compare(value(b), value(a)) })
	return chosen
}

// candidates returns the runs of a step that deserve a copy: all that are blocked, and of
// the slow ones those that are expected to end last.
func (s *Step) candidates(index int) []Candidate {
	var blocked, slow []Candidate
	for i := range s.Runs {
		r := &s.Runs[i]
		if !r.MayCopy {
			continue
		}
		c := Candidate{Step: index, Run: i, Reason: ReasonSlow}
		if r.Blocked > 0 {
			c.Reason = ReasonBlocked
		}
		if c.Gain, c.NewRun = s.gain(r); c.NewRun <= 0 || c.Gain < max(minGain, time.Duration(gainShare*float64(c.NewRun))) {
			continue
		}
		if c.Reason == ReasonBlocked {
			blocked = append(blocked, c)
		} else {
			slow = append(slow, c)
		}
	}
	slices.SortStableFunc(slow, func(a, b Candidate) int { return cmp.Compare(b.Gain, a.Gain) })
	allowed := max(1, int(maxShare*float64(s.Tasks))) - s.Copied
	return append(blocked, slow[:min(len(slow), max(0, allowed))]...)
}

// gain returns by how much a copy of a run is expected to end earlier than the run, and the
// copy's expected run time.
func (s *Step) gain(r *Run) (gain, newRun time.Duration) {
	typical := s.Forecast.NewRun()
	if r.Blocked > 0 {
		return r.Blocked, typical // otherwise the same new run starts when it is given up
	}
	if typical <= 0 || r.Elapsed < minObserved {
		return 0, 0
	}
	remaining := s.Forecast.Remaining(r.Elapsed, r.Progress)
	newRun = newRunTime(typical, r.Elapsed+remaining, r.WorkerSpeed)
	return remaining - r.ListedAgo - newRun, newRun
}

// newRunTime returns the expected run time of a copy of a run that is expected to take
// total, in a step whose tasks take a typical time. A run is slow because of its worker or
// because its task is large, and a copy of a large task is as slow. If the speed of the
// worker is not known, half of the ratio counts for either cause.
func newRunTime(typical, total time.Duration, workerSpeed float64) time.Duration {
	switch {
	case total <= typical:
		return total
	case workerSpeed > 0:
		return max(typical, time.Duration(min(1, workerSpeed)*float64(total)))
	}
	return time.Duration(math.Sqrt(float64(typical) * float64(total)))
}
