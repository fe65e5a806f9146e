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

// enqueue adds a change and sees to it that a flush is due.
func (g *Batcher) enqueue(c *change) {
	g.waiting = append(g.waiting, c)
	g.schedule()
}

// schedule makes a flush due as soon as the daemon's share of the table's
// writes allows: at once when writes are few.
func (g *Batcher) schedule() {
	if g.scheduled || len(g.waiting) == 0 {
		return
	}
	g.scheduled = true
	now := g.opts.Now()
	share := rate.Limit(writesPerSecond / float64(max(1, g.opts.Daemons())))
	if g.limiter.Limit() != share {
		g.limiter.SetLimitAt(now, share)
	}
	delay := g.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay <= 0 {
		g.flush()
		return
	}
	g.opts.After(delay, func() { g.post(g.flush, maxPosts) })
}

// post runs fn on the executor, a little later if its queue is full.
func (g *Batcher) post(fn func(), tries int) {
	if !g.opts.Executor.Post(fn) && tries > 1 {
		g.opts.After(retryInterval, func() { g.post(fn, tries-1) })
	}
}

// flush writes one group.
func (g *Batcher) flush() {
	g.scheduled = false
	group := g.take()
	g.schedule()
	var writes, reads []*change
	for _, c := range group {
		if c.unread {
			reads = append(reads, c)
		} else {
			writes = append(writes, c)
		}
	}
	if len(reads) > 0 {
		g.readBack(reads)
	}
	if len(writes) > 0 {
		g.commit(writes)
	}
	g.checkClosed()
}

// take removes a group from the waiting changes, one change a key, and ends
// the claims whose deadline has passed.
func (g *Batcher) take() []*change {
	now := g.opts.Now()
	waiting := g.waiting
	g.waiting = nil
	var group, rest []*change
	keys := make(map[string]bool, min(len(waiting), maxGroup))
	for _, c := range waiting {
		switch {
		case c.kind == idempotency.ChangeClaim && !now.Round(0).Before(c.deadline.Round(0)):
			c.done(outcome{err: deadlineError(), uncertain: c.attempts > 0})
		case len(group) >= maxGroup || keys[c.key]:
			rest = append(rest, c)
		default:
			keys[c.key] = true
			group = append(group, c)
		}
	}
	g.waiting = append(g.waiting, rest...)
	return group
}

func deadlineError() error {
	return verdict.Refuse(verdict.CodeDeadlineExceeded, http.StatusGatewayTimeout, retryAfterStore,
		"the idempotency key was not claimed before the deadline")
}

// commit writes a group in one transaction.
func (g *Batcher) commit(group []*change) {
	for _, c := range group {
		c.attempts++
	}
	txn, err := transaction(group)
	if err != nil {
		finish(group, outcome{err: storeError(err)})
		return
	}
	g.opts.Metrics.transactions.Inc(1)
	g.opts.Metrics.changes.Inc(int64(len(group)))
	call(g, func(ctx context.Context) (platform.Version, error) {
		return g.opts.Table.Commit(ctx, txn)
	}, func(v platform.Version, err error) { g.committed(group, v, err) })
}

// transaction writes the changes, each on condition that its row has the
// expected version, and one row that lists the group's claims by time.
func transaction(group []*change) (platform.Txn, error) {
	var txn platform.Txn
	var index claimIndex
	var claimed int64 // of the latest claim of the group
	var try string
	for _, c := range group {
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
			claimed = max(claimed, c.claim.ClaimedUnixMS)
			try = c.claim.AttemptID
		}
	}
	if len(index.Keys) == 0 {
		return txn, nil
	}
	value, err := json.Marshal(index)
	if err != nil {
		return txn, err
	}
	key := platform.ClaimTimesKey(claimed, try)
	txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
	return txn, nil
}

func finish(group []*change, o outcome) {
	for _, c := range group {
		c.done(o)
	}
}

// committed takes the reply to a transaction.
func (g *Batcher) committed(group []*change, version platform.Version, err error) {
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		g.down = false
		finish(group, outcome{version: version})
	case errors.As(err, &conflict):
		g.down = false
		g.conflicted(group, conflict.Keys)
	case errors.As(err, &unavailable) && unavailable.Verdict == verdict.NotRun:
		g.down = true
		g.failed(group, err, false)
	default:
		g.readBack(group)
	}
}

// conflicted reads the rows that conflict and writes the others again.
func (g *Batcher) conflicted(group []*change, keys []string) {
	conflicting := make(map[string]bool, len(keys))
	for _, k := range keys {
		conflicting[k] = true
	}
	var rest, read []*change
	for _, c := range group {
		if conflicting[c.key] {
			read = append(read, c)
		} else {
			c.attempts-- // nothing was wrong with it
			rest = append(rest, c)
		}
	}
	if len(read) == 0 {
		// The table named no row of the group, so that the cause is not known.
		read, rest = rest, nil
	}
	g.waiting = append(rest, g.waiting...)
	g.schedule()
	g.readBack(read)
}

// failed ends claims at once and tries other changes again later.
func (g *Batcher) failed(group []*change, err error, uncertain bool) {
	for _, c := range group {
		if c.kind == idempotency.ChangeClaim || c.attempts >= maxAttempts {
			c.done(outcome{err: storeError(err), uncertain: uncertain || c.attempts > 1})
			continue
		}
		c.unread = true
		g.retryLater(c)
	}
}

func (g *Batcher) retryLater(c *change) {
	g.retrying++
	g.opts.After(retryInterval, func() {
		g.post(func() {
			g.retrying--
			g.enqueue(c)
			g.checkClosed()
		}, maxPosts)
	})
}

// readBack reads the rows of changes whose fate is not known.
func (g *Batcher) readBack(group []*change) {
	g.opts.Metrics.readBacks.Inc(1)
	keys := make([]string, len(group))
	for i, c := range group {
		keys[i] = c.key
	}
	call(g, func(ctx context.Context) ([]platform.Row, error) {
		return g.opts.Table.Get(ctx, keys...)
	}, func(rows []platform.Row, err error) {
		if err != nil {
			g.down = true
			for _, c := range group {
				c.attempts++
			}
			g.failed(group, err, true)
			return
		}
		g.down = false
		for i, c := range group {
			g.resolve(c, rows[i])
		}
	})
}

// resolve decides how a change goes on, given its row.
func (g *Batcher) resolve(c *change, row platform.Row) {
	stored, err := decodeClaim(row)
	if err != nil {
		c.done(outcome{err: storeError(err), uncertain: true})
		return
	}
	switch idempotency.Resolve(c.kind, stored, c.claim) {
	case idempotency.ResolutionDone:
		c.done(outcome{version: row.Version})
	case idempotency.ResolutionNotOwner:
		if stored == nil {
			stored = &idempotency.Claim{}
		}
		c.done(outcome{taken: stored})
	default:
		if c.attempts >= maxAttempts {
			c.done(outcome{err: storeError(errors.New("the row was not written in several attempts")), uncertain: true})
			return
		}
		c.version = row.Version
		c.unread = false
		g.enqueue(c)
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

// checkClosed tells Close once nothing is left to write.
func (g *Batcher) checkClosed() {
	if g.closing != nil && len(g.waiting) == 0 && len(g.underWay) == 0 && g.retrying == 0 {
		g.closing()
		g.closing = nil
	}
}

// wait is used by After of the real daemon.
func wait(d time.Duration, fn func()) { time.AfterFunc(d, fn) }
