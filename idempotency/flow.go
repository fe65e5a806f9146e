package idempotency

import (
	"time"

	"github.com/bambooyard/bambooyard/verdict"
)

// Command is the next operation of a Flow's owner.
type Command uint8

const (
	// CommandSend means to send the request to a target.
	CommandSend Command = iota + 1
	// CommandStore means to write the outcome and report the result with Stored.
	CommandStore
	// CommandRelease means to respond to the caller, and then to delete the claim.
	CommandRelease
	// CommandRespond means to respond to the caller.
	CommandRespond
)

// Reason says why an attempt ends.
type Reason uint8

const (
	// ReasonResponded means that the target has responded and the outcome is stored.
	ReasonResponded Reason = iota + 1
	// ReasonNotStored means that the target has responded but the outcome is not
	// stored.
	ReasonNotStored
	// ReasonReplayed means that the stored response is returned.
	ReasonReplayed
	// ReasonInProgress means that another attempt has begun and has no known outcome.
	ReasonInProgress
	// ReasonKeyReused means that the key was used for another request.
	ReasonKeyReused
	// ReasonNotClaimed means that the key could not be claimed.
	ReasonNotClaimed
	// ReasonStale means that the deadline has passed or the session has ended before
	// any byte was sent.
	ReasonStale
	// ReasonNotSent means that no byte has reached a target.
	ReasonNotSent
	// ReasonNoResponse means that the request was sent and got no complete response.
	ReasonNoResponse
)

// Instruction is a command for the owner of a Flow. Reason and Verdict are set if
// the attempt ends with it.
type Instruction struct {
	Command Command
	Reason  Reason
	Verdict verdict.Verdict
}

func respond(reason Reason, v verdict.Verdict) Instruction {
	return Instruction{Command: CommandRespond, Reason: reason, Verdict: v}
}

func release(reason Reason) Instruction {
	return Instruction{Command: CommandRelease, Reason: reason, Verdict: verdict.NotRun}
}

// Flow is the state machine of one attempt at a request that must run at most once.
// Its owner reports each event and executes the returned instruction.
type Flow struct {
	claim    Claim
	deadline time.Time
}

// NewFlow returns the flow of the attempt that makes the claim.
func NewFlow(claim Claim, deadline time.Time) *Flow {
	// The monotonic clock may stop while a VM is paused, so the deadline is compared
	// with the wall clock.
	return &Flow{claim: claim, deadline: deadline.Round(0)}
}

// Claim returns the claim of this attempt.
func (f *Flow) Claim() Claim { return f.claim }

// ClaimFailed returns the instruction after the key could not be claimed.
func (f *Flow) ClaimFailed() Instruction { return respond(ReasonNotClaimed, verdict.NotRun) }

// Claimed returns the instruction for the action that follows from the stored claim
// of the key.
func (f *Flow) Claimed(action Action, now time.Time, session string) Instruction {
	switch action {
	case ActionRun:
		if !f.MaySend(now, session) {
			return release(ReasonStale)
		}
		return Instruction{Command: CommandSend}
	case ActionReplay:
		return respond(ReasonReplayed, verdict.Ran)
	case ActionRefuseReused:
		return respond(ReasonKeyReused, verdict.NotRun)
	default:
		return respond(ReasonInProgress, verdict.MayHaveRun)
	}
}

// MaySend reports whether a daemon with the given session may send the request at
// now. The owner must call it immediately before every send.
func (f *Flow) MaySend(now time.Time, session string) bool {
	return now.Round(0).Before(f.deadline) && session == f.claim.Session
}

// Stale returns the instruction after MaySend returned false before any byte was
// sent.
func (f *Flow) Stale() Instruction { return release(ReasonStale) }

// NotSent returns the instruction if no byte of the request can have reached a
// target and it will not be sent again.
func (f *Flow) NotSent() Instruction { return release(ReasonNotSent) }

// NoResponse returns the instruction after the request was sent and got no complete
// response.
func (f *Flow) NoResponse() Instruction { return respond(ReasonNoResponse, verdict.MayHaveRun) }

// ResponseReceived returns the instruction after a complete response.
func (f *Flow) ResponseReceived() Instruction { return Instruction{Command: CommandStore} }

// Stored returns the instruction after the outcome was stored, or could not be.
func (f *Flow) Stored(stored bool) Instruction {
	if !stored {
		return respond(ReasonNotStored, verdict.Ran)
	}
	return respond(ReasonResponded, verdict.Ran)
}
