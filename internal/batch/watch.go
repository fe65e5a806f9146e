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

// watchInterval is how often a daemon reads the heads of the shards that it
// should own and does not.
const watchInterval = 500 * time.Millisecond

// watch is the reading of heads; one is in progress at a time.
type watch struct {
	busy bool
	last time.Time
}

// seen is a shard's head row with the row of its owner.
type seen struct {
	name         string
	head         shard.Head
	version      platform.Version
	lease        shard.OwnerLease
	leaseVersion platform.Version
}

// watchHeads reads the heads of all wanted shards at once and takes those
// whose owner's time has run out, or which are this daemon's own unknowingly.
func (m *Manager) watchHeads(now time.Time) {
	if m.watch.busy || m.draining || !m.keeper.live(now) || now.Sub(m.watch.last) < watchInterval {
		return
	}
	self := m.opts.Self().ID
	var wanted []string
	for _, name := range m.names() {
		o := m.owners[name]
		if o.free() && (m.candidates[name] == self || o.unsure) {
			wanted = append(wanted, name)
		}
	}
	if len(wanted) == 0 {
		return
	}
	m.watch.busy, m.watch.last = true, now
	control.Async(m.opts.Loop, func(ctx context.Context) ([]seen, error) {
		return m.readHeads(ctx, wanted)
	}, func(all []seen, err error) {
		m.watch.busy = false
		if err != nil {
			m.opts.Log.WithField("event", "heads_unread").WithError(err).Warn("tried again")
			return
		}
		for _, s := range all {
			m.takeOver(s)
		}
	})
}

func (m *Manager) readHeads(ctx context.Context, names []string) ([]seen, error) {
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = platform.ShardHeadKey(name)
	}
	rows, err := m.opts.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	all := make([]seen, len(names))
	var owners []string
	for i, row := range rows {
		all[i] = seen{name: names[i], version: row.Version}
		if row.Version == 0 {
			continue
		}
		if err := json.Unmarshal(row.Value, &all[i].head); err != nil {
			return nil, err
		}
		owners = append(owners, ownerKey(all[i].head.Owner))
	}
	return all, m.readOwners(ctx, owners, all)
}

// readOwners fills in the rows of the shards' owners.
func (m *Manager) readOwners(ctx context.Context, keys []string, all []seen) error {
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

// takeOver takes a shard unless its owner is live.
func (m *Manager) takeOver(s seen) {
	now := m.opts.Now()
	o := m.owners[s.name]
	if !o.free() || m.draining || !m.keeper.live(now) {
		return
	}
	if s.head.Owner == m.keeper.id {
		s.lease.ExpiresUnixMS = max(s.lease.ExpiresUnixMS, m.keeper.expires.UnixMilli())
	}
	next, err := m.timing.TakeOver(s.head, s.lease, m.keeper.id, now)
	var owned *shard.OwnedError
	if errors.As(err, &owned) {
		o.unsure = false // the write that had no reply has been overtaken
		return
	}
	o.acquire(next, s)
}
