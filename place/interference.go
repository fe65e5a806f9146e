package place

import (
	"math"
	"sort"
)

// Bounds of the model of interference.
const (
	// riseLimit is the predicted rise of a service's latency beside batch tasks
	// that placement allows, as a share of the latency without them.
	riseLimit = 0.12
	riseSteps = 50 // steps of a rise by 1 that count as equal when machines are compared
	// learningRate is the weight of one measurement.
	learningRate = 0.25
	// baselineWeight is the part of an error that the latency without batch
	// takes up when tasks were running.
	baselineWeight = 0.02
	// exploredObservations is how often a pair must be measured to be known.
	exploredObservations = 5
	// exploreShare is the share of a VM that a kind may take beside a service
	// while the pair is not known.
	exploreShare = 0.125
	// halfLifeMS is when half of what was learned of a pair is forgotten.
	halfLifeMS = 30 * 60_000
	// freshMS is how old a measurement may be to count as the present state.
	freshMS        = 30_000
	maxLoadChanges = 64 // remembered of each machine
	minPerMille    = 125
)

type pairKey struct{ service, kind string }

// pairRecord is what a kind of task does to a service.
type pairRecord struct {
	// slopeMS is the rise of latency in milliseconds when the kind takes a
	// whole VM's batch processors.
	slopeMS      float64
	observations int
	seenUnixMS   int64
}

type serviceRecord struct {
	// baselineMS is the latency in milliseconds without batch tasks.
	baselineMS float64
	seenUnixMS int64
}

// loadChange is the kinds on a machine from a time on.
type loadChange struct {
	fromUnixMS int64
	shares     []kindShare
}

// kindShare is the share of a machine's batch processors that a kind takes.
type kindShare struct {
	kind  string
	share float64
}

// machineRecord is the recent past of a machine.
type machineRecord struct {
	loads []loadChange
	// rises is the latest smoothed rise of each service's latency.
	rises map[string]riseRecord
	// actedUnixMS is when tasks on the machine were last throttled or released.
	actedUnixMS int64
}

type riseRecord struct {
	rise           float64
	measuredUnixMS int64
}

// interference learns what each kind of task does to each service. Since
// measurements lag, they are compared with the tasks of the time at which they
// were taken.
type interference struct {
	services  map[string]*serviceRecord
	pairs     map[pairKey]*pairRecord
	machines  map[string]*machineRecord
	nowUnixMS int64
}

func newInterference() *interference {
	return &interference{
		services: map[string]*serviceRecord{},
		pairs:    map[pairKey]*pairRecord{},
		machines: map[string]*machineRecord{},
	}
}

// measured tells whether a service's latency is being reported.
func (f *interference) measured(service string) (*serviceRecord, bool) {
	s, ok := f.services[service]
	return s, ok && f.nowUnixMS-s.seenUnixMS <= freshMS
}

// slope returns the decayed slope of a pair in milliseconds, and whether the
// pair is known.
func (f *interference) slope(service, kind string) (slopeMS float64, known bool) {
	p, ok := f.pairs[pairKey{service, kind}]
	if !ok {
		return 0, false
	}
	age := float64(max(f.nowUnixMS-p.seenUnixMS, 0)) / halfLifeMS
	weight := math.Exp2(-age)
	return p.slopeMS * weight, float64(p.observations)*weight >= exploredObservations
}

// admit predicts the rise of the services' latency on a machine with one more
// task. It returns the limit in thousandths that keeps the rise allowed, or
// zero for no limit, and false if the task should not go there.
func (f *interference) admit(m *machineState, d *Demand) (perMille int, rise float64, ok bool) {
	perMille = wholePerMille
	for _, name := range m.Services {
		s, measured := f.measured(name)
		if !measured || m.Capacity.MilliProcessors <= 0 {
			continue
		}
		share := float64(d.Resources.MilliProcessors) / float64(m.Capacity.MilliProcessors)
		slope, known := f.slope(name, d.Kind)
		if !known && !explorable(m, d.Kind, share) {
			return 0, 0, false
		}
		present := f.predict(name, s, sharesOf(m))
		added := slope * share / s.baselineMS
		if added > 0 {
			allowed := (riseLimit - present) / added * wholePerMille
			perMille = min(perMille, int(math.Max(allowed, 0)))
		}
		rise = math.Max(rise, present+added)
	}
	if perMille >= wholePerMille {
		return 0, rise, true
	}
	return perMille, rise, perMille >= 2*minPerMille
}

// explorable tells whether a kind that is not known beside a service may take
// more of the machine.
func explorable(m *machineState, kind string, share float64) bool {
	for _, k := range m.kinds {
		if k.kind == kind {
			return float64(k.milliProcessors)/float64(m.Capacity.MilliProcessors)+share <= exploreShare
		}
	}
	return true
}

func sharesOf(m *machineState) []kindShare {
	shares := make([]kindShare, 0, len(m.kinds))
	for _, k := range m.kinds {
		if k.milliProcessors > 0 {
			shares = append(shares, kindShare{k.kind, float64(k.milliProcessors) / float64(max(m.Capacity.MilliProcessors, 1))})
		}
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].kind < shares[j].kind })
	return shares
}

// predict returns the rise of a service's latency beside tasks.
func (f *interference) predict(service string, s *serviceRecord, shares []kindShare) float64 {
	sum := 0.0
	for _, k := range shares {
		slope, _ := f.slope(service, k.kind)
		sum += slope * k.share
	}
	return sum / s.baselineMS
}

// remember records the kinds on each machine with a measured service.
func (f *interference) remember(cl *cluster, now int64) {
	f.nowUnixMS = now
	for name := range f.machines {
		if _, ok := cl.byName[name]; !ok {
			delete(f.machines, name)
		}
	}
	if len(f.services) == 0 {
		return
	}
	for i := range cl.machines {
		m := &cl.machines[i]
		if len(m.Services) > 0 {
			f.machine(m.Name).remember(sharesOf(m), now)
		}
	}
}

func (f *interference) machine(name string) *machineRecord {
	r, ok := f.machines[name]
	if !ok {
		r = &machineRecord{rises: map[string]riseRecord{}}
		f.machines[name] = r
	}
	return r
}

func (r *machineRecord) remember(shares []kindShare, now int64) {
	if n := len(r.loads); n > 0 && equalShares(r.loads[n-1].shares, shares) {
		return
	}
	if len(r.loads) == maxLoadChanges {
		r.loads = r.loads[1:]
	}
	r.loads = append(r.loads, loadChange{now, shares})
}

func equalShares(a, b []kindShare) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// sharesAt returns the kinds on the machine at a time, and whether they are known.
func (r *machineRecord) sharesAt(at int64) ([]kindShare, bool) {
	for i := len(r.loads) - 1; i >= 0; i-- {
		if r.loads[i].fromUnixMS <= at {
			return r.loads[i].shares, true
		}
	}
	return nil, false
}

// observe learns from a measurement, in small steps towards what would have
// predicted it.
func (f *interference) observe(l *ServiceLatency) {
	if l.LatencyMS <= 0 {
		return
	}
	s, ok := f.services[l.Service]
	if !ok {
		s = &serviceRecord{baselineMS: l.LatencyMS}
		f.services[l.Service] = s
	}
	s.seenUnixMS = max(s.seenUnixMS, l.MeasuredUnixMS)
	r := f.machine(l.Machine)
	shares, known := r.sharesAt(l.MeasuredUnixMS)
	if !known {
		return
	}
	expected := s.baselineMS * (1 + f.predict(l.Service, s, shares))
	f.learn(l, s, shares, l.LatencyMS-expected)
	r.noteRise(l, l.LatencyMS/s.baselineMS-1)
}

func (f *interference) learn(l *ServiceLatency, s *serviceRecord, shares []kindShare, errorMS float64) {
	if len(shares) == 0 {
		s.baselineMS += learningRate * errorMS
		return
	}
	norm := baselineWeight
	for _, k := range shares {
		norm += k.share * k.share
	}
	s.baselineMS = math.Max(s.baselineMS+learningRate*baselineWeight*errorMS/norm, math.SmallestNonzeroFloat32)
	for _, k := range shares {
		slope, _ := f.slope(l.Service, k.kind)
		p, ok := f.pairs[pairKey{l.Service, k.kind}]
		if !ok {
			p = &pairRecord{}
			f.pairs[pairKey{l.Service, k.kind}] = p
		}
		p.slopeMS = math.Max(slope+learningRate*k.share*errorMS/norm, 0)
		p.observations++
		p.seenUnixMS = max(p.seenUnixMS, l.MeasuredUnixMS)
	}
}

// noteRise smooths the rise of a service's latency on the machine.
func (r *machineRecord) noteRise(l *ServiceLatency, rise float64) {
	old, ok := r.rises[l.Service]
	if !ok || l.MeasuredUnixMS-old.measuredUnixMS > freshMS {
		r.rises[l.Service] = riseRecord{rise, l.MeasuredUnixMS}
		return
	}
	if l.MeasuredUnixMS > old.measuredUnixMS {
		r.rises[l.Service] = riseRecord{(old.rise + rise) / 2, l.MeasuredUnixMS}
	}
}
