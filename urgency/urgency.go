// Package urgency orders the jobs that wait for capacity by the value that is lost if they
// wait longer.
//
// The value of a job is full until its objective, a part of it up to three times the time to
// its objective, and zero afterwards. The package performs no I/O and reads no clock.
package urgency

import (
	"cmp"
	"math"
	"time"
)

const (
	// LateShare is the part of its value that a job yields after its objective.
	LateShare = 0.15
	// ExpiryFactor is the multiple of the time to its objective after which a job yields
	// nothing.
	ExpiryFactor = 3
	// AgedAfter is how long after its expiry a job is planned as one that is on time; after
	// twice that, also before jobs of other priorities. It is longer than the bursts after which
	// the order matters, so that expired jobs do not take the place of others while these can
	// still yield something.
	AgedAfter = 30 * time.Second
)

// Value returns the value of a job by its work and the mean work of its queue's jobs, in the
// same unit.
func Value(work, mean float64) float64 {
	const base, perMean, most = 0.3, 0.7, 4
	if !(mean > 0) {
		return base + perMean
	}
	return min(most, base+perMean*work/mean)
}

// Job describes a waiting job.
type Job struct {
	// Priority is that of its queue; zero is the highest.
	Priority int
	Arrived  time.Time
	// Chain is the predicted run time of the longest chain of steps, and Remaining that of
	// the longest one that is left.
	Chain, Remaining time.Duration
	// Spread is the factor by which the run times hardly exceed the predicted ones; at least 1.
	Spread float64
	// Stretch and Slack define the objective: Stretch times the chain, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Work is the predicted work in core-seconds, RemainingWork the part that is left and
	// MeanWork the mean work of the jobs of its queue.
	Work, RemainingWork, MeanWork float64
	// Scheduled is set for jobs that have no objective: they are always on time. Arrived is
	// then when the work was due, or when its turn came after earlier work of the job.
	Scheduled bool
	// Missed is set for scheduled work that is far behind its due time. Other work goes first, until
	// it is aged.
	Missed bool
}

// Class ranks jobs by the value that they can still yield.
type Class int

const (
	// OnTime means that the job can still finish before its objective.
	OnTime Class = iota
	// Late means that the job can still yield a part of its value.
	Late
	// Expired means that the job is certain to yield nothing.
	Expired
)

// Profile is what the rank of a job follows from at any time. It is computed when something
// about the job has changed, so that a rank costs no more than some comparisons.
type Profile struct {
	priority int
	arrived  time.Time
	// onTimeUntil and lateUntil are the last times at which the rest of the job can start to
	// be on time, and to yield anything, and agedAt is when an expired job is aged, all in
	// seconds after the arrival: each rank then needs one difference of times.
	onTimeUntil, lateUntil, agedAt float64
	// density is the logarithm of the value per core-second that is left.
	density float64
	// lookahead is the wait that counts as much as a factor of e in density, in seconds.
	lookahead         float64
	scheduled, missed bool
}

// leastWork is the least remaining work that is counted, in core-seconds: the ratio of value
// to work of a job whose last task has almost no work would exceed every other.
const leastWork = 0.05

// NewProfile returns the profile of a job. meanChain is the mean length of the chains of
// the jobs that it competes with.
func NewProfile(j Job, meanChain time.Duration) Profile {
	objective := Objective(j.Chain, j.Stretch, j.Slack)
	// Run times that are longer than predicted also move the objective, which is computed
	// from the real chain. A job is expired only if it is so with the longest run times, too.
	spread := max(j.Spread, 1)
	longest := Objective(scale(j.Chain, spread), j.Stretch, j.Slack)
	expiry := scale(longest, ExpiryFactor)
	p := Profile{
		priority:    j.Priority,
		arrived:     j.Arrived,
		onTimeUntil: (objective - j.Remaining).Seconds(),
		lateUntil:   (expiry - scale(j.Remaining, spread)).Seconds(),
		agedAt:      (expiry + AgedAfter).Seconds(),
		density:     math.Log(Value(j.Work, j.MeanWork) / max(j.RemainingWork, leastWork)),
		lookahead:   max(lookaheadFactor*meanChain.Seconds(), leastLookahead),
		scheduled:   j.Scheduled,
		missed:      j.Missed,
	}
	// With a stretch below a third, longer run times leave less time instead of more.
	p.lateUntil = max(p.lateUntil, (scale(objective, ExpiryFactor) - j.Remaining).Seconds())
	return p
}

const (
	// lookaheadFactor is the multiple of the mean chain within which the time that a job has
	// left counts. Under a backlog of ten times the room (TestBacklogOfTenTimesTheRoom) factors
	// of 1, 2, 4 and 10 yield 0.44, 0.46, 0.48 and 0.50 of the value, and in a cell that is just
	// full (TestOrderWithEstimatesOffByNineTenths) 0.98, 0.98, 0.96 and 0.94.
	lookaheadFactor = 2
	// leastLookahead keeps the index finite while chains are not known.
	leastLookahead = 0.1
)

// Objective returns the time within which a job should be done after its arrival.
func Objective(chain time.Duration, stretch float64, slack time.Duration) time.Duration {
	if stretch == 0 {
		stretch = 1
	}
	return scale(chain, stretch) + slack
}

// scale multiplies a duration, and bounds the result to a year.
func scale(d time.Duration, factor float64) time.Duration {
	const year = 365 * 24 * time.Hour
	return time.Duration(min(float64(d)*factor, float64(year)))
}

// Class returns the value that the job can still yield if it starts now.
func (p *Profile) Class(now time.Time) Class { return p.class(now.Sub(p.arrived).Seconds()) }

func (p *Profile) class(age float64) Class {
	switch {
	case p.missed:
		return Expired
	case p.scheduled || age <= p.onTimeUntil:
		return OnTime
	case age <= p.lateUntil:
		return Late
	}
	return Expired
}

// Rank is the place of a job in the order at a time.
type Rank struct {
	Class    Class
	Priority int
	// Index is the logarithm of the value that is lost per core-second of waiting.
	Index float64
}

// The logarithms of what a job loses when it misses its objective, and its expiry.
var (
	lossLate    = math.Log(1 - LateShare)
	lossExpired = math.Log(LateShare)
)

// Rank returns the job's rank at a time, and the value that it can still yield. The class of
// the rank differs from that of an expired job that is aged.
func (p *Profile) Rank(now time.Time) (Rank, Class) {
	age := now.Sub(p.arrived).Seconds()
	class := p.class(age)
	r := Rank{Class: class, Priority: p.priority, Index: p.density}
	switch class {
	case OnTime:
		r.Index += lossLate - max(0, p.onTimeUntil-age)/p.lookahead
	case Late:
		r.Index += lossExpired - max(0, p.lateUntil-age)/p.lookahead
	case Expired:
	}
	if aged := age - p.agedAt; aged >= 0 {
		r.Class = OnTime
		r.Index += aged / p.lookahead // so that it becomes the first
		if aged >= AgedAfter.Seconds() {
			r.Priority = 0
		}
	}
	return r, class
}

// CompareLevel compares the classes and priorities of two ranks; the first is planned
// first if the result is negative.
func (r Rank) CompareLevel(o Rank) int {
	if r.Class != o.Class {
		return int(r.Class - o.Class)
	}
	return cmp.Compare(r.Priority, o.Priority)
}

// Compare compares two ranks; the first is planned first if the result is negative.
func (r Rank) Compare(o Rank) int {
	if c := r.CompareLevel(o); c != 0 {
		return c
	}
	return cmp.Compare(o.Index, r.Index)
}
