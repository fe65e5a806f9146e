// Package sessions renews this daemon's session, tracks the sessions of the other
// daemons and fences lost ones. All methods must be called on the control loop
// unless they say otherwise.
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

// maxSessions is the maximum number of session rows read in one scan.
const maxSessions = 10_000

// Head is the document that this daemon has adopted, with the version of the head
// row.
type Head struct {
	Revision document.Revision
	Version  platform.Version
	// Known is set once the row has been read.
	Known bool
}

// Options are the settings of a Manager.
type Options struct {
	Loop  control.Executor
	Table platform.Table
	// Self names this daemon; the Manager sets its ID, times and revision.
	Self membership.Session
	TTL  time.Duration
	Log  log.Interface
	Now  func() time.Time
	// Head returns the adopted document.
	Head func() Head
	// NewID returns a string that is unique among all sessions.
	NewID func() string
	// OnHeadChanged is called when a commit shows that the head row has changed
	// since Head was read.
	OnHeadChanged func()
}

// Manager renews this daemon's session and reads the sessions of the others.
type Manager struct {
	opts  Options
	guard *membership.Guard
	self  membership.Session
	// establishing is the session being established. Its ID is kept while an attempt
	// without a reply may have succeeded, in which case ambiguous is set.
	establishing  membership.Session
	ambiguous     bool
	viewedVersion int64                // highest row version in the last scan
	known         []membership.Session // rows of the last scan, with this daemon's own as last written
	inFlight      bool
	renewAgain    bool
	leaving       bool
	lastScan      time.Time
	lastAttempt   time.Time // when the last renewal began
	scanStale     bool      // the last scan may be outdated for this daemon's own row
	// lastContact is when the table service last answered.
	lastContact time.Time
}

// NewManager returns a Manager that has not established a session yet.
func NewManager(opts Options) *Manager {
	m := &Manager{opts: opts, guard: membership.NewGuard(opts.TTL), self: opts.Self}
	m.self.ID = m.newID()
	return m
}

func (m *Manager) newID() string { return m.opts.Self.Daemon + "-" + m.opts.NewID() }

// Self returns this daemon's session.
func (m *Manager) Self() membership.Session { return m.self }

// Live returns the live sessions, including this daemon's own once its row is
// written.
func (m *Manager) Live(now time.Time) []membership.Session { return membership.Live(m.known, now) }

// Peers returns the sessions of the daemons to exchange evidence with: the live ones
// or, while the table service is unreachable, those that were live when it last
// answered.
func (m *Manager) Peers(now time.Time) []membership.Session {
	if m.guard.Decide(now).State == membership.Attached {
		return m.Live(now)
	}
	return membership.Live(m.known, m.lastContact)
}

// LastContact returns when the table service last answered.
func (m *Manager) LastContact() time.Time { return m.lastContact }

// Decide returns whether the daemon may serve.
func (m *Manager) Decide(now time.Time) membership.Decision { return m.guard.Decide(now) }

// AddEvidence records a peer's reply about its own session.
func (m *Manager) AddEvidence(e membership.Evidence) { m.guard.AddEvidence(e, m.self.Revision) }

// Evidence returns this daemon's reply to a peer that requests its session. The
// old session is not reported as abandoned while a new one may have been
// established.
func (m *Manager) Evidence(now time.Time) membership.Evidence {
	lost := m.guard.Decide(now).State != membership.Attached
	return membership.Evidence{
		Session:   m.self.ID,
		Abandoned: lost && m.establishing.ID == "",
		Revision:  m.self.Revision,
	}
}

// SetRevision sets the adopted revision and renews the session at once.
func (m *Manager) SetRevision(r document.Revision) {
	if m.self.Revision == r {
		return
	}
	m.self.Revision = r
	m.Renew()
}

// SetLeaving marks the daemon as draining and renews the session at once.
func (m *Manager) SetLeaving() {
	m.leaving = true
	m.Renew()
}

// Release deletes the session row at a graceful stop. It may be called from any
// goroutine once the control loop has ended.
func (m *Manager) Release(ctx context.Context) error {
	_, err := m.opts.Table.Commit(ctx, platform.Txn{Deletes: []string{platform.SessionKey(m.self.ID)}})
	return err
}

// Renew writes this daemon's session row, one renewal at a time. It scans all rows
// first unless the last scan is recent, as when only the revision has changed.
func (m *Manager) Renew() {
	if m.inFlight {
		m.renewAgain = true
		return
	}
	m.inFlight, m.lastAttempt = true, m.opts.Now()
	if m.viewIsFresh() {
		m.renew()
		return
	}
	readAt, known := m.opts.Now(), m.known
	control.Async(m.opts.Loop, func(ctx context.Context) ([]membership.Session, error) {
		return readChanged(ctx, m.opts.Table, known)
	}, func(rows []membership.Session, err error) {
		if err != nil {
			m.handleFailure(err)
			return
		}
		m.handleScan(rows, readAt)
	})
}

// viewIsFresh reports whether the session can be renewed without a scan. The daemon
// that reaps sessions always scans.
func (m *Manager) viewIsFresh() bool {
	now := m.opts.Now()
	return !m.scanStale && now.Sub(m.lastScan) < m.opts.TTL/4 && !m.isReaper(now) &&
		m.guard.Decide(now).State == membership.Attached
}

// Read reads all session rows. It is safe for concurrent use. The error is a
// *RowError if a row cannot be decoded.
func Read(ctx context.Context, table platform.Table) ([]membership.Session, error) {
	return readChanged(ctx, table, nil)
}

// readChanged reads all session rows and decodes those that are not in known at the
// same version.
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

// RowError reports a session row that cannot be decoded.
type RowError struct {
	Key string
	Err error
}

// Error implements error.
func (e *RowError) Error() string { return "row " + e.Key + " is not a session: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// handleScan stores the rows of a scan that began at readAt, then writes this
// daemon's row.
func (m *Manager) handleScan(rows []membership.Session, readAt time.Time) {
	m.known, m.lastScan, m.viewedVersion, m.scanStale = rows, readAt, 0, false
	m.lastContact = readAt
	for _, s := range rows {
		m.viewedVersion = max(m.viewedVersion, s.Version)
	}
	m.reapSessions(readAt)
	if m.guard.Decide(m.opts.Now()).State == membership.Attached {
		m.renew()
		return
	}
	m.establish()
}

// find returns the row of a session in the last scan.
func (m *Manager) find(id string) (membership.Session, bool) {
	for _, s := range m.known {
		if s.ID == id {
			return s, true
		}
	}
	return membership.Session{}, false
}

// renew writes the row of the established session. If the session has been fenced,
// it establishes a new one.
func (m *Manager) renew() {
	row, ok := m.find(m.self.ID)
	if !ok || row.FencedUnixMS != 0 {
		m.opts.Log.WithFields(log.Fields{"event": "session_lost", "session": m.self.ID}).Warn("session fenced or deleted; establishing a new one")
		m.guard.Abandon()
		m.establish()
		return
	}
	checks := []platform.Check{{Key: platform.SessionKey(m.self.ID), Version: platform.Version(row.Version)}}
	m.write(m.self, checks, func(s membership.Session, sentAt time.Time) {
		if m.guard.Renew(s, sentAt) {
			m.self = withRevision(s, m.self.Revision)
		}
	})
}

// establish writes the row of a new session. The transaction checks the head row, so
// that a session begins only under the revision in force.
func (m *Manager) establish() {
	head := m.opts.Head()
	if !head.Known {
		m.finishRenewal()
		return
	}
	if m.establishing.ID == "" {
		m.establishing = m.opts.Self
		m.establishing.ID = m.newID()
		m.establishing.EstablishedUnixMS = m.opts.Now().UnixMilli()
	}
	m.establishing.Revision = head.Revision
	row, _ := m.find(m.establishing.ID)
	if row.FencedUnixMS != 0 {
		m.establishing, m.ambiguous = membership.Session{}, false
		m.finishRenewal()
		return
	}
	checks := []platform.Check{
		{Key: platform.SessionKey(m.establishing.ID), Version: platform.Version(row.Version)},
		{Key: platform.ConfigHeadKey, Version: head.Version},
	}
	m.write(m.establishing, checks, func(s membership.Session, sentAt time.Time) {
		m.opts.Log.WithFields(log.Fields{"event": "session_established", "session": s.ID, "revision": s.Revision}).Info("session established")
		m.guard.Establish(s, sentAt)
		m.self = withRevision(s, max(s.Revision, m.self.Revision))
		m.establishing, m.ambiguous = membership.Session{}, false
	})
}

// withRevision returns s with the revision adopted while s was being written.
func withRevision(s membership.Session, r document.Revision) membership.Session {
	s.Revision = r
	return s
}

// write commits a session row. It calls done with the written session and the time
// when it was sent, or handleWriteError.
func (m *Manager) write(s membership.Session, checks []platform.Check, done func(membership.Session, time.Time)) {
	now := m.opts.Now()
	view := membership.Live(m.known, now)
	if _, ok := m.find(s.ID); !ok {
		view = append(view, s)
	}
	m.guard.SetView(view)
	s.LiveSessions, s.ViewedVersion, s.Leaving = len(view), m.viewedVersion, m.leaving
	s.RenewedUnixMS, s.ExpiresUnixMS = now.UnixMilli(), now.Add(m.opts.TTL).UnixMilli()
	control.Async(m.opts.Loop, func(ctx context.Context) (platform.Version, error) {
		value, err := json.Marshal(s)
		if err != nil {
			return 0, err
		}
		return m.opts.Table.Commit(ctx, platform.Txn{
			Checks: checks,
			Puts:   []platform.Put{{Key: platform.SessionKey(s.ID), Value: value}},
		})
	}, func(version platform.Version, err error) {
		if err != nil {
			m.handleWriteError(err)
			return
		}
		m.lastContact = now
		s.Version = int64(version)
		m.setRow(s)
		done(s, now)
		m.finishRenewal()
	})
}

// setRow replaces this daemon's own row in known until the next scan.
func (m *Manager) setRow(s membership.Session) {
	rows := slices.DeleteFunc(slices.Clone(m.known), func(o membership.Session) bool { return o.ID == s.ID })
	m.known = append(rows, s)
}

// handleWriteError handles a write that failed or got no reply.
func (m *Manager) handleWriteError(err error) {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Keys, platform.ConfigHeadKey) {
		m.opts.OnHeadChanged()
	}
	if m.establishing.ID != "" {
		m.ambiguous = m.ambiguous || mayHaveRun(err)
		if !m.ambiguous {
			m.establishing = membership.Session{}
		}
	}
	m.handleFailure(err)
}

func mayHaveRun(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Verdict != verdict.NotRun
}

func (m *Manager) handleFailure(err error) {
	m.scanStale = true
	m.opts.Log.WithFields(log.Fields{"event": "session_renewal_failed"}).WithError(err).Warn("session renewal failed")
	m.finishRenewal()
}

func (m *Manager) finishRenewal() {
	m.inFlight = false
	if m.renewAgain {
		m.renewAgain = false
		m.Renew()
	}
}
