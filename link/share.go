package link

import "time"

const (
	// usablePercent of the link's capacity is divided; the rest covers the chunks by
	// which buckets may exceed their rates.
	usablePercent = 90
	// loanTTL is how long a loan lasts unless it is renewed.
	loanTTL = time.Second
	// reservePercent of its present demand is what a lender does not lend.
	reservePercent = 125
	// minReservePercent of its base rate is not lent even by an idle daemon, so that
	// its first bytes need not wait for a loan to expire.
	minReservePercent = 20
)

// Share is one daemon's share of one direction of a link. Every daemon has an
// equal base rate; one that needs less lends the rest to others for a short time.
// A loan expires earlier for the borrower, who counts from its request, than for
// the lender, so that all shares together never exceed the link's capacity even if
// messages are late or lost. Share is not safe for concurrent use.
type Share struct {
	capacity int64            // of the link, in bytes per second
	demand   int64            // of this daemon, in bytes per second
	peers    map[string]*peer // by session
	// admitted is set once every other daemon has counted this one for loanTTL, so
	// that no loan from before remains.
	admitted bool
	// countedSince is since when every other daemon counts this one, or zero.
	countedSince time.Time
}

// peer is this daemon's record of another one.
type peer struct {
	// daemons is the peer's last reported count of live daemons, or zero if this one
	// is not among them.
	daemons int
	// lent holds the loans to the peer that may not have expired.
	lent []loan
	// borrowed is the loan from the peer.
	borrowed loan
	// requestedAt is when the request for that loan was sent.
	requestedAt time.Time
}

type loan struct {
	rate    int64 // bytes per second
	expires time.Time
}

// NewShare returns the share of a daemon without peers. The capacity of the link
// is in bytes per second.
func NewShare(capacity int64) *Share {
	return &Share{capacity: capacity, peers: map[string]*peer{}}
}

// SetCapacity changes the capacity of the link, in bytes per second.
func (s *Share) SetCapacity(capacity int64) { s.capacity = capacity }

// SetDemand sets this daemon's demand, in bytes per second.
func (s *Share) SetDemand(rate int64) { s.demand = rate }

// SetPeers sets the sessions of the other live daemons. Loans from a daemon that is
// no longer among them end at once.
func (s *Share) SetPeers(sessions []string) {
	peers := make(map[string]*peer, len(sessions))
	for _, id := range sessions {
		peers[id] = s.peers[id]
		if peers[id] == nil {
			peers[id] = &peer{}
		}
	}
	s.peers = peers
}

// Daemons returns this daemon's count of live daemons, itself included.
func (s *Share) Daemons() int { return len(s.peers) + 1 }

// Shortfall returns the demand that exceeds this daemon's own rate, in bytes per
// second. It is what the daemon requests from its peers.
func (s *Share) Shortfall(now time.Time) int64 { return max(0, s.demand-s.ownRate(now)) }

// Lend handles a peer's request for bandwidth; daemons is the peer's own count. It
// returns the rate that the peer may use until loanTTL after it sent the request,
// in bytes per second, and this daemon's count, which is zero if the peer is not
// among its peers.
func (s *Share) Lend(session string, daemons int, requested int64, now time.Time) (rate int64, counted int) {
	p := s.peers[session]
	if p == nil {
		return 0, 0
	}
	p.daemons = daemons
	spare := s.ownRate(now) + p.lentRate(now) - s.reserve(now)
	rate = max(0, min(requested, spare))
	p.lent = append(p.lent, loan{rate: rate, expires: now.Add(loanTTL)})
	return rate, s.Daemons()
}

// RecordLoan records a peer's reply to the request that was sent at requestedAt:
// its count of daemons, which is zero if this one is not among them, and the rate
// of the loan. A reply to a request before the last one recorded is ignored.
func (s *Share) RecordLoan(session string, daemons int, rate int64, requestedAt time.Time) {
	p := s.peers[session]
	if p == nil || !requestedAt.After(p.requestedAt) {
		return
	}
	p.requestedAt = requestedAt
	p.daemons = daemons
	p.borrowed = loan{rate: rate, expires: requestedAt.Add(loanTTL)}
}

// Rate returns the bytes per second that this daemon may use now.
func (s *Share) Rate(now time.Time) int64 {
	rate := s.ownRate(now)
	for _, p := range s.peers {
		if now.Before(p.borrowed.expires) {
			rate += p.borrowed.rate
		}
	}
	return max(0, rate)
}

// Guaranteed returns the part of Rate that is not borrowed, in bytes per second,
// and when the first of the borrowed loans expires.
func (s *Share) Guaranteed(now time.Time) (rate int64, until time.Time) {
	until = now.Add(loanTTL)
	for _, p := range s.peers {
		if expires := p.borrowed.expires; now.Before(expires) && expires.Before(until) {
			until = expires
		}
	}
	return max(0, s.ownRate(now)), until
}

// reserve returns the rate that this daemon does not lend.
func (s *Share) reserve(now time.Time) int64 {
	return max(s.baseRate(now)*minReservePercent/100, s.demand*reservePercent/100)
}

// ownRate returns the base rate less the loans to peers.
func (s *Share) ownRate(now time.Time) int64 {
	rate := s.baseRate(now)
	for _, p := range s.peers {
		rate -= p.lentRate(now)
	}
	return rate
}

// baseRate returns the link's usable capacity divided by the largest count of
// daemons, its own or one that a peer has reported. It is zero for a new daemon
// until it is admitted.
func (s *Share) baseRate(now time.Time) int64 {
	count := s.Daemons()
	countedByAll := true
	for _, p := range s.peers {
		count = max(count, p.daemons)
		countedByAll = countedByAll && p.daemons > 0
	}
	s.updateAdmission(countedByAll, now)
	if !s.admitted {
		return 0
	}
	return s.capacity * usablePercent / 100 / int64(count)
}

// updateAdmission sets admitted when all peers have counted this daemon for loanTTL.
func (s *Share) updateAdmission(countedByAll bool, now time.Time) {
	switch {
	case s.admitted:
	case !countedByAll:
		s.countedSince = time.Time{}
	case s.countedSince.IsZero():
		s.countedSince = now
	default:
		s.admitted = now.Sub(s.countedSince) > loanTTL
	}
}

// lentRate returns the largest rate of the loans to the peer that have not expired,
// and drops the expired ones.
func (p *peer) lentRate(now time.Time) int64 {
	active := p.lent[:0]
	rate := int64(0)
	for _, l := range p.lent {
		if now.Before(l.expires) {
			active = append(active, l)
			rate = max(rate, l.rate)
		}
	}
	p.lent = active
	return rate
}
