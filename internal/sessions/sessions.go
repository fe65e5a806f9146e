// Package sessions keeps this daemon's session row alive, knows the sessions of
// the others and fences lost ones. All methods run on the control loop unless
// they say otherwise.
package sessions

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/membership"
	"github.com/bambooyard/bambooyard/verdict"
)

// maxSessions bounds one scan of the session rows.
const maxSessions = 10_000

// Head is the document that this daemon has adopted, with its row's version.
type Head struct {
	Revision document.Revision
	Version  platform.Version
	// Known is set once the row has been read.
	Known bool
}

// Options are the settings of a Keeper.
type Options struct {
	Loop  control.Executor
	Table platform.Table
	// Self names this daemon; its ID, times and revision are kept by the Keeper.
	Self membership.Session
	TTL  time.Duration
	Log  log.Interface
	Now  func() time.Time
	// Head returns what the daemon has adopted.
	Head func() Head
	// NewID returns a text that no other session has.
	NewID func() string
	// OnHeadChanged is called when the head row has changed since.
	OnHeadChanged func()
}

// Manager renews this daemon's session and reads the others'.
type Manager struct {
	opts  Options
	guard *membership.Guard
	self  membership.Session
	// next is a session being established; its ID is kept while a lost reply
	// may have been a success.
	next      membership.Session
	ambiguous bool
	viewed    int64 // highest version in the last scan
	known     []membership.Session
	busy      bool
	again     bool
	leaving   bool
	scannedAt time.Time
	triedAt   time.Time // when the last renewal began
	stale     bool      // the last scan must not be relied on for the own row
	// lastContact is when the table last answered.
	lastContact time.Time
}

// NewManager returns a keeper that has not established a session yet.
func NewManager(opts Options) *Manager {
	k := &Manager{opts: opts, guard: membership.NewGuard(opts.TTL), self: opts.Self}
	k.self.ID = k.newID()
	return k
}

func (k *Manager) newID() string { return k.opts.Self.Daemon + "-" + k.opts.NewID() }

// Self returns this daemon's session.
func (k *Manager) Self() membership.Session { return k.self }

// Live returns the live sessions, this daemon's own included once it is written.
func (k *Manager) Live(now time.Time) []membership.Session { return membership.Live(k.known, now) }

// Peers returns the sessions to stay in touch with: the live ones, or while the
// store is lost, all that were live when it last answered.
func (k *Manager) Peers(now time.Time) []membership.Session {
	if k.guard.Decide(now).State == membership.Attached {
		return k.Live(now)
	}
	return membership.Live(k.known, k.lastContact)
}

// LastContact returns when the table service last answered.
func (k *Manager) LastContact() time.Time { return k.lastContact }

// Decide says whether the daemon may serve.
func (k *Manager) Decide(now time.Time) membership.Decision { return k.guard.Decide(now) }

// AddEvidence records a peer's answer about its session.
func (k *Manager) AddEvidence(e membership.Evidence) { k.guard.AddEvidence(e, k.self.Revision) }

// Evidence answers a peer that asks about this daemon's session. While a new
// session may have been established, the old one is no evidence.
func (k *Manager) Evidence(now time.Time) membership.Evidence {
	lost := k.guard.Decide(now).State != membership.Attached
	return membership.Evidence{
		Session:   k.self.ID,
		Abandoned: lost && k.next.ID == "",
		Revision:  k.self.Revision,
	}
}

// SetRevision records the adopted revision and renews at once.
func (k *Manager) SetRevision(r document.Revision) {
	if k.self.Revision == r {
		return
	}
	k.self.Revision = r
	k.Renew()
}

// SetLeaving records that the daemon is draining and renews at once.
func (k *Manager) SetLeaving() {
	k.leaving = true
	k.Renew()
}

// Release deletes the session row at a graceful stop; it runs on any goroutine
// after the control loop has ended.
func (k *Manager) Release(ctx context.Context) error {
	_, err := k.opts.Table.Commit(ctx, platform.Txn{Deletes: []string{platform.SessionKey(k.self.ID)}})
	return err
}

// Renew writes this daemon's session row, one renewal at a time. It reads all
// rows first unless that was done lately, as when only the revision changed.
func (k *Manager) Renew() {
	if k.busy {
		k.again = true
		return
	}
	k.busy, k.triedAt = true, k.opts.Now()
	if k.viewIsFresh() {
		k.renew()
		return
	}
	readAt, known := k.opts.Now(), k.known
	control.Async(k.opts.Loop, func(ctx context.Context) ([]membership.Session, error) {
		return readChanged(ctx, k.opts.Table, known)
	}, func(rows []membership.Session, err error) {
		if err != nil {
			k.fail(err)
			return
		}
		k.read(rows, readAt)
	})
}

// viewIsFresh reports whether the session can be renewed without a scan. The
// daemon that sweeps always scans.
func (k *Manager) viewIsFresh() bool {
	now := k.opts.Now()
	return !k.stale && now.Sub(k.scannedAt) < k.opts.TTL/4 && !k.sweeps(now) &&
		k.guard.Decide(now).State == membership.Attached
}

// Read reads all session rows; it runs on any goroutine.
func Read(ctx context.Context, table platform.Table) ([]membership.Session, error) {
	return readChanged(ctx, table, nil)
}

// readChanged reads all session rows and decodes those that are not known at
// their version.
func readChanged(ctx context.Context, table platform.Table, known []membership.Session) ([]membership.Session, error) {
	rows, err := table.Scan(ctx, platform.SessionPrefix, "", maxSessions)
	if err != nil {
		return nil, err
	}
	decoded := make(map[int64]membership.Session, len(known))
	for _, s := range known {
		decoded[s.Version] = s
	}
	all := make([]membership.Session, 0, len(rows))
	for _, row := range rows {
		version := int64(row.Version)
		s, ok := decoded[version]
		if !ok || platform.SessionKey(s.ID) != row.Key {
			s = membership.Session{}
			if err := json.Unmarshal(row.Value, &s); err != nil {
				return nil, &RowError{Key: row.Key, Err: err}
			}
			s.Version = version
		}
		all = append(all, s)
	}
	return all, nil
}

// RowError reports a session row that cannot be read.
type RowError struct {
	Key string
	Err error
}

// Error implements error.
func (e *RowError) Error() string { return "row " + e.Key + " is not a session: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// read takes in the rows that were asked for at readAt and goes on to write.
func (k *Manager) read(rows []membership.Session, readAt time.Time) {
	k.known, k.scannedAt, k.viewed, k.stale = rows, readAt, 0, false
	k.lastContact = readAt
	for _, s := range rows {
		k.viewed = max(k.viewed, s.Version)
	}
	k.sweep(readAt)
	if k.guard.Decide(k.opts.Now()).State == membership.Attached {
		k.renew()
		return
	}
	k.establish()
}

// find returns the row of a session in the last scan.
func (k *Manager) find(id string) (membership.Session, bool) {
	for _, s := range k.known {
		if s.ID == id {
			return s, true
		}
	}
	return membership.Session{}, false
}

// renew writes the established session's row again.
func (k *Manager) renew() {
	row, ok := k.find(k.self.ID)
	if !ok || row.FencedUnixMS != 0 {
		k.opts.Log.WithFields(log.Fields{"event": "session_lost", "session": k.self.ID}).Warn("session fenced")
		k.guard.Abandon()
		k.establish()
		return
	}
	checks := []platform.Check{{Key: platform.SessionKey(k.self.ID), Version: platform.Version(row.Version)}}
	k.write(k.self, checks, func(s membership.Session, sentAt time.Time) {
		if k.guard.Renew(s, sentAt) {
			k.self = keepRevision(s, k.self.Revision)
		}
	})
}

// establish writes a new session's row. The transaction checks the head row,
// so that a session begins only under the revision in force.
func (k *Manager) establish() {
	head := k.opts.Head()
	if !head.Known {
		k.finish()
		return
	}
	if k.next.ID == "" {
		k.next = k.opts.Self
		k.next.ID = k.newID()
		k.next.EstablishedUnixMS = k.opts.Now().UnixMilli()
	}
	k.next.Revision = head.Revision
	row, _ := k.find(k.next.ID)
	if row.FencedUnixMS != 0 {
		k.next, k.ambiguous = membership.Session{}, false
		k.finish()
		return
	}
	checks := []platform.Check{
		{Key: platform.SessionKey(k.next.ID), Version: platform.Version(row.Version)},
		{Key: platform.ConfigHeadKey, Version: head.Version},
	}
	k.write(k.next, checks, func(s membership.Session, sentAt time.Time) {
		k.opts.Log.WithFields(log.Fields{"event": "session_established", "session": s.ID, "revision": s.Revision}).Info("established")
		k.guard.Establish(s, sentAt)
		k.self = keepRevision(s, max(s.Revision, k.self.Revision))
		k.next, k.ambiguous = membership.Session{}, false
	})
}

// keepRevision returns s with the revision adopted while s was being written.
func keepRevision(s membership.Session, r document.Revision) membership.Session {
	s.Revision = r
	return s
}

// write commits a session's row and reports what came of it.
func (k *Manager) write(s membership.Session, checks []platform.Check, done func(membership.Session, time.Time)) {
	now := k.opts.Now()
	view := membership.Live(k.known, now)
	if _, ok := k.find(s.ID); !ok {
		view = append(view, s)
	}
	k.guard.SetView(view)
	s.LiveSessions, s.ViewedVersion, s.Leaving = len(view), k.viewed, k.leaving
	s.RenewedUnixMS, s.ExpiresUnixMS = now.UnixMilli(), now.Add(k.opts.TTL).UnixMilli()
	control.Async(k.opts.Loop, func(ctx context.Context) (platform.Version, error) {
		value, err := json.Marshal(s)
		if err != nil {
			return 0, err
		}
		return k.opts.Table.Commit(ctx, platform.Txn{
			Checks: checks,
			Puts:   []platform.Put{{Key: platform.SessionKey(s.ID), Value: value}},
		})
	}, func(version platform.Version, err error) {
		if err != nil {
			k.refused(err)
			return
		}
		k.lastContact = now
		s.Version = int64(version)
		k.setRow(s)
		done(s, now)
		k.finish()
	})
}

// setRow keeps the own row as it was written, until the next scan.
func (k *Manager) setRow(s membership.Session) {
	rows := slices.DeleteFunc(slices.Clone(k.known), func(o membership.Session) bool { return o.ID == s.ID })
	k.known = append(rows, s)
}

// refused handles a write that failed or whose reply was lost.
func (k *Manager) refused(err error) {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Keys, platform.ConfigHeadKey) {
		k.opts.OnHeadChanged()
	}
	if k.next.ID != "" {
		k.ambiguous = k.ambiguous || mayHaveRun(err)
		if !k.ambiguous {
			k.next = membership.Session{}
		}
	}
	k.fail(err)
}

func mayHaveRun(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Verdict != verdict.NotRun
}

func (k *Manager) fail(err error) {
	k.stale = true
	k.opts.Log.WithFields(log.Fields{"event": "session_renewal_failed"}).WithError(err).Warn("renewal failed")
	k.finish()
}

func (k *Manager) finish() {
	k.busy = false
	if k.again {
		k.again = false
		k.Renew()
	}
}
