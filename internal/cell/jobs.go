package cell

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// Times of a caller's request.
const (
	// retryAfter is what a caller is told while the store is away: outages last
	// seconds, and the next daemon may reach the store.
	retryAfter = time.Second
	// storeTries is how often a refused write is tried within one request.
	storeTries      = 3
	storeRetryPause = 40 * time.Millisecond
	// writeTimeout is below the callers' usual 3 s, so that a lost answer can
	// be asked for again.
	writeTimeout = 1100 * time.Millisecond
	// newsTimeout bounds telling the owner, who finds the row anyway.
	newsTimeout = 500 * time.Millisecond
)

// Submit stores a job. The error is a *verdict.RequestError: NotRun when the
// job was not accepted and never runs, MayHaveRun when that is not known.
func (c *Cell) Submit(ctx context.Context, spec job.Spec) error {
	if state, ok := c.news.state(spec.ID, c.Now()); ok {
		c.Log.WithFields(log.Fields{"event": "job_resubmitted", "job": spec.ID, "state": state}).Info("known already")
		return nil
	}
	if err := c.refuseWithoutStore(); err != nil {
		return err
	}
	partition := c.jobPartition(spec.ID)
	err := c.write(ctx, port.Txn{
		Partition: partition,
		Checks:    []port.Check{{Table: tableJobs, Key: spec.ID}},
		Puts:      []port.Put{{Table: tableJobs, Key: spec.ID, Value: encode(jobRecord{Spec: &spec})}},
	})
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		c.Log.WithFields(log.Fields{"event": "job_resubmitted", "job": spec.ID}).Info("stored already")
		err = nil
	}
	if err != nil {
		c.gauges.refused.Inc(1)
		c.Log.WithFields(log.Fields{"event": "job_not_stored", "job": spec.ID, "verdict": verdict.Of(err)}).WithError(err).Warn("refused")
		return err
	}
	c.gauges.submitted.Inc(1)
	c.news.set(spec.ID, job.Queued, c.Now())
	c.tell(&peerpb.NewsRequest{Jobs: [][]byte{encode(spec)}}, []job.Spec{spec}, nil)
	return nil
}

// refuseWithoutStore refuses at once while the store is known to be away.
func (c *Cell) refuseWithoutStore() error {
	if c.gate.open(c.Now()) {
		return nil
	}
	return verdict.Refuse(verdict.CodeStoreUnavailable, http.StatusServiceUnavailable, retryAfter, "the store does not answer")
}

// write commits a caller's transaction, again if a response was lost: its
// conditions make it happen once. Conflicts are returned as they are.
func (c *Cell) write(ctx context.Context, txn port.Txn) error {
	uncertain := false
	for try := 0; ; try++ {
		err := c.writeOnce(ctx, txn)
		var conflict *port.ConflictError
		var refused *port.RefusedError
		switch {
		case err == nil, errors.As(err, &conflict):
			c.gate.answered(c.Now())
			return err
		case errors.As(err, &refused):
			if refused.Reason != port.RefusedRateLimit {
				c.gate.failed(c.Now())
			}
		default:
			c.gate.failed(c.Now())
			var unanswered *port.UnansweredError
			uncertain = uncertain || !errors.As(err, &unanswered) || !unanswered.NotSent
		}
		if ctx.Err() != nil || try+1 >= storeTries || pause(ctx, storeRetryPause) != nil {
			return storeError(err, uncertain)
		}
	}
}

func (c *Cell) writeOnce(ctx context.Context, txn port.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := c.Store.Commit(ctx, txn)
	return err
}

// storeError is what a caller is told when the store did not confirm a write.
func storeError(err error, uncertain bool) error {
	if !uncertain {
		e := verdict.Refuse(verdict.CodeStoreUnavailable, http.StatusServiceUnavailable, retryAfter, "the store refuses writes")
		e.Err = err
		return e
	}
	return &verdict.RequestError{
		Code: verdict.CodeStoreUnavailable, Message: "the store did not answer", Verdict: verdict.MayHaveRun,
		Status: http.StatusGatewayTimeout, RetryAfter: retryAfter, Err: err,
	}
}

// tell passes stored jobs and cancellations on to the owner, without waiting.
func (c *Cell) tell(news *peerpb.NewsRequest, specs []job.Spec, cancelled []string) {
	view := c.View()
	if view.IsOwner {
		c.Loop.Post(func() {
			if c.tenure != nil {
				c.tenure.accept(specs, cancelled)
			}
		})
		return
	}
	if view.Owner == "" {
		return
	}
	c.Loop.Go(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, newsTimeout)
		defer cancel()
		_, err := c.Peers.Call(ctx, view.Owner, &peerpb.Request{Kind: &peerpb.Request_News{News: news}})
		return func() {
			if err != nil {
				c.Log.WithFields(log.Fields{"event": "owner_not_told", "jobs": len(news.GetJobs()), "cancelled": len(news.GetCancelled())}).WithError(err).Info("it reads the store")
			}
		}
	})
}

// ErrNoJob reports a job that does not exist, by the store's word.
var ErrNoJob = &verdict.RequestError{
	Code: verdict.CodeNotFound, Message: "no such job", Verdict: verdict.NotRun, Status: http.StatusGone,
}

// State returns a job's state. The error is ErrNoJob or another
// *verdict.RequestError.
func (c *Cell) State(ctx context.Context, id string) (job.State, error) {
	if state, ok := c.news.state(id, c.Now()); ok {
		return state, nil
	}
	state, _, err := c.storedState(ctx, id)
	if err == nil && state.Final() {
		c.news.set(id, state, c.Now())
	}
	return state, err
}

// storedState reads a job's state from the store, and the version of its row.
func (c *Cell) storedState(ctx context.Context, id string) (job.State, int64, error) {
	row, err := c.readRow(ctx, tableJobs, c.jobPartition(id), id)
	if err != nil {
		return "", 0, err
	}
	if row.Version == 0 {
		return "", 0, ErrNoJob
	}
	record, err := decode[jobRecord](row)
	if err != nil {
		c.Log.WithField("event", "job_row_unreadable").WithError(err).Error("job")
		return "", 0, storeError(err, true)
	}
	if record.Ended != "" {
		return record.Ended, row.Version, nil
	}
	state, err := c.openState(ctx, id)
	return state, row.Version, err
}

// openState tells the states of a job apart whose row does not say that it has
// ended.
func (c *Cell) openState(ctx context.Context, id string) (job.State, error) {
	row, err := c.readRow(ctx, tableOutcomes, c.Partition, id)
	if err != nil {
		return "", err
	}
	if row.Version > 0 {
		outcome, err := decode[outcomeRecord](row)
		if err != nil {
			c.Log.WithField("event", "outcome_unreadable").WithError(err).Error("job")
			return "", storeError(err, true)
		}
		return outcome.State, nil
	}
	cancel, err := c.readRow(ctx, tableCancels, c.jobPartition(id), id)
	if err != nil || cancel.Version > 0 {
		return job.Cancelled, err
	}
	progress, err := c.readRow(ctx, tableProgress, c.Partition, id)
	if err != nil || progress.Version > 0 {
		return job.Running, err
	}
	return job.Queued, nil
}

func (c *Cell) readRow(ctx context.Context, table, partition, key string) (port.Row, error) {
	if err := c.refuseWithoutStore(); err != nil {
		return port.Row{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	page, err := c.Store.Range(ctx, table, partition, key, key+"\x00", 1)
	if err != nil {
		c.gate.failed(c.Now())
		return port.Row{}, storeError(err, true)
	}
	c.gate.answered(c.Now())
	if len(page.Rows) == 0 {
		return port.Row{Table: table, Key: key}, nil
	}
	return page.Rows[0], nil
}

// Cancel stores a job's cancellation. The error is ErrNoJob or another
// *verdict.RequestError. A job that has ended stays as it is.
func (c *Cell) Cancel(ctx context.Context, id string) error {
	if state, ok := c.news.state(id, c.Now()); ok && state.Final() {
		return nil
	}
	for range storeTries {
		state, version, err := c.storedState(ctx, id)
		if err != nil {
			return err
		}
		if state.Final() {
			return nil
		}
		err = c.write(ctx, port.Txn{
			Partition: c.jobPartition(id),
			Checks:    []port.Check{{Table: tableJobs, Key: id, Version: version}},
			Puts:      []port.Put{{Table: tableCancels, Key: id, Value: []byte("{}")}},
		})
		var conflict *port.ConflictError
		if errors.As(err, &conflict) {
			continue // it has ended meanwhile
		}
		if err == nil {
			c.news.set(id, job.Cancelled, c.Now())
			c.Log.WithFields(log.Fields{"event": "cancel_stored", "job": id}).Info("cancel")
			c.tell(&peerpb.NewsRequest{Cancelled: []string{id}}, nil, []string{id})
		}
		return err
	}
	return storeError(errors.New("the job changes too fast"), true)
}

// Pending returns the number of jobs of a queue that have not begun. The error
// is a *verdict.RequestError while the owner is not in touch.
func (c *Cell) Pending(queue string) (int, error) {
	n, ok := c.news.depth(queue, c.Now())
	if !ok {
		return 0, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, retryAfter, "the queue's depth is not known")
	}
	return n, nil
}
