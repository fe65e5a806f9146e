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
	// CommandKeep is to write the outcome and report it with Kept.
	CommandKeep
	// CommandRelease is to answer at once and to delete the claim afterwards.
	CommandRelease
	// CommandAnswer is to answer the caller.
	CommandAnswer
)

// Reason says why a try ends.
type Reason uint8

const (
	// ReasonAnswered is that the target has answered.
	ReasonAnswered Reason = iota + 1
	// ReasonNotKept is that the target has answered but the outcome is not kept.
	ReasonNotKept
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
	// ReasonNoAnswer is that the request was sent and got no complete answer.
	ReasonNoAnswer
)

// Next is a command with the end of the try, if this is its end.
type Next struct {
	Command Command
	Reason  Reason
	Verdict verdict.Verdict
}

func answer(reason Reason, v verdict.Verdict) Next {
	return Next{Command: CommandAnswer, Reason: reason, Verdict: v}
}

func release(reason Reason) Next {
	return Next{Command: CommandRelease, Reason: reason, Verdict: verdict.NotRun}
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

// Refused reports that the key could not be claimed.
func (f *Flow) Refused() Next { return answer(ReasonNotClaimed, verdict.NotRun) }

// Claimed reports what the table says of the key.
func (f *Flow) Claimed(action Action, now time.Time, session string) Next {
	switch action {
	case ActionRun:
		if !f.MaySend(now, session) {
			return release(ReasonStale)
		}
		return Next{Command: CommandSend}
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
func (f *Flow) Stale() Next { return release(ReasonStale) }

// NotSent reports that no byte of the request can have reached a target and
// that it will not be sent any more.
func (f *Flow) NotSent() Next { return release(ReasonNotSent) }

// NoAnswer reports that the request was sent and got no complete answer.
func (f *Flow) NoAnswer() Next { return answer(ReasonNoAnswer, verdict.MayHaveRun) }

// Answered reports a complete answer.
func (f *Flow) Answered() Next { return Next{Command: CommandKeep} }

// Kept reports whether the outcome is in the table.
func (f *Flow) Kept(kept bool) Next {
	if !kept {
		return answer(ReasonNotKept, verdict.Ran)
	}
	return answer(ReasonAnswered, verdict.Ran)
}
