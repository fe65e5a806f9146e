package batch

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of a cancelGroup.
const (
	maxCancelGroup = 500 // rows in one transaction
	cancelTimeout  = 3 * time.Second
)

// Canceller writes cancel requests to the shards' inboxes. Requests that arrive
// while a transaction is in flight are written together by the next one, and
// repeated requests share a row. It is safe for concurrent use.
type Canceller struct {
	table platform.Table

	mu      sync.Mutex
	waiting []*cancelGroup
	writing bool
}

// cancelGroup holds the cancel requests of one transaction, by row key.
type cancelGroup struct {
	rows map[string][]byte
	done chan struct{}
	err  error // set before done is closed
}

// NewCanceller returns a Canceller with no pending requests.
func NewCanceller(table platform.Table) *Canceller { return &Canceller{table: table} }

// Cancel asks the owner of the job's shard to cancel the job's tasks. Once it
// returns nil, the request is durable until it is carried out. Cancel is idempotent.
// The error is a *verdict.RequestError.
func (c *Canceller) Cancel(ctx context.Context, job Job) error {
	row, err := cancelRow(job)
	if err != nil {
		return err
	}
	g := c.enqueue(row)
	select {
	case <-g.done:
	case <-ctx.Done():
		return storeError(verdict.MayHaveRun, ctx.Err())
	}
	if g.err != nil {
		return storeError(commitVerdict(g.err), g.err)
	}
	return nil
}

// enqueue adds a row to the last group in the queue and starts the writer if none is
// running.
func (c *Canceller) enqueue(row platform.Put) *cancelGroup {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.waiting); n == 0 || len(c.waiting[n-1].rows) >= maxCancelGroup {
		c.waiting = append(c.waiting, &cancelGroup{rows: map[string][]byte{}, done: make(chan struct{})})
	}
	g := c.waiting[len(c.waiting)-1]
	g.rows[row.Key] = row.Value
	if !c.writing {
		c.writing = true
		go c.write()
	}
	return g
}

// write commits the queued groups in order and returns when the queue is empty.
func (c *Canceller) write() {
	for {
		c.mu.Lock()
		if len(c.waiting) == 0 {
			c.writing = false
			c.mu.Unlock()
			return
		}
		g := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.mu.Unlock()
		g.err = c.commit(g)
		close(g.done)
	}
}

// commit writes a group. If no reply arrives, it writes the group once more; the
// puts are idempotent.
func (c *Canceller) commit(g *cancelGroup) error {
	var txn platform.Txn
	for key, value := range g.rows {
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
	}
	sort.Slice(txn.Puts, func(i, j int) bool { return txn.Puts[i].Key < txn.Puts[j].Key })
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, err := c.table.Commit(ctx, txn)
	var unavailable *platform.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Verdict == verdict.MayHaveRun {
		_, err = c.table.Commit(ctx, txn)
		if err != nil {
			err = &platform.UnavailableError{Op: "cancel", Verdict: verdict.MayHaveRun, Err: err}
		}
	}
	return err
}
