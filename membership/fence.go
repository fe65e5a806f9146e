package membership

import (
	"math"
	"time"
)

// Fenceable returns the sessions that may be fenced at now, because their daemons
// cannot be serving. A renewal of a fenced row fails.
//
// A daemon whose session has expired serves only while a majority of the live
// sessions that it last read is abandoned, and never again under that session after
// a moment without such a majority. So one moment after the expiry at which too few
// sessions can have been abandoned is sufficient.
func Fenceable(sessions []Session, now time.Time) []Session {
	replacedAt := replacementTimes(sessions)
	var out []Session
	for i, s := range sessions {
		if s.FencedUnixMS != 0 {
			continue
		}
		if at := replacedAt[i]; at != 0 && now.UnixMilli() > at+evidenceLifetimeMS {
			out = append(out, s)
			continue
		}
		if lackedMajority(s, sessions, replacedAt, now) {
			out = append(out, s)
		}
	}
	return out
}

const (
	skewMS = int64(MaxClockSkew / time.Millisecond)
	// evidenceLifetimeMS is how long after a peer's last report, by any daemon's
	// clock, the evidence can be in use.
	evidenceLifetimeMS = int64((EvidenceTTL + MaxClockSkew) / time.Millisecond)
)

// replacementTimes returns, for each session, when the next session at the same
// peer address was established, or zero. The later session implies that the earlier
// one's process has ended, since only one process can listen on an address.
func replacementTimes(sessions []Session) []int64 {
	out := make([]int64, len(sessions))
	for i, s := range sessions {
		for _, next := range sessions {
			if next.PeerAddress != s.PeerAddress || next.EstablishedUnixMS <= s.EstablishedUnixMS {
				continue
			}
			if out[i] == 0 || next.EstablishedUnixMS < out[i] {
				out[i] = next.EstablishedUnixMS
			}
		}
	}
	return out
}

// lackedMajority reports whether the daemon of an expired session has lacked a
// majority of abandoned sessions at some moment since the expiry.
func lackedMajority(s Session, sessions []Session, replacedAt []int64, now time.Time) bool {
	if now.UnixMilli() <= s.ExpiresUnixMS+skewMS {
		return false
	}
	at := s.ExpiresUnixMS
	lifetime := s.ExpiresUnixMS - s.RenewedUnixMS
	if recent := now.UnixMilli() - lifetime/2; recent > at+skewMS {
		at = recent
	}
	abandoned := 0
	for i, other := range sessions {
		if mayBeAbandoned(other, replacedAt[i], s, at) {
			abandoned++
		}
	}
	return abandoned < majority(s.LiveSessions)
}

// mayBeAbandoned reports whether the daemon of s may have counted other among the
// abandoned sessions at a time in milliseconds since 1970 UTC. The clock of that
// time may differ from the clock of other's daemon by MaxClockSkew.
func mayBeAbandoned(other Session, replacedAt int64, s Session, at int64) bool {
	switch {
	case other.ID == s.ID:
		return true
	case replacedAt != 0:
		return replacedAt+evidenceLifetimeMS >= at
	case other.FencedUnixMS != 0:
		return other.Version > s.ViewedVersion
	default:
		return other.RenewedUnixMS <= at+skewMS
	}
}

// Deletable returns the fenced sessions whose rows may be deleted: no daemon counts
// them any more, since all daemons that may serve have read the rows since the
// fence.
func Deletable(sessions []Session) []Session {
	oldestView := int64(math.MaxInt64)
	for _, s := range sessions {
		if s.FencedUnixMS == 0 {
			oldestView = min(oldestView, s.ViewedVersion)
		}
	}
	var out []Session
	for _, s := range sessions {
		if s.FencedUnixMS != 0 && s.Version <= oldestView {
			out = append(out, s)
		}
	}
	return out
}
