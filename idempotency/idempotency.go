// Package idempotency decides what to do with a request that must run at most
// once, from the claim that the table service holds for its key.
//
// A key is claimed before the first byte goes to a target. The outcome is
// written after the answer. A claim without outcome is never run again, unless
// its own claimer has deleted it because no byte was sent.
package idempotency

import "time"

// Retention is how long claims and kept answers last. A try that comes later
// may run again.
const Retention = 72 * time.Hour

// Key identifies a request that must run at most once.
type Key struct {
	Member  string
	Service string
	// Value is the caller's idempotency key.
	Value string
}

// MaxKeyBytes bounds a caller's idempotency key.
const MaxKeyBytes = 255

// KeyError reports an idempotency key that cannot be used.
type KeyError struct{ Reason string }

// Error implements error.
func (e *KeyError) Error() string { return "the idempotency key " + e.Reason }

// CheckKey returns a *KeyError unless the key is of visible ASCII characters
// and of a bounded length.
func CheckKey(value string) error {
	if len(value) > MaxKeyBytes {
		return &KeyError{"is longer than 255 bytes"}
	}
	for _, b := range []byte(value) {
		if b <= ' ' || b > '~' {
			return &KeyError{"holds a byte that is not a visible ASCII character"}
		}
	}
	return nil
}

// Claim is the record of one key.
type Claim struct {
	// Session is the session of the daemon that claimed the key.
	Session string `json:"session"`
	// RequestDigest is the digest of the request's method, path and body.
	RequestDigest string `json:"request_digest"`
	// AttemptID is unique for every try of a request.
	AttemptID string `json:"try"`
	// ClaimedUnixMS is the time of the claim in milliseconds since 1970 UTC.
	ClaimedUnixMS int64 `json:"claimed_unix_ms"`
	// Outcome is the kept answer, or nil while the request may be in flight.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// HeaderField is one line of an answer's header.
type HeaderField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Outcome is what is kept of the answer.
type Outcome struct {
	Status int           `json:"status"`
	Header []HeaderField `json:"header,omitempty"`
	Body   []byte        `json:"body,omitempty"`
	// BodyObject is the object that holds a body too large for the table, or empty.
	BodyObject string `json:"body_object,omitempty"`
	// BodyOmitted is set when the body was too large to keep or could not be kept.
	BodyOmitted bool `json:"body_omitted,omitempty"`
	// EndedUnixMS is the time of the answer in milliseconds since 1970 UTC.
	EndedUnixMS int64 `json:"ended_unix_ms"`
}

// Action is what to do with a try, given the claim of its key.
type Action uint8

const (
	// ActionRun is to run the request under the claim that this very try has written.
	ActionRun Action = iota + 1
	// ActionReplay is to give the kept answer again.
	ActionReplay
	// ActionRefuseUnknown is to refuse with the verdict may-have-run.
	ActionRefuseUnknown
	// ActionRefuseReused is to refuse since the key belongs to another request.
	ActionRefuseReused
)

// Decide returns the action for a try whose key is taken by the stored claim.
func Decide(stored, own Claim) Action {
	switch {
	case stored.RequestDigest != own.RequestDigest:
		return ActionRefuseReused
	case stored.Outcome != nil:
		return ActionReplay
	default:
		return ActionRefuseUnknown
	}
}

// Change is a change to the row of a key.
type Change uint8

const (
	// ChangeClaim inserts the claim.
	ChangeClaim Change = iota + 1
	// ChangeComplete adds the outcome to the claim.
	ChangeComplete
	// ChangeRelease deletes the claim of a try that was never sent.
	ChangeRelease
)

// Resolution is how a change goes on after its row was read.
type Resolution uint8

const (
	// ResolutionWrite is to write the change, on condition that the row has not changed since.
	ResolutionWrite Resolution = iota + 1
	// ResolutionDone is to report that the table holds the change.
	ResolutionDone
	// ResolutionNotOwner is to report that the row belongs to another try.
	ResolutionNotOwner
)

// Resolve decides how a change goes on whose transaction conflicted or got no
// reply. The stored claim is nil if the key has no row; own is the claim of
// the try that makes the change.
func Resolve(change Change, stored *Claim, own Claim) Resolution {
	mine := stored != nil && stored.Session == own.Session && stored.AttemptID == own.AttemptID
	switch change {
	case ChangeClaim:
		return resolveClaim(stored, mine)
	case ChangeComplete:
		return resolveComplete(stored, mine)
	default:
		if mine && stored.Outcome == nil {
			return ResolutionWrite
		}
		return ResolutionDone
	}
}

func resolveClaim(stored *Claim, mine bool) Resolution {
	switch {
	case stored == nil:
		return ResolutionWrite
	case mine && stored.Outcome == nil:
		return ResolutionDone
	default:
		return ResolutionNotOwner
	}
}

func resolveComplete(stored *Claim, mine bool) Resolution {
	switch {
	case !mine:
		return ResolutionNotOwner
	case stored.Outcome != nil:
		return ResolutionDone
	default:
		return ResolutionWrite
	}
}

// Expired reports whether a claim may be deleted at now.
func Expired(c Claim, now time.Time) bool {
	return now.Sub(time.UnixMilli(c.ClaimedUnixMS)) > Retention
}
