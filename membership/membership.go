// Package membership decides which daemons are live, which configuration
// revision is in force, and whether a daemon may serve.
//
// A daemon serves under its session. A daemon that loses contact with the store
// abandons its session, and continues to serve only while more than half of the
// daemons that it last knew report that they have abandoned theirs too; see Guard.
// A lost session is fenced once its daemon cannot be serving any more; see
// Fenceable. A revision is in force when every session that is not fenced has
// adopted it; see AdoptionOf.
package membership

import (
	"sort"
	"time"

	"github.com/bambooyard/bambooyard/document"
)

// Time bounds that all daemons rely on.
const (
	// MaxClockSkew bounds the difference between the clocks of two daemons.
	MaxClockSkew = 500 * time.Millisecond
	// EvidenceTTL is how long a peer's report that it has abandoned its session is
	// valid.
	EvidenceTTL = 1500 * time.Millisecond
)

// Session is the row in the store by which other daemons know a daemon.
type Session struct {
	// ID is unique for every start of a daemon.
	ID string `json:"id"`
	// Daemon is the daemon's name from its settings.
	Daemon     string `json:"daemon"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// PeerAddress is the IP address and port for other daemons.
	PeerAddress string `json:"peer_address"`
	// Revision is the configuration revision that the daemon has adopted.
	Revision document.Revision `json:"revision"`
	// EstablishedUnixMS is when the session was first written. Like the times below,
	// it is in milliseconds since 1970 UTC.
	EstablishedUnixMS int64 `json:"established_unix_ms,omitempty"`
	// RenewedUnixMS is when the last renewal was sent.
	RenewedUnixMS int64 `json:"renewed_unix_ms,omitempty"`
	// ExpiresUnixMS is when the session expires unless it is renewed.
	ExpiresUnixMS int64 `json:"expires_unix_ms"`
	// ViewedVersion is the highest version among the session rows that the
	// daemon last read.
	ViewedVersion int64 `json:"viewed_version,omitempty"`
	// LiveSessions is how many live sessions, its own included, it read then.
	LiveSessions int `json:"roster,omitempty"`
	// FencedUnixMS is when another daemon fenced the session, or zero.
	FencedUnixMS int64 `json:"fenced_unix_ms,omitempty"`
	// Leaving is set by a daemon that is draining.
	Leaving bool `json:"leaving,omitempty"`
	// Version is the version of the row. The reader of the row sets it.
	Version int64 `json:"-"`
}

// Live reports whether the session has neither expired at now nor been fenced.
func (s Session) Live(now time.Time) bool {
	return s.FencedUnixMS == 0 && now.UnixMilli() < s.ExpiresUnixMS
}

// Live returns the live sessions, sorted by ID.
func Live(sessions []Session, now time.Time) []Session {
	var live []Session
	for _, s := range sessions {
		if s.Live(now) {
			live = append(live, s)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// Adoption is the progress of the adoption of a revision. Its lists are sorted by
// session ID.
type Adoption struct {
	// Adopted are the live sessions that have adopted the revision.
	Adopted []Session
	// Pending are the live sessions that have not.
	Pending []Session
	// Lost are the expired sessions that have not, but whose daemons may still serve
	// because a majority of daemons lost contact with the store.
	Lost []Session
}

// InForce reports whether no daemon can serve under an older revision.
func (a Adoption) InForce() bool { return len(a.Pending) == 0 && len(a.Lost) == 0 }

// AdoptionOf classifies the sessions that are not fenced by whether they have
// adopted the revision.
func AdoptionOf(revision document.Revision, sessions []Session, now time.Time) Adoption {
	var a Adoption
	for _, s := range sessions {
		switch {
		case s.FencedUnixMS != 0:
		case s.Live(now) && s.Revision >= revision:
			a.Adopted = append(a.Adopted, s)
		case s.Live(now):
			a.Pending = append(a.Pending, s)
		case s.Revision < revision:
			a.Lost = append(a.Lost, s)
		}
	}
	for _, list := range [][]Session{a.Adopted, a.Pending, a.Lost} {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return a
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }
