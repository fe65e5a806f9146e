package route

import (
	"time"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
)

const (
	// ejectAfterFailures is how many consecutive failures make a target suspected.
	ejectAfterFailures = 5
	// firstProbeInterval is the time from suspicion to the first probe. The interval
	// doubles with every failed probe, up to maxProbeInterval.
	firstProbeInterval = time.Second
	maxProbeInterval   = time.Minute
	// leavingHold is how long a target stays in the leaving state after the last
	// report that it leaves, since VM lists lag and may contradict each other.
	leavingHold = 30 * time.Second
	// maxSuspectedDivisor bounds the suspected targets to one in two of a service.
	maxSuspectedDivisor = 2
)

// Health is the state of one target in the target state chart, with the data that
// its next transition depends on.
type Health struct {
	state        chart.State
	leavingUntil time.Time
	probeAt      time.Time
	// probeInterval is the time between two probes.
	probeInterval time.Duration
	// failures and successes are the counters of Usage at the last update.
	failures, successes int64
}

// State returns the state in the target chart.
func (h *Health) State() chart.State { return h.state }

// Tracker tracks the health of targets by address. It is not safe for concurrent
// use; the control goroutine owns it.
type Tracker struct{ targets map[string]*Health }

// NewTracker returns a tracker without targets.
func NewTracker() *Tracker { return &Tracker{targets: map[string]*Health{}} }

// Observation is the input of an update for one target.
type Observation struct {
	Address string
	Usage   *Usage
	// Leaving is set when the operators, the VM list or a peer report that the
	// target leaves.
	Leaving bool
}

// Update applies the observations of all targets of one service to the target
// state chart and returns their states in the same order. At most half of them
// become suspected.
func (t *Tracker) Update(observations []Observation, now time.Time) []chart.State {
	suspected := 0
	for _, o := range observations {
		if t.health(o.Address).state == charts.TargetSuspected {
			suspected++
		}
	}
	states := make([]chart.State, len(observations))
	for i, o := range observations {
		h := t.health(o.Address)
		before := h.state
		h.updateLeaving(o, now)
		h.updateSuspicion(o.Usage, (suspected+1)*maxSuspectedDivisor <= len(observations), now)
		if before == charts.TargetLive && h.state == charts.TargetSuspected {
			suspected++
		}
		states[i] = h.state
	}
	return states
}

// State returns the state of a target after the last update. It is the chart's
// initial state if the target is unknown.
func (t *Tracker) State(address string) chart.State {
	if h, ok := t.targets[address]; ok {
		return h.state
	}
	return charts.Target.Initial()
}

// Retain removes every target whose address is not listed.
func (t *Tracker) Retain(addresses map[string]bool) {
	for address, h := range t.targets {
		if !addresses[address] {
			h.apply(charts.TargetRemove)
			delete(t.targets, address)
		}
	}
}

func (t *Tracker) health(address string) *Health {
	h, ok := t.targets[address]
	if !ok {
		h = &Health{state: charts.Target.Initial()}
		t.targets[address] = h
	}
	return h
}

// apply makes the transition for an event and reports true, unless the chart has
// none for it in the present state.
func (h *Health) apply(e chart.Event) bool {
	next, err := charts.Target.Next(h.state, e)
	if err != nil {
		return false
	}
	h.state = next
	return true
}

// updateLeaving enters the leaving state when the operators, the VM list, a peer or
// the target itself report that it leaves, and returns from it leavingHold after
// the last report.
func (h *Health) updateLeaving(o Observation, now time.Time) {
	announced := o.Usage.Leaving()
	switch {
	case o.Leaving || (announced && h.state != charts.TargetLeaving):
		h.leavingUntil = now.Add(leavingHold)
		h.apply(charts.TargetLeave)
	case h.state == charts.TargetLeaving && !now.Before(h.leavingUntil):
		h.apply(charts.TargetReturn)
		o.Usage.ClearLeaving()
	}
}

// updateSuspicion suspects a live target that fails all requests, if mayEject, and
// schedules the probes of a suspected one.
func (h *Health) updateSuspicion(u *Usage, mayEject bool, now time.Time) {
	failures, successes := u.failures.Load(), u.successes.Load()
	switch h.state {
	case charts.TargetLive:
		if failures >= ejectAfterFailures && mayEject && h.apply(charts.TargetSuspect) {
			h.probeInterval = firstProbeInterval
			h.probeAt = now.Add(h.probeInterval)
		}
	case charts.TargetSuspected:
		h.updateProbe(u, failures > h.failures, successes > h.successes, now)
	}
	h.failures, h.successes = failures, successes
}

// updateProbe applies the result of the last probe, or allows the next one when it
// is due.
func (h *Health) updateProbe(u *Usage, failed, succeeded bool, now time.Time) {
	switch {
	case succeeded:
		h.apply(charts.TargetRecover)
	case failed:
		h.probeInterval = min(2*h.probeInterval, maxProbeInterval)
		h.probeAt = now.Add(h.probeInterval)
	case !now.Before(h.probeAt):
		u.AllowProbe()
		h.probeAt = now.Add(h.probeInterval)
	}
}
