// Package membership decides which daemons are live, which configuration
// revision is in force, and whether a daemon may serve.
package membership

import (
	"sort"
	"time"

	"github.com/bambooyard/bambooyard/document"
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
	// ExpiresUnixMS is when the session ends unless renewed, in milliseconds since 1970 UTC.
	ExpiresUnixMS int64 `json:"expires_unix_ms"`
	// Leaving is set by a daemon that is draining.
	Leaving bool `json:"leaving,omitempty"`
}

// Live reports whether the session has not expired at now.
func (s Session) Live(now time.Time) bool { return now.UnixMilli() < s.ExpiresUnixMS }

// Live returns the sessions that have not expired at now, by ID.
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
	Adopted []Session
	Pending []Session
}

// InForce reports whether no live session is behind the revision.
func (a Adoption) InForce() bool { return len(a.Pending) == 0 }

// AdoptionOf splits the live sessions by whether they have adopted the revision.
func AdoptionOf(revision document.Revision, sessions []Session, now time.Time) Adoption {
	var a Adoption
	for _, s := range Live(sessions, now) {
		if s.Revision >= revision {
			a.Adopted = append(a.Adopted, s)
		} else {
			a.Pending = append(a.Pending, s)
		}
	}
	return a
}
