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

// Keys, intervals and limits of the daemons' owner rows.
const (
	ownerPrefix          = "owners/"
	ownerRenewalsPerTTL  = 3                      // renewals of an owner row within its TTL
	retryInterval        = 500 * time.Millisecond // between two attempts of a failed operation
	ownerCollectInterval = 10 * time.Minute       // between two scans for expired owner rows
	ownerCollectAge      = time.Hour              // time since expiry after which an owner row is deleted
	maxOwnerRows         = 1000                   // owner rows read in one scan
)

func ownerKey(id string) string { return ownerPrefix + id }

// leaseManager renews the single owner row through which this daemon holds all its
// shards, so that the cost of renewals does not depend on the number of shards.
type leaseManager struct {
	manager *Manager
	id      string
	version platform.Version
	// expires is the last known expiry of the row.
	expires time.Time
	// generation counts the renewals that completed after the expiry. After each of
	// them every shard must check its own head row before it relies on the new
	// expiry.
	generation     int
	inFlight       bool
	outcomeUnknown bool // the last write may have taken effect
	lastAttempt    time.Time
	lastCollection time.Time
}

func newLeaseManager(m *Manager) *leaseManager { return &leaseManager{manager: m} }

// valid reports whether the lease prevents other daemons from acquiring this
// daemon's shards.
func (l *leaseManager) valid(now time.Time) bool { return now.Before(l.expires) }

type renewal struct {
	version platform.Version
	expires time.Time
}

// renew extends the row once a third of its TTL has passed.
func (l *leaseManager) renew(now time.Time) {
	ttl := l.manager.opts.OwnerTTL
	if l.inFlight || len(l.manager.owners) == 0 || now.Before(l.expires.Add(ttl/ownerRenewalsPerTTL-ttl)) {
		return
	}
	if now.Sub(l.lastAttempt) < retryInterval || (l.manager.draining && len(l.manager.Owned()) == 0) {
		return
	}
	if l.id == "" {
		l.id = l.manager.opts.Self().ID
	}
	l.inFlight, l.lastAttempt = true, now
	lease := shard.OwnerLease{Owner: l.id, ExpiresUnixMS: now.Add(ttl).UnixMilli()}
	version, outcomeUnknown := l.version, l.outcomeUnknown
	control.Async(l.manager.opts.Loop, func(ctx context.Context) (renewal, error) {
		return l.write(ctx, lease, version, outcomeUnknown)
	}, l.handleRenewal)
}

// write commits the row. After a write without a reply it first reads the row's
// current version; only this daemon writes the row.
func (l *leaseManager) write(ctx context.Context, lease shard.OwnerLease, version platform.Version, outcomeUnknown bool) (renewal, error) {
	key := ownerKey(lease.Owner)
	if outcomeUnknown {
		rows, err := l.manager.opts.Table.Get(ctx, key)
		if err != nil {
			return renewal{}, err
		}
		version = rows[0].Version
	}
	value, err := json.Marshal(lease)
	if err != nil {
		return renewal{}, err
	}
	version, err = l.manager.opts.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	return renewal{version: version, expires: lease.Expires()}, err
}

// handleRenewal records the new expiry. Only a renewal that completes before the old
// expiry proves that no other daemon acquired a shard in between.
func (l *leaseManager) handleRenewal(r renewal, err error) {
	l.inFlight = false
	l.outcomeUnknown = err != nil
	if err != nil {
		l.manager.counters.renewalsFailed.Inc(1)
		l.manager.opts.Log.WithField("event", "owner_renewal_failed").WithError(err).Warn("owner lease renewal failed; will retry")
		return
	}
	now := l.manager.opts.Now()
	if !l.valid(now) {
		l.generation++
	}
	l.version, l.expires = r.version, r.expires
	for _, o := range l.manager.owners {
		if o.generation == l.generation {
			o.expires = r.expires
		}
	}
	l.collectExpired(now)
}

// collectExpired deletes the owner rows that expired more than ownerCollectAge ago.
func (l *leaseManager) collectExpired(now time.Time) {
	if now.Sub(l.lastCollection) < ownerCollectInterval {
		return
	}
	first := l.lastCollection.IsZero()
	l.lastCollection = now
	if first {
		return
	}
	control.Async(l.manager.opts.Loop, func(ctx context.Context) (int, error) {
		return l.deleteExpired(ctx, now)
	}, func(n int, err error) {
		if err != nil {
			l.manager.opts.Log.WithField("event", "owner_collect_failed").WithError(err).Warn("deleting expired owner rows failed; will retry")
		}
		l.manager.counters.collected.Inc(int64(n))
	})
}

func (l *leaseManager) deleteExpired(ctx context.Context, now time.Time) (int, error) {
	rows, err := l.manager.opts.Table.Scan(ctx, ownerPrefix, "", maxOwnerRows)
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
		if now.Sub(lease.Expires()) > ownerCollectAge {
			txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if len(txn.Deletes) > 0 {
		_, err := l.manager.opts.Table.Commit(ctx, txn)
		errs = append(errs, err)
	}
	return len(txn.Deletes), errors.Join(errs...)
}
