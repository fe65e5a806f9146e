// Package idempotency decides how to handle a request that must run at most once,
// based on the claim that the table service stores for its key.
//
// A key is claimed before the first byte is sent to a target. The outcome is
// written after the response. A request whose claim has no outcome is never sent
// again, unless the attempt that wrote the claim has deleted it because no byte was
// sent.
package idempotency

import "time"

// Retention is how long claims and their outcomes are stored. A later attempt may
// run the request again.
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

// KeyError reports an invalid idempotency key.
type KeyError struct{ Reason string }

// Error implements error.
func (e *KeyError) Error() string { return "the idempotency key " + e.Reason }

// CheckKey returns a *KeyError unless the key consists of visible ASCII characters
// and has at most MaxKeyBytes.
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

// Claim is the stored record of one key.
type Claim struct {
	// Session is the session ID of the daemon that claimed the key.
	Session string `json:"session"`
	// RequestDigest is the digest of the request's method, path and body.
	RequestDigest string `json:"request_digest"`
	// AttemptID is unique for every attempt at a request.
	AttemptID string `json:"try"`
	// ClaimedUnixMS is the time of the claim in milliseconds since 1970 UTC.
	ClaimedUnixMS int64 `json:"claimed_unix_ms"`
	// Outcome is the stored response, or nil while the request may be in flight.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// HeaderField is one field of a response's header.
type HeaderField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Outcome is the stored part of a response.
type Outcome struct {
	Status int           `json:"status"`
	Header []HeaderField `json:"header,omitempty"`
	Body   []byte        `json:"body,omitempty"`
	// BodyObject is the name of the object that holds a body too large for the table,
	// or empty.
	BodyObject string `json:"body_object,omitempty"`
	// BodyOmitted is set when the body was too large to store or could not be stored.
	BodyOmitted bool `json:"body_omitted,omitempty"`
	// EndedUnixMS is the time of the response in milliseconds since 1970 UTC.
	EndedUnixMS int64 `json:"ended_unix_ms"`
}

// Action is how to handle an attempt, given the claim of its key.
type Action uint8

const (
	// ActionRun means to run the request under the claim that this attempt has written.
	ActionRun Action = iota + 1
	// ActionReplay means to return the stored response.
	ActionReplay
	// ActionRefuseUnknown means to refuse with the verdict may-have-run, since another
	// attempt has no known outcome.
	ActionRefuseUnknown
	// ActionRefuseReused means to refuse since the key was used for another request.
	ActionRefuseReused
)

// Decide returns the action for an attempt whose key has the stored claim of another
// attempt.
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
	// ChangeRelease deletes the claim of an attempt that was never sent.
	ChangeRelease
)

// Resolution is how to continue a change after its row was read again.
type Resolution uint8

const (
	// ResolutionWrite means to write the change if the row has not changed since it was
	// read.
	ResolutionWrite Resolution = iota + 1
	// ResolutionDone means to report that the change is stored.
	ResolutionDone
	// ResolutionNotOwner means to report that the row belongs to another attempt.
	ResolutionNotOwner
)

// Resolve decides how to continue a change whose transaction conflicted or got no
// reply. The stored claim is nil if the key has no row; own is the claim of the
// attempt that makes the change.
func Resolve(change Change, stored *Claim, own Claim) Resolution {
	owned := stored != nil && stored.Session == own.Session && stored.AttemptID == own.AttemptID
	switch change {
	case ChangeClaim:
		return resolveClaim(stored, owned)
	case ChangeComplete:
		return resolveComplete(stored, owned)
	default:
		if owned && stored.Outcome == nil {
			return ResolutionWrite
		}
		return ResolutionDone
	}
}

func resolveClaim(stored *Claim, owned bool) Resolution {
	switch {
	case stored == nil:
		return ResolutionWrite
	case owned && stored.Outcome == nil:
		return ResolutionDone
	default:
		return ResolutionNotOwner
	}
}

func resolveComplete(stored *Claim, owned bool) Resolution {
	switch {
	case !owned:
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
