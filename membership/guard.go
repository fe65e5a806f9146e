package membership

import (
	"sort"
	"time"

	"github.com/bambooyard/bambooyard/document"
)

// State says whether a daemon holds a session and may serve.
type State string

// States of a Guard.
const (
	// Attached is the state of a daemon that renews its session.
	Attached State = "attached"
	// Detached is the state of a daemon that has abandoned its session. It may serve
	// until the session expires, and longer while a majority has abandoned theirs.
	Detached State = "detached"
	// Isolated is the state of a daemon that must not serve.
	Isolated State = "isolated"
)

// Evidence is a peer's reply about its own session.
type Evidence struct {
	// Session is the ID of the peer's session.
	Session string
	// Abandoned is set when the peer has abandoned that session.
	Abandoned bool
	// Revision is the revision that the peer has adopted.
	Revision document.Revision
	// RequestedAt is when the request to the peer was sent.
	RequestedAt time.Time
}

// Decision says whether a daemon may serve, and until when that is valid without
// another decision.
type Decision struct {
	State      State
	ValidUntil time.Time
}

// Guard decides whether one daemon may serve. It is not safe for concurrent use.
//
// An abandoned session is never renewed, and an isolated daemon needs a new one.
// Fenceable relies on both.
type Guard struct {
	ttl         time.Duration
	state       State
	session     string    // ID
	lastContact time.Time // when the last confirmed request was sent
	expiry      time.Time
	validUntil  time.Time
	// quorum is how many abandoned sessions, its own included, allow the daemon to
	// serve after the expiry.
	quorum int
	// view holds the IDs of the live sessions that were last read.
	view map[string]bool
	// abandoned holds, by ID of an abandoned peer session, when the evidence for it
	// was requested.
	abandoned map[string]time.Time
	// outdated is set when a peer reports a later revision to a detached daemon.
	outdated bool
}

// NewGuard returns the guard of a daemon without a session. Sessions expire ttl
// after the last renewal was sent.
func NewGuard(ttl time.Duration) *Guard {
	return &Guard{ttl: ttl, state: Isolated, abandoned: map[string]time.Time{}}
}

// SetView records the live sessions that were read. It must be called before the
// session row with their number is written.
func (g *Guard) SetView(live []Session) {
	g.view = make(map[string]bool, len(live))
	for _, s := range live {
		g.view[s.ID] = true
	}
	g.quorum = max(g.quorum, majority(len(live)))
}

// Establish records that a new session was written by a request sent at sentAt.
func (g *Guard) Establish(s Session, sentAt time.Time) {
	g.session, g.state, g.outdated = s.ID, Attached, false
	clear(g.abandoned)
	g.confirm(s, sentAt)
}

// Renew records that the session was renewed by a request sent at sentAt. It
// changes nothing and reports false if the session was abandoned in the meantime.
func (g *Guard) Renew(s Session, sentAt time.Time) bool {
	if g.state != Attached || s.ID != g.session {
		return false
	}
	g.confirm(s, sentAt)
	return true
}

func (g *Guard) confirm(s Session, sentAt time.Time) {
	g.lastContact = sentAt
	g.expiry = sentAt.Add(g.ttl)
	g.validUntil = g.expiry
	g.quorum = majority(s.LiveSessions)
}

// Abandon isolates the daemon at once, because the row of its session is deleted or
// fenced.
func (g *Guard) Abandon() { g.state, g.validUntil = Isolated, time.Time{} }

// AddEvidence records a peer's reply. The daemon itself has adopted revision own.
func (g *Guard) AddEvidence(e Evidence, own document.Revision) {
	if e.Revision > own && g.state == Detached {
		g.outdated = true
	}
	if !e.Abandoned || !g.view[e.Session] || e.Session == g.session {
		delete(g.abandoned, e.Session)
		return
	}
	if e.RequestedAt.After(g.abandoned[e.Session]) {
		g.abandoned[e.Session] = e.RequestedAt
	}
}

// Decide decides whether the daemon may serve at now.
func (g *Guard) Decide(now time.Time) Decision {
	if g.state == Attached && now.Sub(g.lastContact) > g.ttl/2 {
		g.state = Detached
	}
	if g.state != Isolated && !now.Before(g.validUntil) {
		g.state = Isolated
	}
	if g.state == Isolated {
		return Decision{State: Isolated}
	}
	g.validUntil = g.expiry
	if until := g.quorumUntil(now); until.After(g.validUntil) {
		g.validUntil = until
	}
	if !now.Before(g.validUntil) {
		g.state, g.validUntil = Isolated, time.Time{}
	}
	return Decision{State: g.state, ValidUntil: g.validUntil}
}

// quorumUntil returns until when there is evidence that a quorum of sessions is
// abandoned, or the zero time.
func (g *Guard) quorumUntil(now time.Time) time.Time {
	if g.state != Detached || g.outdated {
		return time.Time{}
	}
	if g.quorum <= 1 {
		return now.Add(EvidenceTTL)
	}
	times := make([]time.Time, 0, len(g.abandoned))
	for _, at := range g.abandoned {
		times = append(times, at)
	}
	others := g.quorum - 1
	if len(times) < others {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[others-1].Add(EvidenceTTL)
}
