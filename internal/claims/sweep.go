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
	// maxSweepRows bounds the rows of claim times that one round reads.
	maxSweepRows = 64
	// maxSweepClaims bounds the claims that one round reads and deletes.
	maxSweepClaims = 512
	// sweepPause is the wait after a round that found nothing to delete.
	sweepPause = 30 * time.Second
)

// claimIndex is the row that lists the claims of one transaction.
type claimIndex struct {
	Keys []string `json:"keys"`
}

// Sweeper deletes expired claims and their answers, the oldest first. One
// round costs one transaction, and reads no claim that has not expired but for
// keys that were claimed again.
type Sweeper struct {
	Table   platform.Table
	Objects platform.ObjectStore
}

// Sweep deletes one batch and reports how many claims it deleted and whether
// it found any expired row.
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
	deleted, err = s.addClaims(ctx, &txn, keys, now)
	if err != nil {
		return 0, true, err
	}
	if _, err = s.Table.Commit(ctx, txn); err != nil {
		return 0, true, err
	}
	return deleted, true, nil
}

// addClaims adds the deletion of the claims that have expired. A key may have
// been released and claimed again later: such a claim is listed elsewhere too.
func (s *Sweeper) addClaims(ctx context.Context, txn *platform.Txn, keys []string, now time.Time) (int, error) {
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
			// The object goes first: an orphan would never be found again.
			if err := s.Objects.Delete(ctx, claim.Outcome.BodyObject); err != nil {
				return 0, err
			}
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	return len(seen), nil
}

// startSweep begins a round unless one is under way or due later.
func (g *Batcher) startSweep(s *Sweeper, now time.Time) {
	if now.Before(g.nextSweep) || g.down {
		return
	}
	g.nextSweep = now.Add(sweepPause)
	call(g, func(ctx context.Context) (bool, error) {
		deleted, found, err := s.Sweep(ctx, now)
		g.opts.Metrics.deleted.Inc(int64(deleted))
		return found, err
	}, func(found bool, err error) {
		if err != nil {
			g.opts.Log.WithField("event", "claim_sweep_failed").WithError(err).Warn("tried again later")
			return
		}
		if found {
			g.nextSweep = now
		}
	})
}
