// Package claims writes claims of idempotency keys, their outcomes and their
// releases to the table service, batched into transactions.
//
// A Batcher is owned by its executor: its Start methods must be called there. A
// Service wraps a Batcher and may be called from any goroutine.
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
	// writesPerSecond is the transaction budget that all daemons share; the table
	// service sustains several hundred a second.
	writesPerSecond = 200
	// writeBurst is how many transactions the rate limiter lets through at once.
	writeBurst = 4
	// maxBatchSize bounds the changes in one transaction.
	maxBatchSize = 256
	// maxPending bounds the queue of changes; new claims are refused beyond it.
	maxPending = 4096
	// maxAttempts bounds the write attempts of one change.
	maxAttempts = 8
	// commitTimeout bounds one call to the table service or the object store.
	commitTimeout = time.Second
	// stallTimeout is how long a call may be in flight before new claims are
	// refused because the table counts as unavailable.
	stallTimeout = 400 * time.Millisecond
	// retryInterval is the wait between write attempts of an outcome or a release
	// while the table is unavailable, and between posts to a full executor.
	retryInterval = 250 * time.Millisecond
	// maxPostAttempts bounds the attempts to post to an executor whose queue is full.
	maxPostAttempts = 40
	// retryAfterUnavailable is sent to callers whose claim was refused.
	retryAfterUnavailable = 2 * time.Second
	// maxInlineBodyBytes bounds the response bodies stored in table rows; larger
	// ones go to the object store.
	maxInlineBodyBytes = 4 << 10
)

// Options configures a Batcher.
type Options struct {
	Executor control.Executor
	Table    platform.Table
	Objects  platform.ObjectStore
	Log      log.Interface
	Metrics  *Metrics
	Now      func() time.Time
	// After runs fn on any goroutine once d has elapsed.
	After func(d time.Duration, fn func())
	// Daemons returns how many daemons share the table's write budget.
	Daemons func() int
}

// Ticket identifies a claim that the table holds or may hold.
type Ticket struct {
	Key   idempotency.Key
	Claim idempotency.Claim
	// Version is the version of the claim's row, or zero if unknown.
	Version platform.Version
}

// Result is the result of one claim.
type Result struct {
	Action idempotency.Action
	// Ticket is the claim that was written; set when the action is ActionRun.
	Ticket Ticket
	// Stored is the claim of another attempt that already holds the key.
	Stored idempotency.Claim
	// Err is a *verdict.RequestError, set when the key was not claimed. The
	// request has not run.
	Err error
}

// LostError reports that the row no longer holds the claim to complete.
type LostError struct{ Key string }

// Error implements error.
func (e *LostError) Error() string { return "row " + e.Key + " no longer holds the claim" }

// change is a pending write of one row.
type change struct {
	kind     idempotency.Change
	key      string
	claim    idempotency.Claim
	deadline time.Time
	// version is the expected row version; zero, as for claims, expects no row.
	version platform.Version
	// needsRead is set when the row must be read before the next write attempt.
	needsRead bool
	attempts  int
	done      func(writeResult)
}

// writeResult is the result of a change.
type writeResult struct {
	version platform.Version
	// existing is the claim of another attempt that holds the row.
	existing *idempotency.Claim
	err      error
	// uncertain is set with err when the change may have been applied.
	uncertain bool
}

// Batcher batches changes into transactions.
type Batcher struct {
	opts    Options
	limiter *rate.Limiter
	pending []*change
	// flushScheduled is set while a flush is scheduled.
	flushScheduled bool
	// inFlight holds the start time of each call in progress, by call ID.
	inFlight   map[int]time.Time
	lastCallID int
	// retrying counts changes that wait for retryInterval.
	retrying int
	// unavailable is set from a failed call to the table until the next success.
	unavailable bool
	// nextCollection is the earliest start of the next collection.
	nextCollection time.Time
	// onDrained, if set, is called once nothing is pending, in flight or waiting
	// for a retry.
	onDrained func()
}

// NewBatcher returns a batcher with nothing pending.
func NewBatcher(opts Options) *Batcher {
	return &Batcher{
		opts:     opts,
		limiter:  rate.NewLimiter(writesPerSecond, writeBurst),
		inFlight: map[int]time.Time{},
	}
}

func rowKey(k idempotency.Key) string { return platform.ClaimKey(k.Member, k.Service, k.Value) }

// StartClaim writes a claim unless its key is already claimed, and calls done
// on the executor. It fails at once while the table is unavailable.
func (b *Batcher) StartClaim(key idempotency.Key, claim idempotency.Claim, deadline time.Time, done func(Result)) {
	if err := b.checkAvailable(); err != nil {
		b.opts.Metrics.refused.Inc(1)
		done(Result{Err: err})
		return
	}
	b.enqueue(&change{
		kind: idempotency.ChangeClaim, key: rowKey(key), claim: claim, deadline: deadline,
		done: func(o writeResult) { done(b.claimResult(key, claim, o)) },
	})
}

// checkAvailable returns an error if new claims are refused at the moment. While
// the table is unavailable, one claim at a time is let through as a probe.
func (b *Batcher) checkAvailable() error {
	now := b.opts.Now()
	for _, since := range b.inFlight {
		if now.Sub(since) > stallTimeout {
			return unavailableError(nil)
		}
	}
	probing := len(b.pending) > 0 || len(b.inFlight) > 0
	switch {
	case b.unavailable && probing:
		return unavailableError(nil)
	case len(b.pending) >= maxPending:
		return verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, retryAfterUnavailable,
			"too many idempotency keys wait to be claimed")
	default:
		return nil
	}
}

func (b *Batcher) claimResult(key idempotency.Key, claim idempotency.Claim, o writeResult) Result {
	ticket := Ticket{Key: key, Claim: claim, Version: o.version}
	switch {
	case o.err != nil:
		if o.uncertain {
			// The request will not be sent: delete the claim if it was written.
			b.StartRelease(ticket)
		}
		return Result{Err: o.err}
	case o.existing != nil:
		return Result{Action: idempotency.Decide(*o.existing, claim), Stored: *o.existing}
	default:
		return Result{Action: idempotency.ActionRun, Ticket: ticket}
	}
}

// StartRelease deletes the claim of a request that was not sent and never will
// be. If the deletion fails the claim stays, and later attempts with the key are
// refused with may-have-run.
func (b *Batcher) StartRelease(t Ticket) {
	b.enqueue(&change{
		kind: idempotency.ChangeRelease, key: rowKey(t.Key), claim: t.Claim,
		version: t.Version, needsRead: t.Version == 0,
		done: func(o writeResult) { b.logUnsettled("claim_not_released", t, o.err) },
	})
}

// StartComplete writes the outcome of a claimed request and calls done on the
// executor. A body over maxInlineBodyBytes is written to the object store first.
func (b *Batcher) StartComplete(t Ticket, outcome idempotency.Outcome, done func(error)) {
	if len(outcome.Body) <= maxInlineBodyBytes {
		b.complete(t, outcome, done)
		return
	}
	body := outcome.Body
	outcome.Body = nil
	outcome.BodyObject = platform.ResponseObjectKey(t.Claim.AttemptID)
	callAsync(b, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, b.opts.Objects.Put(ctx, outcome.BodyObject, body)
	}, func(_ struct{}, err error) {
		if err != nil {
			b.logUnsettled("answer_not_kept", t, err)
			outcome.BodyObject = ""
			outcome.BodyOmitted = true
		}
		b.complete(t, outcome, done)
	})
}

func (b *Batcher) complete(t Ticket, outcome idempotency.Outcome, done func(error)) {
	claim := t.Claim
	claim.Outcome = &outcome
	b.enqueue(&change{
		kind: idempotency.ChangeComplete, key: rowKey(t.Key), claim: claim, version: t.Version, needsRead: t.Version == 0,
		done: func(o writeResult) {
			err := o.err
			if o.existing != nil {
				err = &LostError{Key: rowKey(t.Key)}
			}
			b.logUnsettled("outcome_not_kept", t, err)
			done(err)
		},
	})
}

func (b *Batcher) logUnsettled(event string, t Ticket, err error) {
	if err == nil {
		return
	}
	b.opts.Metrics.unsettled.Inc(1)
	b.opts.Log.WithFields(log.Fields{
		"event": event, "request": t.Claim.AttemptID, "member": t.Key.Member, "service": t.Key.Service,
	}).WithError(err).Warn("idempotency claim not updated")
}

// callAsync runs work off the executor, bounded by commitTimeout, and then done
// on the executor.
func callAsync[T any](b *Batcher, work func(ctx context.Context) (T, error), done func(T, error)) {
	b.lastCallID++
	id := b.lastCallID
	b.inFlight[id] = b.opts.Now()
	control.Async(b.opts.Executor, func(ctx context.Context) (T, error) {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		return work(ctx)
	}, func(result T, err error) {
		delete(b.inFlight, id)
		done(result, err)
		b.checkDrained()
	})
}

func unavailableError(err error) error {
	e := verdict.Refuse(verdict.CodeStoreUnavailable, http.StatusServiceUnavailable, retryAfterUnavailable,
		"the idempotency key cannot be claimed while the table service is unavailable")
	e.Err = err
	return e
}
