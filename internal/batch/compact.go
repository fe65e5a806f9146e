package batch

import (
	"context"
	"fmt"

	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// maxTrimmedRows is how many log rows one transaction deletes.
const maxTrimmedRows = 500

// compaction is the writing of a snapshot. The log rows that a snapshot covers
// are deleted when the next one is in force, so that a damaged snapshot can be
// replaced by the one before and the rows after it.
type compaction struct {
	busy  bool
	ready *shard.SnapshotRef
}

// snapshot writes a snapshot when the log has grown long. It is called when
// the state is exactly what the log says.
func (o *owner) snapshot() {
	if len(o.records) > 0 || o.compact.busy || o.compact.ready != nil {
		return
	}
	if o.head.Sequence-o.head.Snapshot.Sequence < o.opts.SnapshotRows {
		return
	}
	key := fmt.Sprintf("shard-%s-%d-%d", o.name, o.head.Epoch, o.head.Sequence)
	body, ref, err := shard.EncodeSnapshot(o.state, key, o.head.Sequence)
	if err != nil {
		o.log.WithError(err).Error("snapshot")
		return
	}
	o.compact.busy = true
	epoch := o.head.Epoch
	control.Async(o.opts.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.putSnapshot(ctx, ref, body)
	}, func(_ struct{}, err error) {
		if !o.owning() || o.head.Epoch != epoch {
			return
		}
		o.compact.busy = false
		if err != nil {
			o.counters.badSnapshots.Inc(1)
			o.log.WithField("event", "snapshot_failed").WithError(err).Warn("tried again later")
			return
		}
		o.counters.snapshots.Inc(1)
		o.counters.bytes.Inc(int64(len(body)))
		o.compact.ready = &ref
	})
}

// putSnapshot writes a snapshot and reads it back, since a damaged one would
// cost the log rows that it covers.
func (o *owner) putSnapshot(ctx context.Context, ref shard.SnapshotRef, body []byte) error {
	if err := o.opts.Objects.Put(ctx, ref.Object, body); err != nil {
		return err
	}
	_, err := o.loadSnapshot(ctx, ref)
	return err
}

// compactInto puts a written snapshot in force and deletes the log rows that
// the one before covers.
func (o *owner) compactInto(p *transaction) {
	if ref := o.compact.ready; ref != nil {
		o.compact.ready = nil
		p.delete = p.head.Previous.Object
		p.head.Previous, p.head.Snapshot = p.head.Snapshot, *ref
	}
	first := max(o.head.Trimmed+1, 1)
	last := min(p.head.Previous.Sequence, first+maxTrimmedRows-1)
	for row := first; row <= last; row++ {
		p.txn.Deletes = append(p.txn.Deletes, platform.ShardLogKey(o.name, row))
	}
	p.head.Trimmed = max(o.head.Trimmed, last)
}

// deleteObject deletes a snapshot that nothing refers to any more.
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
