package dispatch

import (
	"slices"
	"time"
)

// Workers are compared by the speed of their tasks. Declared run times are often
// far off, but equally so for all tasks of a step. Therefore a task is compared
// with the others of its step, and a worker is rated by several tasks.
const (
	// stallTimeout is how long a task may make no progress; listings arrive at
	// least every second.
	stallTimeout = 1500 * time.Millisecond
	// stallBackoff is how long a worker with a stalled task gets no more work. The task may
	// be at fault, so the worker is the last choice of interrupted services.
	stallBackoff = 3 * time.Second
	// maxSpeedSamples is the number of speed samples kept for a worker, and
	// minSpeedSamples the number required to rate it.
	maxSpeedSamples = 8
	minSpeedSamples = 3
	// slowRatio is the ratio to the mean speed on other workers below which a
	// worker counts as slow, and minPeerSamples the number of samples of others
	// that the comparison requires.
	slowRatio      = 0.4
	minPeerSamples = 2
	// slowExpiry is how long a worker counts as slow without a new sample.
	slowExpiry = 4 * time.Second
	// minRemainingToMove is the remaining work above which a checkpointed task is
	// moved off a slow worker; a move costs about half a second.
	minRemainingToMove = 2 * time.Second
)

// speedHistory holds the speeds of a worker's recent tasks, relative to other
// tasks of their steps.
type speedHistory struct {
	samples   []speedSample
	sampledAt time.Time
}

// speedSample is a relative speed of one task.
type speedSample struct {
	task  string
	ratio float64
}

// stepSpeeds holds the sum of a step's task speeds by worker. A speed is the
// declared run time that is completed per unit of time.
type stepSpeeds map[*Worker]speedSum

type speedSum struct {
	sum float64
	n   int
}

// meanElsewhere returns the mean speed on other workers; ok is false if there are
// too few samples.
func (s stepSpeeds) meanElsewhere(w *Worker) (mean float64, ok bool) {
	sum, n := 0.0, 0
	for other, samples := range s {
		if other != w {
			sum, n = sum+samples.sum, n+samples.n
		}
	}
	return sum / float64(max(n, 1)), n >= minPeerSamples
}

// recordProgress records a run's listed progress.
func (e *Engine) recordProgress(r *Run, percent int, now time.Time) {
	if r.Task.Step.Service || r.Task.Step.EstimateMS == 0 {
		return
	}
	if r.progressAt.IsZero() {
		r.progressAt, r.progressFrom, r.Progress = now, percent, percent
		r.sampledAt = now
		return
	}
	if percent != r.Progress || r.ConfirmedLimit < 100 { // a limited run may make none
		r.progressAt = now
	}
	r.Progress = percent
	if took := now.Sub(r.sampledAt); took >= minSampleInterval && r.desiredLimit == 100 {
		done := float64(percent-r.progressFrom) / 100 * float64(r.Task.Step.EstimateMS)
		if cold := e.ratesCold() && r.Worker.coldUntil.After(r.sampledAt); !cold { // will soon be faster
			e.recordSpeed(r, done/float64(took.Milliseconds()), now)
		}
		r.sampledAt, r.progressFrom = now, percent
	}
}

// minSampleInterval is the shortest interval over which a speed is measured.
const minSampleInterval = 700 * time.Millisecond

// recordSpeed adds a sample of a run's speed.
func (e *Engine) recordSpeed(r *Run, speed float64, now time.Time) {
	j, w := r.Task.Job, r.Worker
	key := r.Task.stepKey()
	byWorker := j.speeds[key]
	if byWorker == nil {
		byWorker = stepSpeeds{}
		if j.speeds == nil {
			j.speeds = map[stepKey]stepSpeeds{}
		}
		j.speeds[key] = byWorker
	}
	previous := byWorker[w]
	byWorker[w] = speedSum{previous.sum + speed, previous.n + 1}
	mean, ok := byWorker.meanElsewhere(w)
	if !ok || mean == 0 {
		return
	}
	s := &w.speedHistory
	s.samples = append(s.samples, speedSample{r.Task.name(), speed / mean})
	s.sampledAt = now
	if len(s.samples) > maxSpeedSamples {
		s.samples = s.samples[1:]
	}
}

// isSlow reports whether a worker's tasks are much slower than those of others.
func (e *Engine) isSlow(w *Worker, now time.Time) bool {
	s := &w.speedHistory
	if len(s.samples) < minSpeedSamples || now.Sub(s.sampledAt) > slowExpiry {
		return false
	}
	return s.median(func(speedSample) bool { return true }) < slowRatio
}

// median returns the median of the samples that match; zero if there are none.
func (s *speedHistory) median(match func(speedSample) bool) float64 {
	var ratios []float64
	for _, sample := range s.samples {
		if match(sample) {
			ratios = append(ratios, sample.ratio)
		}
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// speedOfOthers returns the speed of a worker's tasks other than the given one, relative to
// other workers; zero if it is not known.
func (w *Worker) speedOfOthers(t *Task, now time.Time) float64 {
	if now.Sub(w.speedHistory.sampledAt) > slowExpiry {
		return 0
	}
	return w.speedHistory.median(func(s speedSample) bool { return s.task != t.name() })
}

// moveStalledAndSlow moves stalled runs, and runs on slow workers, elsewhere.
func (e *Engine) moveStalledAndSlow(w *Worker, now time.Time) {
	slow := e.isSlow(w, now)
	for _, r := range w.sortedRuns() {
		step := r.Task.Step
		if r.State != RunActive || r.stopping || step.Service || step.Gang || r.desiredLimit < 100 || r.progressAt.IsZero() {
			continue
		}
		if now.Sub(r.progressAt) > stallTimeout {
			w.backoffUntil = later(w.backoffUntil, now.Add(stallBackoff))
			e.move(r, StopStalled)
			continue
		}
		remaining := time.Duration(step.EstimateMS*int64(100-r.Progress)/100) * time.Millisecond
		// A task with two runs needs no third one.
		if slow && len(r.Task.Runs) == 1 && step.Checkpoints && remaining > minRemainingToMove && e.hasFasterWorker(r, now) {
			e.move(r, StopSlow)
		}
	}
}

// hasFasterWorker reports whether a run could continue on a worker that is not slow.
func (e *Engine) hasFasterWorker(r *Run, now time.Time) bool {
	other := e.alternativeWorker(r, now)
	if other == nil || e.isSlow(other, now) {
		return false
	}
	return !e.ratesCold() || !other.coldUntil.After(now)
}
