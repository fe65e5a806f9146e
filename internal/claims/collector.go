package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/platform"
)

// Limits of the garbage collection of expired claims.
const (
	collectInterval = 200 * time.Millisecond
	// maxCollectionRows bounds the index rows that one collection reads.
	maxCollectionRows = 64
	// maxCollectionClaims is the number of claims after which a collection reads no
	// further index row.
	maxCollectionClaims = 512
	// idleCollectInterval is the wait after a collection that found nothing to delete.
	idleCollectInterval = 30 * time.Second
)

// claimIndex is the index row that lists the claims of one transaction.
type claimIndex struct {
	Keys []string `json:"keys"`
}

// Collector is the garbage collector of claims: it deletes expired ones and their
// stored bodies, oldest first. A collection costs one transaction. The only unexpired
// claims it reads are those of keys that were released and claimed again.
type Collector struct {
	Table   platform.Table
	Objects platform.ObjectStore
}

// Collect deletes one batch. It returns the number of claims deleted and whether any
// index row had expired.
func (c *Collector) Collect(ctx context.Context, now time.Time) (deleted int, found bool, err error) {
	rows, err := c.Table.Scan(ctx, platform.ClaimTimesPrefix, "", maxCollectionRows)
	if err != nil {
		return 0, false, err
	}
	before := platform.ClaimTimesKey(now.Add(-idempotency.Retention).UnixMilli(), "")
	var txn platform.Txn
	var keys []string
	for _, row := range rows {
		var index claimIndex
		if row.Key >= before || len(keys) >= maxCollectionClaims {
			break
		}
		if err := json.Unmarshal(row.Value, &index); err != nil {
			return 0, false, err
		}
		keys = append(keys, index.Keys...)
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	if len(txn.Deletes) == 0 {
		return 0, false, nil
	}
	deleted, err = c.addExpiredClaims(ctx, &txn, keys, now)
	if err != nil {
		return 0, true, err
	}
	if _, err = c.Table.Commit(ctx, txn); err != nil {
		return 0, true, err
	}
	return deleted, true, nil
}

// addExpiredClaims adds the deletion of the expired claims to txn and returns
// their number. A key may have been released and claimed again later; such a
// claim is skipped here and deleted with its newer index row.
func (c *Collector) addExpiredClaims(ctx context.Context, txn *platform.Txn, keys []string, now time.Time) (int, error) {
	rows, err := c.Table.Get(ctx, keys...)
	if err != nil {
		return 0, err
	}
	seen := make(map[string]bool, len(rows))
	for _, row := range rows {
		claim, err := decodeClaim(row)
		if err != nil {
			return 0, err
		}
		if claim == nil || seen[row.Key] || !idempotency.Expired(*claim, now) {
			continue
		}
		seen[row.Key] = true
		if claim.Outcome != nil && claim.Outcome.BodyObject != "" {
			// Delete the object before its row: nothing else refers to it, so an
			// orphaned object would never be collected.
			if err := c.Objects.Delete(ctx, claim.Outcome.BodyObject); err != nil {
				return 0, err
			}
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	return len(seen), nil
}

// startCollection starts a collection unless one is running or the next is not due yet.
func (b *Batcher) startCollection(c *Collector, now time.Time) {
	if now.Before(b.nextCollection) || b.unavailable {
		return
	}
	b.nextCollection = now.Add(idleCollectInterval)
	callAsync(b, func(ctx context.Context) (bool, error) {
		deleted, found, err := c.Collect(ctx, now)
		b.opts.Metrics.deleted.Inc(int64(deleted))
		return found, err
	}, func(found bool, err error) {
		if err != nil {
			b.opts.Log.WithField("event", "claim_sweep_failed").WithError(err).Warn("deleting expired claims failed; retrying later")
			return
		}
		if found {
			b.nextCollection = now
		}
	})
}
