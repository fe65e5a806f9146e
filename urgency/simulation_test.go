package urgency

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simJob is a job of one simulated load. All its tasks have the same real run time, and the
// declared one is off by a factor.
type simJob struct {
	arrived       time.Duration
	priority      int
	steps, tasks  int
	cores         float64
	real          time.Duration // of one task
	declared      time.Duration
	learned       time.Duration
	stretch       float64
	slack         time.Duration
	step, waiting int
	running       int
	doneAt        time.Duration
	meanWork      float64
}

func (j *simJob) work() float64 { return float64(j.steps*j.tasks) * j.cores * j.real.Seconds() }

// objective is that of the platform, which knows the real run times.
func (j *simJob) objective() time.Duration {
	return Objective(time.Duration(j.steps)*j.real, j.stretch, j.slack)
}

// value is what the job has yielded.
func (j *simJob) value() float64 {
	v := Value(j.work(), j.meanWork)
	switch took := j.doneAt - j.arrived; {
	case j.doneAt == 0 || took > ExpiryFactor*j.objective():
		return 0
	case took > j.objective():
		return LateShare * v
	}
	return v
}

// profile describes the job with the given run time of a task.
func (j *simJob) profile(task, meanChain time.Duration) Profile {
	left := float64((j.steps-j.step-1)*j.tasks+j.waiting) * j.cores
	return NewProfile(Job{
		Priority: j.priority, Arrived: epoch.Add(j.arrived),
		Chain: time.Duration(j.steps) * task, Remaining: time.Duration(j.steps-j.step) * task, Spread: 1.1,
		Stretch: j.stretch, Slack: j.slack,
		Work: float64(j.steps*j.tasks) * j.cores * task.Seconds(), RemainingWork: left * task.Seconds(), MeanWork: j.meanWork,
	}, meanChain)
}

var epoch = time.Unix(1000, 0)

// order sorts waiting jobs at a time.
type order func(waiting []*simJob, now time.Duration)

// byRank orders by the ranks of this package, with the run times that task returns.
func byRank(task func(*simJob) time.Duration) order {
	return func(waiting []*simJob, now time.Duration) {
		chain := time.Duration(0)
		for _, j := range waiting {
			chain += time.Duration(j.steps) * task(j) / time.Duration(len(waiting))
		}
		ranks := map[*simJob]Rank{}
		for _, j := range waiting {
			p := j.profile(task(j), chain)
			ranks[j], _ = p.Rank(epoch.Add(now))
		}
		slices.SortStableFunc(waiting, func(a, b *simJob) int { return ranks[a].Compare(ranks[b]) })
	}
}

func learned(j *simJob) time.Duration  { return j.learned }
func declared(j *simJob) time.Duration { return j.declared }

// byLatestStart is the order before this package: jobs are late once the objective that
// follows from their declared run times has passed, and sorted by the latest start.
func byLatestStart(waiting []*simJob, now time.Duration) {
	class := func(j *simJob) Class {
		objective := Objective(time.Duration(j.steps)*j.declared, j.stretch, j.slack)
		switch took := now - j.arrived; {
		case took <= objective:
			return OnTime
		case took <= ExpiryFactor*objective:
			return Late
		}
		return Expired
	}
	latest := func(j *simJob) time.Duration {
		chain := time.Duration(j.steps) * j.declared
		return j.arrived + Objective(chain, j.stretch, j.slack) - chain
	}
	slices.SortStableFunc(waiting, func(a, b *simJob) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.priority, b.priority), cmp.Compare(latest(a), latest(b)))
	})
}

// simulate runs jobs on a number of cores in the given order, without preemption, until all
// are done.
func simulate(jobs []*simJob, cores float64, sorted order) {
	const tick = 50 * time.Millisecond
	type end struct {
		at time.Duration
		j  *simJob
	}
	var ends []end
	free, left := cores, len(jobs)
	for now := time.Duration(0); left > 0 && now < time.Hour; now += tick {
		ends = slices.DeleteFunc(ends, func(e end) bool {
			if e.at > now {
				return false
			}
			free += e.j.cores
			if e.j.running--; e.j.running == 0 && e.j.waiting == 0 {
				e.j.step++
				if e.j.waiting = e.j.tasks; e.j.step == e.j.steps {
					e.j.waiting, e.j.doneAt = 0, e.at
					left--
				}
			}
			return true
		})
		var waiting []*simJob
		for _, j := range jobs {
			if j.arrived <= now && j.waiting > 0 {
				waiting = append(waiting, j)
			}
		}
		if len(waiting) == 0 || free < 0.001 {
			continue
		}
		sorted(waiting, now)
		for _, j := range waiting {
			for j.waiting > 0 && j.cores <= free {
				free -= j.cores
				j.waiting--
				j.running++
				ends = append(ends, end{now + j.real, j})
			}
		}
	}
}

// load describes a stream of jobs.
type load struct {
	jobs         int
	over         time.Duration // arrivals are spread evenly over it
	steps, tasks int
	cores        float64
	real         time.Duration
	priority     int
	stretch      float64
	slack        time.Duration
	off          float64 // declared run times are off by up to this share
	learnedOff   float64 // learned run times are off by up to this share
}

func (l load) generate(rng *rand.Rand, meanWork float64) []*simJob {
	jobs := make([]*simJob, l.jobs)
	off := func(share float64, d time.Duration) time.Duration {
		return time.Duration((1 + share*(2*rng.Float64()-1)) * float64(d))
	}
	for i := range jobs {
		real := off(0.5, l.real)
		jobs[i] = &simJob{
			arrived: time.Duration(rng.Float64() * float64(l.over)), priority: l.priority, steps: l.steps, tasks: l.tasks, waiting: l.tasks,
			cores: l.cores, real: real, declared: off(l.off, real), learned: off(l.learnedOff, real), stretch: l.stretch, slack: l.slack, meanWork: meanWork,
		}
	}
	return jobs
}

// yield returns the value of jobs relative to the most that they could yield.
func yield(jobs []*simJob) float64 {
	got, most := 0.0, 0.0
	for _, j := range jobs {
		got, most = got+j.value(), most+Value(j.work(), j.meanWork)
	}
	return got / max(most, math.SmallestNonzeroFloat64)
}
