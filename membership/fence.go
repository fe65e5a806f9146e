package membership

import (
	"math"
	"time"
)

// Fenceable returns the sessions that may be fenced at now, because their daemons
// cannot be serving. Fencing a row makes a late renewal of it fail.
//
// A daemon past its expiry serves only while a majority of its roster has
// abandoned its sessions, and never again after a moment without such a
// majority. So it is enough that there was one moment past the expiry at which
// too few sessions can have been abandoned.
func Fenceable(sessions []Session, now time.Time) []Session {
	replaced := replacements(sessions)
	var out []Session
	for i, s := range sessions {
		if s.FencedUnixMS != 0 {
			continue
		}
		if at := replaced[i]; at != 0 && now.UnixMilli() > at+settleMS {
			out = append(out, s)
			continue
		}
		if stopped(s, sessions, replaced, now) {
			out = append(out, s)
		}
	}
	return out
}

const (
	skewMS = int64(MaxClockSkew / time.Millisecond)
	// settleMS is how long after its last word a peer's evidence can be in use.
	settleMS = int64((EvidenceTTL + MaxClockSkew) / time.Millisecond)
)

// replacements returns for each session when the next session at the same peer
// address was established, or zero. Only one process can hold an address.
func replacements(sessions []Session) []int64 {
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

// stopped reports whether the daemon of an expired session has lacked a
// majority at some moment since.
func stopped(s Session, sessions []Session, replaced []int64, now time.Time) bool {
	if now.UnixMilli() <= s.ExpiresUnixMS+skewMS {
		return false
	}
	moment := s.ExpiresUnixMS
	lifetime := s.ExpiresUnixMS - s.RenewedUnixMS
	if recent := now.UnixMilli() - lifetime/2; recent > moment+skewMS {
		moment = recent
	}
	abandoned := 0
	for i, other := range sessions {
		if mayBeAbandoned(other, replaced[i], s, moment) {
			abandoned++
		}
	}
	return abandoned < majority(s.LiveSessions)
}

// mayBeAbandoned reports whether the daemon of s may have counted other among
// the abandoned sessions at a moment. The moment is by a clock that may differ
// from the other daemon's by the skew.
func mayBeAbandoned(other Session, replacedAt int64, s Session, moment int64) bool {
	switch {
	case other.ID == s.ID:
		return true
	case replacedAt != 0:
		return replacedAt+settleMS >= moment
	case other.FencedUnixMS != 0:
		return other.Version > s.ViewedVersion
	default:
		return other.RenewedUnixMS <= moment+skewMS
	}
}

// Deletable returns the fenced sessions that no daemon counts any more, since
// all others have read the sessions after the fence; their rows may be deleted.
func Deletable(sessions []Session) []Session {
	oldest := int64(math.MaxInt64)
	for _, s := range sessions {
		if s.FencedUnixMS == 0 {
			oldest = min(oldest, s.ViewedVersion)
		}
	}
	var out []Session
	for _, s := range sessions {
		if s.FencedUnixMS != 0 && s.Version <= oldest {
			out = append(out, s)
		}
	}
	return out
}
