package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// maxLogRows is the number of log rows read in one scan.
const maxLogRows = 1000

// ShardLogError reports a shard's log that is inconsistent with its head row.
type ShardLogError struct {
	Shard  string
	Reason string
}

// Error implements error.
func (e *ShardLogError) Error() string { return fmt.Sprintf("log of shard %q: %s", e.Shard, e.Reason) }

// acquire writes the head row of a new epoch. The transaction checks that neither
// the head row nor the previous owner's row has changed since they were read.
func (o *owner) acquire(next shard.Head, s ownershipView) {
	value, err := json.Marshal(next)
	if err != nil {
		o.log.WithError(err).Error("cannot encode the head row")
		return
	}
	key := platform.ShardHeadKey(o.name)
	txn := platform.Txn{
		Checks: []platform.Check{{Key: key, Version: s.version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	}
	if s.version == 0 {
		txn.Puts = append(txn.Puts, platform.Put{Key: shardNamePrefix + o.name})
	}
	if s.head.Owner != "" && s.head.Owner != next.Owner {
		txn.Checks = append(txn.Checks, platform.Check{Key: ownerKey(s.head.Owner), Version: s.leaseVersion})
	}
	o.inFlight, o.maybeOwned = true, true
	expires, generation := o.manager.ownerLease.expires, o.manager.ownerLease.generation
	control.Async(o.opts.Loop, func(ctx context.Context) (platform.Version, error) {
		return o.opts.Table.Commit(ctx, txn)
	}, func(version platform.Version, err error) {
		o.inFlight = false
		var conflict *platform.ConflictError
		o.maybeOwned = err != nil && !errors.As(err, &conflict)
		if err != nil {
			o.log.WithField("event", "shard_acquire_failed").WithError(err).Warn("shard not acquired")
			return
		}
		o.head, o.version = next, version
		o.expires, o.generation = expires, generation
		o.counters.acquisitions.Inc(1)
		o.transition(charts.ShardAcquire)
		o.recover(o.opts.Now())
	})
}

// recover reads the state of an acquired shard.
func (o *owner) recover(now time.Time) {
	if o.inFlight || now.Before(o.retryAt) {
		return
	}
	if o.generation != o.manager.ownerLease.generation {
		o.maybeOwned = true
		o.transition(charts.ShardLose)
		return
	}
	o.inFlight = true
	head := o.head
	control.Async(o.opts.Loop, func(ctx context.Context) (*shard.State, error) {
		return o.replay(ctx, head)
	}, func(state *shard.State, err error) {
		o.inFlight = false
		if err != nil {
			o.retryAt = o.opts.Now().Add(retryInterval)
			o.log.WithField("event", "shard_recovery_failed").WithError(err).Warn("recovery failed; will retry")
			return
		}
		o.finishRecovery(state)
	})
}

// replay loads the latest usable snapshot and applies the log rows after it.
func (o *owner) replay(ctx context.Context, head shard.Head) (*shard.State, error) {
	state, sequence, err := o.readSnapshot(ctx, head)
	if err != nil {
		return nil, err
	}
	for sequence < head.Sequence {
		rows, err := o.opts.Table.Scan(ctx, platform.ShardLogPrefix(o.name), platform.ShardLogKey(o.name, sequence), maxLogRows)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return nil, &ShardLogError{o.name, fmt.Sprintf("ends at row %d, not %d", sequence, head.Sequence)}
		}
		for _, row := range rows {
			sequence++
			if row.Key != platform.ShardLogKey(o.name, sequence) {
				return nil, &ShardLogError{o.name, fmt.Sprintf("row %d is missing", sequence)}
			}
			if err := applyRow(state, row); err != nil {
				return nil, err
			}
		}
	}
	return state, nil
}

func applyRow(state *shard.State, row platform.Row) error {
	var records []shard.Record
	if err := json.Unmarshal(row.Value, &records); err != nil {
		return err
	}
	for _, r := range records {
		if err := state.Apply(r); err != nil {
			return err
		}
	}
	return nil
}

// readSnapshot returns the state and sequence of the latest snapshot, or of the
// previous one if the latest is damaged or missing. Without snapshots it returns an
// empty state.
func (o *owner) readSnapshot(ctx context.Context, head shard.Head) (*shard.State, int64, error) {
	for _, ref := range []shard.SnapshotRef{head.Snapshot, head.Previous} {
		if ref.Object == "" {
			break
		}
		state, err := o.loadSnapshot(ctx, ref)
		if err == nil {
			return state, ref.Sequence, nil
		}
		var damaged *shard.SnapshotError
		var missing *platform.NotFoundError
		if !errors.As(err, &damaged) && !errors.As(err, &missing) {
			return nil, 0, err
		}
		o.counters.badSnapshots.Inc(1)
		o.log.WithField("event", "snapshot_unusable").WithError(err).Error("snapshot unusable; falling back to the previous one")
	}
	return shard.NewState(), 0, nil
}

func (o *owner) loadSnapshot(ctx context.Context, ref shard.SnapshotRef) (*shard.State, error) {
	body, err := o.opts.Objects.Get(ctx, ref.Object)
	if err != nil {
		return nil, err
	}
	return shard.DecodeSnapshot(ref, body)
}

func (o *owner) finishRecovery(state *shard.State) {
	o.state, o.ids = state, nil
	o.records, o.startRequests, o.puts, o.rowDeletes, o.pending = nil, nil, nil, nil, nil
	o.acceptedRows = map[string]bool{}
	o.unwritten = map[shard.TaskID]bool{}
	o.compaction = compaction{}
	o.throttlePerMille = map[shard.TaskID]int{}
	o.endedAt = map[shard.TaskID]time.Time{}
	o.leases = shard.NewLeases(o.manager.timing, time.UnixMilli(o.head.LeasesUntilUnixMS))
	o.exchangeInFlight = map[string]bool{}
	o.lastExchange = map[string]time.Time{}
	o.lastReport = map[string]time.Time{}
	o.unreachable = map[string]bool{}
	o.unacknowledged = map[string][]platform.LeaseRef{}
	o.claimBlockedUntil = map[string]time.Time{}
	o.moveInFlight = false
	o.workerAddresses = map[string]string{}
	for _, t := range state.Tasks {
		if t.OccupiesVM() {
			o.workerAddresses[t.VM] = t.Worker
		}
	}
	o.releasing = o.manager.draining
	o.changed = true
	o.retryAt = time.Time{}
	o.counters.recoveries.Inc(1)
	o.transition(charts.ShardRecovered)
}
