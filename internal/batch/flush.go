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

// transaction is one write of a shard with what follows from its success. It
// is tried again unchanged until its outcome is known, so that it takes effect
// once even when replies are lost.
type transaction struct {
	txn     platform.Txn
	head    shard.Head
	records []shard.Record
	orders  []platform.StartRequest
	release bool
	claims  bool   // claims VMs; its records are applied after it took effect
	delete  string // object that nothing refers to after the transaction
	// expires and generation are what the owner row was known to be before.
	expires    time.Time
	generation int
	busy       bool
	retryAt    time.Time
}

// ShardLostError reports a shard whose head row another owner has written.
type ShardLostError struct{ Shard string }

// Error implements error.
func (e *ShardLostError) Error() string { return fmt.Sprintf("shard %q has another owner", e.Shard) }

// flush writes the records in one transaction that checks the epoch by the
// version of the head row, or tries the last one again.
func (o *owner) flush(now time.Time) {
	if o.pending != nil {
		if !o.pending.busy && !now.Before(o.pending.retryAt) {
			o.commitPending()
		}
		return
	}
	if !o.manager.keeper.live(now) {
		return
	}
	p := o.claim(now)
	if p == nil {
		if !o.due(now) {
			return
		}
		p = o.waiting()
	}
	if err := o.seal(p); err != nil {
		o.log.WithError(err).Error("flush")
		return
	}
	o.flushedAt = now
	o.pending = p
	o.commitPending()
}

// due reports whether there is something to write and it is time for it. With
// many shards each one waits longer, so that all together stay within the
// budget of the table service; urgent work does not wait.
func (o *owner) due(now time.Time) bool {
	if o.generation != o.manager.keeper.generation || o.releasing {
		return true
	}
	if len(o.records) == 0 && len(o.taken) == 0 && o.compact.ready == nil {
		return false
	}
	interval := max(flushInterval, time.Duration(len(o.manager.owners))*time.Second/flushesBudget)
	return now.Sub(o.flushedAt) >= interval || o.urgent()
}

func (o *owner) urgent() bool {
	for _, r := range o.records {
		if t := o.state.Tasks[r.Task]; r.Event == charts.TaskEvict || t != nil && t.Spec.Urgent {
			return true
		}
	}
	return false
}

// waiting takes the waiting records into a transaction.
func (o *owner) waiting() *transaction {
	p := &transaction{
		records: o.records,
		orders:  o.orders,
		release: o.releasing && len(o.orders) == 0,
		txn:     platform.Txn{Puts: o.puts, Deletes: o.taken},
	}
	o.records, o.orders, o.puts, o.taken = nil, nil, nil, nil
	return p
}

// seal adds the log row and the head row to a transaction.
func (o *owner) seal(p *transaction) error {
	p.head = o.head
	p.expires, p.generation = o.manager.keeper.expires, o.manager.keeper.generation
	p.txn.Checks = append([]platform.Check{{Key: platform.ShardHeadKey(o.name), Version: o.version}}, p.txn.Checks...)
	if len(p.records) > 0 {
		p.head.Sequence++
		value, err := json.Marshal(p.records)
		if err != nil {
			return err
		}
		p.txn.Puts = append(p.txn.Puts, platform.Put{Key: platform.ShardLogKey(o.name, p.head.Sequence), Value: value})
	}
	if !p.claims {
		o.compactInto(p)
	}
	if p.release {
		p.head.Owner = ""
		p.head.LeasesUntilUnixMS = o.leases.LatestExpiry().UnixMilli()
	}
	p.head.Load = o.load()
	value, err := json.Marshal(p.head)
	p.txn.Puts = append(p.txn.Puts, platform.Put{Key: platform.ShardHeadKey(o.name), Value: value})
	return err
}

func (o *owner) commitPending() {
	p, epoch := o.pending, o.head.Epoch
	p.busy = true
	control.Async(o.opts.Loop, func(ctx context.Context) (platform.Version, error) {
		return o.commit(ctx, p.txn)
	}, func(version platform.Version, err error) {
		if !o.owning() || o.head.Epoch != epoch || o.pending != p {
			return
		}
		p.busy = false
		o.settle(p, version, err)
	})
}

// commit writes a transaction. Without a reply, and on a conflict, which an
// earlier try of the same transaction may have caused, it reads the head back.
func (o *owner) commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	version, err := o.opts.Table.Commit(ctx, txn)
	if err == nil {
		return version, nil
	}
	rows, readErr := o.opts.Table.Get(ctx, platform.ShardHeadKey(o.name))
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	if string(rows[0].Value) == string(txn.Puts[len(txn.Puts)-1].Value) {
		return rows[0].Version, nil
	}
	if rows[0].Version != txn.Checks[0].Version {
		return 0, &ShardLostError{o.name}
	}
	return 0, err
}

// settle acts on the outcome of a transaction.
func (o *owner) settle(p *transaction, version platform.Version, err error) {
	var lost *ShardLostError
	switch {
	case errors.As(err, &lost):
		o.counters.conflicts.Inc(1)
		o.log.WithField("event", "shard_lost").WithError(err).Warn("shard given up")
		o.pending = nil
		o.move(charts.ShardLose)
		return
	case o.claimRefused(p, err):
		return
	case err != nil:
		o.counters.unanswered.Inc(1)
		p.retryAt = o.opts.Now().Add(retryInterval)
		o.log.WithField("event", "shard_flush_failed").WithError(err).Warn("tried again unchanged")
		return
	}
	o.pending = nil
	o.head, o.version = p.head, version
	o.expires, o.generation = p.expires, p.generation
	if p.generation == o.manager.keeper.generation {
		o.expires = o.manager.keeper.expires
	}
	o.written(p)
	if p.claims {
		o.claimed(p)
	}
	if p.release {
		o.counters.releases.Inc(1)
		o.releasing = false
		o.move(charts.ShardRelease)
		return
	}
	o.act(p)
}

// written updates the books after a transaction took effect.
func (o *owner) written(p *transaction) {
	o.counters.flushes.Inc(1)
	o.counters.records.Inc(int64(len(p.records)))
	for _, put := range p.txn.Puts {
		o.counters.bytes.Inc(int64(len(put.Value)))
	}
	for _, key := range p.txn.Deletes {
		delete(o.taking, key)
	}
	o.unwritten = map[shard.TaskID]bool{}
	for _, r := range o.records {
		o.unwritten[r.Task] = true
	}
	o.deleteObject(p.delete)
}

// act carries out what the written records allow.
func (o *owner) act(p *transaction) {
	for _, order := range p.orders {
		o.send(order)
	}
	for _, r := range p.records {
		if r.Event == charts.TaskEvict || r.Event == charts.TaskCancel {
			o.stop(r.Task)
		}
		o.observeRecord(r)
	}
	o.snapshot()
}

// send gives a start order to its worker. An order that the worker refused
// was not carried out; one without an answer is settled by a later report.
func (o *owner) send(order platform.StartRequest) {
	t := o.state.Tasks[shard.TaskID(order.Task)]
	if t == nil || t.State != charts.TaskRunning || t.Attempt != order.Attempt {
		return
	}
	if o.opts.Now().UnixMilli() > order.StartByUnixMS {
		return
	}
	worker := o.worker(t.VM)
	control.Async(o.opts.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, worker.Start(ctx, order)
	}, func(_ struct{}, err error) {
		if !o.owning() || o.head.Epoch != order.Epoch {
			return
		}
		if err == nil && o.throttled[t.Spec.ID] > 0 {
			o.throttle(t.Spec.ID)
		}
		var refused *platform.RefusedError
		if !errors.As(err, &refused) {
			return
		}
		if t.OccupiesVM() && t.Attempt == order.Attempt {
			o.record(shard.Record{Event: charts.TaskLapse, Task: t.Spec.ID, Reason: refused.Reason})
		}
	})
}
