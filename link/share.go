package link

import "time"

const (
	// usablePercent of the link's rate is divided; the rest covers the pieces
	// that buckets may run ahead by.
	usablePercent = 90
	// loanTTL is how long a loan lasts unless renewed.
	loanTTL = time.Second
	// keptPercent of its present demand is what a lender keeps for itself.
	keptPercent = 125
	// smallestKeptPercent of its base is kept even by an idle lender, so that
	// its first bytes need not wait for a loan to end.
	smallestKeptPercent = 20
)

// Share is one daemon's part of one direction of a link. Every daemon has an
// equal base; one that needs less lends the rest to others for a short time.
// A loan begins earlier and ends earlier for the borrower than for the lender,
// so that all shares together never exceed the link, however late or lost
// messages are. Share is not safe for concurrent use.
type Share struct {
	total  int64 // bytes per second that the link carries
	demand int64 // bytes per second that this daemon wants
	self   int   // live daemons by this daemon's own view, itself included
	// admitted is set once every other daemon has counted this one.
	admitted bool
	peers    map[string]*peer
}

// peer is what this daemon knows of another one.
type peer struct {
	live bool
	// daemons is how many live daemons the peer has said it counts.
	daemons int
	// lent holds the loans to the peer that may not have ended.
	lent []loan
	// borrowed is the loan from the peer.
	borrowed loan
	askedAt  time.Time
}

type loan struct {
	rate int64 // bytes per second
	ends time.Time
}

// NewShare returns the share of a daemon that knows no other. The rate is what
// the link carries, in bytes per second.
func NewShare(rate int64) *Share {
	return &Share{total: rate, self: 1, peers: map[string]*peer{}}
}

// SetTotal changes what the link carries.
func (s *Share) SetTotal(rate int64) { s.total = rate }

// SetDemand records what this daemon wants, in bytes per second.
func (s *Share) SetDemand(rate int64) { s.demand = rate }

// SetPeers records the sessions of the other live daemons. Loans to a daemon
// that has gone still count until they end.
func (s *Share) SetPeers(sessions []string, now time.Time) {
	s.self = len(sessions) + 1
	live := make(map[string]bool, len(sessions))
	for _, id := range sessions {
		live[id] = true
		if s.peers[id] == nil {
			s.peers[id] = &peer{}
		}
	}
	for id, p := range s.peers {
		p.live = live[id]
		if p.live {
			continue
		}
		p.daemons = 0
		p.borrowed = loan{}
		if p.lentRate(now) == 0 {
			delete(s.peers, id)
		}
	}
}

// Daemons returns how many live daemons this daemon counts.
func (s *Share) Daemons() int { return s.self }

// Wanted returns the bytes per second that this daemon asks others for.
func (s *Share) Wanted(now time.Time) int64 { return max(0, s.demand-s.own(now)) }

// Lend answers a peer that wants more, and returns the rate that it may use
// until loanTTL after it asked.
func (s *Share) Lend(session string, daemons int, wanted int64, now time.Time) int64 {
	p := s.peers[session]
	if p == nil {
		return 0
	}
	p.daemons = daemons
	before := p.lentRate(now)
	spare := s.own(now) + before - s.kept()
	rate := max(0, min(wanted, spare))
	p.lent = append(p.lent, loan{rate: rate, ends: now.Add(loanTTL)})
	return rate
}

// Borrowed records a peer's answer to a request that was sent at askedAt. An
// answer to an earlier request than the last one known is ignored.
func (s *Share) Borrowed(session string, daemons int, rate int64, askedAt time.Time) {
	p := s.peers[session]
	if p == nil || !askedAt.After(p.askedAt) {
		return
	}
	p.askedAt = askedAt
	p.daemons = daemons
	p.borrowed = loan{rate: rate, ends: askedAt.Add(loanTTL)}
}

// Rate returns the bytes per second that this daemon may use now.
func (s *Share) Rate(now time.Time) int64 {
	rate := s.own(now)
	for _, p := range s.peers {
		if now.Before(p.borrowed.ends) {
			rate += p.borrowed.rate
		}
	}
	return max(0, rate)
}

// Assured returns the part of the rate that does not end with a loan, and when
// the first of the loans in the rate ends.
func (s *Share) Assured(now time.Time) (rate int64, until time.Time) {
	until = now.Add(loanTTL)
	for _, p := range s.peers {
		if ends := p.borrowed.ends; now.Before(ends) && ends.Before(until) {
			until = ends
		}
	}
	return max(0, s.own(now)), until
}

// kept is what this daemon does not lend.
func (s *Share) kept() int64 {
	return max(s.base()*smallestKeptPercent/100, s.demand*keptPercent/100)
}

// own is the base without what is lent.
func (s *Share) own(now time.Time) int64 {
	rate := s.base()
	for _, p := range s.peers {
		rate -= p.lentRate(now)
	}
	return rate
}

// base is an equal part of the link, by the largest count of daemons that is
// known. A new daemon has none until every other one counts it too.
func (s *Share) base() int64 {
	count := s.self
	counted := true
	for _, p := range s.peers {
		count = max(count, p.daemons)
		counted = counted && (!p.live || p.daemons >= s.self)
	}
	s.admitted = s.admitted || counted
	if !s.admitted {
		return 0
	}
	return s.total * usablePercent / 100 / int64(count)
}

// lentRate is the largest loan to the peer that has not ended.
func (p *peer) lentRate(now time.Time) int64 {
	open := p.lent[:0]
	rate := int64(0)
	for _, l := range p.lent {
		if now.Before(l.ends) {
			open = append(open, l)
			rate = max(rate, l.rate)
		}
	}
	p.lent = open
	return rate
}
