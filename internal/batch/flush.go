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

// transaction is one write of a shard's state with the actions that follow its
// commit. It is retried unchanged until its outcome is known, so that it takes
// effect once even if replies are lost.
type transaction struct {
	txn            platform.Txn
	head           shard.Head
	records        []shard.Record
	startRequests  []platform.StartRequest
	releasesShard  bool
	claimsVMs      bool   // claims VMs; its records are applied after the commit
	obsoleteObject string // snapshot that is unreferenced after the commit
	// expires and generation are the state of the owner lease before the write.
	expires    time.Time
	generation int
	inFlight   bool
	retryAt    time.Time
}

// ShardLostError reports that another owner has written the shard's head row.
type ShardLostError struct{ Shard string }

// Error implements error.
func (e *ShardLostError) Error() string { return fmt.Sprintf("shard %q has another owner", e.Shard) }

// flush commits the pending records in one transaction that checks the epoch through
// the version of the head row, or retries the transaction in flight.
func (o *owner) flush(now time.Time) {
	if o.pending != nil {
		if !o.pending.inFlight && !now.Before(o.pending.retryAt) {
			o.commitPending()
		}
		return
	}
	if !o.manager.ownerLease.valid(now) {
		return
	}
	p := o.nextClaim(now)
	if p == nil {
		if !o.flushDue(now) {
			return
		}
		p = o.nextTransaction()
	}
	if err := o.addHead(p); err != nil {
		o.log.WithError(err).Error("cannot encode the transaction; dropping it")
		return
	}
	o.flushedAt = now
	o.pending = p
	o.commitPending()
}

// flushDue reports whether there is something to write and the flush interval has
// passed. The interval grows with the number of shards, so that all shards together
// stay within maxFlushesPerSecond of the table service; urgent records are written
// at once.
func (o *owner) flushDue(now time.Time) bool {
	if o.generation != o.manager.ownerLease.generation || o.releasing {
		return true
	}
	if len(o.records) == 0 && len(o.rowDeletes) == 0 && o.compaction.ready == nil {
		return false
	}
	interval := max(flushInterval, time.Duration(len(o.manager.owners))*time.Second/maxFlushesPerSecond)
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

// nextTransaction moves the pending records, requests, puts and deletes into a new
// transaction.
func (o *owner) nextTransaction() *transaction {
	p := &transaction{
		records:       o.records,
		startRequests: o.startRequests,
		releasesShard: o.releasing && len(o.startRequests) == 0,
		txn:           platform.Txn{Puts: o.puts, Deletes: o.rowDeletes},
	}
	o.records, o.startRequests, o.puts, o.rowDeletes = nil, nil, nil, nil
	return p
}

// addHead adds the checks, the log row and the head row to a transaction. The head
// row is the last put.
func (o *owner) addHead(p *transaction) error {
	p.head = o.head
	p.expires, p.generation = o.manager.ownerLease.expires, o.manager.ownerLease.generation
	p.txn.Checks = append([]platform.Check{{Key: platform.ShardHeadKey(o.name), Version: o.version}}, p.txn.Checks...)
	if len(p.records) > 0 {
		p.head.Sequence++
		value, err := json.Marshal(p.records)
		if err != nil {
			return err
		}
		p.txn.Puts = append(p.txn.Puts, platform.Put{Key: platform.ShardLogKey(o.name, p.head.Sequence), Value: value})
	}
	if !p.claimsVMs {
		o.addCompaction(p)
	}
	if p.releasesShard {
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
	p.inFlight = true
	control.Async(o.opts.Loop, func(ctx context.Context) (platform.Version, error) {
		return o.commit(ctx, p.txn)
	}, func(version platform.Version, err error) {
		if !o.owning() || o.head.Epoch != epoch || o.pending != p {
			return
		}
		p.inFlight = false
		o.handleCommitResult(p, version, err)
	})
}

// commit writes a transaction. On a lost reply, and on a conflict, which an earlier
// attempt of the same transaction may have caused, it reads the head row back.
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

// handleCommitResult handles the outcome of a transaction.
func (o *owner) handleCommitResult(p *transaction, version platform.Version, err error) {
	var lost *ShardLostError
	switch {
	case errors.As(err, &lost):
		o.counters.conflicts.Inc(1)
		o.log.WithField("event", "shard_lost").WithError(err).Warn("lost ownership of the shard")
		o.pending = nil
		o.transition(charts.ShardLose)
		return
	case o.handleClaimConflict(p, err):
		return
	case err != nil:
		o.counters.unanswered.Inc(1)
		p.retryAt = o.opts.Now().Add(retryInterval)
		o.log.WithField("event", "shard_flush_failed").WithError(err).Warn("commit failed; retrying the same transaction")
		return
	}
	o.pending = nil
	o.head, o.version = p.head, version
	o.expires, o.generation = p.expires, p.generation
	if p.generation == o.manager.ownerLease.generation {
		o.expires = o.manager.ownerLease.expires
	}
	o.markWritten(p)
	if p.claimsVMs {
		o.applyClaim(p)
	}
	if p.releasesShard {
		o.counters.releases.Inc(1)
		o.releasing = false
		o.transition(charts.ShardRelease)
		return
	}
	o.dispatchCommitted(p)
}

// markWritten updates the counters, the accepted inbox rows and the tasks with
// unwritten records after a commit, and deletes the obsolete snapshot.
func (o *owner) markWritten(p *transaction) {
	o.counters.flushes.Inc(1)
	o.counters.records.Inc(int64(len(p.records)))
	for _, put := range p.txn.Puts {
		o.counters.bytes.Inc(int64(len(put.Value)))
	}
	for _, key := range p.txn.Deletes {
		delete(o.acceptedRows, key)
	}
	o.unwritten = map[shard.TaskID]bool{}
	for _, r := range o.records {
		o.unwritten[r.Task] = true
	}
	o.deleteObject(p.obsoleteObject)
}

// dispatchCommitted sends the requests that the committed records permit.
func (o *owner) dispatchCommitted(p *transaction) {
	for _, req := range p.startRequests {
		o.sendStart(req)
	}
	for _, r := range p.records {
		if r.Event == charts.TaskEvict || r.Event == charts.TaskCancel {
			o.stop(r.Task)
		}
		o.observeRecord(r)
	}
	o.startSnapshot()
}

// sendStart sends a start request to its worker. A refused request was not executed,
// so the task lapses; the outcome of a request without a reply is known from a later
// report.
func (o *owner) sendStart(req platform.StartRequest) {
	t := o.state.Tasks[shard.TaskID(req.Task)]
	if t == nil || t.State != charts.TaskRunning || t.Attempt != req.Attempt {
		return
	}
	if o.opts.Now().UnixMilli() > req.StartByUnixMS {
		return
	}
	worker := o.worker(t.VM)
	control.Async(o.opts.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, worker.Start(ctx, req)
	}, func(_ struct{}, err error) {
		if !o.owning() || o.head.Epoch != req.Epoch {
			return
		}
		if err == nil && o.throttlePerMille[t.Spec.ID] > 0 {
			o.throttle(t.Spec.ID)
		}
		var refused *platform.RefusedError
		if !errors.As(err, &refused) {
			return
		}
		if t.OccupiesVM() && t.Attempt == req.Attempt {
			o.record(shard.Record{Event: charts.TaskLapse, Task: t.Spec.ID, Reason: refused.Reason})
		}
	})
}
