package cell

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// pollDirectory reads the list of workers if that is due.
func (t *term) pollDirectory(now time.Time) {
	if t.directoryReadInFlight || now.Sub(t.directoryPolledAt) < t.directoryInterval() {
		return
	}
	t.directoryReadInFlight, t.directoryPolledAt = true, now
	suspended := t.c.suspendedFor
	runAsync(t, storeTimeout, t.c.listWorkers, func(list workerList, err error) {
		t.directoryReadInFlight = false
		t.c.recordStoreResult(err, t.c.Now())
		if err == nil {
			list.readAt = list.readAt.Add(-t.c.suspendedSince(suspended))
			t.setWorkers(list)
			t.schedulePlan()
		}
	})
}

// directoryPollPerWorker lengthens directoryPoll where the directory is large: each read
// returns all of it, about half a kilobyte for a worker.
const directoryPollPerWorker = 700 * time.Microsecond

// directoryInterval returns the interval of the reads of the directory.
func (t *term) directoryInterval() time.Duration {
	workers := len(t.engine.Workers())
	if t.c.group != nil && t.c.isLead() {
		workers = len(t.c.group.workers)
	}
	return max(directoryPoll, time.Duration(workers)*directoryPollPerWorker)
}

// ownWorkers returns the workers of the cell. The lead cell's owner reads those of all
// cells, and tells the other owners theirs.
func (t *term) ownWorkers(list workerList) []port.WorkerEntry {
	if t.c.group == nil || !t.c.isLead() {
		return list.workers
	}
	t.c.group.setWorkers(list.workers, list.readAt)
	return t.leadWorkers()
}

// setWorkers applies a list of the cell's workers or, in the lead cell, of all workers.
func (t *term) setWorkers(list workerList) []port.WorkerEntry {
	own := t.ownWorkers(list)
	t.engine.SetWorkersReadAt(list.readAt)
	t.engine.SetWorkers(own, t.c.Now())
	if t.loaded {
		t.markRecorded()
	}
	t.logEvacuations()
	return own
}

// changeCursor is the position up to which the changes of a table have been read.
type changeCursor struct {
	version  int64
	inFlight bool
	polledAt time.Time
	rescan   bool
	// requested is set if the next read is due at once.
	requested bool
}

// due reports whether the changes of a table are to be read.
func (cursor *changeCursor) due(t *term, table string, now time.Time) bool {
	interval := changesPoll
	if table == tableHosted {
		if !t.mayMoveJobs() {
			return false
		}
		interval = hostedPoll
	}
	return !cursor.inFlight && (cursor.requested || now.Sub(cursor.polledAt) >= interval)
}

// pollChanges reads jobs and cancellations whose notification did not arrive.
func (t *term) pollChanges(now time.Time) {
	for table, cursor := range t.changes {
		if !cursor.due(t, table, now) {
			continue
		}
		cursor.inFlight, cursor.polledAt, cursor.requested = true, now, false
		version, committedAt := t.version, t.commitSentAt
		if cursor.rescan {
			t.rescan(table, cursor, now)
			continue
		}
		runAsync(t, storeTimeout, func(ctx context.Context) (port.Page, error) {
			return t.c.Store.Changes(ctx, table, cursor.version, 0)
		}, func(page port.Page, err error) {
			cursor.inFlight = false
			t.c.recordStoreResult(err, t.c.Now())
			var refused *port.RefusedError
			if errors.As(err, &refused) && refused.Reason == port.RefusedStale {
				t.log.WithFields(log.Fields{"event": "history_lost", "table": table, "version": cursor.version}).Warn("the store has compacted the changes; reading the whole table")
				cursor.rescan = true
				cursor.polledAt = time.Time{}
			}
			if err == nil {
				began := now
				if !isNewest(page) && page.Version >= version {
					began = committedAt // the page includes what was stored before that commit
				}
				t.applyChanges(table, cursor, page, began, isNewest(page) || page.Version >= version)
			}
		})
	}
}

// isNewest reports whether a page of changes reaches the store's newest version. It
// may report false for a page that does.
func isNewest(page port.Page) bool {
	return !slices.ContainsFunc(page.Rows, func(row port.Row) bool { return row.Version >= page.Version })
}

// rescan reads a whole table after the store has compacted its changes.
func (t *term) rescan(table string, cursor *changeCursor, began time.Time) {
	runAsync(t, 2*storeTimeout, func(ctx context.Context) (port.Page, error) {
		return t.c.scanJobs(ctx, table)
	}, func(page port.Page, err error) {
		cursor.inFlight = false
		t.c.recordStoreResult(err, t.c.Now())
		if err == nil {
			cursor.rescan = false
			if table == t.c.tables.jobs {
				t.deferred.beginReread()
				defer t.deferred.endReread()
			}
			t.applyChanges(table, cursor, page, began, true)
		}
	})
}

// applyChanges applies the rows of a read that began at a time. complete is set if the
// read includes every row that was stored before.
func (t *term) applyChanges(table string, cursor *changeCursor, page port.Page, began time.Time, complete bool) {
	cursor.version = max(cursor.version, page.Version)
	t.applyRows(table, page.Rows)
	if complete {
		t.noteCancelRead(table, began)
	}
	if table == t.c.tables.jobs && complete && began.After(t.jobsReadAt) {
		t.jobsReadAt = began
		if len(t.deferred.queues) == 0 { // otherwise the engine does not know all jobs
			t.engine.HandleJobsRead(began)
		}
	}
}

// applyRows adds the jobs or cancellations of rows.
func (t *term) applyRows(table string, rows []port.Row) {
	now := t.c.Now()
	for _, row := range rows {
		if row.Version == 0 || row.Partition != t.c.jobPartition(jobOfRow(table, row.Key)) || table == t.c.tables.jobs && t.rowIsOutdated(row) {
			continue
		}
		switch table {
		case t.c.tables.cancels:
			t.cancel(row.Key, "store")
			continue
		case tableHosted:
			t.applyHostedRow(row)
			continue
		}
		if spec, ok := t.decodeSpec(row); ok {
			t.add(spec, now)
			t.applyHomeRow(row)
		} else {
			t.noteWithdrawn(row)
		}
	}
	t.schedulePlan()
}

// jobOfRow returns the ID of the job that a row belongs to.
func jobOfRow(table, key string) string {
	if table == tableHosted {
		id, _, _ := splitNumberedKey(key)
		return id
	}
	return key
}

// decodeSpec decodes a job's row. It reports false if the job has ended or the row
// cannot be decoded.
func (t *term) decodeSpec(row port.Row) (job.Spec, bool) {
	record, err := decode[jobRecord](row)
	if err != nil {
		t.log.WithField("event", "job_row_unreadable").WithError(err).Error("cannot decode a job row; skipping it")
	}
	if err != nil || record.Spec == nil || record.Spec.ID != row.Key || record.Cell != t.c.Number {
		return job.Spec{}, false
	}
	return *record.Spec, true
}
