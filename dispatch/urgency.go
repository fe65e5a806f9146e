package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/urgency"
)

// profileInterval is the longest age of a waiting job's profile. Run times are learned
// within seconds, and a profile costs some hundred nanoseconds a step.
const profileInterval = time.Second

// byUrgency returns the open jobs with waiting tasks in the order in which they are
// planned: those that lose most by waiting come first. The slice is valid until the
// next call. It starts from the last order, which is nearly sorted.
func (e *Engine) byUrgency(now time.Time) []*Job {
	e.planOrder = slices.DeleteFunc(e.planOrder, func(j *Job) bool {
		j.inPlanOrder = j.waiting > 0 && !j.State.Final()
		return !j.inPlanOrder
	})
	for _, j := range e.jobs {
		e.rank(j, now)
		j.interrupted = j.service && j.waiting > 0 && j.hasInterruptedTask()
		if j.waiting > 0 && !j.inPlanOrder {
			j.inPlanOrder = true
			e.planOrder = append(e.planOrder, j)
		}
	}
	slices.SortFunc(e.planOrder, compareUrgency)
	return e.planOrder
}

// rank updates a job's class and, while tasks of it wait, its rank.
func (e *Engine) rank(j *Job, now time.Time) {
	if j.service || j.waiting > 0 {
		e.updateRank(j, now)
	} else {
		j.class = j.profile.Class(now)
	}
}

// updateRank updates a job's class and its rank.
func (e *Engine) updateRank(j *Job, now time.Time) {
	if j.service {
		j.rank = urgency.Rank{Class: urgency.OnTime, Priority: j.Queue.Priority}
		return
	}
	if now.Sub(j.profiledAt) >= profileInterval {
		e.profileJob(j, now)
	}
	j.rank, j.class = j.profile.Rank(now)
}

func compareUrgency(a, b *Job) int {
	if c := a.rank.CompareLevel(b.rank); c != 0 {
		return c
	}
	if a.service || b.service {
		if c := compareServices(a, b); c != 0 {
			return c
		}
	}
	if c := a.rank.Compare(b.rank); c != 0 {
		return c
	}
	if c := a.latestStart.Compare(b.latestStart); c != 0 {
		return c
	}
	return strings.Compare(a.Spec.ID, b.Spec.ID)
}

// compareServices orders services after other jobs, which end sooner, and groups
// services that should share workers by image; those with a limit per worker are
// the hardest to place and come first.
func compareServices(a, b *Job) int {
	if a.service != b.service {
		return boolInt(a.service) - boolInt(b.service)
	}
	first, second := &a.Spec.Steps[0], &b.Spec.Steps[0]
	if c := strings.Compare(first.Image, second.Image); c != 0 {
		return c
	}
	return boolInt(first.MaxPerWorker == 0) - boolInt(second.MaxPerWorker == 0)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// profileJob computes a job's remaining chains, objective and profile from the run times
// that are expected now.
func (e *Engine) profileJob(j *Job, now time.Time) {
	if j.remaining == nil {
		j.remaining = make([]time.Duration, len(j.Spec.Steps))
		j.stepTimes = make([]observedTimes, len(j.Spec.Steps))
	}
	j.profiledAt = now
	if j.service { // ends when it is cancelled; its rank follows from its arrival
		copy(j.remaining, j.Spec.RemainingCriticalPath())
		j.setObjective(j.arrived, slices.Max(j.remaining))
		return
	}
	d := urgency.Job{
		Priority: j.Queue.Priority, Arrived: j.arrived, Stretch: j.Queue.Stretch, Slack: j.Queue.Slack,
		Scheduled: j.Spec.Schedule.Times > 0,
	}
	current := j.currentOccurrence(now)
	if d.Scheduled {
		d.Arrived, d.Missed = current.begunAt, j.missed(current)
	}
	clear(j.remaining)
	for s := len(j.Spec.Steps) - 1; s >= 0; s-- {
		step := &j.Spec.Steps[s]
		run, spread := e.stepTime(j, s)
		d.Spread = max(d.Spread, spread)
		j.remaining[s] += run
		for _, before := range step.After {
			j.remaining[before] = max(j.remaining[before], j.remaining[s])
		}
		work := float64(step.Resources.MilliCPU) / 1000 * run.Seconds()
		d.Work += float64(step.Tasks) * work
		d.RemainingWork += float64(current.pending[s]) * work
		d.Chain = max(d.Chain, j.remaining[s])
		if current.pending[s] > 0 {
			d.Remaining = max(d.Remaining, j.remaining[s])
		}
	}
	if m := e.meanWork[j.Spec.Queue]; m != nil {
		d.MeanWork = m.value
	}
	j.work, j.chain = d.Work, d.Chain
	j.setObjective(d.Arrived, d.Chain)
	j.profile = urgency.NewProfile(d, time.Duration(e.meanChain.value*float64(time.Second)))
}

// missedAfter is the least delay from which an occurrence counts as missed. Changes of the owner take less.
const missedAfter = 10 * time.Second

// missed reports whether the turn of an occurrence came so long after it was due that several have been
// missed. They are made up for with capacity that no other work needs.
func (j *Job) missed(o *occurrence) bool {
	interval := time.Duration(min(j.Spec.Schedule.IntervalMS, maxDelayMS)) * time.Millisecond
	return o.begunAt.Sub(o.due) > max(missedAfter, 2*interval)
}

// setObjective computes when work that arrived or was due at a time should be done.
func (j *Job) setObjective(from time.Time, chain time.Duration) {
	j.objective = from.Add(urgency.Objective(chain, j.Queue.Stretch, j.Queue.Slack))
	j.latestStart = j.objective.Add(-chain)
}

// currentOccurrence returns the first occurrence that is due and not done, or else the
// next one.
func (j *Job) currentOccurrence(now time.Time) *occurrence {
	for _, o := range j.occurrences {
		if !now.Before(o.due) {
			return o
		}
	}
	j.skipBegun()
	return j.newOccurrence(min(j.next, j.Spec.Occurrences()-1))
}

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	n     int
}

// meanMemory is the number of values after which older ones have lost most of their weight.
const meanMemory = 200

func (m *mean) add(v float64) {
	m.n = min(m.n+1, meanMemory)
	m.value += (v - m.value) / float64(m.n)
}

// countWork adds a job to the means that values and indexes relate to.
func (e *Engine) countWork(j *Job) {
	if j.service {
		return
	}
	m := e.meanWork[j.Spec.Queue]
	if m == nil {
		m = &mean{}
		e.meanWork[j.Spec.Queue] = m
	}
	m.add(j.work)
	e.meanChain.add(j.chain.Seconds())
}
