package admit

import (
	"math"
	"sort"
	"time"
)

// Constants of the members' fair shares.
const (
	// demandInterval is how often the members' demand is estimated.
	demandInterval = 20 * time.Millisecond
	// demandWeight is the weight of the latest interval in the moving averages.
	demandWeight = 0.08
	// idleArrivalRate is the arrival rate, in requests per second, below which a
	// member without requests in flight is removed.
	idleArrivalRate = 0.001
	// burstFactor bounds the requests in flight of a member, relative to its
	// limit, while its moving average is below the limit.
	burstFactor = 2
	// unlimited is the limit of a member while capacity covers all demand.
	unlimited = math.MaxInt
)

// member is one member's use of the service.
type member struct {
	name     string
	weight   float64
	inFlight int
	// limit is how many requests the member may have in flight.
	limit int
	// meanInFlight is the exponential moving average of inFlight.
	meanInFlight float64
	// arrivals counts the arrivals in the current interval.
	arrivals int
	// arrivalRate is the moving average of arrivals per second.
	arrivalRate float64
}

// shares divides the limit between members by weighted max-min fairness: a share
// that a member does not use goes to the others.
type shares struct {
	members       map[string]*member
	intervalStart time.Time
}

// recordArrival counts an arrival and returns its member. It recomputes the
// members' limits once per demandInterval.
func (s *shares) recordArrival(now time.Time, r Request, limit float64, latency time.Duration) *member {
	if s.members == nil {
		s.members = map[string]*member{}
		s.intervalStart = now
	}
	if elapsed := now.Sub(s.intervalStart); elapsed >= demandInterval {
		s.updateAverages(elapsed)
		s.allocate(limit, latency)
		s.intervalStart = now
	}
	m, ok := s.members[r.Member]
	if !ok {
		m = &member{name: r.Member, limit: unlimited}
		s.members[r.Member] = m
	}
	m.weight = float64(max(1, r.Weight))
	m.arrivals++
	return m
}

func (s *shares) release(name string) {
	if m, ok := s.members[name]; ok {
		m.inFlight--
	}
}

// atLimit reports whether the member's next request would exceed its limit.
func (m *member) atLimit() bool {
	if m.inFlight < m.limit {
		return false
	}
	return m.meanInFlight >= float64(m.limit) || float64(m.inFlight) >= burstFactor*float64(m.limit)
}

// updateAverages updates the moving averages and removes idle members.
func (s *shares) updateAverages(elapsed time.Duration) {
	weight := 1 - math.Pow(1-demandWeight, float64(elapsed)/float64(demandInterval))
	for name, m := range s.members {
		m.arrivalRate += weight * (float64(m.arrivals)/elapsed.Seconds() - m.arrivalRate)
		m.meanInFlight += weight * (float64(m.inFlight) - m.meanInFlight)
		m.arrivals = 0
		if m.inFlight == 0 && m.arrivalRate < idleArrivalRate {
			delete(s.members, name)
		}
	}
}

// memberDemand is one member's demand for the service.
type memberDemand struct {
	member *member
	// inFlight is how many requests the member would have in flight.
	inFlight float64
}

// allocate sets the members' limits: each gets its demand, up to the same number
// of requests in flight per unit of weight.
func (s *shares) allocate(limit float64, latency time.Duration) {
	demands := s.demands(latency)
	weights, total := 0.0, 0.0
	for _, d := range demands {
		weights += d.member.weight
		total += d.inFlight
	}
	if total <= limit {
		for _, d := range demands {
			d.member.limit = unlimited
		}
		return
	}
	perWeight := 0.0 // requests in flight per unit of weight
	for _, d := range demands {
		perWeight = limit / weights
		if d.inFlight > perWeight*d.member.weight {
			break
		}
		limit -= d.inFlight
		weights -= d.member.weight
	}
	for _, d := range demands {
		d.member.limit = max(1, int(math.Ceil(perWeight*d.member.weight)))
	}
}

// demands returns the members' demands in increasing order of demand per unit
// of weight.
func (s *shares) demands(latency time.Duration) []memberDemand {
	demands := make([]memberDemand, 0, len(s.members))
	for _, m := range s.members {
		demands = append(demands, memberDemand{m, max(m.arrivalRate*latency.Seconds(), float64(m.inFlight))})
	}
	sort.Slice(demands, func(i, j int) bool {
		a, b := demands[i], demands[j]
		if a.inFlight*b.member.weight != b.inFlight*a.member.weight {
			return a.inFlight*b.member.weight < b.inFlight*a.member.weight
		}
		return a.member.name < b.member.name
	})
	return demands
}
