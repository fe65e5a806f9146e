package batch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// headPollInterval is how often a daemon reads the head rows of the shards that it
// should own but does not.
const headPollInterval = 500 * time.Millisecond

// headPoll is the state of the head row polling; one read is in flight at a time.
type headPoll struct {
	inFlight  bool
	lastStart time.Time
}

// ownershipView is a shard's head row with the row of its owner, and the versions of
// both.
type ownershipView struct {
	name         string
	head         shard.Head
	version      platform.Version
	lease        shard.OwnerLease
	leaseVersion platform.Version
}

// pollHeads reads the head rows of the shards that this daemon should own or may own
// unknowingly, and acquires those whose owner's lease has expired.
func (m *Manager) pollHeads(now time.Time) {
	if m.headPoll.inFlight || m.draining || !m.ownerLease.valid(now) || now.Sub(m.headPoll.lastStart) < headPollInterval {
		return
	}
	self := m.opts.Self().ID
	var wanted []string
	for _, name := range m.names() {
		o := m.owners[name]
		if o.acquirable() && (m.candidates[name] == self || o.maybeOwned) {
			wanted = append(wanted, name)
		}
	}
	if len(wanted) == 0 {
		return
	}
	m.headPoll.inFlight, m.headPoll.lastStart = true, now
	control.Async(m.opts.Loop, func(ctx context.Context) ([]ownershipView, error) {
		return m.readHeads(ctx, wanted)
	}, func(all []ownershipView, err error) {
		m.headPoll.inFlight = false
		if err != nil {
			m.opts.Log.WithField("event", "heads_unread").WithError(err).Warn("cannot read shard head rows; will retry")
			return
		}
		for _, s := range all {
			m.takeOver(s)
		}
	})
}

func (m *Manager) readHeads(ctx context.Context, names []string) ([]ownershipView, error) {
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = platform.ShardHeadKey(name)
	}
	rows, err := m.opts.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	all := make([]ownershipView, len(names))
	var ownerKeys []string
	for i, row := range rows {
		all[i] = ownershipView{name: names[i], version: row.Version}
		if row.Version == 0 {
			continue
		}
		if err := json.Unmarshal(row.Value, &all[i].head); err != nil {
			return nil, err
		}
		ownerKeys = append(ownerKeys, ownerKey(all[i].head.Owner))
	}
	return all, m.readOwners(ctx, ownerKeys, all)
}

// readOwners fills in the owner rows.
func (m *Manager) readOwners(ctx context.Context, keys []string, all []ownershipView) error {
	if len(keys) == 0 {
		return nil
	}
	rows, err := m.opts.Table.Get(ctx, keys...)
	if err != nil {
		return err
	}
	byKey := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	for i := range all {
		row := byKey[ownerKey(all[i].head.Owner)]
		all[i].leaseVersion = row.Version
		if row.Version == 0 {
			continue
		}
		if err := json.Unmarshal(row.Value, &all[i].lease); err != nil {
			return err
		}
	}
	return nil
}

// takeOver acquires a shard unless its owner's lease is live.
func (m *Manager) takeOver(s ownershipView) {
	now := m.opts.Now()
	o := m.owners[s.name]
	if !o.acquirable() || m.draining || !m.ownerLease.valid(now) {
		return
	}
	if s.head.Owner == m.ownerLease.id {
		s.lease.ExpiresUnixMS = max(s.lease.ExpiresUnixMS, m.ownerLease.expires.UnixMilli())
	}
	next, err := m.timing.TakeOver(s.head, s.lease, m.ownerLease.id, now)
	var owned *shard.OwnedError
	if errors.As(err, &owned) {
		o.maybeOwned = false // another owner has a live lease, so the write without a reply can no longer take effect
		return
	}
	o.acquire(next, s)
}
