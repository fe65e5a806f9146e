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
		AttemptID:     rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "try"),
		RequestDigest: rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "digest"),
	}
	if rapid.Bool().Draw(t, "ended") {
		c.Outcome = &idempotency.Outcome{Status: 200}
	}
	return c
}

// Whatever the row holds: a row of another try is never overwritten or
// deleted, an outcome never either, and only the own claim lets a request run.
func TestResolveTouchesNoOtherTry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, own := drawClaim(t), drawClaim(t)
		change := rapid.SampledFrom([]idempotency.Change{
			idempotency.ChangeClaim, idempotency.ChangeComplete, idempotency.ChangeRelease,
		}).Draw(t, "change")
		step := idempotency.Resolve(change, &stored, own)
		mine := stored.Session == own.Session && stored.AttemptID == own.AttemptID
		if step == idempotency.ResolutionWrite && (!mine || stored.Outcome != nil || change == idempotency.ChangeClaim) {
			t.Fatal("a row that must stay is written")
		}
		if change == idempotency.ChangeClaim && (step == idempotency.ResolutionDone) != (mine && stored.Outcome == nil) {
			t.Fatal("the claim is taken for held, or not, wrongly")
		}
	})
}

// A request is sent only before its deadline and under the session of its
// claim; every end that says not run comes before a send.
func TestFlowSendsOnlyInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deadline := time.UnixMilli(1000)
		claim := drawClaim(t)
		f := idempotency.NewFlow(claim, deadline)
		now := time.UnixMilli(rapid.Int64Range(0, 2000).Draw(t, "now"))
		session := rapid.SampledFrom([]string{"s1", "s2", ""}).Draw(t, "present session")
		action := rapid.SampledFrom([]idempotency.Action{
			idempotency.ActionRun, idempotency.ActionReplay, idempotency.ActionRefuseUnknown, idempotency.ActionRefuseReused,
		}).Draw(t, "action")
		next := f.Claimed(action, now, session)
		inTime := now.Before(deadline) && session == claim.Session
		if (next.Command == idempotency.CommandSend) != (inTime && action == idempotency.ActionRun) {
			t.Fatalf("command %d at %v", next.Command, now)
		}
		if next.Command == idempotency.CommandRelease && (next.Verdict != verdict.NotRun || action != idempotency.ActionRun) {
			t.Fatal("a claim is released that is not ours to release")
		}
		if next.Reason == idempotency.ReasonInProgress && next.Verdict != verdict.MayHaveRun {
			t.Fatal("a try in progress is not taken for may-have-run")
		}
	})
}

func TestKeys(t *testing.T) {
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
