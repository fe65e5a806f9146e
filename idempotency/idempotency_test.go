package idempotency_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/verdict"
)

func drawClaim(t *rapid.T) idempotency.Claim {
	c := idempotency.Claim{
		Session:       rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "session"),
		AttemptID:     rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "attempt ID"),
		RequestDigest: rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "digest"),
	}
	if rapid.Bool().Draw(t, "completed") {
		c.Outcome = &idempotency.Outcome{Status: 200}
	}
	return c
}

// For any stored row: a row of another attempt or with an outcome is never
// overwritten or deleted, and a claim counts as held only if it is the attempt's
// own.
func TestResolveChangesNoOtherAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, own := drawClaim(t), drawClaim(t)
		change := rapid.SampledFrom([]idempotency.Change{
			idempotency.ChangeClaim, idempotency.ChangeComplete, idempotency.ChangeRelease,
		}).Draw(t, "change")
		resolution := idempotency.Resolve(change, &stored, own)
		owned := stored.Session == own.Session && stored.AttemptID == own.AttemptID
		if resolution == idempotency.ResolutionWrite && (!owned || stored.Outcome != nil || change == idempotency.ChangeClaim) {
			t.Fatal("a row that must not change is written")
		}
		if change == idempotency.ChangeClaim && (resolution == idempotency.ResolutionDone) != (owned && stored.Outcome == nil) {
			t.Fatal("a claim counts as held although it is not, or the reverse")
		}
	})
}

// A request is sent only before its deadline and under the session of its claim. A
// claim is released only by its own attempt, with the verdict not-run.
func TestFlowSendsOnlyInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deadline := time.UnixMilli(1000)
		claim := drawClaim(t)
		f := idempotency.NewFlow(claim, deadline)
		now := time.UnixMilli(rapid.Int64Range(0, 2000).Draw(t, "now"))
		session := rapid.SampledFrom([]string{"s1", "s2", ""}).Draw(t, "current session")
		action := rapid.SampledFrom([]idempotency.Action{
			idempotency.ActionRun, idempotency.ActionReplay, idempotency.ActionRefuseUnknown, idempotency.ActionRefuseReused,
		}).Draw(t, "action")
		next := f.Claimed(action, now, session)
		inTime := now.Before(deadline) && session == claim.Session
		if (next.Command == idempotency.CommandSend) != (inTime && action == idempotency.ActionRun) {
			t.Fatalf("command %d at %v", next.Command, now)
		}
		if next.Command == idempotency.CommandRelease && (next.Verdict != verdict.NotRun || action != idempotency.ActionRun) {
			t.Fatal("a claim of another attempt is released, or with another verdict")
		}
		if next.Reason == idempotency.ReasonInProgress && next.Verdict != verdict.MayHaveRun {
			t.Fatal("an attempt in progress does not get the verdict may-have-run")
		}
	})
}

func TestCheckKey(t *testing.T) {
	is := is.New(t)
	is.NoErr(idempotency.CheckKey("order-1/a"))
	is.NoErr(idempotency.CheckKey(strings.Repeat("k", idempotency.MaxKeyBytes)))
	for _, bad := range []string{"a b", "\x80", "caf\u00e9", strings.Repeat("k", idempotency.MaxKeyBytes+1)} {
		is.True(idempotency.CheckKey(bad) != nil)
	}
}

func ExampleFlow() {
	deadline := time.UnixMilli(2000)
	claim := idempotency.Claim{Session: "d1-a", AttemptID: "t1"}
	f := idempotency.NewFlow(claim, deadline)
	next := f.Claimed(idempotency.ActionRun, time.UnixMilli(1000), "d1-a")
	fmt.Println(next.Command == idempotency.CommandSend)
	fmt.Println(f.NoResponse().Verdict)
	fmt.Println(f.NotSent().Verdict)
	// Output:
	// true
	// may-have-run
	// not-run
}
