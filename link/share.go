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
	peers  map[string]*peer
	// admitted is set once every other daemon has counted this one for the
	// life of a loan, so that no loan is left from before.
	admitted bool
	// countedAt is since when every other daemon counts this one.
	countedAt time.Time
}

// peer is what this daemon knows of another one.
type peer struct {
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
	return &Share{total: rate, peers: map[string]*peer{}}
}

// SetCapacity changes what the link carries.
func (s *Share) SetCapacity(rate int64) { s.total = rate }

// SetDemand records what this daemon wants, in bytes per second.
func (s *Share) SetDemand(rate int64) { s.demand = rate }

// SetPeers records the sessions of the other live daemons. What was borrowed
// from a daemon that has gone ends at once.
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

// Daemons returns how many daemons this daemon counts, itself included.
func (s *Share) Daemons() int { return len(s.peers) + 1 }

// Shortfall returns the bytes per second that this daemon asks others for.
func (s *Share) Shortfall(now time.Time) int64 { return max(0, s.demand-s.own(now)) }

// Lend answers a peer that counts this daemon among the given number and wants
// more. It returns the rate that the peer may use until loanTTL after it
// asked, and how many daemons this one counts, or zero if the peer is not
// among them.
func (s *Share) Lend(session string, daemons int, wanted int64, now time.Time) (rate int64, counted int) {
	p := s.peers[session]
	if p == nil {
		return 0, 0
	}
	p.daemons = daemons
	spare := s.own(now) + p.lentRate(now) - s.kept(now)
	rate = max(0, min(wanted, spare))
	p.lent = append(p.lent, loan{rate: rate, ends: now.Add(loanTTL)})
	return rate, s.Daemons()
}

// RecordLoan records a peer's answer to a request that was sent at askedAt: its
// count of daemons, zero if this one is not among them, and the loan. An answer to an earlier request than the last one known is ignored.
func (s *Share) RecordLoan(session string, daemons int, rate int64, askedAt time.Time) {
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

// Guaranteed returns the part of the rate that does not end with a loan, and when
// the first of the loans in the rate ends.
func (s *Share) Guaranteed(now time.Time) (rate int64, until time.Time) {
	until = now.Add(loanTTL)
	for _, p := range s.peers {
		if ends := p.borrowed.ends; now.Before(ends) && ends.Before(until) {
			until = ends
		}
	}
	return max(0, s.own(now)), until
}

// kept is what this daemon does not lend.
func (s *Share) kept(now time.Time) int64 {
	return max(s.base(now)*smallestKeptPercent/100, s.demand*keptPercent/100)
}

// own is the base without what is lent.
func (s *Share) own(now time.Time) int64 {
	rate := s.base(now)
	for _, p := range s.peers {
		rate -= p.lentRate(now)
	}
	return rate
}

// base is an equal part of the link, by the largest count of daemons that is
// known. A new daemon has none until it is admitted.
func (s *Share) base(now time.Time) int64 {
	count := s.Daemons()
	counted := true
	for _, p := range s.peers {
		count = max(count, p.daemons)
		counted = counted && p.daemons > 0
	}
	s.admit(counted, now)
	if !s.admitted {
		return 0
	}
	return s.total * usablePercent / 100 / int64(count)
}

func (s *Share) admit(counted bool, now time.Time) {
	switch {
	case s.admitted:
	case !counted:
		s.countedAt = time.Time{}
	case s.countedAt.IsZero():
		s.countedAt = now
	default:
		s.admitted = now.Sub(s.countedAt) > loanTTL
	}
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
