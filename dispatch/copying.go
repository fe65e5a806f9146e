package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/copies"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/urgency"
)

// A task of a speculative step may have a second run, a copy, on another worker. Package
// copies decides which tasks deserve one.
const (
	// maxRuns is the number of runs that a task may have at the same time.
	maxRuns = 2
	// copyInterval is the least time between two plans of copies. Progress is listed once
	// a second for each worker.
	copyInterval = 100 * time.Millisecond
	// maxCopiesPerPlan is the number of copies that a plan may start, and maxCopySearches
	// the number of tasks for which it looks for a worker.
	maxCopiesPerPlan = 4
	maxCopySearches  = 8
	// copyStartWindow bounds how long after it is issued a copy's start request may be
	// executed: the other run may end at once, and no start may follow more than a second
	// after its end was acknowledged. On the slowest clock it is 920 ms.
	copyStartWindow = 900 * time.Millisecond
	// unansweredAfter is the time without an answer of a worker, or of a start request,
	// from which a run may be copied; responses take up to 700 ms.
	unansweredAfter = 700 * time.Millisecond
	// copyBackoff is the least time between two start requests of copies of a task.
	copyBackoff = time.Second
	// maxFinishedSamples is the number of run times that are kept for a step.
	maxFinishedSamples = 32
	// penaltySameRack keeps a copy away from the rack of the first run, which may be the
	// cause. It exceeds every difference of free capacity.
	penaltySameRack = 5e5
)

// StartedCopy is a copy whose start is requested.
type StartedCopy struct {
	Run, First *Run
	Reason     copies.Reason
	// Gain is the time by which the copy is expected to end earlier.
	Gain time.Duration
}

// Race is the end of a task that had two runs.
type Race struct {
	Task *Task
	// Winner is the run that has ended first.
	Winner *Run
}

// IsCopy reports whether the run was started beside another run of its task.
func (r *Run) IsCopy() bool { return r.isCopy }

// allowsCopies reports whether tasks of a step may have two runs.
func allowsCopies(s *job.Step) bool { return s.Speculative && !s.Service && !s.Gang }

// maxRunsOf returns the number of runs that a task may have at the same time.
func (t *Task) maxRunsOf() int {
	if allowsCopies(t.Step) {
		return maxRuns
	}
	return 1
}

// planCopies starts copies of tasks with capacity that nothing else in their pool waits for.
func (e *Engine) planCopies(now time.Time) {
	if now.Sub(e.copiesPlannedAt) < copyInterval || len(e.copyable) == 0 {
		return
	}
	e.copiesPlannedAt = now
	for t := range e.reservations {
		e.waitingPools[t.Job.Queue.Pool] = true
	}
	steps, tasks := e.copyableSteps(now)
	started := 0
	for i, c := range copies.Choose(steps) {
		if started == maxCopiesPerPlan || i == maxCopySearches {
			return
		}
		t := tasks[c.Step][c.Run]
		if w := e.chooseCopyWorker(t, now); w != nil {
			first := t.Runs[0]
			e.start(t, w, t.Attempt+1, now)
			e.out.Copies = append(e.out.Copies, StartedCopy{t.Runs[len(t.Runs)-1], first, c.Reason, c.Gain})
			started++
		}
	}
}

// copyableSteps returns the steps that allow copies and have runs, in a fixed order, and for
// each the tasks of its runs.
func (e *Engine) copyableSteps(now time.Time) ([]copies.Step, [][]*Task) {
	var steps []copies.Step
	var tasks [][]*Task
	for _, id := range slices.Sorted(maps.Keys(e.copyable)) {
		j := e.copyable[id]
		if e.waitingPools[j.Queue.Pool] || j.class == urgency.Expired {
			continue
		}
		for _, o := range j.occurrences {
			for s := range j.Spec.Steps {
				step := &j.Spec.Steps[s]
				if !allowsCopies(step) || o.pending[s] == 0 || !o.ready(step) {
					continue
				}
				if view, of := e.copyView(j, stepKey{o.number, s}, o.tasks[s], now); len(of) > 0 {
					steps, tasks = append(steps, view), append(tasks, of)
				}
			}
		}
	}
	return steps, tasks
}

// copyView returns a step as package copies sees it, and the tasks of its runs.
func (e *Engine) copyView(j *Job, key stepKey, row []*Task, now time.Time) (copies.Step, []*Task) {
	step := &j.Spec.Steps[key.step]
	view := copies.Step{Tasks: len(row), MilliCPU: step.Resources.MilliCPU}
	var tasks []*Task
	for _, t := range row {
		switch {
		case t.Done:
		case len(t.Runs) == 0:
			view.Waiting++
		case len(t.Runs) > 1:
			view.Copied++
		default:
			view.Runs = append(view.Runs, e.copyRun(t, now))
			tasks = append(tasks, t)
		}
	}
	declared := time.Duration(step.EstimateMS) * time.Millisecond
	view.Forecast = copies.NewStepForecast(declared, j.finishedRuns[key], view.Runs)
	return view, tasks
}

// copyRun returns the only run of a task as package copies sees it.
func (e *Engine) copyRun(t *Task, now time.Time) copies.Run {
	r := t.Runs[0]
	view := copies.Run{Blocked: r.blocked(now), WorkerSpeed: r.Worker.speedOfOthers(t, now)}
	if made := r.Progress - r.basePercent; !r.listedAt.IsZero() {
		// A run that was resumed or adopted did not begin at zero.
		view.Elapsed = r.listedAt.Sub(r.baseAt)
		if made > 0 {
			view.Elapsed = time.Duration(float64(view.Elapsed) * float64(r.Progress) / float64(made))
		}
		view.Progress, view.ListedAgo = float64(r.Progress)/100, now.Sub(r.listedAt)
	}
	view.MayCopy = e.mayCopy(r, view.Blocked > 0, now)
	return view
}

// mayCopy reports whether the task of its only run may be started once more.
func (e *Engine) mayCopy(r *Run, blocked bool, now time.Time) bool {
	t := r.Task
	switch {
	case t.copied, now.Before(t.copyNotBefore), now.Before(t.notBefore), e.unknownRunCounts[t.name()] > 0:
		return false
	case e.mayRunElsewhere(t, now):
		return false // another run may exist
	case t.suspect():
		return false // a second run may crash a second worker
	case r.State != RunActive && r.notAfterMS-r.Worker.ClockMS(now) > copyStartWindow.Milliseconds():
		return false // it could start more than a second after the end of the copy
	case !blocked && (r.stopping || r.State != RunActive || r.desiredLimit < 100 || r.ConfirmedLimit < 100):
		return false // a run that is stopped or throttled is not slow by itself
	}
	// No start may follow after the last allowed failure, and each run whose end is not
	// known may have failed.
	limit := t.Job.Queue.MaxAttempts
	return limit == 0 || len(t.Failures)+t.unresolvedRuns+len(t.Runs) < limit
}

// blocked returns the time after which a run is given up whose worker or start request is
// not answered; zero if both are.
func (r *Run) blocked(now time.Time) time.Duration {
	w := r.Worker
	until := int64(0)
	switch {
	case w.clockAt.IsZero():
		return 0
	case !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) >= unansweredAfter:
		until = w.leaseUntilMS
	case r.State != RunActive && r.stopAckedAt.IsZero() && now.Sub(r.requestedAt) >= unansweredAfter:
		until = r.notAfterMS
	default:
		return 0
	}
	left := min(until-w.ClockMS(now), math.MaxInt32)
	return max(0, time.Duration(float64(left)/clockRate)*time.Millisecond)
}

// chooseCopyWorker returns the best worker for a copy of a task, or nil: another one than
// that of its run, if possible in another rack, and none that is slow or reserved.
func (e *Engine) chooseCopyWorker(t *Task, now time.Time) *Worker {
	var best *Worker
	lowest := math.Inf(1)
	rack := ""
	if t.Step.SameRack {
		rack = e.commonRack(t.siblings())
	}
	first := t.Runs[0].Worker
	for _, w := range e.workerList {
		if w == first || w.advance != nil || w.Entry.ID == t.movedFrom || w.Entry.WarmUp > 0 || e.isSlow(w, now) || !e.eligible(t, w, now, nil) {
			continue
		}
		p := e.penalty(t, w, rack, nil)
		if w.Entry.Rack == first.Entry.Rack {
			p += penaltySameRack
		}
		if p < lowest || (p == lowest && w.Entry.ID < best.Entry.ID) {
			best, lowest = w, p
		}
	}
	return best
}

// recordListed records the progress of a listed run from which its rate is computed.
func (r *Run) recordListed(percent int, now time.Time) {
	if r.listedAt.IsZero() {
		r.basePercent, r.baseAt = percent, now
		if !r.adopted && !r.resumed {
			r.basePercent, r.baseAt = 0, r.confirmedAt
		}
	}
	r.listedAt = now
}

// recordFinished records the run time of a completed run, unless it was resumed, adopted or
// throttled.
func (j *Job) recordFinished(r *Run, now time.Time) {
	if !allowsCopies(r.Task.Step) || r.adopted || r.resumed || r.throttled || r.confirmedAt.IsZero() {
		return
	}
	if j.finishedRuns == nil {
		j.finishedRuns = map[stepKey][]time.Duration{}
	}
	key := r.Task.stepKey()
	if len(j.finishedRuns[key]) < maxFinishedSamples {
		j.finishedRuns[key] = append(j.finishedRuns[key], now.Sub(r.confirmedAt))
	}
}

// recordRace reports the winner of a task with two runs. It is called for a run that has
// just been detached.
func (e *Engine) recordRace(winner *Run) {
	if t := winner.Task; !t.Done && len(t.Runs) > 0 {
		e.out.Races = append(e.out.Races, Race{t, winner})
	}
}

// leads reports whether a run has at least the progress of the other runs of its task. Only
// its checkpoint is kept: that of a run behind it would lose work.
func (r *Run) leads() bool {
	return !slices.ContainsFunc(r.Task.Runs, func(other *Run) bool { return other != r && other.Progress > r.Progress })
}
