// Package claims writes the claims of idempotency keys, their outcomes and
// their releases to the table service, many in one transaction.
//
// A Grouper's state is owned by its executor. Methods whose names begin with
// Start must be called on the executor; the others wait for it and may be
// called from any goroutine.
package claims

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of the claims of one daemon.
const (
	// writesPerSecond is shared by all daemons, out of the table's several hundred.
	writesPerSecond = 200
	// writeBurst is how many transactions may follow each other without a wait.
	writeBurst = 4
	// maxGroup bounds the changes of one transaction.
	maxGroup = 256
	// maxWaiting bounds the changes that wait for a transaction.
	maxWaiting = 4096
	// maxAttempts bounds the writes of one change.
	maxAttempts = 8
	// commitTimeout bounds one call of the table service.
	commitTimeout = time.Second
	// stallTimeout is how long a transaction may be under way before the table
	// counts as unavailable for new claims.
	stallTimeout = 400 * time.Millisecond
	// retryInterval is the wait between writes of an outcome or a release while
	// the table is unavailable.
	retryInterval = 250 * time.Millisecond
	// maxPosts bounds the tries to run something on a full executor.
	maxPosts = 40
	// retryAfterStore is when a caller may come back.
	retryAfterStore = 2 * time.Second
	// maxInlineBody bounds the answers that are kept in the table's rows.
	maxInlineBody = 4 << 10
)

// Options are the settings of a Grouper.
type Options struct {
	Executor control.Executor
	Table    platform.Table
	Objects  platform.ObjectStore
	Log      log.Interface
	Metrics  *Metrics
	Now      func() time.Time
	// After runs fn on any goroutine once the time has passed.
	After func(d time.Duration, fn func())
	// Daemons returns how many daemons share the table's write budget.
	Daemons func() int
}

// Ticket is a claim that the table holds, or may hold.
type Ticket struct {
	Key   idempotency.Key
	Claim idempotency.Claim
	// Version is the version of the claim's row, or zero if it is not known.
	Version platform.Version
}

// Result is the answer to one claim.
type Result struct {
	Action idempotency.Action
	// Ticket is the claim that was written, when the action is ActionRun.
	Ticket Ticket
	// Stored is the claim in the table, if it is another try's.
	Stored idempotency.Claim
	// Err is set when the key was not claimed; the request was not run. It is a
	// *verdict.RequestError.
	Err error
}

// LostError reports a claim that the table no longer holds.
type LostError struct{ Key string }

// Error implements error.
func (e *LostError) Error() string { return "row " + e.Key + " no longer holds the claim" }

// change is one change of a row on its way to the table.
type change struct {
	kind     idempotency.Change
	key      string
	claim    idempotency.Claim
	deadline time.Time
	// version is the version that the row must have; claims expect no row.
	version platform.Version
	// unread is set when the row must be read before the next write.
	unread   bool
	attempts int
	done     func(outcome)
}

// outcome is the end of a change.
type outcome struct {
	version platform.Version
	// taken is the claim of another try that holds the row.
	taken *idempotency.Claim
	err   error
	// uncertain is set with err when the table may hold the change.
	uncertain bool
}

// Batcher groups changes into transactions.
type Batcher struct {
	opts    Options
	limiter *rate.Limiter
	waiting []*change
	// scheduled is set while a flush is due.
	scheduled bool
	// underWay holds the start of each call of the table in progress, by number.
	underWay map[int]time.Time
	calls    int
	// retrying counts changes that wait to be written again.
	retrying int
	// down is set from a failed call until the next that succeeds.
	down bool
	// nextSweep is when the next round of deletions may begin.
	nextSweep time.Time
	// closing is called once nothing is left to write.
	closing func()
}

// NewBatcher returns a grouper without claims.
func NewBatcher(opts Options) *Batcher {
	return &Batcher{
		opts:     opts,
		limiter:  rate.NewLimiter(writesPerSecond, writeBurst),
		underWay: map[int]time.Time{},
	}
}

func rowKey(k idempotency.Key) string { return platform.ClaimKey(k.Member, k.Service, k.Value) }

// StartClaim writes a claim unless its key is taken, and calls done on the
// executor. It refuses at once while the table is unavailable.
func (g *Batcher) StartClaim(key idempotency.Key, claim idempotency.Claim, deadline time.Time, done func(Result)) {
	if err := g.refusal(); err != nil {
		g.opts.Metrics.refused.Inc(1)
		done(Result{Err: err})
		return
	}
	g.enqueue(&change{
		kind: idempotency.ChangeClaim, key: rowKey(key), claim: claim, deadline: deadline,
		done: func(o outcome) { done(g.claimed(key, claim, o)) },
	})
}

// refusal says why a claim cannot even be tried.
func (g *Batcher) refusal() error {
	now := g.opts.Now()
	for _, since := range g.underWay {
		if now.Sub(since) > stallTimeout {
			return storeError(nil)
		}
	}
	probing := len(g.waiting) > 0 || len(g.underWay) > 0
	switch {
	case g.down && probing:
		return storeError(nil)
	case len(g.waiting) >= maxWaiting:
		return verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, retryAfterStore,
			"too many idempotency keys wait to be claimed")
	default:
		return nil
	}
}

func (g *Batcher) claimed(key idempotency.Key, claim idempotency.Claim, o outcome) Result {
	ticket := Ticket{Key: key, Claim: claim, Version: o.version}
	switch {
	case o.err != nil:
		if o.uncertain {
			// The request will not be sent, so the claim may go if it is there.
			g.StartRelease(ticket)
		}
		return Result{Err: o.err}
	case o.taken != nil:
		return Result{Action: idempotency.Decide(*o.taken, claim), Stored: *o.taken}
	default:
		return Result{Action: idempotency.ActionRun, Ticket: ticket}
	}
}

// StartRelease deletes a claim whose request was not sent and never will be.
// A claim that cannot be deleted stays, and later tries are told that the
// request may have run.
func (g *Batcher) StartRelease(t Ticket) {
	g.enqueue(&change{
		kind: idempotency.ChangeRelease, key: rowKey(t.Key), claim: t.Claim,
		version: t.Version, unread: t.Version == 0,
		done: func(o outcome) { g.report("claim_not_released", t, o.err) },
	})
}

// StartComplete writes the outcome of a claimed request and calls done on the
// executor. An answer too large for a row goes to the object store first.
func (g *Batcher) StartComplete(t Ticket, answer idempotency.Outcome, done func(error)) {
	if len(answer.Body) <= maxInlineBody {
		g.complete(t, answer, done)
		return
	}
	body := answer.Body
	answer.Body = nil
	answer.BodyObject = platform.ResponseObjectKey(t.Claim.AttemptID)
	call(g, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, g.opts.Objects.Put(ctx, answer.BodyObject, body)
	}, func(_ struct{}, err error) {
		if err != nil {
			g.report("answer_not_kept", t, err)
			answer.BodyObject = ""
			answer.BodyOmitted = true
		}
		g.complete(t, answer, done)
	})
}

func (g *Batcher) complete(t Ticket, answer idempotency.Outcome, done func(error)) {
	claim := t.Claim
	claim.Outcome = &answer
	g.enqueue(&change{
		kind: idempotency.ChangeComplete, key: rowKey(t.Key), claim: claim, version: t.Version, unread: t.Version == 0,
		done: func(o outcome) {
			err := o.err
			if o.taken != nil {
				err = &LostError{Key: rowKey(t.Key)}
			}
			g.report("outcome_not_kept", t, err)
			done(err)
		},
	})
}

func (g *Batcher) report(event string, t Ticket, err error) {
	if err == nil {
		return
	}
	g.opts.Metrics.unsettled.Inc(1)
	g.opts.Log.WithFields(log.Fields{
		"event": event, "request": t.Claim.AttemptID, "member": t.Key.Member, "service": t.Key.Service,
	}).WithError(err).Warn("claim left as it is")
}

// call runs work off the executor, bounded in time, and done on it.
func call[T any](g *Batcher, work func(ctx context.Context) (T, error), done func(T, error)) {
	g.calls++
	number := g.calls
	g.underWay[number] = g.opts.Now()
	control.Async(g.opts.Executor, func(ctx context.Context) (T, error) {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		return work(ctx)
	}, func(result T, err error) {
		delete(g.underWay, number)
		done(result, err)
		g.checkClosed()
	})
}

func storeError(err error) error {
	e := verdict.Refuse(verdict.CodeStoreUnavailable, http.StatusServiceUnavailable, retryAfterStore,
		"the idempotency key cannot be claimed while the table service is unavailable")
	e.Err = err
	return e
}
