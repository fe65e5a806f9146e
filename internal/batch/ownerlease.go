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

// Keys and intervals of the daemons' owner rows.
const (
	ownerPrefix     = "owners/"
	renewalsByOwner = 3                      // renewals of an owner row within its lifetime
	retryInterval   = 500 * time.Millisecond // between two tries of a failed operation
	collectInterval = 10 * time.Minute       // between two scans for rows of daemons that are gone
	collectAfter    = time.Hour              // age of an expired row that is deleted
	maxOwnerRows    = 1000                   // owner rows read in one scan
)

func ownerKey(id string) string { return ownerPrefix + id }

// leaseKeeper keeps the one row by which this daemon holds all its shards, so
// that renewals cost the same however many shards there are.
type leaseKeeper struct {
	m       *Manager
	id      string
	version platform.Version
	// expires is the expiry that the row is known to have.
	expires time.Time
	// generation counts the renewals that came after the expiry: each of them
	// makes every shard check its own row before it trusts the new expiry.
	generation int
	busy       bool
	unsure     bool // the last write may have taken effect
	tried      time.Time
	collected  time.Time
}

func newLeaseKeeper(m *Manager) *leaseKeeper { return &leaseKeeper{m: m} }

// live reports whether others must leave this daemon's shards alone.
func (k *leaseKeeper) live(now time.Time) bool { return now.Before(k.expires) }

type renewed struct {
	version platform.Version
	expires time.Time
}

// renew extends the row when a third of its lifetime has passed.
func (k *leaseKeeper) renew(now time.Time) {
	ttl := k.m.opts.OwnerTTL
	if k.busy || len(k.m.owners) == 0 || now.Before(k.expires.Add(ttl/renewalsByOwner-ttl)) {
		return
	}
	if now.Sub(k.tried) < retryInterval || (k.m.draining && len(k.m.Owned()) == 0) {
		return
	}
	if k.id == "" {
		k.id = k.m.opts.Self().ID
	}
	k.busy, k.tried = true, now
	lease := shard.OwnerLease{Owner: k.id, ExpiresUnixMS: now.Add(ttl).UnixMilli()}
	version, unsure := k.version, k.unsure
	control.Async(k.m.opts.Loop, func(ctx context.Context) (renewed, error) {
		return k.write(ctx, lease, version, unsure)
	}, k.renewed)
}

// write commits the row. After a write without a reply it reads the row's
// version first; only this daemon writes the row.
func (k *leaseKeeper) write(ctx context.Context, lease shard.OwnerLease, version platform.Version, unsure bool) (renewed, error) {
	key := ownerKey(lease.Owner)
	if unsure {
		rows, err := k.m.opts.Table.Get(ctx, key)
		if err != nil {
			return renewed{}, err
		}
		version = rows[0].Version
	}
	value, err := json.Marshal(lease)
	if err != nil {
		return renewed{}, err
	}
	version, err = k.m.opts.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	return renewed{version: version, expires: lease.Expires()}, err
}

// renewed takes the new expiry over. Only a reply that came before the old
// expiry proves that nobody can have taken a shard in between.
func (k *leaseKeeper) renewed(r renewed, err error) {
	k.busy = false
	k.unsure = err != nil
	if err != nil {
		k.m.counters.renewalsFailed.Inc(1)
		k.m.opts.Log.WithField("event", "owner_renewal_failed").WithError(err).Warn("tried again")
		return
	}
	now := k.m.opts.Now()
	if !k.live(now) {
		k.generation++
	}
	k.version, k.expires = r.version, r.expires
	for _, o := range k.m.owners {
		if o.generation == k.generation {
			o.expires = r.expires
		}
	}
	k.collect(now)
}

// collect deletes the rows of daemons that have been gone for long.
func (k *leaseKeeper) collect(now time.Time) {
	if now.Sub(k.collected) < collectInterval {
		return
	}
	first := k.collected.IsZero()
	k.collected = now
	if first {
		return
	}
	control.Async(k.m.opts.Loop, func(ctx context.Context) (int, error) {
		return k.deleteExpired(ctx, now)
	}, func(n int, err error) {
		if err != nil {
			k.m.opts.Log.WithField("event", "owner_collect_failed").WithError(err).Warn("tried again later")
		}
		k.m.counters.collected.Inc(int64(n))
	})
}

func (k *leaseKeeper) deleteExpired(ctx context.Context, now time.Time) (int, error) {
	rows, err := k.m.opts.Table.Scan(ctx, ownerPrefix, "", maxOwnerRows)
	if err != nil {
		return 0, err
	}
	var txn platform.Txn
	var errs []error
	for _, row := range rows {
		var lease shard.OwnerLease
		if err := json.Unmarshal(row.Value, &lease); err != nil {
			errs = append(errs, err)
			continue
		}
		if now.Sub(lease.Expires()) > collectAfter {
			txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if len(txn.Deletes) > 0 {
		_, err := k.m.opts.Table.Commit(ctx, txn)
		errs = append(errs, err)
	}
	return len(txn.Deletes), errors.Join(errs...)
}
