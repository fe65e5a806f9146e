package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/platform"
)

// Limits of the deletion of expired claims.
const (
	sweepInterval = 200 * time.Millisecond
	// maxSweepRows bounds the index rows that one sweep reads.
	maxSweepRows = 64
	// maxSweepClaims is the number of claims after which a sweep reads no further
	// index row.
	maxSweepClaims = 512
	// idleSweepInterval is the wait after a sweep that found nothing to delete.
	idleSweepInterval = 30 * time.Second
)

// claimIndex is the index row that lists the claims of one transaction.
type claimIndex struct {
	Keys []string `json:"keys"`
}

// Sweeper deletes expired claims and their stored bodies, oldest first. A sweep
// costs one transaction. The only unexpired claims it reads are those of keys
// that were released and claimed again.
type Sweeper struct {
	Table   platform.Table
	Objects platform.ObjectStore
}

// Sweep deletes one batch. It returns the number of claims deleted and whether
// any index row had expired.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (deleted int, found bool, err error) {
	rows, err := s.Table.Scan(ctx, platform.ClaimTimesPrefix, "", maxSweepRows)
	if err != nil {
		return 0, false, err
	}
	before := platform.ClaimTimesKey(now.Add(-idempotency.Retention).UnixMilli(), "")
	var txn platform.Txn
	var keys []string
	for _, row := range rows {
		var index claimIndex
		if row.Key >= before || len(keys) >= maxSweepClaims {
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
	deleted, err = s.addExpiredClaims(ctx, &txn, keys, now)
	if err != nil {
		return 0, true, err
	}
	if _, err = s.Table.Commit(ctx, txn); err != nil {
		return 0, true, err
	}
	return deleted, true, nil
}

// addExpiredClaims adds the deletion of the expired claims to txn and returns
// their number. A key may have been released and claimed again later; such a
// claim is skipped here and deleted with its newer index row.
func (s *Sweeper) addExpiredClaims(ctx context.Context, txn *platform.Txn, keys []string, now time.Time) (int, error) {
	rows, err := s.Table.Get(ctx, keys...)
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
			if err := s.Objects.Delete(ctx, claim.Outcome.BodyObject); err != nil {
				return 0, err
			}
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	return len(seen), nil
}

// startSweep starts a sweep unless one is running or the next is not due yet.
func (b *Batcher) startSweep(s *Sweeper, now time.Time) {
	if now.Before(b.nextSweep) || b.unavailable {
		return
	}
	b.nextSweep = now.Add(idleSweepInterval)
	callAsync(b, func(ctx context.Context) (bool, error) {
		deleted, found, err := s.Sweep(ctx, now)
		b.opts.Metrics.deleted.Inc(int64(deleted))
		return found, err
	}, func(found bool, err error) {
		if err != nil {
			b.opts.Log.WithField("event", "claim_sweep_failed").WithError(err).Warn("deleting expired claims failed; retrying later")
			return
		}
		if found {
			b.nextSweep = now
		}
	})
}
