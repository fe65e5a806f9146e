package cell

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// Timeouts and retries of callers' requests.
const (
	// retryAfter is sent to callers while the store is unavailable: outages last
	// seconds, and another daemon may reach the store.
	retryAfter = time.Second
	// maxStoreAttempts is the maximum number of attempts of a write in one request.
	maxStoreAttempts = 3
	storeRetryDelay  = 40 * time.Millisecond
	// writeTimeout is below the usual 3 s timeout of callers, so that a write whose
	// response was lost can be retried.
	writeTimeout = 1100 * time.Millisecond
	// notifyTimeout is the timeout of a notification to the owner, which also reads
	// the stored rows.
	notifyTimeout = 500 * time.Millisecond
	// maxNotifyAttempts is how often the owner is notified until it answers, each time after
	// twice the delay, which is notifyRetryDelay at first: an owner may just have been replaced.
	maxNotifyAttempts = 4
	notifyRetryDelay  = 200 * time.Millisecond
)

// Submit stores a job. The error is a *verdict.RequestError with the verdict
// NotRun if the job was not accepted and will not run, or MayHaveRun if that is
// unknown.
func (c *Cell) Submit(ctx context.Context, spec job.Spec) error {
	if state, ok := c.jobStates.state(spec.ID, c.Now()); ok {
		c.Log.WithFields(log.Fields{"event": "job_resubmitted", "job": spec.ID, "state": state}).Info("the job is already known")
		return nil
	}
	if err := c.checkStore(); err != nil {
		return err
	}
	if c.isFull(spec) {
		return c.submitToFull(ctx, spec.ID)
	}
	if spec.QueueSettings = settingsOf(c.View().Config, spec.Queue); spec.QueueSettings == nil {
		return c.submitToUnknownQueue(ctx, spec)
	}
	txn := c.submission(spec)
	if bytes := len(txn.Puts[0].Value); bytes > c.rowBytes() {
		return verdict.Refuse(verdict.CodeTooLarge, http.StatusRequestEntityTooLarge, 0, "the job takes %d bytes and the store holds %d", bytes, c.rowBytes())
	}
	version, err := c.write(ctx, txn)
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		c.Log.WithFields(log.Fields{"event": "job_resubmitted", "job": spec.ID}).Info("the job is already stored")
		return c.resubmitted(ctx, conflict.Rows, spec.ID)
	}
	if err != nil {
		c.instruments.jobsNotStored.Inc(1)
		c.Log.WithFields(log.Fields{"event": "job_not_stored", "job": spec.ID, "verdict": verdict.Of(err)}).WithError(err).Warn("refused")
		return err
	}
	c.instruments.jobsStored.Inc(1)
	c.jobStates.add(spec.ID, job.Queued, c.Now())
	stored := storedJob{spec, version}
	c.notifyOwner(&peerpb.NewsRequest{Cell: uint32(c.Number), Jobs: [][]byte{encode(stored)}}, []storedJob{stored}, nil)
	return nil
}

// submitStored handles a submission that cannot be stored now. It reports whether a row of the job
// is stored already, or whether that is not known.
func (c *Cell) submitStored(ctx context.Context, id string) (stored bool, err error) {
	state, err := c.storedState(ctx, id)
	switch {
	case !errors.Is(err, ErrNoJob):
		return true, err
	case state.record.Withdrawn:
		return true, c.submitWithdrawn(ctx, id, state.version, state.record)
	}
	return false, nil
}

// submitToUnknownQueue handles a submission to a queue that the configuration in force lacks: without
// the queue's settings, the job would not run.
func (c *Cell) submitToUnknownQueue(ctx context.Context, spec job.Spec) error {
	if stored, err := c.submitStored(ctx, spec.ID); stored {
		return err
	}
	c.Log.WithFields(log.Fields{"event": "job_refused_queue", "job": spec.ID, "queue": spec.Queue}).Info("the configuration in force lacks the queue")
	return verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, retryAfter, "the settings of the queue %s are not known", spec.Queue)
}

// settingsOf returns the settings of a queue in a configuration; nil if it lacks the queue.
func settingsOf(config *port.Config, queue string) *job.QueueSettings {
	if config == nil {
		return nil
	}
	for _, r := range config.Routes {
		if r.Queue.Name == queue {
			return &job.QueueSettings{Version: config.Version, Queue: r.Queue}
		}
	}
	return nil
}

// submission returns the transaction that stores a job, unless it is stored in any cell.
func (c *Cell) submission(spec job.Spec) port.Txn {
	txn := port.Txn{
		Partition: c.jobPartition(spec.ID),
		Checks:    []port.Check{{Table: tableJobs, Key: spec.ID}, {Table: tableIndex, Key: spec.ID}},
		Puts:      []port.Put{{Table: c.tables.jobs, Key: spec.ID, Value: encode(jobRecord{Spec: &spec, Cell: c.Number})}},
	}
	if c.Number != cellmap.Lead {
		txn.Puts = append(txn.Puts, port.Put{Table: tableIndex, Key: spec.ID, Value: encode(jobRecord{Cell: c.Number})})
	}
	return txn
}

// OtherCellError reports a job that is in another cell. A submission of it has succeeded.
type OtherCellError struct{ Cell int }

// Error implements error.
func (e *OtherCellError) Error() string { return fmt.Sprintf("the job is in cell %d", e.Cell) }

// storedAt returns an *OtherCellError if the rows of a conflict show that a job is stored
// in another cell. Without a readable row, the cell is not known, and the job's state is
// looked up when it is asked for.
func (c *Cell) storedAt(rows []port.Row, id string) error {
	cell := cellmap.Lead
	if row := findRow(rows, tableIndex, id); row.Version > 0 {
		record, err := decode[jobRecord](row)
		if err != nil {
			c.Log.WithField("event", "job_row_unreadable").WithError(err).Error("cannot decode the index row of a job")
			return nil
		}
		cell = record.Cell
	}
	if cell != c.Number {
		return &OtherCellError{cell}
	}
	return nil
}

// checkStore returns an error while the breaker for the store is open.
func (c *Cell) checkStore() error {
	if c.breaker.allow(c.Now()) {
		return nil
	}
	return verdict.Refuse(verdict.CodeStoreUnavailable, http.StatusServiceUnavailable, retryAfter, "the store does not answer")
}

// write commits a caller's transaction, and retries it if it was refused or the
// response was lost: its checks make it idempotent. A *port.ConflictError is returned
// unchanged.
func (c *Cell) write(ctx context.Context, txn port.Txn) (int64, error) {
	uncertain := false
	for attempt := 0; ; attempt++ {
		version, err := c.writeOnce(ctx, txn)
		var conflict *port.ConflictError
		var refused *port.RefusedError
		switch {
		case err == nil, errors.As(err, &conflict):
			c.breaker.recordSuccess(c.Now())
			return version, err
		case errors.As(err, &refused):
			if refused.Reason != port.RefusedRateLimit {
				c.breaker.recordFailure(c.Now())
			}
		default:
			c.breaker.recordFailure(c.Now())
			var unanswered *port.UnansweredError
			uncertain = uncertain || !errors.As(err, &unanswered) || !unanswered.NotSent
		}
		if ctx.Err() != nil || attempt+1 >= maxStoreAttempts || sleep(ctx, storeRetryDelay) != nil {
			return 0, storeError(err, uncertain)
		}
	}
}

func (c *Cell) writeOnce(ctx context.Context, txn port.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.Store.Commit(ctx, txn)
}

// storeError returns the error for a caller whose call the store did not confirm.
// uncertain is set if the store may have applied a write.
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

// notifyOwner sends stored jobs and cancellations to the owner asynchronously.
func (c *Cell) notifyOwner(news *peerpb.NewsRequest, jobs []storedJob, cancelled []string) {
	view := c.View()
	if view.IsOwner {
		c.Loop.Post(func() {
			if c.term != nil {
				c.term.acceptStored(jobs, cancelled)
				if news.GetTransferred() {
					c.term.readTransferred()
				}
			}
		})
		return
	}
	c.Loop.Go(func(ctx context.Context) func() {
		var err error
		for attempt := range maxNotifyAttempts {
			if attempt > 0 && sleep(ctx, notifyRetryDelay<<(attempt-1)) != nil {
				break
			}
			if err = c.callOwner(ctx, news); err == nil {
				break
			}
		}
		return func() {
			if err != nil {
				c.Log.WithFields(log.Fields{"event": "owner_not_told", "jobs": len(news.GetJobs()), "cancelled": len(news.GetCancelled())}).WithError(err).Info("cannot notify the owner; it will read the rows from the store")
			}
		}
	})
}

// callOwner sends a notification to the present owner.
func (c *Cell) callOwner(ctx context.Context, news *peerpb.NewsRequest) error {
	view := c.View()
	if view.Owner == "" {
		return errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	_, err := c.Peers.Call(ctx, view.Owner, &peerpb.Request{Kind: &peerpb.Request_News{News: news}})
	return err
}

var errNoOwner = errors.New("the cell has no owner")

// ErrNoJob reports a job that does not exist in the store.
var ErrNoJob = &verdict.RequestError{
	Code: verdict.CodeNotFound, Message: "no such job", Verdict: verdict.NotRun, Status: http.StatusGone,
}

// State returns a job's state. The error is ErrNoJob or another *verdict.RequestError, or an
// *OtherCellError.
func (c *Cell) State(ctx context.Context, id string) (job.State, error) {
	if state, ok := c.jobStates.state(id, c.Now()); ok {
		return state, nil
	}
	if state, ok := c.askOwner(ctx, id); ok {
		return state, nil
	}
	stored, err := c.storedState(ctx, id)
	if err == nil && stored.state.Final() {
		c.jobStates.set(id, stored.state, c.Now())
	}
	return stored.state, err
}

// askOwner asks the owner of the cell for a job's state, if this daemon does not follow
// it. It reports false if the owner does not answer or does not know the job.
func (c *Cell) askOwner(ctx context.Context, id string) (job.State, bool) {
	view := c.View()
	if c.Number == cellmap.Lead || view.Owner == "" || view.IsOwner {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	resp, err := c.Peers.Call(ctx, view.Owner, &peerpb.Request{Kind: &peerpb.Request_State{State: &peerpb.StateRequest{Cell: uint32(c.Number), Job: id}}})
	state := job.State(resp.GetState().GetState())
	if err != nil || state == "" {
		return "", false
	}
	if state.Final() {
		c.jobStates.set(id, state, c.Now())
	}
	return state, true
}

// storedJobState is what the store tells of a job in its cell.
type storedJobState struct {
	state  job.State
	record jobRecord
	// version is that of the job's row.
	version int64
}

// storedState reads a job's state from the store. With ErrNoJob, the record is that of a withdrawn job,
// if there is one.
func (c *Cell) storedState(ctx context.Context, id string) (storedJobState, error) {
	row, err := c.readRow(ctx, c.tables.jobs, c.jobPartition(id), id)
	here := err == nil && row.Version > 0
	if err == nil && !here && c.group != nil {
		row, err = c.findElsewhere(ctx, id)
	}
	if err != nil {
		return storedJobState{}, err
	}
	if row.Version == 0 {
		return storedJobState{}, ErrNoJob
	}
	record, err := decode[jobRecord](row)
	if err != nil {
		c.Log.WithField("event", "job_row_unreadable").WithError(err).Error("cannot decode the job row; failing the request")
		return storedJobState{}, storeError(err, true)
	}
	stored := storedJobState{state: record.Ended, record: record, version: row.Version}
	if record.Withdrawn && !record.Submitted {
		return stored, ErrNoJob
	}
	if record.Ended != "" {
		return stored, nil
	}
	if !here || record.Cell != c.Number {
		return storedJobState{}, &OtherCellError{record.Cell}
	}
	stored.state, err = c.openState(ctx, id)
	return stored, err
}

// openState determines the state of a job whose row does not record an end.
func (c *Cell) openState(ctx context.Context, id string) (job.State, error) {
	row, err := c.readRow(ctx, tableOutcomes, c.Partition, id)
	if err != nil {
		return "", err
	}
	if row.Version > 0 {
		outcome, err := decode[outcomeRecord](row)
		if err != nil {
			c.Log.WithField("event", "outcome_unreadable").WithError(err).Error("cannot decode the outcome row; failing the request")
			return "", storeError(err, true)
		}
		return outcome.State, nil
	}
	cancel, err := c.readRow(ctx, c.tables.cancels, c.jobPartition(id), id)
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
	if err := c.checkStore(); err != nil {
		return port.Row{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	page, err := c.Store.Range(ctx, table, partition, key, key+"\x00", 1)
	if err != nil {
		c.breaker.recordFailure(c.Now())
		return port.Row{}, storeError(err, true)
	}
	c.breaker.recordSuccess(c.Now())
	if len(page.Rows) == 0 {
		return port.Row{Table: table, Key: key}, nil
	}
	return page.Rows[0], nil
}

// Cancel stores a job's cancellation. The error is ErrNoJob or another
// *verdict.RequestError, or an *OtherCellError. A job that has ended stays as it is. After ErrNoJob, no
// submission of the job is stored any more, however late it is.
func (c *Cell) Cancel(ctx context.Context, id string) error {
	if state, ok := c.jobStates.state(id, c.Now()); ok && state.Final() {
		return nil
	}
	for range maxStoreAttempts {
		var conflict *port.ConflictError
		stored, err := c.storedState(ctx, id)
		if errors.Is(err, ErrNoJob) && !stored.record.Withdrawn {
			if failed := c.withdraw(ctx, id); errors.As(failed, &conflict) {
				continue // the job has been stored in the meantime
			} else if failed != nil {
				return failed
			}
		}
		if err != nil {
			return err
		}
		if stored.state.Final() {
			return nil
		}
		hosts := stored.record.hosts()
		_, err = c.write(ctx, c.cancellation(id, stored))
		if errors.As(err, &conflict) {
			continue // the job has ended or moved in the meantime
		}
		if err == nil {
			c.jobStates.set(id, job.Cancelled, c.Now())
			c.Log.WithFields(log.Fields{"event": "cancel_stored", "job": id}).Info("cancellation stored")
			c.notifyOwner(&peerpb.NewsRequest{Cell: uint32(c.Number), Cancelled: []string{id}}, nil, []string{id})
			for _, n := range hosts {
				c.group.notifyTransferred(n)
			}
		}
		return err
	}
	return storeError(errors.New("the job changes too fast"), true)
}

// cancellation returns the transaction that cancels a job in all cells that run tasks of it.
func (c *Cell) cancellation(id string, stored storedJobState) port.Txn {
	txn := port.Txn{
		Partition: c.jobPartition(id),
		Checks:    []port.Check{{Table: c.tables.jobs, Key: id, Version: stored.version}},
		Puts:      []port.Put{{Table: c.tables.cancels, Key: id, Value: []byte("{}")}},
	}
	for _, n := range stored.record.hosts() {
		ended := hostedRecord{Cell: n, Home: c.Number, Ended: true}
		txn.Puts = append(txn.Puts, port.Put{Table: tableHosted, Key: hostedKey(id, n), Value: encode(ended)})
	}
	return txn
}

// Pending returns the number of jobs of a queue that have not started. It returns
// a *verdict.RequestError if the owner has not confirmed the number recently.
func (c *Cell) Pending(queue string) (int, error) {
	now := c.Now()
	n, ok := c.jobStates.depth(queue, now)
	c.observeDepth(queue, n, ok, now)
	if !ok {
		return 0, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, retryAfter, "the queue's depth is not known")
	}
	return n, nil
}
