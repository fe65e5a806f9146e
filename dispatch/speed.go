package dispatch

import (
	"slices"
	"time"
)

// Comparison of workers by how fast their tasks proceed. Declared run times are
// often far off, alike for all tasks of a step, so a task is compared with the
// others of its step, and a worker is judged by several tasks.
const (
	// stallAfter is how long a task may show no progress; a listing comes every
	// second at the least.
	stallAfter = 1500 * time.Millisecond
	// stallPause is how long a worker with a stalled task gets no more work.
	stallPause = 3 * time.Second
	// speedSamples is how many tasks' speeds are kept of a worker, and
	// leastSamples how many it takes to judge it.
	speedSamples = 8
	leastSamples = 3
	// slowShare is the share of the speed of others of their steps below which a
	// worker's tasks count as slow, and comparable the least number of others.
	slowShare  = 0.4
	comparable = 2
	// slowMemory is how long a worker counts as slow without a further sample.
	slowMemory = 4 * time.Second
	// moveWorth is the remaining work for which a checkpointed task is moved off
	// a slow worker; a move costs about half a second.
	moveWorth = 2 * time.Second
)

// speeds are the speeds of a worker's last tasks, relative to others of their
// steps.
type speeds struct {
	last []float64
	at   time.Time
}

// stepSpeed is the sum of the speeds of a step's tasks, by worker: declared run
// time done in a unit of time.
type stepSpeed map[*Worker]speedSum

type speedSum struct {
	sum float64
	n   int
}

// elsewhere returns the mean speed on other workers; ok is false if there are
// too few samples.
func (s stepSpeed) elsewhere(w *Worker) (mean float64, ok bool) {
	sum, n := 0.0, 0
	for other, samples := range s {
		if other != w {
			sum, n = sum+samples.sum, n+samples.n
		}
	}
	return sum / float64(max(n, 1)), n >= comparable
}

// progressed takes in a run's listed progress.
func (e *Engine) progressed(r *Run, percent int, now time.Time) {
	if r.Task.Step.Service || r.Task.Step.EstimateMS == 0 {
		return
	}
	if r.progressAt.IsZero() {
		r.progressAt, r.progressFrom, r.Progress = now, percent, percent
		r.sampledAt = now
		return
	}
	if percent != r.Progress {
		r.progressAt = now
	}
	r.Progress = percent
	if took := now.Sub(r.sampledAt); took >= sampleTime && r.limit == 100 {
		done := float64(percent-r.progressFrom) / 100 * float64(r.Task.Step.EstimateMS)
		e.sample(r, done/float64(took.Milliseconds()), now)
		r.sampledAt, r.progressFrom = now, percent
	}
}

// sampleTime is the least time over which a speed is measured.
const sampleTime = 700 * time.Millisecond

// sample takes in the speed of a run.
func (e *Engine) sample(r *Run, speed float64, now time.Time) {
	j, w := r.Task.Job, r.Worker
	key := r.Task.stepKey()
	step := j.speeds[key]
	if step == nil {
		step = stepSpeed{}
		if j.speeds == nil {
			j.speeds = map[stepKey]stepSpeed{}
		}
		j.speeds[key] = step
	}
	here := step[w]
	step[w] = speedSum{here.sum + speed, here.n + 1}
	mean, ok := step.elsewhere(w)
	if !ok || mean == 0 {
		return
	}
	s := &w.speeds
	s.last = append(s.last, speed/mean)
	s.at = now
	if len(s.last) > speedSamples {
		s.last = s.last[1:]
	}
}

// slow reports whether a worker's tasks proceed much slower than others'.
func (e *Engine) slow(w *Worker, now time.Time) bool {
	s := &w.speeds
	if len(s.last) < leastSamples || now.Sub(s.at) > slowMemory {
		return false
	}
	sorted := slices.Sorted(slices.Values(s.last))
	return sorted[len(sorted)/2] < slowShare
}

// unstick moves tasks that stand still or crawl to other workers.
func (e *Engine) unstick(w *Worker, now time.Time) {
	slow := e.slow(w, now)
	for _, r := range w.sortedRuns() {
		step := r.Task.Step
		if r.State != RunActive || r.stopping || step.Service || step.Gang || r.limit < 100 || r.progressAt.IsZero() {
			continue
		}
		if now.Sub(r.progressAt) > stallAfter {
			w.refusedUntil = now.Add(stallPause)
			e.move(r, StopStalled)
			continue
		}
		left := time.Duration(step.EstimateMS*int64(100-r.Progress)/100) * time.Millisecond
		if slow && step.Checkpoints && left > moveWorth && e.hasOther(r, now) {
			e.move(r, StopSlow)
		}
	}
}

// hasOther reports whether a run could go on on another worker that is not slow.
func (e *Engine) hasOther(r *Run, now time.Time) bool {
	other := e.elsewhere(r, now)
	return other != nil && !e.slow(other, now)
}
