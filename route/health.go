package route

import (
	"time"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
)

const (
	// ejectAfterFailures is how many failures in a row make a target suspected.
	ejectAfterFailures = 5
	// firstProbeInterval is the time from suspicion to the first probe. It
	// doubles with every probe that fails.
	firstProbeInterval = time.Second
	maxProbeInterval   = time.Minute
	// leavingHold is how long a target is leaving after the last sign of it,
	// since lists of VMs lag and may contradict each other.
	leavingHold = 30 * time.Second
	// maxSuspectedDivisor bounds the suspected targets to one in two.
	maxSuspectedDivisor = 2
)

// Health is the state of one target in the target chart, with what its next
// transition depends on.
type Health struct {
	state        chart.State
	leavingUntil time.Time
	probeAt      time.Time
	interval     time.Duration
	// failures and successes are the counts at the last update.
	failures, successes int64
}

// State returns the state in the target chart.
func (h *Health) State() chart.State { return h.state }

// Tracker follows the health of targets by address. It is owned by the control
// goroutine.
type Tracker struct{ targets map[string]*Health }

// NewTracker returns a tracker that knows no target.
func NewTracker() *Tracker { return &Tracker{targets: map[string]*Health{}} }

// Observation is what is known of one target at an update.
type Observation struct {
	Address string
	Usage   *Usage
	// Leaving is set when the operators, the list of VMs or a peer say so.
	Leaving bool
}

// Update moves the targets of one service through the target chart and returns
// their states in the same order. At most half of them become suspected.
func (t *Tracker) Update(observations []Observation, now time.Time) []chart.State {
	suspected := 0
	for _, s := range observations {
		if t.health(s.Address).state == charts.TargetSuspected {
			suspected++
		}
	}
	states := make([]chart.State, len(observations))
	for i, s := range observations {
		h := t.health(s.Address)
		before := h.state
		h.follow(s, now)
		h.judge(s.Usage, (suspected+1)*maxSuspectedDivisor <= len(observations), now)
		if before == charts.TargetLive && h.state == charts.TargetSuspected {
			suspected++
		}
		states[i] = h.state
	}
	return states
}

// State returns the state of a target, as the last update left it.
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

// apply fires an event of the target chart, if the state accepts it.
func (h *Health) apply(e chart.Event) bool {
	next, err := charts.Target.Next(h.state, e)
	if err != nil {
		return false
	}
	h.state = next
	return true
}

// follow applies the signs that the target is leaving: the operators', the
// list's and the peers', and the target's own word.
func (h *Health) follow(s Observation, now time.Time) {
	own := s.Usage.Leaving()
	switch {
	case s.Leaving || (own && h.state != charts.TargetLeaving):
		h.leavingUntil = now.Add(leavingHold)
		h.apply(charts.TargetLeave)
	case h.state == charts.TargetLeaving && !now.Before(h.leavingUntil):
		h.apply(charts.TargetReturn)
		s.Usage.ClearLeaving()
	}
}

// judge ejects a target that fails everything and lets probes through to it.
func (h *Health) judge(u *Usage, mayEject bool, now time.Time) {
	failures, successes := u.failures.Load(), u.successes.Load()
	switch h.state {
	case charts.TargetLive:
		if failures >= ejectAfterFailures && mayEject && h.apply(charts.TargetSuspect) {
			h.interval = firstProbeInterval
			h.probeAt = now.Add(h.interval)
		}
	case charts.TargetSuspected:
		h.probe(u, failures > h.failures, successes > h.successes, now)
	}
	h.failures, h.successes = failures, successes
}

func (h *Health) probe(u *Usage, failed, succeeded bool, now time.Time) {
	switch {
	case succeeded:
		h.apply(charts.TargetRecover)
	case failed:
		h.interval = min(2*h.interval, maxProbeInterval)
		h.probeAt = now.Add(h.interval)
	case !now.Before(h.probeAt):
		u.AllowProbe()
		h.probeAt = now.Add(h.interval)
	}
}
