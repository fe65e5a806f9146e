package batch

import (
	"context"
	"fmt"

	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// maxTrimmedRows is the maximum number of log rows that one transaction deletes.
const maxTrimmedRows = 500

// compaction is the state of a snapshot write. The log rows that a snapshot covers
// are deleted only once the next snapshot is referenced by the head row, so that a
// damaged snapshot can be replaced by the previous one and the log rows after it.
type compaction struct {
	inFlight bool
	ready    *shard.SnapshotRef // written, but not yet referenced by the head row
}

// startSnapshot writes a snapshot once the log has SnapshotRows rows since the last
// one. It must be called when the in-memory state matches the log.
func (o *owner) startSnapshot() {
	if len(o.records) > 0 || o.compaction.inFlight || o.compaction.ready != nil {
		return
	}
	if o.head.Sequence-o.head.Snapshot.Sequence < o.opts.SnapshotRows {
		return
	}
	key := fmt.Sprintf("shard-%s-%d-%d", o.name, o.head.Epoch, o.head.Sequence)
	body, ref, err := shard.EncodeSnapshot(o.state, key, o.head.Sequence)
	if err != nil {
		o.log.WithError(err).Error("cannot encode the snapshot; retrying after the next flush")
		return
	}
	o.compaction.inFlight = true
	epoch := o.head.Epoch
	control.Async(o.opts.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.putSnapshot(ctx, ref, body)
	}, func(_ struct{}, err error) {
		if !o.owning() || o.head.Epoch != epoch {
			return
		}
		o.compaction.inFlight = false
		if err != nil {
			o.counters.badSnapshots.Inc(1)
			o.log.WithField("event", "snapshot_failed").WithError(err).Warn("snapshot write failed; will retry")
			return
		}
		o.counters.snapshots.Inc(1)
		o.counters.bytes.Inc(int64(len(body)))
		o.compaction.ready = &ref
	})
}

// putSnapshot writes a snapshot and reads it back to verify it, since the log rows
// that it covers will be deleted.
func (o *owner) putSnapshot(ctx context.Context, ref shard.SnapshotRef, body []byte) error {
	if err := o.opts.Objects.Put(ctx, ref.Object, body); err != nil {
		return err
	}
	_, err := o.loadSnapshot(ctx, ref)
	return err
}

// addCompaction makes the head row reference a written snapshot and deletes the log
// rows that the previous snapshot covers.
func (o *owner) addCompaction(p *transaction) {
	if ref := o.compaction.ready; ref != nil {
		o.compaction.ready = nil
		p.obsoleteObject = p.head.Previous.Object
		p.head.Previous, p.head.Snapshot = p.head.Snapshot, *ref
	}
	first := max(o.head.Trimmed+1, 1)
	last := min(p.head.Previous.Sequence, first+maxTrimmedRows-1)
	for row := first; row <= last; row++ {
		p.txn.Deletes = append(p.txn.Deletes, platform.ShardLogKey(o.name, row))
	}
	p.head.Trimmed = max(o.head.Trimmed, last)
}

// deleteObject deletes a snapshot that is no longer referenced.
func (o *owner) deleteObject(key string) {
	if key == "" {
		return
	}
	control.Async(o.opts.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.opts.Objects.Delete(ctx, key)
	}, func(_ struct{}, err error) {
		if err != nil {
			o.log.WithField("event", "snapshot_left_over").WithError(err).Warn(key)
		}
	})
}
