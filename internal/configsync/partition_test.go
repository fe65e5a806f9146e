package configsync_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/configsync"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// newSettledFleet returns a fleet of n daemons that all serve revision 1.
func newSettledFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := newFleet(1, n, 20*time.Millisecond)
	f.clock.Run(3 * time.Second)
	_, err := f.apply(f.platform, "first", 0)
	is.New(t).NoErr(err)
	f.clock.Run(3 * time.Second)
	is.New(t).Equal(f.serving(), n)
	return f
}

func TestChangeIsInForceOnEightDaemonsWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(t, 8)
	_, err := f.apply(f.platform, "second", 1)
	is.NoErr(err)
	f.clock.Run(2 * time.Second)
	a, err := f.adoption(2, f.clock.Now())
	is.NoErr(err)
	is.True(a.InForce())
	is.Equal(len(a.Adopted), 8)
}

func TestServiceGoesOnInAnOutageSeenByAll(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(t, 8)
	f.platform.SetFaults(fake.Faults{Outage: true})
	for range 600 {
		f.clock.Run(100 * time.Millisecond)
		is.Equal(f.serving(), 8)
	}
	f.platform.SetFaults(fake.Faults{})
	f.clock.Run(5 * time.Second)
	is.Equal(f.serving(), 8)
	_, err := f.apply(f.platform, "after", 1)
	is.NoErr(err)
	f.clock.Run(10 * time.Second)
	a, err := f.adoption(2, f.clock.Now())
	is.NoErr(err)
	is.True(a.InForce())
}

func TestCutOffDaemonsStopServing(t *testing.T) {
	for _, c := range []struct {
		name         string
		cut, serving int
		inForce      bool
		partitioned  bool
	}{
		{"one cut off from the store and all peers", 1, 7, true, true},
		{"one cut off from the store only", 1, 7, true, false},
		{"half cut off together", 4, 4, true, true},
		{"more than half cut off together", 5, 8, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newSettledFleet(t, 8)
			for _, d := range f.daemons[:c.cut] {
				d.link.cut = true
				if c.partitioned {
					d.partition = 1
				}
			}
			f.clock.Run(2*fleetTTL + time.Second)
			is.Equal(f.serving(), c.serving)
			_, err := f.apply(f.platform, "second", 1)
			is.NoErr(err)
			f.clock.Run(10 * time.Second)
			a, err := f.adoption(2, f.clock.Now())
			is.NoErr(err)
			is.Equal(a.InForce(), c.inForce)
			for _, d := range f.daemons[:c.cut] {
				d.link.cut, d.partition = false, 0
			}
			f.clock.Run(10 * time.Second)
			a, err = f.adoption(2, f.clock.Now())
			is.NoErr(err)
			is.True(a.InForce())
			is.Equal(f.serving(), 8)
		})
	}
}

func TestPausedDaemonServesNothingStaleWhenItResumes(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(t, 3)
	f.daemons[0].pause(20 * time.Second)
	f.clock.Run(3 * time.Second)
	_, err := f.apply(f.platform, "second", 1)
	is.NoErr(err)
	for range 300 {
		f.clock.Run(100 * time.Millisecond)
		is.True(!f.daemons[0].serving() || f.daemons[0].snapshot.Head.Revision == 2)
	}
	is.True(f.daemons[0].serving())
}

func TestGracefulStopDeletesTheSession(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(t, 2)
	is.NoErr(f.daemons[0].manager.Release(t.Context()))
	f.daemons[0].kill()
	a, err := f.adoption(1, f.clock.Now())
	is.NoErr(err)
	is.Equal(len(a.Adopted), 1)
}

func TestOneDaemonFencesLostSessionsWithinTheWriteBudget(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(t, 8)
	f.daemons[6].kill()
	f.daemons[7].kill()
	before := f.platform.Counts().Commits
	const length = 12 * time.Second
	f.clock.Run(length)
	renewals := int64(6 * length / (fleetTTL / 3))
	extra := f.platform.Counts().Commits - before - renewals
	is.True(extra <= 15) // two fences, two deletions, and renewals around them
	a, err := f.adoption(1, f.clock.Now())
	is.NoErr(err)
	is.Equal(len(a.Lost), 0)
	is.Equal(len(a.Adopted), 6)
}

func TestBodyWithWrongDigestIsNotAdopted(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(t, 2)
	head, err := f.apply(f.platform, "second", 1)
	is.NoErr(err)
	key := platform.ConfigObjectKey(2, head.Digest)
	body, err := f.platform.Objects().Get(t.Context(), key)
	is.NoErr(err)
	is.NoErr(f.platform.Objects().Put(t.Context(), key, []byte("rules: {}\n")))
	f.clock.Run(5 * time.Second)
	is.Equal(f.daemons[0].snapshot.Head.Revision, document.Revision(1))
	is.Equal(f.daemons[0].follower.State(), charts.ConfigurationRetrying)
	is.NoErr(f.platform.Objects().Put(t.Context(), key, body))
	f.clock.Run(10 * time.Second)
	is.Equal(f.daemons[0].snapshot.Head.Revision, document.Revision(2))
	is.Equal(f.daemons[0].follower.State(), charts.ConfigurationAdopted)
}

// The reply to the write of a new session is lost. Until the outcome is known,
// the daemon must not report its old session as abandoned.
func TestUnconfirmedSessionIsNoEvidence(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(t, 2)
	d := f.daemons[0]
	old := d.manager.Self().ID
	d.link.cut = true
	f.clock.Run(2 * fleetTTL)
	is.True(d.manager.Evidence(d.now()).Abandoned)
	d.link.cut, d.link.loseNext = false, 1
	unconfirmed := false
	for d.manager.Self().ID == old {
		f.clock.Run(10 * time.Millisecond)
		if d.link.loseNext == 0 && d.manager.Self().ID == old {
			f.clock.Run(50 * time.Millisecond)
			unconfirmed = true
			is.True(!d.manager.Evidence(d.now()).Abandoned)
		}
	}
	is.True(unconfirmed)
	f.clock.Run(time.Second)
	is.Equal(f.serving(), 2)
}

// unavailableObjects is an object store whose writes fail.
type unavailableObjects struct{ platform.ObjectStore }

func (unavailableObjects) Put(context.Context, string, []byte) error {
	return &platform.UnavailableError{Op: "put object", Verdict: verdict.MayHaveRun, Err: errInjected}
}

func TestHeadIsNotWrittenBeforeItsBody(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(t, 2)
	store := configsync.Store{Table: f.platform, Objects: unavailableObjects{f.platform.Objects()}}
	_, err := configsync.Propose(t.Context(), store, configsync.Proposal{ID: "second", Body: []byte("rules: {}"), BaseRevision: 1})
	is.True(err != nil)
	head, _, err := configsync.ReadHead(t.Context(), f.platform)
	is.NoErr(err)
	is.Equal(head.Revision, document.Revision(1))
}

func TestHalfOfTheDaemonsIsTooFewInAnOutage(t *testing.T) {
	is := is.New(t)
	f := newSettledFleet(t, 8)
	f.platform.SetFaults(fake.Faults{Outage: true})
	f.clock.Run(4 * fleetTTL)
	for i, d := range f.daemons[:4] {
		is.Equal(f.serving(), 8-i)
		d.kill()
	}
	f.clock.Run(2 * time.Second)
	is.Equal(f.serving(), 0)
	f.platform.SetFaults(fake.Faults{})
	f.clock.Run(5 * time.Second)
	is.Equal(f.serving(), 4)
}
