package claims

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// enqueue adds a change and schedules a flush.
func (b *Batcher) enqueue(c *change) {
	b.pending = append(b.pending, c)
	b.scheduleFlush()
}

// scheduleFlush schedules a flush as soon as the daemon's share of the write
// budget allows. It flushes immediately if the share is not used up.
func (b *Batcher) scheduleFlush() {
	if b.flushScheduled || len(b.pending) == 0 {
		return
	}
	b.flushScheduled = true
	now := b.opts.Now()
	share := rate.Limit(writesPerSecond / float64(max(1, b.opts.Daemons())))
	if b.limiter.Limit() != share {
		b.limiter.SetLimitAt(now, share)
	}
	delay := b.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay <= 0 {
		b.flush()
		return
	}
	b.opts.After(delay, func() { b.postWithRetry(b.flush, maxPostAttempts) })
}

// postWithRetry posts fn to the executor and retries while its queue is full.
func (b *Batcher) postWithRetry(fn func(), attempts int) {
	if !b.opts.Executor.Post(fn) && attempts > 1 {
		b.opts.After(retryInterval, func() { b.postWithRetry(fn, attempts-1) })
	}
}

// flush takes one batch, reads the rows of the changes that need it, and writes
// the others.
func (b *Batcher) flush() {
	b.flushScheduled = false
	batch := b.nextBatch()
	b.scheduleFlush()
	var writes, reads []*change
	for _, c := range batch {
		if c.needsRead {
			reads = append(reads, c)
		} else {
			writes = append(writes, c)
		}
	}
	if len(reads) > 0 {
		b.readBack(reads)
	}
	if len(writes) > 0 {
		b.commit(writes)
	}
	b.checkDrained()
}

// nextBatch removes and returns up to maxBatchSize pending changes, at most one
// for each key. Claims whose deadline has passed fail.
func (b *Batcher) nextBatch() []*change {
	now := b.opts.Now()
	queued := b.pending
	b.pending = nil
	var batch, rest []*change
	keys := make(map[string]bool, min(len(queued), maxBatchSize))
	for _, c := range queued {
		switch {
		case c.kind == idempotency.ChangeClaim && !now.Round(0).Before(c.deadline.Round(0)):
			c.done(writeResult{err: deadlineError(), uncertain: c.attempts > 0})
		case len(batch) >= maxBatchSize || keys[c.key]:
			rest = append(rest, c)
		default:
			keys[c.key] = true
			batch = append(batch, c)
		}
	}
	b.pending = append(b.pending, rest...)
	return batch
}

func deadlineError() error {
	return verdict.Refuse(verdict.CodeDeadlineExceeded, http.StatusGatewayTimeout, retryAfterUnavailable,
		"the idempotency key was not claimed before the deadline")
}

// commit writes the batch in one transaction.
func (b *Batcher) commit(batch []*change) {
	for _, c := range batch {
		c.attempts++
	}
	txn, err := buildTxn(batch)
	if err != nil {
		completeAll(batch, writeResult{err: unavailableError(err)})
		return
	}
	b.opts.Metrics.transactions.Inc(1)
	b.opts.Metrics.changes.Inc(int64(len(batch)))
	callAsync(b, func(ctx context.Context) (platform.Version, error) {
		return b.opts.Table.Commit(ctx, txn)
	}, func(v platform.Version, err error) { b.handleCommit(batch, v, err) })
}

// buildTxn returns the transaction that writes the changes, each conditional on
// its expected row version, and an index row that lists the new claims by time.
func buildTxn(batch []*change) (platform.Txn, error) {
	var txn platform.Txn
	var index claimIndex
	var latest int64 // Unix milliseconds of the latest claim in the batch
	var attemptID string
	for _, c := range batch {
		txn.Checks = append(txn.Checks, platform.Check{Key: c.key, Version: c.version})
		if c.kind == idempotency.ChangeRelease {
			txn.Deletes = append(txn.Deletes, c.key)
			continue
		}
		value, err := json.Marshal(c.claim)
		if err != nil {
			return txn, err
		}
		txn.Puts = append(txn.Puts, platform.Put{Key: c.key, Value: value})
		if c.kind == idempotency.ChangeClaim {
			index.Keys = append(index.Keys, c.key)
			latest = max(latest, c.claim.ClaimedUnixMS)
			attemptID = c.claim.AttemptID
		}
	}
	if len(index.Keys) == 0 {
		return txn, nil
	}
	value, err := json.Marshal(index)
	if err != nil {
		return txn, err
	}
	key := platform.ClaimTimesKey(latest, attemptID)
	txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
	return txn, nil
}

func completeAll(batch []*change, o writeResult) {
	for _, c := range batch {
		c.done(o)
	}
}

// handleCommit handles the result of a transaction.
func (b *Batcher) handleCommit(batch []*change, version platform.Version, err error) {
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		b.unavailable = false
		completeAll(batch, writeResult{version: version})
	case errors.As(err, &conflict):
		b.unavailable = false
		b.handleConflict(batch, conflict.Keys)
	case errors.As(err, &unavailable) && unavailable.Verdict == verdict.NotRun:
		b.unavailable = true
		b.handleFailure(batch, err, false)
	default:
		b.readBack(batch)
	}
}

// handleConflict reads the rows that conflicted and requeues the other changes.
func (b *Batcher) handleConflict(batch []*change, keys []string) {
	conflicting := make(map[string]bool, len(keys))
	for _, k := range keys {
		conflicting[k] = true
	}
	var rest, read []*change
	for _, c := range batch {
		if conflicting[c.key] {
			read = append(read, c)
		} else {
			c.attempts-- // rejected only because of other changes in the batch
			rest = append(rest, c)
		}
	}
	if len(read) == 0 {
		// The conflict names no row of the batch: read all of them.
		read, rest = rest, nil
	}
	b.pending = append(rest, b.pending...)
	b.scheduleFlush()
	b.readBack(read)
}

// handleFailure fails claims immediately and retries other changes up to
// maxAttempts.
func (b *Batcher) handleFailure(batch []*change, err error, uncertain bool) {
	for _, c := range batch {
		if c.kind == idempotency.ChangeClaim || c.attempts >= maxAttempts {
			c.done(writeResult{err: unavailableError(err), uncertain: uncertain || c.attempts > 1})
			continue
		}
		c.needsRead = true
		b.retryLater(c)
	}
}

func (b *Batcher) retryLater(c *change) {
	b.retrying++
	b.opts.After(retryInterval, func() {
		b.postWithRetry(func() {
			b.retrying--
			b.enqueue(c)
			b.checkDrained()
		}, maxPostAttempts)
	})
}

// readBack reads the rows of changes that may or may not have been applied.
func (b *Batcher) readBack(batch []*change) {
	b.opts.Metrics.readBacks.Inc(1)
	keys := make([]string, len(batch))
	for i, c := range batch {
		keys[i] = c.key
	}
	callAsync(b, func(ctx context.Context) ([]platform.Row, error) {
		return b.opts.Table.Get(ctx, keys...)
	}, func(rows []platform.Row, err error) {
		if err != nil {
			b.unavailable = true
			for _, c := range batch {
				c.attempts++
			}
			b.handleFailure(batch, err, true)
			return
		}
		b.unavailable = false
		for i, c := range batch {
			b.resolve(c, rows[i])
		}
	})
}

// resolve completes a change or enqueues it again, depending on its row.
func (b *Batcher) resolve(c *change, row platform.Row) {
	stored, err := decodeClaim(row)
	if err != nil {
		c.done(writeResult{err: unavailableError(err), uncertain: true})
		return
	}
	switch idempotency.Resolve(c.kind, stored, c.claim) {
	case idempotency.ResolutionDone:
		c.done(writeResult{version: row.Version})
	case idempotency.ResolutionNotOwner:
		if stored == nil {
			stored = &idempotency.Claim{}
		}
		c.done(writeResult{existing: stored})
	default:
		if c.attempts >= maxAttempts {
			c.done(writeResult{err: unavailableError(errors.New("row was not written within the attempt limit")), uncertain: true})
			return
		}
		c.version = row.Version
		c.needsRead = false
		b.enqueue(c)
	}
}

func decodeClaim(row platform.Row) (*idempotency.Claim, error) {
	if row.Version == 0 {
		return nil, nil
	}
	var c idempotency.Claim
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

// checkDrained calls onDrained, once, if nothing is pending, in flight or waiting
// for a retry.
func (b *Batcher) checkDrained() {
	if b.onDrained != nil && len(b.pending) == 0 && len(b.inFlight) == 0 && b.retrying == 0 {
		b.onDrained()
		b.onDrained = nil
	}
}

// afterFunc implements Options.After with the system clock.
func afterFunc(d time.Duration, fn func()) { time.AfterFunc(d, fn) }
