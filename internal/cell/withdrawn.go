package cell

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// A job that is cancelled before it is stored is withdrawn: its submission may still be on its way, or
// be repeated, and must not store it any more. A row in the lead cell's table of jobs, which the
// submission to any cell checks, records that until Options.Retention has passed.
const (
	// withdrawalsPerSecond and withdrawalBurst bound the rows that a daemon writes for jobs that it does
	// not find. Callers who withdraw are few; requests for jobs that never existed must not use up the
	// writes that the platform allows.
	withdrawalsPerSecond = 20
	withdrawalBurst      = 100
)

func newWithdrawalLimiter() *rate.Limiter {
	return rate.NewLimiter(withdrawalsPerSecond, withdrawalBurst)
}

// errTooManyWithdrawals reports that a job was not found, and that this is not recorded.
var errTooManyWithdrawals = verdict.Refuse(verdict.CodeOverloaded, http.StatusTooManyRequests, time.Second, "too many cancellations of jobs that do not exist")

// withdraw records that a job that is not stored is cancelled. A *port.ConflictError shows that a
// row of it has been written since.
func (c *Cell) withdraw(ctx context.Context, id string) error {
	if !c.withdrawals.AllowN(c.Now(), 1) {
		return errTooManyWithdrawals
	}
	_, err := c.write(ctx, port.Txn{
		Partition: c.jobPartition(id),
		Checks:    []port.Check{{Table: tableJobs, Key: id}, {Table: tableIndex, Key: id}},
		Puts:      []port.Put{{Table: tableJobs, Key: id, Value: encode(jobRecord{Ended: job.Cancelled, Withdrawn: true})}},
	})
	if err == nil {
		c.instruments.jobsWithdrawn.Inc(1)
		c.Log.WithFields(log.Fields{"event": "job_withdrawn", "job": id}).Info("cancelled a job that is not stored; its submission will not store it")
	}
	return err
}

// resubmitted handles a submission of a job of which rows are stored.
func (c *Cell) resubmitted(ctx context.Context, rows []port.Row, id string) error {
	row := findRow(rows, tableJobs, id)
	record, err := decode[jobRecord](row)
	if row.Version == 0 || err != nil || !record.Withdrawn {
		return c.storedAt(rows, id)
	}
	return c.submitWithdrawn(ctx, id, row.Version, record)
}

// submitWithdrawn acknowledges the submission of a job that was withdrawn before: from then on, it is
// shown as cancelled. version is that of its row.
func (c *Cell) submitWithdrawn(ctx context.Context, id string, version int64, record jobRecord) error {
	if !record.Submitted {
		record.Submitted = true
		_, err := c.write(ctx, port.Txn{
			Partition: c.jobPartition(id),
			Checks:    []port.Check{{Table: tableJobs, Key: id, Version: version}},
			Puts:      []port.Put{{Table: tableJobs, Key: id, Value: encode(record)}},
		})
		var conflict *port.ConflictError
		if err != nil && !errors.As(err, &conflict) { // another submission may have written it
			return err
		}
		c.Log.WithFields(log.Fields{"event": "withdrawn_job_submitted", "job": id}).Info("the job was cancelled before it was submitted; it does not run")
	}
	if c.Number != cellmap.Lead {
		return &OtherCellError{cellmap.Lead}
	}
	return nil
}

// withdrawnJob is a withdrawn job, and the version of its row.
type withdrawnJob struct {
	id      string
	version int64
	at      time.Time // when this owner read the row
}

// noteWithdrawn has the row of a withdrawn job deleted after the retention time. Other rows are ignored.
func (t *term) noteWithdrawn(row port.Row) {
	if !t.c.isLead() {
		return
	}
	if record, err := decode[jobRecord](row); err == nil && record.Withdrawn {
		t.compactor.withdrawn = append(t.compactor.withdrawn, withdrawnJob{row.Key, row.Version, t.c.Now()})
	}
}

// deleteWithdrawn deletes rows of withdrawn jobs of one partition after the retention time. A row that has
// changed since is found again with its change.
func (t *term) deleteWithdrawn(now time.Time) {
	comp := &t.compactor
	if comp.deletingWithdrawn || len(comp.withdrawn) == 0 || now.Sub(comp.withdrawn[0].at) <= t.c.Retention {
		return
	}
	txn := port.Txn{Partition: t.c.jobPartition(comp.withdrawn[0].id)}
	var batch, others []withdrawnJob
	for _, w := range comp.withdrawn {
		if len(batch) >= maxCompacted || now.Sub(w.at) <= t.c.Retention || t.c.jobPartition(w.id) != txn.Partition {
			others = append(others, w)
			continue
		}
		batch = append(batch, w)
		txn.Checks = append(txn.Checks, port.Check{Table: tableJobs, Key: w.id, Version: w.version})
		txn.Deletes = append(txn.Deletes, port.Ref{Table: tableJobs, Key: w.id})
	}
	comp.withdrawn, comp.deletingWithdrawn = others, true
	runAsync(t, compactTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Store.Commit(ctx, txn)
	}, func(_ int64, err error) {
		comp.deletingWithdrawn = false
		if err == nil {
			return
		}
		t.log.WithFields(log.Fields{"event": "sweep_failed", "jobs": len(batch)}).WithError(err).Debug("deletion of the rows of withdrawn jobs failed; retrying")
		var conflict *port.ConflictError
		if errors.As(err, &conflict) {
			batch = slices.DeleteFunc(batch, func(w withdrawnJob) bool {
				return findRow(conflict.Rows, tableJobs, w.id).Version != w.version
			})
		}
		comp.withdrawn = append(batch, comp.withdrawn...)
	})
}
