package place

import (
	"math"
	"sort"
)

// Parameters of the interference model.
const (
	// maxPredictedRise is the largest predicted rise of a service's latency
	// beside batch tasks that placement allows, relative to the latency without
	// them.
	maxPredictedRise    = 0.12
	riseComparisonSteps = 50 // rises are rounded to multiples of 1/50 when machines are compared
	// learningRate is the weight of one measurement.
	learningRate = 0.25
	// baselineWeight is the weight of the baseline latency, against the squared
	// shares of the running kinds, when a prediction error is divided among
	// them.
	baselineWeight = 0.02
	// minPairObservations is the number of measurements, after decay, from which
	// the slope of a pair of service and kind is trusted.
	minPairObservations = 5
	// explorationShare is the share of a VM that a kind may take beside a
	// service while the slope of the pair is not trusted.
	explorationShare = 0.125
	// halfLifeMS is the half-life in milliseconds of what was learned about a
	// pair.
	halfLifeMS = 30 * 60_000
	// maxMeasurementAgeMS is the age in milliseconds up to which a measurement
	// describes the current state.
	maxMeasurementAgeMS = 30_000
	maxLoadHistory      = 64  // load changes kept for each machine
	minThrottlePerMille = 125 // lowest limit of a throttled task
)

type pairKey struct{ service, kind string }

// pairRecord is the learned effect of a kind of task on a service.
type pairRecord struct {
	// slopeMS is the rise of the latency in milliseconds when the kind takes
	// all of a VM's batch processors.
	slopeMS        float64
	observations   int
	lastSeenUnixMS int64
}

type serviceRecord struct {
	// baselineMS is the latency in milliseconds without batch tasks.
	baselineMS     float64
	lastSeenUnixMS int64
}

// loadChange is the load of a machine by kind from a point in time on.
type loadChange struct {
	fromUnixMS int64
	shares     []kindShare
}

// kindShare is the share of a machine's batch processors that a kind takes.
type kindShare struct {
	kind  string
	share float64
}

// machineRecord is the recent load and latency of a machine.
type machineRecord struct {
	loadHistory []loadChange
	// rises is the latest smoothed rise of each service's latency.
	rises map[string]riseRecord
	// lastChangeUnixMS is when the throttle of a task on the machine was last
	// changed, or a task was last evicted for interference.
	lastChangeUnixMS int64
}

type riseRecord struct {
	rise           float64
	measuredUnixMS int64
}

// interferenceModel learns the effect of each kind of task on each service.
// Measurements are delayed, so each is compared with the load at the time at
// which it was taken.
type interferenceModel struct {
	services  map[string]*serviceRecord
	pairs     map[pairKey]*pairRecord
	machines  map[string]*machineRecord
	nowUnixMS int64
}

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{
		services: map[string]*serviceRecord{},
		pairs:    map[pairKey]*pairRecord{},
		machines: map[string]*machineRecord{},
	}
}

// activeService returns the record of a service, and whether its latency has
// been measured recently.
func (f *interferenceModel) activeService(service string) (*serviceRecord, bool) {
	s, ok := f.services[service]
	return s, ok && f.nowUnixMS-s.lastSeenUnixMS <= maxMeasurementAgeMS
}

// slope returns the decayed slope of a pair in milliseconds, and whether it is
// trusted.
func (f *interferenceModel) slope(service, kind string) (slopeMS float64, trusted bool) {
	p, ok := f.pairs[pairKey{service, kind}]
	if !ok {
		return 0, false
	}
	age := float64(max(f.nowUnixMS-p.lastSeenUnixMS, 0)) / halfLifeMS
	weight := math.Exp2(-age)
	return p.slopeMS * weight, float64(p.observations)*weight >= minPairObservations
}

// admit predicts the rise of the services' latency on a machine with one more
// task. It returns the processor limit in thousandths that keeps the rise
// within maxPredictedRise, or zero for no limit, and false if the task should
// not start there.
func (f *interferenceModel) admit(m *machineState, d *Demand) (perMille int, rise float64, ok bool) {
	perMille = fullPerMille
	for _, name := range m.Services {
		s, measured := f.activeService(name)
		if !measured || m.Capacity.MilliProcessors <= 0 {
			continue
		}
		share := float64(d.Resources.MilliProcessors) / float64(m.Capacity.MilliProcessors)
		slope, trusted := f.slope(name, d.Kind)
		if !trusted && !mayExplore(m, d.Kind, share) {
			return 0, 0, false
		}
		currentRise := f.predict(name, s, kindShares(m))
		addedRise := slope * share / s.baselineMS
		if addedRise > 0 {
			allowed := (maxPredictedRise - currentRise) / addedRise * fullPerMille
			perMille = min(perMille, int(math.Max(allowed, 0)))
		}
		rise = math.Max(rise, currentRise+addedRise)
	}
	if perMille >= fullPerMille {
		return 0, rise, true
	}
	return perMille, rise, perMille >= 2*minThrottlePerMille
}

// mayExplore reports whether a kind whose slope beside a service is not trusted
// may take another share of the machine.
func mayExplore(m *machineState, kind string, share float64) bool {
	for _, k := range m.loadByKind {
		if k.kind == kind {
			return float64(k.milliProcessors)/float64(m.Capacity.MilliProcessors)+share <= explorationShare
		}
	}
	return true
}

// kindShares returns the share of each kind on the machine, sorted by kind.
func kindShares(m *machineState) []kindShare {
	shares := make([]kindShare, 0, len(m.loadByKind))
	for _, k := range m.loadByKind {
		if k.milliProcessors > 0 {
			shares = append(shares, kindShare{k.kind, float64(k.milliProcessors) / float64(max(m.Capacity.MilliProcessors, 1))})
		}
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].kind < shares[j].kind })
	return shares
}

// predict returns the rise of a service's latency beside the given load,
// relative to its baseline.
func (f *interferenceModel) predict(service string, s *serviceRecord, shares []kindShare) float64 {
	sum := 0.0
	for _, k := range shares {
		slope, _ := f.slope(service, k.kind)
		sum += slope * k.share
	}
	return sum / s.baselineMS
}

// recordLoads records the current load of each machine that carries services,
// and removes the records of machines that are no longer in the shard.
func (f *interferenceModel) recordLoads(cl *cluster, now int64) {
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
			f.machineRecord(m.Name).recordLoad(kindShares(m), now)
		}
	}
}

func (f *interferenceModel) machineRecord(name string) *machineRecord {
	r, ok := f.machines[name]
	if !ok {
		r = &machineRecord{rises: map[string]riseRecord{}}
		f.machines[name] = r
	}
	return r
}

func (r *machineRecord) recordLoad(shares []kindShare, now int64) {
	if n := len(r.loadHistory); n > 0 && equalShares(r.loadHistory[n-1].shares, shares) {
		return
	}
	if len(r.loadHistory) == maxLoadHistory {
		r.loadHistory = r.loadHistory[1:]
	}
	r.loadHistory = append(r.loadHistory, loadChange{now, shares})
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

// sharesAt returns the load of the machine at a time in milliseconds since 1970
// UTC, and whether it is known.
func (r *machineRecord) sharesAt(at int64) ([]kindShare, bool) {
	for i := len(r.loadHistory) - 1; i >= 0; i-- {
		if r.loadHistory[i].fromUnixMS <= at {
			return r.loadHistory[i].shares, true
		}
	}
	return nil, false
}

// observe updates the model from a measurement, by a small step towards the
// parameters that would have predicted it.
func (f *interferenceModel) observe(l *ServiceLatency) {
	if l.LatencyMS <= 0 {
		return
	}
	s, ok := f.services[l.Service]
	if !ok {
		s = &serviceRecord{baselineMS: l.LatencyMS}
		f.services[l.Service] = s
	}
	s.lastSeenUnixMS = max(s.lastSeenUnixMS, l.MeasuredUnixMS)
	r := f.machineRecord(l.Machine)
	shares, known := r.sharesAt(l.MeasuredUnixMS)
	if !known {
		return
	}
	expected := s.baselineMS * (1 + f.predict(l.Service, s, shares))
	f.update(l, s, shares, l.LatencyMS-expected)
	r.recordRise(l, l.LatencyMS/s.baselineMS-1)
}

// update divides the prediction error of a measurement among the service's
// baseline and the slopes of the running kinds.
func (f *interferenceModel) update(l *ServiceLatency, s *serviceRecord, shares []kindShare, errorMS float64) {
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
		p.lastSeenUnixMS = max(p.lastSeenUnixMS, l.MeasuredUnixMS)
	}
}

// recordRise records the smoothed rise of a service's latency on the machine.
func (r *machineRecord) recordRise(l *ServiceLatency, rise float64) {
	old, ok := r.rises[l.Service]
	if !ok || l.MeasuredUnixMS-old.measuredUnixMS > maxMeasurementAgeMS {
		r.rises[l.Service] = riseRecord{rise, l.MeasuredUnixMS}
		return
	}
	if l.MeasuredUnixMS > old.measuredUnixMS {
		r.rises[l.Service] = riseRecord{(old.rise + rise) / 2, l.MeasuredUnixMS}
	}
}
