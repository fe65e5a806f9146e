// Package membership decides which daemons are live, which configuration
// revision is in force, and whether a daemon may serve.
//
// A daemon serves under its session. A daemon that loses the store abandons
// its session and serves on only while more than half of the daemons that it
// knew say that they have abandoned theirs too; see Guard. A lost session is
// fenced once its daemon cannot be serving any more; see Fences. A revision is
// in force when no session that is not fenced is behind it; see AdoptionOf.
package membership

import (
	"sort"
	"time"

	"github.com/bambooyard/bambooyard/document"
)

// Bounds that all daemons share.
const (
	// MaxClockSkew bounds the difference between the clocks of two daemons.
	MaxClockSkew = 500 * time.Millisecond
	// EvidenceTTL is how long a peer's word that it has lost the store counts.
	EvidenceTTL = 1500 * time.Millisecond
)

// Session is the row by which a daemon is known to the others.
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
	// EstablishedUnixMS is when the session was first written, in milliseconds
	// since 1970 UTC, like the times below.
	EstablishedUnixMS int64 `json:"established_unix_ms,omitempty"`
	// RenewedUnixMS is when the last renewal was sent.
	RenewedUnixMS int64 `json:"renewed_unix_ms,omitempty"`
	// ExpiresUnixMS is when the session ends unless renewed.
	ExpiresUnixMS int64 `json:"expires_unix_ms"`
	// ViewedVersion is the highest version among the session rows that the
	// daemon last read.
	ViewedVersion int64 `json:"viewed_version,omitempty"`
	// LiveSessions is how many live sessions, its own included, it read then.
	LiveSessions int `json:"roster,omitempty"`
	// FencedUnixMS is when another daemon ended the session; zero if none did.
	FencedUnixMS int64 `json:"fenced_unix_ms,omitempty"`
	// Leaving is set by a daemon that is draining.
	Leaving bool `json:"leaving,omitempty"`
	// Version is the version of the row, which its reader fills in.
	Version int64 `json:"-"`
}

// Live reports whether the session has neither expired at now nor been fenced.
func (s Session) Live(now time.Time) bool {
	return s.FencedUnixMS == 0 && now.UnixMilli() < s.ExpiresUnixMS
}

// Live returns the live sessions, by ID.
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

// Adoption says how far a revision has been adopted.
type Adoption struct {
	// Adopted are the live sessions that have adopted the revision.
	Adopted []Session
	// Pending are the live sessions that have not.
	Pending []Session
	// Lost are the expired sessions that have not, but whose daemons may still
	// serve because they are cut off from the store together.
	Lost []Session
}

// InForce reports whether no daemon can serve under an older revision.
func (a Adoption) InForce() bool { return len(a.Pending) == 0 && len(a.Lost) == 0 }

// AdoptionOf splits the sessions that are not fenced by whether they have
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

// majority is the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }
