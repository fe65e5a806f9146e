package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/membership"
)

const ttl = 6 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func session(id int, renewed time.Duration, liveSessions int, r document.Revision) membership.Session {
	at := start.Add(renewed).UnixMilli()
	return membership.Session{
		ID: fmt.Sprint(id), Daemon: fmt.Sprint("d", id), PeerAddress: fmt.Sprint(id), Revision: r, LiveSessions: liveSessions,
		RenewedUnixMS: at, ExpiresUnixMS: at + ttl.Milliseconds(), EstablishedUnixMS: start.UnixMilli(),
	}
}

// TestLostMajorityIsNeverFenced checks both sides of the rule: a lost majority, which
// may still serve, is not fenced; a lost minority is.
func TestLostMajorityIsNeverFenced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		lost := rapid.IntRange(0, n).Draw(t, "lost")
		var all []membership.Session
		for i := range n {
			renewed := time.Duration(0)
			if i >= lost {
				renewed = 2 * ttl
			}
			all = append(all, session(i, renewed, n, 1))
		}
		fences := membership.Fenceable(all, start.Add(2*ttl))
		want := lost
		if lost > n/2 {
			want = 0
		}
		if len(fences) != want {
			t.Fatalf("%d of %d lost: %d fenced, want %d", lost, n, len(fences), want)
		}
	})
}

// TestGuardNeedsEvidenceOfAMajority makes a daemon lose the store while a random
// number of peers reports that they have abandoned their sessions.
func TestGuardNeedsEvidenceOfAMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "daemons")
		abandoned := rapid.IntRange(0, n-1).Draw(t, "peers that have abandoned their sessions")
		outdated := rapid.Bool().Draw(t, "outdated")
		g := membership.NewGuard(ttl)
		var view []membership.Session
		for i := range n {
			view = append(view, session(i, 0, n, 1))
		}
		g.SetView(view)
		g.Establish(view[0], start)
		serving := true
		for at := time.Duration(0); at < 3*ttl; at += 250 * time.Millisecond {
			now := start.Add(at)
			for i := 1; i <= abandoned && at > ttl/2; i++ {
				e := membership.Evidence{Session: fmt.Sprint(i), Abandoned: true, Revision: 1, RequestedAt: now}
				if outdated && i == 1 {
					e.Revision = 2
				}
				g.AddEvidence(e, 1)
			}
			d := g.Decide(now)
			serving = d.State != membership.Isolated
			if serving && !now.Before(d.ValidUntil) {
				t.Fatalf("serving at %s, valid until %s", now, d.ValidUntil)
			}
			if at < ttl && !serving {
				t.Fatalf("isolated at %s, before the session expired", at)
			}
		}
		if want := abandoned+1 > n/2 && (!outdated || abandoned == 0); serving != want {
			t.Fatalf("%d of %d abandoned, outdated %t: serving is %t", abandoned+1, n, outdated, serving)
		}
	})
}

func TestIsolatedGuardNeedsNewSession(t *testing.T) {
	is := is.New(t)
	g := membership.NewGuard(ttl)
	g.SetView([]membership.Session{session(0, 0, 2, 1), session(1, 0, 2, 1)})
	g.Establish(session(0, 0, 2, 1), start)
	late := start.Add(2 * ttl)
	g.AddEvidence(membership.Evidence{Session: "1", Abandoned: true, RequestedAt: late}, 1)
	is.Equal(g.Decide(late).State, membership.Isolated)
	is.True(!g.Renew(session(0, 0, 2, 1), late))
	g.Establish(session(0, 2*ttl, 2, 1), late)
	is.Equal(g.Decide(late).State, membership.Attached)
}

func TestSessionOfRestartedDaemonIsFenced(t *testing.T) {
	is := is.New(t)
	old, next := session(0, 0, 1, 1), session(1, time.Second, 1, 2)
	next.PeerAddress, next.EstablishedUnixMS = old.PeerAddress, next.RenewedUnixMS
	all := []membership.Session{old, next}
	is.Equal(len(membership.Fenceable(all, start.Add(2*time.Second))), 0)
	fences := membership.Fenceable(all, start.Add(4*time.Second))
	is.Equal(len(fences), 1)
	is.Equal(fences[0].ID, old.ID)
}

func ExampleAdoptionOf() {
	sessions := []membership.Session{session(1, 0, 3, 7), session(2, 0, 3, 6), session(3, -ttl, 3, 6)}
	a := membership.AdoptionOf(7, sessions, start.Add(time.Second))
	fmt.Println(len(a.Adopted), "adopted,", len(a.Pending), "pending,", len(a.Lost), "lost, in force:", a.InForce())
	// Output: 1 adopted, 1 pending, 1 lost, in force: false
}
