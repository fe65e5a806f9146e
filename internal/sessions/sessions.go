// Package sessions keeps this daemon's session row alive and knows the live
// sessions of the others. All methods run on the control loop.
package sessions

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/membership"
)

// maxSessions bounds one scan of the session rows.
const maxSessions = 10_000

// Options are the settings of a Keeper.
type Options struct {
	Loop  control.Executor
	Table platform.Table
	// Self names this daemon; its ID, expiry and revision are kept by the Keeper.
	Self membership.Session
	TTL  time.Duration
	Log  log.Interface
	Now  func() time.Time
}

// Keeper renews this daemon's session and reads the others'.
type Keeper struct {
	opts    Options
	self    membership.Session
	version platform.Version
	known   []membership.Session
	busy    bool
	again   bool
	// lastContact is when the table last answered.
	lastContact time.Time
}

// NewKeeper returns a keeper with a new session ID.
func NewKeeper(opts Options) *Keeper {
	k := &Keeper{opts: opts, self: opts.Self}
	k.self.ID = newID(opts.Self.Daemon)
	return k
}

func newID(daemon string) string { return daemon + "-" + rand.Text() }

// Self returns this daemon's session.
func (k *Keeper) Self() membership.Session { return k.self }

// Live returns the live sessions, this daemon's own included once it is written.
func (k *Keeper) Live(now time.Time) []membership.Session { return membership.Live(k.known, now) }

// LastContact returns when the table service last answered.
func (k *Keeper) LastContact() time.Time { return k.lastContact }

// SetRevision records the adopted revision and renews at once.
func (k *Keeper) SetRevision(r document.Revision) {
	if k.self.Revision == r {
		return
	}
	k.self.Revision = r
	k.Renew()
}

// SetLeaving records that the daemon is draining and renews at once.
func (k *Keeper) SetLeaving() {
	k.self.Leaving = true
	k.Renew()
}

type renewal struct {
	session  membership.Session
	version  platform.Version
	sessions []membership.Session
}

// Renew writes the session row and reads all rows, one renewal at a time.
func (k *Keeper) Renew() {
	if k.busy {
		k.again = true
		return
	}
	k.busy = true
	now := k.opts.Now()
	if k.self.ExpiresUnixMS != 0 && !k.self.Live(now) {
		k.replace()
	}
	next := k.self
	next.ExpiresUnixMS = now.Add(k.opts.TTL).UnixMilli()
	version := k.version
	control.Async(k.opts.Loop, func(ctx context.Context) (renewal, error) {
		return k.renew(ctx, next, version)
	}, k.renewed)
}

// replace begins a new session after the old one has expired, so that nothing
// done under the old one is taken for the new one's.
func (k *Keeper) replace() {
	k.opts.Log.WithFields(log.Fields{"event": "session_lost", "session": k.self.ID}).Warn("session expired")
	k.self.ID = newID(k.self.Daemon)
	k.self.ExpiresUnixMS = 0
	k.version = 0
}

func (k *Keeper) renew(ctx context.Context, s membership.Session, version platform.Version) (renewal, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return renewal{}, err
	}
	key := platform.SessionKey(s.ID)
	written, err := k.opts.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return renewal{}, err
	}
	rows, err := k.opts.Table.Scan(ctx, platform.SessionPrefix, "", maxSessions)
	if err != nil {
		return renewal{session: s, version: written}, err
	}
	return renewal{session: s, version: written, sessions: decode(rows)}, nil
}

func decode(rows []platform.Row) []membership.Session {
	var all []membership.Session
	for _, row := range rows {
		var s membership.Session
		if json.Unmarshal(row.Value, &s) == nil {
			all = append(all, s)
		}
	}
	return all
}

func (k *Keeper) renewed(r renewal, err error) {
	k.busy = false
	if r.version != 0 {
		k.version = r.version
		k.self.ExpiresUnixMS = r.session.ExpiresUnixMS
	}
	if err != nil {
		k.opts.Log.WithFields(log.Fields{"event": "session_renewal_failed"}).WithError(err).Warn("renewal failed")
		k.recover()
		return
	}
	k.lastContact = k.opts.Now()
	k.known = r.sessions
	if k.again {
		k.again = false
		k.Renew()
	}
}

// recover reads the version of the own row, since a lost reply may have been
// a success.
func (k *Keeper) recover() {
	key := platform.SessionKey(k.self.ID)
	control.Async(k.opts.Loop, func(ctx context.Context) (platform.Version, error) {
		rows, err := k.opts.Table.Get(ctx, key)
		if err != nil {
			return 0, err
		}
		return rows[0].Version, nil
	}, func(v platform.Version, err error) {
		if err == nil {
			k.version = v
		}
	})
}
