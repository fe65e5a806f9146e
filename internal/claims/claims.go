// Package claims writes claims of idempotency keys to the table service,
// grouped into one transaction for many requests.
package claims

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of one group of claims.
const (
	groupInterval   = 4 * time.Millisecond
	maxGroup        = 256
	queueLength     = 4096
	storeTimeout    = 2 * time.Second
	retryAfterStore = 2 * time.Second
)

// Result is the answer to one claim.
type Result struct {
	Action idempotency.Action
	// Stored is the claim in the table, if it is not the one just written.
	Stored *idempotency.Claim
	// Err is set when the table could not be asked; the request was not run.
	Err error
}

type entry struct {
	key    string
	claim  idempotency.Claim
	result chan Result
}

// Grouper groups claims. It is safe for concurrent use.
type Grouper struct {
	table platform.Table
	queue chan entry
	stop  chan struct{}
	wg    sync.WaitGroup
}

// NewGrouper returns a running grouper; Close stops it.
func NewGrouper(table platform.Table) *Grouper {
	g := &Grouper{
		table: table,
		queue: make(chan entry, queueLength),
		stop:  make(chan struct{}),
	}
	g.wg.Go(g.run)
	return g
}

// Close stops the grouper after the group in progress.
func (g *Grouper) Close() {
	close(g.stop)
	g.wg.Wait()
}

func rowKey(k idempotency.Key) string { return platform.ClaimKey(k.Member, k.Service, k.Value) }

// Claim writes a claim unless the key is taken. It refuses at once when too
// many claims wait.
func (g *Grouper) Claim(ctx context.Context, key idempotency.Key, claim idempotency.Claim) Result {
	e := entry{key: rowKey(key), claim: claim, result: make(chan Result, 1)}
	select {
	case g.queue <- e:
	default:
		return Result{Err: verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable,
			retryAfterStore, "too many idempotency keys wait to be claimed")}
	}
	select {
	case r := <-e.result:
		return r
	case <-ctx.Done():
		return Result{Err: verdict.Refuse(verdict.CodeDeadlineExceeded, http.StatusGatewayTimeout,
			retryAfterStore, "the idempotency key was not claimed before the deadline")}
	case <-g.stop:
		return Result{Err: verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable,
			retryAfterStore, "the daemon is stopping")}
	}
}

// Complete writes the outcome of a claimed request.
func (g *Grouper) Complete(ctx context.Context, key idempotency.Key, claim idempotency.Claim, outcome idempotency.Outcome) error {
	claim.Outcome = &outcome
	value, err := json.Marshal(claim)
	if err != nil {
		return err
	}
	_, err = g.table.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: rowKey(key), Value: value}}})
	return err
}

func (g *Grouper) run() {
	for {
		select {
		case <-g.stop:
			return
		case first := <-g.queue:
			g.write(g.collect(first))
		}
	}
}

// collect waits one interval for more claims.
func (g *Grouper) collect(first entry) []entry {
	group := []entry{first}
	timer := time.NewTimer(groupInterval)
	defer timer.Stop()
	for len(group) < maxGroup {
		select {
		case e := <-g.queue:
			group = append(group, e)
		case <-timer.C:
			return group
		}
	}
	return group
}

// write commits a group; claims whose keys are taken are answered from the
// table and the rest is tried again.
func (g *Grouper) write(group []entry) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	group, later := distinct(group)
	for len(group) > 0 {
		_, err := g.table.Commit(ctx, transaction(group))
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			answer(group, Result{Action: idempotency.ActionRun})
			group = nil
		case errors.As(err, &conflict):
			group = g.settle(ctx, group, conflict.Keys)
		default:
			g.readBack(ctx, group, err)
			group = nil
		}
	}
	if len(later) > 0 {
		g.write(later)
	}
}

// distinct splits off the entries whose key appears earlier in the group.
func distinct(group []entry) (first, later []entry) {
	seen := make(map[string]bool, len(group))
	for _, e := range group {
		if seen[e.key] {
			later = append(later, e)
			continue
		}
		seen[e.key] = true
		first = append(first, e)
	}
	return first, later
}

func transaction(group []entry) platform.Txn {
	var txn platform.Txn
	for _, e := range group {
		value, err := json.Marshal(e.claim)
		if err != nil {
			continue
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: e.key})
		txn.Puts = append(txn.Puts, platform.Put{Key: e.key, Value: value})
	}
	return txn
}

// settle answers the entries with the given keys from the table and returns
// the others.
func (g *Grouper) settle(ctx context.Context, group []entry, keys []string) []entry {
	taken := make(map[string]bool, len(keys))
	for _, k := range keys {
		taken[k] = true
	}
	var rest, conflicting []entry
	for _, e := range group {
		if taken[e.key] {
			conflicting = append(conflicting, e)
		} else {
			rest = append(rest, e)
		}
	}
	g.answerFromTable(ctx, conflicting, idempotency.Decide)
	return rest
}

// readBack answers a group whose commit got no reply.
func (g *Grouper) readBack(ctx context.Context, group []entry, err error) {
	var unavailable *platform.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Verdict == verdict.NotRun {
		answer(group, Result{Err: storeError(err)})
		return
	}
	g.answerFromTable(ctx, group, idempotency.DecideReadBack)
}

func (g *Grouper) answerFromTable(ctx context.Context, group []entry,
	decide func(stored *idempotency.Claim, own idempotency.Claim) idempotency.Action) {
	keys := make([]string, len(group))
	for i, e := range group {
		keys[i] = e.key
	}
	rows, err := g.table.Get(ctx, keys...)
	if err != nil {
		answer(group, Result{Err: storeError(err)})
		return
	}
	for i, e := range group {
		stored, err := decodeClaim(rows[i])
		if err != nil {
			e.result <- Result{Err: storeError(err)}
			continue
		}
		action := decide(stored, e.claim)
		if action == idempotency.ActionClaim {
			// The write did not take effect; the caller may try again.
			e.result <- Result{Err: storeError(errors.New("the claim was not written"))}
			continue
		}
		e.result <- Result{Action: action, Stored: stored}
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

func storeError(err error) error {
	e := verdict.Refuse(verdict.CodeStoreUnavailable, http.StatusServiceUnavailable, retryAfterStore,
		"the idempotency key cannot be claimed while the table service is unavailable")
	e.Err = err
	return e
}

func answer(group []entry, r Result) {
	for _, e := range group {
		e.result <- r
	}
}
