package admit

import (
	"math"
	"sort"
	"time"
)

// Constants of the members' shares.
const (
	// demandInterval is how often the demand of the members is estimated.
	demandInterval = 20 * time.Millisecond
	// demandWeight is the weight of the last interval in the estimate.
	demandWeight = 0.08
	// forgetBelow is the demand, in requests in flight, below which an idle
	// member is forgotten.
	forgetBelow = 0.001
	// burst is how far a member may exceed its bound, relative to it, while its
	// mean is below the bound.
	burst = 2
	// unbounded is the bound of a member while there is enough for all.
	unbounded = math.MaxInt
)

// member is the use that one member makes of the service.
type member struct {
	name     string
	weight   float64
	inFlight int
	// bound is how many requests the member may have in flight.
	bound int
	// mean is the mean of inFlight over the last intervals.
	mean float64
	// arrivals counts the present interval.
	arrivals int
	// perSecond is the estimated rate of arrivals.
	perSecond float64
}

// shares divides the limit between members in proportion to their weights. What
// a member does not want goes to the others.
type shares struct {
	members map[string]*member
	since   time.Time
}

// arrive counts an arrival and returns its member.
func (s *shares) arrive(now time.Time, r Request, limit float64, latency time.Duration) *member {
	if s.members == nil {
		s.members = map[string]*member{}
		s.since = now
	}
	if elapsed := now.Sub(s.since); elapsed >= demandInterval {
		s.estimate(elapsed)
		s.divide(limit, latency)
		s.since = now
	}
	m, ok := s.members[r.Member]
	if !ok {
		m = &member{name: r.Member, bound: unbounded}
		s.members[r.Member] = m
	}
	m.weight = float64(max(1, r.Weight))
	m.arrivals++
	return m
}

func (s *shares) leave(name string) {
	if m, ok := s.members[name]; ok {
		m.inFlight--
	}
}

// full reports whether the member's next request would exceed its bound.
func (m *member) full() bool {
	if m.inFlight < m.bound {
		return false
	}
	return m.mean >= float64(m.bound) || float64(m.inFlight) >= burst*float64(m.bound)
}

// estimate brings the rates of arrival up to date.
func (s *shares) estimate(elapsed time.Duration) {
	weight := 1 - math.Pow(1-demandWeight, float64(elapsed)/float64(demandInterval))
	for name, m := range s.members {
		m.perSecond += weight * (float64(m.arrivals)/elapsed.Seconds() - m.perSecond)
		m.mean += weight * (float64(m.inFlight) - m.mean)
		m.arrivals = 0
		if m.inFlight == 0 && m.perSecond < forgetBelow {
			delete(s.members, name)
		}
	}
}

// want is what one member wants of the service.
type want struct {
	m *member
	// demand is how many requests the member would have in flight.
	demand float64
}

// divide sets the members' bounds: each gets what it wants, up to the same
// number of requests in flight for each unit of weight.
func (s *shares) divide(limit float64, latency time.Duration) {
	wants := s.wants(latency)
	weights, total := 0.0, 0.0
	for _, w := range wants {
		weights += w.m.weight
		total += w.demand
	}
	if total <= limit {
		for _, w := range wants {
			w.m.bound = unbounded
		}
		return
	}
	level := 0.0 // requests in flight for each unit of weight
	for _, w := range wants {
		level = limit / weights
		if w.demand > level*w.m.weight {
			break
		}
		limit -= w.demand
		weights -= w.m.weight
	}
	for _, w := range wants {
		w.m.bound = max(1, int(math.Ceil(level*w.m.weight)))
	}
}

// wants lists the members' wants, the lowest for their weight first.
func (s *shares) wants(latency time.Duration) []want {
	wants := make([]want, 0, len(s.members))
	for _, m := range s.members {
		wants = append(wants, want{m, max(m.perSecond*latency.Seconds(), float64(m.inFlight))})
	}
	sort.Slice(wants, func(i, j int) bool {
		a, b := wants[i], wants[j]
		if a.demand*b.m.weight != b.demand*a.m.weight {
			return a.demand*b.m.weight < b.demand*a.m.weight
		}
		return a.m.name < b.m.name
	})
	return wants
}
