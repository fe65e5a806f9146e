package membership

import (
	"sort"
	"time"

	"github.com/bambooyard/bambooyard/document"
)

// State is a daemon's relation to the store.
type State string

// Standings.
const (
	// Attached is the standing of a daemon that renews its session.
	Attached State = "attached"
	// Detached is the standing of a daemon that has abandoned its session and
	// may serve until the session expires, or longer with enough peers.
	Detached State = "detached"
	// Isolated is the standing of a daemon that must not serve.
	Isolated State = "isolated"
)

// Evidence is a peer's answer about its own session.
type Evidence struct {
	// Session is the peer's session.
	Session string
	// Abandoned is set when the peer has abandoned that session.
	Abandoned bool
	// Revision is the revision that the peer has adopted.
	Revision document.Revision
	// RequestedAt is when the peer was asked.
	RequestedAt time.Time
}

// Decision says whether a daemon may serve, and until when without another
// decision.
type Decision struct {
	State      State
	ValidUntil time.Time
}

// Guard decides whether one daemon may serve. It is not safe for concurrent use.
//
// An abandoned session is never taken up again, and an isolated daemon needs a
// new one. Both are what Fences relies on.
type Guard struct {
	ttl        time.Duration
	standing   State
	session    string
	contact    time.Time // when the last confirmed renewal was sent
	expiry     time.Time
	validUntil time.Time
	need       int // how many abandoned sessions, its own included, allow to serve
	view       map[string]bool
	heard      map[string]time.Time // by peer session, when it was asked
	behind     bool
}

// NewGuard returns the guard of a daemon without a session. Sessions live for ttl.
func NewGuard(ttl time.Duration) *Guard {
	return &Guard{ttl: ttl, standing: Isolated, heard: map[string]time.Time{}}
}

// SetView records the live sessions that were read, before a session row that
// says how many they were is written.
func (g *Guard) SetView(live []Session) {
	g.view = make(map[string]bool, len(live))
	for _, s := range live {
		g.view[s.ID] = true
	}
	g.need = max(g.need, majority(len(live)))
}

// Establish records that a new session was written by a request sent at sentAt.
func (g *Guard) Establish(s Session, sentAt time.Time) {
	g.session, g.standing, g.behind = s.ID, Attached, false
	clear(g.heard)
	g.confirm(s, sentAt)
}

// Renew records that the session was renewed by a request sent at sentAt. It
// reports false, and changes nothing, when the session was abandoned since.
func (g *Guard) Renew(s Session, sentAt time.Time) bool {
	if g.standing != Attached || s.ID != g.session {
		return false
	}
	g.confirm(s, sentAt)
	return true
}

func (g *Guard) confirm(s Session, sentAt time.Time) {
	g.contact = sentAt
	g.expiry = sentAt.Add(g.ttl)
	g.validUntil = g.expiry
	g.need = majority(s.LiveSessions)
}

// Abandon gives the session up at once, because its row is gone or fenced.
func (g *Guard) Abandon() { g.standing, g.validUntil = Isolated, time.Time{} }

// AddEvidence records a peer's answer.
func (g *Guard) AddEvidence(e Evidence, own document.Revision) {
	if e.Revision > own && g.standing == Detached {
		g.behind = true
	}
	if !e.Abandoned || !g.view[e.Session] || e.Session == g.session {
		delete(g.heard, e.Session)
		return
	}
	if e.RequestedAt.After(g.heard[e.Session]) {
		g.heard[e.Session] = e.RequestedAt
	}
}

// Decide says whether the daemon may serve at now.
func (g *Guard) Decide(now time.Time) Decision {
	if g.standing == Attached && now.Sub(g.contact) > g.ttl/2 {
		g.standing = Detached
	}
	if g.standing != Isolated && !now.Before(g.validUntil) {
		g.standing = Isolated
	}
	if g.standing == Isolated {
		return Decision{State: Isolated}
	}
	g.validUntil = g.expiry
	if group := g.groupUntil(now); group.After(g.validUntil) {
		g.validUntil = group
	}
	if !now.Before(g.validUntil) {
		g.standing, g.validUntil = Isolated, time.Time{}
	}
	return Decision{State: g.standing, ValidUntil: g.validUntil}
}

// groupUntil returns until when enough sessions are known to be abandoned.
func (g *Guard) groupUntil(now time.Time) time.Time {
	if g.standing != Detached || g.behind {
		return time.Time{}
	}
	if g.need <= 1 {
		return now.Add(EvidenceTTL)
	}
	asked := make([]time.Time, 0, len(g.heard))
	for _, at := range g.heard {
		asked = append(asked, at)
	}
	others := g.need - 1
	if len(asked) < others {
		return time.Time{}
	}
	sort.Slice(asked, func(i, j int) bool { return asked[i].After(asked[j]) })
	return asked[others-1].Add(EvidenceTTL)
}
