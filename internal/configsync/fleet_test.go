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
	pollInterval  = 300 * time.Millisecond
)

var errInjected = errors.New("injected")

// storeLink is a daemon's connection to the store, with injected faults.
type storeLink struct {
	*fake.Platform
	cut, stale   bool
	loseNext     int           // number of following commits whose reply is lost
	cutAfterLoss bool          // cuts the link when a reply is lost
	last         *platform.Row // the head row as last read
	previous     *platform.Row // the head row before last, returned by stale reads
	headReads    int
	usage        *linkUsage // counts the traffic, if set
}

// unavailable returns the error of an operation on a cut link, else nil.
func (l *storeLink) unavailable(op string) error {
	if !l.cut {
		return nil
	}
	return &platform.UnavailableError{Op: op, Verdict: verdict.NotRun, Err: errInjected}
}

func (l *storeLink) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := l.unavailable("get"); err != nil {
		return nil, err
	}
	rows, err := l.Platform.Get(ctx, keys...)
	l.recordUsage(platform.GetRequest{Keys: keys}, platform.RowsReply{Rows: rows}, 1, 0)
	if err != nil || keys[0] != platform.ConfigHeadKey {
		return rows, err
	}
	l.headReads++
	if l.stale && l.previous != nil && l.headReads%2 == 0 {
		return []platform.Row{*l.previous}, nil
	}
	if l.last != nil && l.last.Version != rows[0].Version {
		l.previous = l.last
	}
	l.last = &rows[0]
	return rows, nil
}

func (l *storeLink) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := l.unavailable("scan"); err != nil {
		return nil, err
	}
	rows, err := l.Platform.Scan(ctx, prefix, after, limit)
	l.recordUsage(platform.ScanRequest{Prefix: prefix, After: after, Limit: limit}, platform.RowsReply{Rows: rows}, 1, 0)
	return rows, err
}

func (l *storeLink) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	if err := l.unavailable("commit"); err != nil {
		return 0, err
	}
	v, err := l.Platform.Commit(ctx, txn)
	l.recordUsage(txn, platform.CommitReply{Version: v}, 0, 1)
	if err == nil && l.loseNext > 0 {
		l.loseNext--
		l.cut = l.cutAfterLoss
		return 0, &platform.UnavailableError{Op: "commit", Verdict: verdict.MayHaveRun, Err: errInjected}
	}
	return v, err
}

// daemon is the control loop of a daemon in virtual time.
type daemon struct {
	fleet     *fleet
	name      string
	loop      *fake.Executor
	link      *storeLink
	manager   *sessions.Manager
	follower  *configsync.Follower
	snapshot  traffic.Snapshot
	state     membership.State // at the last refresh
	skew      time.Duration    // of the daemon's clock
	partition int              // daemons in different partitions cannot reach each other
	killed    bool
	paused    bool
}

// fleet is a set of daemons with one store in virtual time.
type fleet struct {
	clock    *fake.Clock
	platform *fake.Platform
	daemons  []*daemon
	logger   log.Interface
	maxDelay time.Duration
	ttl      time.Duration
	store    configsync.Store
	sessions int // number of session IDs issued
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

// start starts a new daemon with a peer address and a skewed clock.
func (f *fleet) start(name, address string) {
	d := &daemon{fleet: f, name: name, loop: fake.NewExecutor(f.clock, f.maxDelay), link: &storeLink{Platform: f.platform}}
	half := int64(membership.MaxClockSkew / 2)
	d.skew = time.Duration(f.clock.Rand().Int64N(2*half) - half)
	d.manager = sessions.NewManager(sessions.Options{
		Loop: d.loop, Table: d.link, TTL: f.ttl, Log: f.logger, Now: d.now,
		Self: membership.Session{Daemon: name, Region: "launceston", DataCentre: "launceston-1", PeerAddress: address},
		Head: func() sessions.Head {
			v, known := d.follower.Version()
			return sessions.Head{Revision: d.follower.Head().Revision, Version: v, Known: known}
		},
		NewID:         func() string { f.sessions++; return fmt.Sprintf("%04d", f.sessions) },
		OnHeadChanged: func() { d.follower.Check() },
	})
	d.follower = configsync.NewFollower(configsync.Options{
		Loop: d.loop, Table: d.link, Objects: f.platform.Objects(), Log: f.logger, Now: d.now,
		OnAdopted:  func(h document.Head, _ document.Document) { d.manager.SetRevision(h.Revision); d.refresh() },
		OnHeadRead: d.manager.Renew,
	})
	d.loop.Post(d.follower.Check)
	d.loop.Every(f.ttl/3, func(time.Time) { d.manager.Renew() })
	d.loop.Every(checkInterval, func(time.Time) { d.follower.Check() })
	d.loop.Every(pollInterval, func(time.Time) { d.pollPeers(); d.manager.Tick(d.now()); d.refresh() })
	f.daemons = append(f.daemons, d)
}

func (d *daemon) now() time.Time { return d.fleet.clock.Now().Add(d.skew) }

// refresh publishes a new snapshot.
func (d *daemon) refresh() {
	decision := d.manager.Decide(d.now())
	d.state = decision.State
	d.snapshot = traffic.Snapshot{
		Ready: decision.State != membership.Isolated && d.follower.Head().Revision > 0,
		Head:  d.follower.Head(), ValidUntil: decision.ValidUntil,
	}
}

func (d *daemon) serving() bool {
	ok, _ := d.snapshot.Serving(d.now())
	return ok && !d.killed
}

// pollPeers requests evidence about its session from every peer, as load reports
// do in the daemon.
func (d *daemon) pollPeers() {
	for _, s := range d.manager.Peers(d.now()) {
		requestedAt := d.now()
		d.loop.Go(func(context.Context) func() {
			peer := d.fleet.byAddress(s.PeerAddress)
			if peer == nil || peer == d || peer.paused || peer.partition != d.partition {
				return func() {}
			}
			e := peer.manager.Evidence(peer.now())
			e.RequestedAt = requestedAt
			return func() { d.manager.AddEvidence(e) }
		})
	}
}

// byAddress returns the running daemon with a peer address, or nil.
func (f *fleet) byAddress(address string) *daemon {
	for _, d := range f.daemons {
		if !d.killed && d.manager.Self().PeerAddress == address {
			return d
		}
	}
	return nil
}

// alive returns the daemons that were not killed.
func (f *fleet) alive() []*daemon {
	var out []*daemon
	for _, d := range f.daemons {
		if !d.killed {
			out = append(out, d)
		}
	}
	return out
}

// serving returns the number of daemons that serve.
func (f *fleet) serving() int {
	n := 0
	for _, d := range f.daemons {
		if d.serving() {
			n++
		}
	}
	return n
}

// pause stops the daemon's control loop and its replies to peers for a while.
func (d *daemon) pause(length time.Duration) {
	d.loop.Pause()
	d.paused = true
	d.fleet.clock.After(length, func() { d.paused = false; d.loop.Resume() })
}

func (d *daemon) kill() { d.loop.Kill(); d.killed = true }

// apply proposes a document through a table and returns the operator's result.
func (f *fleet) apply(table platform.Table, id string, base document.Revision) (document.Head, error) {
	body := fmt.Sprintf("rules: {services: [], members: [{name: %s, weight: 1}]}\n", id)
	store := configsync.Store{Table: table, Objects: f.platform.Objects()}
	return configsync.Propose(context.Background(), store, configsync.Proposal{ID: id, Body: []byte(body), BaseRevision: base, Author: id})
}

// adoption returns how far a revision has been adopted.
func (f *fleet) adoption(r document.Revision, now time.Time) (membership.Adoption, error) {
	rows, err := sessions.Read(context.Background(), f.platform)
	return membership.AdoptionOf(r, rows, now), err
}

// forget fences the lost sessions of a daemon that will not return, as an operator
// does.
func (f *fleet) forget(daemon string) {
	_, _ = sessions.Forget(context.Background(), f.platform, daemon, f.clock.Now())
}
