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

// maxSweep bounds the rows of one sweep, which is one transaction for each
// renewal of one daemon.
const maxSweep = 50

// watchInterval is the least time between two early renewals.
const watchInterval = 500 * time.Millisecond

// sweep fences lost sessions and deletes forgotten ones, if this daemon is the
// one to do it: the first of the live ones. The rows were read at readAt.
func (k *Manager) sweep(readAt time.Time) {
	if !k.sweeps(readAt) || k.guard.Decide(k.opts.Now()).State != membership.Attached {
		return
	}
	fences := membership.Fenceable(k.known, readAt)
	txn := fenceTxn(fences[:min(len(fences), maxSweep)], readAt)
	forgotten := membership.Deletable(k.known)
	for _, s := range forgotten[:min(len(forgotten), maxSweep)] {
		txn.Deletes = append(txn.Deletes, platform.SessionKey(s.ID))
	}
	if len(txn.Puts)+len(txn.Deletes) == 0 {
		return
	}
	for _, s := range fences {
		k.opts.Log.WithFields(log.Fields{"event": "session_fenced", "session": s.ID, "revision": s.Revision}).Warn("fencing a lost session")
	}
	control.Async(k.opts.Loop, func(ctx context.Context) (platform.Version, error) {
		return k.opts.Table.Commit(ctx, txn)
	}, func(_ platform.Version, err error) {
		if err != nil {
			k.opts.Log.WithField("event", "session_sweep_failed").WithError(err).Warn("tried again after the next renewal")
		}
	})
}

// Tick renews early after a failure, and to read the sessions again while this
// daemon sweeps and a session has expired. It is called often.
func (k *Manager) Tick(now time.Time) {
	if k.busy || now.Sub(k.triedAt) < watchInterval {
		return
	}
	if k.stale {
		k.Renew()
		return
	}
	if !k.sweeps(now) {
		return
	}
	expired := now.Add(-membership.MaxClockSkew).UnixMilli()
	for _, s := range k.known {
		if s.FencedUnixMS == 0 && s.ExpiresUnixMS < expired {
			k.Renew()
			return
		}
	}
}

// sweeps reports whether this daemon is the one to sweep: the first of the live.
func (k *Manager) sweeps(now time.Time) bool {
	live := k.Live(now)
	return len(live) > 0 && live[0].ID == k.self.ID
}

// fenceTxn marks sessions as fenced unless they change first.
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

// Forget fences the sessions of a daemon that an operator knows to be gone, and
// returns how many there were. It runs on any goroutine.
func Forget(ctx context.Context, table platform.Table, daemon string, now time.Time) (int, error) {
	rows, err := Read(ctx, table)
	if err != nil {
		return 0, err
	}
	var gone []membership.Session
	for _, s := range rows {
		if s.Daemon == daemon && s.FencedUnixMS == 0 && !s.Live(now) {
			gone = append(gone, s)
		}
	}
	if len(gone) == 0 {
		return 0, nil
	}
	_, err = table.Commit(ctx, fenceTxn(gone, now))
	return len(gone), err
}
