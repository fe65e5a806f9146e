package copies

import (
	"slices"
	"time"
)

const (
	// minSamples is the number of run times of a step's tasks from which their median is
	// preferred to the declared run time, which is often wrong for all of them.
	minSamples = 2
	// minProgress is the progress from which a run's total run time is extrapolated. A run
	// with less is taken for one with so much.
	minProgress = 0.05
)

// StepForecast is a Forecast from the step's own runs and its declared run time.
type StepForecast struct{ typical time.Duration }

// NewStepForecast returns a forecast from the declared run time of a step's tasks, zero if
// there is none, the run times of its finished runs, and its present runs.
func NewStepForecast(declared time.Duration, finished []time.Duration, runs []Run) StepForecast {
	samples := slices.Clone(finished)
	for _, r := range runs {
		if r.Blocked == 0 && r.Elapsed >= minObserved {
			samples = append(samples, r.Elapsed+extrapolate(r.Elapsed, r.Progress))
		}
	}
	if len(samples) < minSamples {
		return StepForecast{declared}
	}
	slices.Sort(samples)
	// The lower median: of two tasks the slower one is compared with the other.
	return StepForecast{samples[(len(samples)-1)/2]}
}

// NewRun implements Forecast.
func (f StepForecast) NewRun() time.Duration { return f.typical }

// Remaining implements Forecast.
func (f StepForecast) Remaining(elapsed time.Duration, progress float64) time.Duration {
	return extrapolate(elapsed, progress)
}

// extrapolate returns the remaining time of a run that continues at its present rate.
func extrapolate(elapsed time.Duration, progress float64) time.Duration {
	progress = min(1, max(minProgress, progress))
	return time.Duration(float64(elapsed) * (1 - progress) / progress)
}
