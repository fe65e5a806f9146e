package batch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// place carries out the planner's plan.
func (o *owner) place(now time.Time) {
	plan := o.planner.Plan(o.planInput(now))
	for _, r := range plan.Rejections {
		o.record(shard.Record{Event: charts.TaskReject, Task: shard.TaskID(r.Task), Reason: r.Reason})
	}
	for _, e := range plan.Evictions {
		o.record(shard.Record{Event: charts.TaskEvict, Task: shard.TaskID(e.Task), Reason: e.Reason})
	}
	for _, s := range plan.Starts {
		o.start(now, shard.TaskID(s.Task), s.Machine)
	}
}

func (o *owner) start(now time.Time, id shard.TaskID, vm string) bool {
	t := o.state.Tasks[id]
	until := o.promise(now, vm)
	startBy := now.Add(startWindow).UnixMilli()
	ok := o.record(shard.Record{
		Event: charts.TaskStart, Task: id, VM: vm, Attempt: t.Attempt + 1, StartByUnixMS: startBy,
	})
	if !ok {
		return false
	}
	o.orders = append(o.orders, platform.StartOrder{
		Shard:            o.name,
		Epoch:            o.head.Epoch,
		Task:             string(id),
		Attempt:          t.Attempt,
		StartByUnixMS:    startBy,
		LeaseUntilUnixMS: until.UnixMilli(),
		Resources:        t.Spec.Resources,
		Checkpoint:       t.Checkpoint,
		Payload:          t.Spec.Payload,
	})
	return true
}

type flushed struct {
	head    head
	version platform.Version
	inbox   []platform.Row
}

// flush writes the records in one transaction that checks the epoch by the
// version of the head row, then reads the inbox.
func (o *owner) flush(now time.Time) {
	o.busy = true
	records, orders, taken := o.records, o.orders, o.taken
	o.records, o.orders, o.taken = nil, nil, nil
	next := o.head
	next.ExpiresUnixMS = now.Add(o.opts.OwnerTTL).UnixMilli()
	needed := len(records) > 0 || len(taken) > 0 || o.head.ExpiresUnixMS-now.UnixMilli() < o.opts.OwnerTTL.Milliseconds()/2
	version := o.version
	control.Async(o.opts.Loop, func(ctx context.Context) (flushed, error) {
		return o.write(ctx, next, version, records, taken, needed)
	}, func(f flushed, err error) {
		o.busy = false
		if err != nil {
			o.flushFailed(err)
			return
		}
		if needed {
			o.head, o.version = f.head, f.version
		}
		for _, order := range orders {
			o.send(order)
		}
		o.accept(f.inbox)
	})
}

func (o *owner) write(ctx context.Context, next head, version platform.Version, records []shard.Record, taken []string, needed bool) (flushed, error) {
	if needed {
		txn, err := o.transaction(&next, version, records, taken)
		if err != nil {
			return flushed{}, err
		}
		version, err = o.commit(ctx, txn)
		if err != nil {
			return flushed{}, err
		}
	}
	inbox, err := o.opts.Table.Scan(ctx, platform.InboxPrefix(o.name), "", maxInbox)
	if err != nil {
		inbox = nil // the next flush reads it again
	}
	return flushed{head: next, version: version, inbox: inbox}, nil
}

func (o *owner) transaction(next *head, version platform.Version, records []shard.Record, taken []string) (platform.Txn, error) {
	txn := platform.Txn{
		Checks:  []platform.Check{{Key: platform.ShardHeadKey(o.name), Version: version}},
		Deletes: taken,
	}
	if len(records) > 0 {
		next.Sequence++
		value, err := json.Marshal(records)
		if err != nil {
			return txn, err
		}
		txn.Puts = append(txn.Puts, platform.Put{Key: platform.ShardLogKey(o.name, next.Sequence), Value: value})
	}
	value, err := json.Marshal(next)
	txn.Puts = append(txn.Puts, platform.Put{Key: platform.ShardHeadKey(o.name), Value: value})
	return txn, err
}

// commit writes a transaction; when the reply is lost it reads the head row
// back, since the write may have taken effect.
func (o *owner) commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	version, err := o.opts.Table.Commit(ctx, txn)
	var unavailable *platform.UnavailableError
	if err == nil || !errors.As(err, &unavailable) {
		return version, err
	}
	rows, readErr := o.opts.Table.Get(ctx, platform.ShardHeadKey(o.name))
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	if string(rows[0].Value) == string(txn.Puts[len(txn.Puts)-1].Value) {
		return rows[0].Version, nil
	}
	return 0, err
}

// flushFailed gives the shard up. Its state is recovered from the log, which
// holds the records if the write took effect after all.
func (o *owner) flushFailed(err error) {
	o.log.WithFields(log.Fields{"event": "shard_flush_failed"}).WithError(err).Warn("shard given up")
	o.move(charts.ShardLose)
}

// accept adds the tasks of jobs from the inbox.
func (o *owner) accept(inbox []platform.Row) {
	for _, row := range inbox {
		var job Job
		if err := json.Unmarshal(row.Value, &job); err != nil {
			o.log.WithField("event", "inbox_unreadable").WithError(err).Error(row.Key)
			continue
		}
		for _, spec := range job.specs() {
			if _, ok := o.state.Tasks[spec.ID]; !ok {
				o.record(shard.Record{Event: shard.RecordAccept, Task: spec.ID, Spec: &spec})
			}
		}
		o.taken = append(o.taken, row.Key)
	}
}

// send gives a start order to its worker. An order that the worker refused
// was not carried out; one without an answer is settled by the next report.
func (o *owner) send(order platform.StartOrder) {
	t := o.state.Tasks[shard.TaskID(order.Task)]
	if t == nil || !t.Holds() || t.Attempt != order.Attempt {
		return
	}
	worker := o.opts.Workers(o.vms[t.VM].WorkerAddress)
	control.Async(o.opts.Loop, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, worker.Start(ctx, order)
	}, func(_ struct{}, err error) {
		var refused *platform.RefusedError
		if !errors.As(err, &refused) || !o.owning() || o.head.Epoch != order.Epoch {
			return
		}
		if t.Holds() && t.Attempt == order.Attempt {
			o.record(shard.Record{Event: charts.TaskLapse, Task: t.Spec.ID, Reason: refused.Reason})
		}
	})
}
