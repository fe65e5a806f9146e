package sessions

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/membership"
)

// maxReaped is the maximum number of sessions that reapSessions fences, and that it
// deletes. It commits one transaction in each renewal of the reaping daemon.
const maxReaped = 50

// minTickRenewalInterval is the minimum time between two renewals that Tick starts.
const minTickRenewalInterval = 500 * time.Millisecond

// reapSessions fences lost sessions, and deletes the rows of fenced ones that no
// daemon counts any more, if this daemon is the reaper. The rows were read at readAt.
func (m *Manager) reapSessions(readAt time.Time) {
	if !m.isReaper(readAt) || m.guard.Decide(m.opts.Now()).State != membership.Attached {
		return
	}
	fences := membership.Fenceable(m.known, readAt)
	txn := fenceTxn(fences[:min(len(fences), maxReaped)], readAt)
	deletable := membership.Deletable(m.known)
	for _, s := range deletable[:min(len(deletable), maxReaped)] {
		txn.Deletes = append(txn.Deletes, platform.SessionKey(s.ID))
	}
	if len(txn.Puts)+len(txn.Deletes) == 0 {
		return
	}
	for _, s := range fences {
		m.opts.Log.WithFields(log.Fields{"event": "session_fenced", "session": s.ID, "revision": s.Revision}).Warn("fencing a lost session")
	}
	control.Async(m.opts.Loop, func(ctx context.Context) (platform.Version, error) {
		return m.opts.Table.Commit(ctx, txn)
	}, func(_ platform.Version, err error) {
		if err != nil {
			m.opts.Log.WithField("event", "session_sweep_failed").WithError(err).Warn("fencing or deleting sessions failed; will retry after the next renewal")
		}
	})
}

// Tick renews early after a failed renewal and, on the reaper, when another session
// has expired, so that the sessions are read again. The control loop calls it often.
func (m *Manager) Tick(now time.Time) {
	if m.inFlight || now.Sub(m.lastAttempt) < minTickRenewalInterval {
		return
	}
	if m.scanStale {
		m.Renew()
		return
	}
	if !m.isReaper(now) {
		return
	}
	expired := now.Add(-membership.MaxClockSkew).UnixMilli()
	for _, s := range m.known {
		if s.FencedUnixMS == 0 && s.ExpiresUnixMS < expired {
			m.Renew()
			return
		}
	}
}

// isReaper reports whether this daemon reaps the sessions: its own is the first of
// the live ones.
func (m *Manager) isReaper(now time.Time) bool {
	live := m.Live(now)
	return len(live) > 0 && live[0].ID == m.self.ID
}

// fenceTxn returns a transaction that fences the sessions, provided that none has
// changed.
func fenceTxn(sessions []membership.Session, now time.Time) platform.Txn {
	var txn platform.Txn
	for _, s := range sessions {
		key := platform.SessionKey(s.ID)
		version := platform.Version(s.Version)
		s.FencedUnixMS = now.UnixMilli()
		value, err := json.Marshal(s)
		if err != nil {
			continue
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: key, Version: version})
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
	}
	return txn
}

// Forget fences the expired sessions of a daemon that an operator has declared
// permanently lost, and returns their number. It is safe for concurrent use.
func Forget(ctx context.Context, table platform.Table, daemon string, now time.Time) (int, error) {
	rows, err := Read(ctx, table)
	if err != nil {
		return 0, err
	}
	var expired []membership.Session
	for _, s := range rows {
		if s.Daemon == daemon && s.FencedUnixMS == 0 && !s.Live(now) {
			expired = append(expired, s)
		}
	}
	if len(expired) == 0 {
		return 0, nil
	}
	_, err = table.Commit(ctx, fenceTxn(expired, now))
	return len(expired), err
}
