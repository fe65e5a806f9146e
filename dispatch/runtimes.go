package dispatch

import (
	"time"

	"github.com/bambooyard/bambooyard/forecast"
	"github.com/bambooyard/bambooyard/job"
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
}

// predict returns the distribution of the run time of a task of a step.
func (e *Engine) predict(j *Job, step *job.Step) forecast.RunTime {
	return e.model.Predict(kindOf(j, step), estimateOf(step))
}
