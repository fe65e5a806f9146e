package configsync_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/configsync"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/sessions"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/membership"
	"github.com/bambooyard/bambooyard/verdict"
)

const (
	fleetTTL      = 3 * time.Second
	checkInterval = time.Second
	askInterval   = 300 * time.Millisecond
)

var errInjected = errors.New("injected")

// link is one daemon's way to the store, with faults of its own.
type link struct {
	*fake.Platform
	cut, stale bool
	loseNext   int
	breaks     bool          // the link is cut with a lost reply
	last       *platform.Row // the head row as last read
	older      *platform.Row // the head row before that, which stale reads return
	read       int
	count      *count // of what the link carries, if set
}

func (l *link) down(op string) error {
	if !l.cut {
		return nil
	}
	return &platform.UnavailableError{Op: op, Verdict: verdict.NotRun, Err: errInjected}
}

func (l *link) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := l.down("get"); err != nil {
		return nil, err
	}
	rows, err := l.Platform.Get(ctx, keys...)
	l.carried(platform.GetRequest{Keys: keys}, platform.RowsReply{Rows: rows}, 1, 0)
	if err != nil || keys[0] != platform.ConfigHeadKey {
		return rows, err
	}
	l.read++
	if l.stale && l.older != nil && l.read%2 == 0 {
		return []platform.Row{*l.older}, nil
	}
	if l.last != nil && l.last.Version != rows[0].Version {
		l.older = l.last
	}
	l.last = &rows[0]
	return rows, nil
}

func (l *link) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := l.down("scan"); err != nil {
		return nil, err
	}
	rows, err := l.Platform.Scan(ctx, prefix, after, limit)
	l.carried(platform.ScanRequest{Prefix: prefix, After: after, Limit: limit}, platform.RowsReply{Rows: rows}, 1, 0)
	return rows, err
}

func (l *link) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	if err := l.down("commit"); err != nil {
		return 0, err
	}
	v, err := l.Platform.Commit(ctx, txn)
	l.carried(txn, platform.CommitReply{Version: v}, 0, 1)
	if err == nil && l.loseNext > 0 {
		l.loseNext--
		l.cut = l.breaks
		return 0, &platform.UnavailableError{Op: "commit", Verdict: verdict.MayHaveRun, Err: errInjected}
	}
	return v, err
}

// daemon is the control state of one daemon in virtual time.
type daemon struct {
	fleet    *fleet
	name     string
	exec     *fake.Executor
	link     *link
	keeper   *sessions.Manager
	follower *configsync.Follower
	snapshot traffic.Snapshot
	standing membership.State // at the last refresh
	skew     time.Duration
	side     int // daemons on different sides cannot reach each other
	dead     bool
	frozen   bool
}

type fleet struct {
	clock    *fake.Clock
	platform *fake.Platform
	daemons  []*daemon
	logger   log.Interface
	maxDelay time.Duration
	ttl      time.Duration
	store    configsync.Store
	sessions int // how many session IDs were given
}

func newFleet(seed uint64, n int, maxDelay time.Duration) *fleet {
	return newFleetWithTTL(seed, n, maxDelay, fleetTTL)
}

func newFleetWithTTL(seed uint64, n int, maxDelay, ttl time.Duration) *fleet {
	p := fake.NewPlatform()
	f := &fleet{
		clock: fake.NewClock(seed), platform: p, maxDelay: maxDelay, ttl: ttl,
		logger: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		store:  configsync.Store{Table: p, Objects: p.Objects()},
	}
	for i := range n {
		f.start(fmt.Sprintf("d%d", i+1), fmt.Sprintf("127.0.0.1:%d", 7200+i))
	}
	return f
}

// start runs a new daemon at a peer address.
func (f *fleet) start(name, address string) {
	d := &daemon{fleet: f, name: name, exec: fake.NewExecutor(f.clock, f.maxDelay), link: &link{Platform: f.platform}}
	half := int64(membership.MaxClockSkew / 2)
	d.skew = time.Duration(f.clock.Rand().Int64N(2*half) - half)
	d.keeper = sessions.NewManager(sessions.Options{
		Loop: d.exec, Table: d.link, TTL: f.ttl, Log: f.logger, Now: d.now,
		Self: membership.Session{Daemon: name, Region: "launceston", DataCentre: "launceston-1", PeerAddress: address},
		Head: func() sessions.Head {
			v, known := d.follower.Version()
			return sessions.Head{Revision: d.follower.Head().Revision, Version: v, Known: known}
		},
		NewID:         func() string { f.sessions++; return fmt.Sprintf("%04d", f.sessions) },
		OnHeadChanged: func() { d.follower.Check() },
	})
	d.follower = configsync.NewFollower(configsync.Options{
		Loop: d.exec, Table: d.link, Objects: f.platform.Objects(), Log: f.logger, Now: d.now,
		OnAdopted:  func(h document.Head, _ document.Document) { d.keeper.SetRevision(h.Revision); d.refresh() },
		OnHeadRead: d.keeper.Renew,
	})
	d.exec.Post(d.follower.Check)
	d.exec.Every(f.ttl/3, func(time.Time) { d.keeper.Renew() })
	d.exec.Every(checkInterval, func(time.Time) { d.follower.Check() })
	d.exec.Every(askInterval, func(time.Time) { d.ask(); d.keeper.Tick(d.now()); d.refresh() })
	f.daemons = append(f.daemons, d)
}

func (d *daemon) now() time.Time { return d.fleet.clock.Now().Add(d.skew) }

func (d *daemon) refresh() {
	decision := d.keeper.Decide(d.now())
	d.standing = decision.State
	d.snapshot = traffic.Snapshot{
		Ready: decision.State != membership.Isolated && d.follower.Head().Revision > 0,
		Head:  d.follower.Head(), ValidUntil: decision.ValidUntil,
	}
}

func (d *daemon) serving() bool {
	ok, _ := d.snapshot.Serving(d.now())
	return ok && !d.dead
}

// ask asks every peer about its session, as the load reports do.
func (d *daemon) ask() {
	for _, s := range d.keeper.Peers(d.now()) {
		askedAt := d.now()
		d.exec.Go(func(context.Context) func() {
			peer := d.fleet.at(s.PeerAddress)
			if peer == nil || peer == d || peer.frozen || peer.side != d.side {
				return func() {}
			}
			e := peer.keeper.Evidence(peer.now())
			e.RequestedAt = askedAt
			return func() { d.keeper.AddEvidence(e) }
		})
	}
}

// at returns the running daemon at an address.
func (f *fleet) at(address string) *daemon {
	for _, d := range f.daemons {
		if !d.dead && d.keeper.Self().PeerAddress == address {
			return d
		}
	}
	return nil
}

func (f *fleet) alive() []*daemon {
	var out []*daemon
	for _, d := range f.daemons {
		if !d.dead {
			out = append(out, d)
		}
	}
	return out
}

func (f *fleet) serving() int {
	n := 0
	for _, d := range f.daemons {
		if d.serving() {
			n++
		}
	}
	return n
}

func (d *daemon) freeze(length time.Duration) {
	d.exec.Pause()
	d.frozen = true
	d.fleet.clock.After(length, func() { d.frozen = false; d.exec.Resume() })
}

func (d *daemon) kill() { d.exec.Kill(); d.dead = true }

// apply proposes a document through a store and returns what the operator sees.
func (f *fleet) apply(table platform.Table, id string, based document.Revision) (document.Head, error) {
	body := fmt.Sprintf("rules: {services: [], members: [{name: %s, weight: 1}]}\n", id)
	store := configsync.Store{Table: table, Objects: f.platform.Objects()}
	return configsync.Propose(context.Background(), store, configsync.Proposal{ID: id, Body: []byte(body), BaseRevision: based, Author: id})
}

func (f *fleet) adoption(r document.Revision, now time.Time) (membership.Adoption, error) {
	rows, err := sessions.Read(context.Background(), f.platform)
	return membership.AdoptionOf(r, rows, now), err
}

// forget does what an operator does about a daemon that is gone for good.
func (f *fleet) forget(daemon string) {
	_, _ = sessions.Forget(context.Background(), f.platform, daemon, f.clock.Now())
}
