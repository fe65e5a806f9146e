package dispatch

import (
	"time"

	"github.com/bambooyard/bambooyard/forecast"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/lookahead"
)

// kindOf returns what tasks with similar run times as those of a step have in common.
func kindOf(j *Job, step *job.Step) forecast.Kind {
	return forecast.Kind{Queue: j.Spec.Queue, Image: step.Image}
}

func estimateOf(step *job.Step) time.Duration {
	return time.Duration(step.EstimateMS) * time.Millisecond
}

// observeRunTime records the run time of a run that has ended `done`. Runs that did not do
// all the work at full speed, or whose start is not known, are left out.
func (e *Engine) observeRunTime(r *Run, now time.Time) {
	if r.Task.Step.Service || r.adopted || r.resumed || r.throttled || r.stopping {
		return
	}
	// The request and the news of the end have each been on the way for half a round trip.
	took := now.Sub(r.requestedAt) - r.Worker.roundTrip
	e.model.Observe(kindOf(r.Task.Job, r.Task.Step), estimateOf(r.Task.Step), took, 1)
	r.Task.Job.stepTimes[r.Task.ID.Step].add(took)
}

// predict returns the distribution of the run time of a task of a step.
func (e *Engine) predict(j *Job, step *job.Step) forecast.RunTime {
	return e.model.Predict(kindOf(j, step), estimateOf(step))
}

// observedTimes are the run times of ended tasks of one step.
type observedTimes struct {
	sum time.Duration
	n   int
}

func (o *observedTimes) add(took time.Duration) {
	if took > 0 {
		o.sum += took
		o.n++
	}
}

// predictionWeight is the number of ended tasks of a step that its prediction counts for.
// Declared run times are off for a step as a whole, so that its own tasks show more than
// those of other jobs.
const predictionWeight = 2

// stepTime returns the expected run time of a task of a step, from the prediction and from
// the tasks of the step that have ended, and by what factor the prediction is hardly
// exceeded.
func (e *Engine) stepTime(j *Job, step int) (run time.Duration, spread float64) {
	prediction := e.predict(j, &j.Spec.Steps[step])
	median, seen := prediction.Quantile(0.5), j.stepTimes[step]
	run = (predictionWeight*median + seen.sum) / time.Duration(predictionWeight+seen.n)
	return run, prediction.Quantile(0.95).Seconds() / median.Seconds()
}

// expectedEnd returns when a run is expected to have ended with a probability; zero if it
// does not end by itself.
func (e *Engine) expectedEnd(r *Run, p float64, now time.Time) time.Time {
	switch {
	case r.stopping:
		return now.Add(stopTime)
	case r.Task.Step.Service:
		return time.Time{}
	}
	if !r.predicted {
		r.runTime, r.predicted = e.predict(r.Task.Job, r.Task.Step), true
	}
	var end time.Time
	switch done := float64(r.Progress) / 100; {
	case done == 0 || r.progressAt.IsZero():
		end = now.Add(r.runTime.Remaining(now.Sub(r.requestedAt), -1).Quantile(p))
	case r.adopted || r.resumed:
		// The progress was not made in the time since the request.
		end = r.progressAt.Add(time.Duration((1 - done) * float64(r.runTime.Quantile(p))))
	default:
		end = r.progressAt.Add(r.runTime.Remaining(r.progressAt.Sub(r.requestedAt), done).Quantile(p))
	}
	return later(end, now.Add(leastRemaining))
}

// endOfNewRun returns when a task that is started now is expected to have ended with a
// probability; zero if it does not end by itself.
func (e *Engine) endOfNewRun(t *Task, p float64, now time.Time) time.Time {
	if t.Step.Service {
		return time.Time{}
	}
	return now.Add(e.predict(t.Job, t.Step).Quantile(p))
}

// endsOn returns the expected ends of the runs on a worker.
func (e *Engine) endsOn(w *Worker, now time.Time) []lookahead.End {
	var ends []lookahead.End
	for _, r := range w.sortedRuns() {
		if at := e.expectedEnd(r, endProbability, now); !at.IsZero() {
			ends = append(ends, lookahead.End{At: at, Frees: demand(r.Task.Step)})
		}
	}
	return ends
}
