package idempotency

import (
	"time"

	"github.com/bambooyard/bambooyard/verdict"
)

// Command is what the owner of a Flow does next.
type Command uint8

const (
	// CommandSend is to send the request to a target.
	CommandSend Command = iota + 1
	// CommandStore is to write the outcome and report it with Kept.
	CommandStore
	// CommandRelease is to answer at once and to delete the claim afterwards.
	CommandRelease
	// CommandRespond is to answer the caller.
	CommandRespond
)

// Reason says why a try ends.
type Reason uint8

const (
	// ReasonResponded is that the target has answered.
	ReasonResponded Reason = iota + 1
	// ReasonNotStored is that the target has answered but the outcome is not kept.
	ReasonNotStored
	// ReasonReplayed is that the kept answer is given again.
	ReasonReplayed
	// ReasonInProgress is that another try has begun and has no known outcome.
	ReasonInProgress
	// ReasonKeyReused is that the key belongs to another request.
	ReasonKeyReused
	// ReasonNotClaimed is that the key could not be claimed.
	ReasonNotClaimed
	// ReasonStale is that the deadline has passed, or the session has ended,
	// before anything was sent.
	ReasonStale
	// ReasonNotSent is that no byte has reached a target.
	ReasonNotSent
	// ReasonNoResponse is that the request was sent and got no complete answer.
	ReasonNoResponse
)

// Instruction is a command with the end of the try, if this is its end.
type Instruction struct {
	Command Command
	Reason  Reason
	Verdict verdict.Verdict
}

func answer(reason Reason, v verdict.Verdict) Instruction {
	return Instruction{Command: CommandRespond, Reason: reason, Verdict: v}
}

func release(reason Reason) Instruction {
	return Instruction{Command: CommandRelease, Reason: reason, Verdict: verdict.NotRun}
}

// Flow is the course of one try of a request that must run at most once. Its
// owner reports each event and carries out the command that it gets back.
type Flow struct {
	claim    Claim
	deadline time.Time
}

// NewFlow returns the course of the try that makes the claim.
func NewFlow(claim Claim, deadline time.Time) *Flow {
	// A paused machine's monotonic clock may stand still, so that only the wall
	// clock tells that the deadline has passed.
	return &Flow{claim: claim, deadline: deadline.Round(0)}
}

// Claim returns the claim of this try.
func (f *Flow) Claim() Claim { return f.claim }

// ClaimFailed reports that the key could not be claimed.
func (f *Flow) ClaimFailed() Instruction { return answer(ReasonNotClaimed, verdict.NotRun) }

// Claimed reports what the table says of the key.
func (f *Flow) Claimed(action Action, now time.Time, session string) Instruction {
	switch action {
	case ActionRun:
		if !f.MaySend(now, session) {
			return release(ReasonStale)
		}
		return Instruction{Command: CommandSend}
	case ActionReplay:
		return answer(ReasonReplayed, verdict.Ran)
	case ActionRefuseReused:
		return answer(ReasonKeyReused, verdict.NotRun)
	default:
		return answer(ReasonInProgress, verdict.MayHaveRun)
	}
}

// MaySend reports whether the request may be sent at now by a daemon with the
// given session. It is asked right before every send.
func (f *Flow) MaySend(now time.Time, session string) bool {
	return now.Round(0).Before(f.deadline) && session == f.claim.Session
}

// Stale reports that MaySend was false and that nothing has been sent.
func (f *Flow) Stale() Instruction { return release(ReasonStale) }

// NotSent reports that no byte of the request can have reached a target and
// that it will not be sent any more.
func (f *Flow) NotSent() Instruction { return release(ReasonNotSent) }

// NoResponse reports that the request was sent and got no complete answer.
func (f *Flow) NoResponse() Instruction { return answer(ReasonNoResponse, verdict.MayHaveRun) }

// ResponseReceived reports a complete answer.
func (f *Flow) ResponseReceived() Instruction { return Instruction{Command: CommandStore} }

// Stored reports whether the outcome is in the table.
func (f *Flow) Stored(kept bool) Instruction {
	if !kept {
		return answer(ReasonNotStored, verdict.Ran)
	}
	return answer(ReasonResponded, verdict.Ran)
}
