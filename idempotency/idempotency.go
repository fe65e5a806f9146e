// Package idempotency decides what to do with a request that must run at most
// once, from the claim that the table service holds for its key.
//
// A key is claimed before the first byte goes to a target. The outcome is
// written after the answer. A claim without outcome is never run again.
package idempotency

import "time"

// Key identifies a request that must run at most once.
type Key struct {
	Member  string
	Service string
	// Value is the caller's idempotency key.
	Value string
}

// Claim is the record of one key.
type Claim struct {
	// Session is the session of the daemon that claimed the key.
	Session string `json:"session"`
	// RequestDigest is the digest of the request's method, path and body.
	RequestDigest string `json:"request_digest"`
	// Try is unique for every try of a request.
	Try string `json:"try"`
	// ClaimedUnixMS is the time of the claim in milliseconds since 1970 UTC.
	ClaimedUnixMS int64 `json:"claimed_unix_ms"`
	// Outcome is the kept answer, or nil while the request may be in flight.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is what is kept of the answer.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyObject is the object that holds a body too large for the table, or empty.
	BodyObject string `json:"body_object,omitempty"`
	// EndedUnixMS is the time of the answer in milliseconds since 1970 UTC.
	EndedUnixMS int64 `json:"ended_unix_ms"`
}

// Action is what to do with a request.
type Action uint8

const (
	// ActionClaim is to write a claim and, if that succeeds, run the request.
	ActionClaim Action = iota + 1
	// ActionReplay is to give the kept answer again.
	ActionReplay
	// ActionRefuseUnknown is to refuse with the verdict may-have-run.
	ActionRefuseUnknown
	// ActionRefuseReused is to refuse since the key belongs to another request.
	ActionRefuseReused
	// ActionRun is to run the request under the claim that this very try has written.
	ActionRun
)

// Decide returns the action for a request with the given digest, from the
// stored claim, which is nil if there is none.
func Decide(stored *Claim, own Claim) Action {
	if stored == nil {
		return ActionClaim
	}
	if stored.RequestDigest != own.RequestDigest {
		return ActionRefuseReused
	}
	if stored.Outcome != nil {
		return ActionReplay
	}
	return ActionRefuseUnknown
}

// DecideReadBack returns the action after a claim whose write got no reply was
// read back: the claim is ours only if it names this very try.
func DecideReadBack(stored *Claim, own Claim) Action {
	if stored != nil && stored.Session == own.Session && stored.Try == own.Try && stored.Outcome == nil {
		return ActionRun
	}
	return Decide(stored, own)
}

// Expired reports whether a claim may be deleted at now.
func Expired(c Claim, now time.Time, retention time.Duration) bool {
	return now.Sub(time.UnixMilli(c.ClaimedUnixMS)) > retention
}
