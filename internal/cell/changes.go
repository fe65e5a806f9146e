package cell

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// pollDirectory reads the list of workers.
func (t *tenure) pollDirectory(now time.Time) {
	if t.directoryBusy || now.Sub(t.directoryAt) < directoryPoll {
		return
	}
	t.directoryBusy, t.directoryAt = true, now
	do(t, storeTimeout, t.c.Directory.List, func(list []port.WorkerEntry, err error) {
		t.directoryBusy = false
		t.c.storeAnswered(err, t.c.Now())
		if err == nil {
			t.engine.SetWorkers(list, t.c.Now())
			t.kick()
		}
	})
}

// changeCursor is how far the changes of a table have been read.
type changeCursor struct {
	version int64
	busy    bool
	at      time.Time
	rescan  bool
}

// pollChanges reads what entries have stored and could not tell.
func (t *tenure) pollChanges(now time.Time) {
	for table, cursor := range t.changes {
		if cursor.busy || now.Sub(cursor.at) < changesPoll {
			continue
		}
		cursor.busy, cursor.at = true, now
		if cursor.rescan {
			t.rescan(table, cursor)
			continue
		}
		do(t, storeTimeout, func(ctx context.Context) (port.Page, error) {
			return t.c.Store.Changes(ctx, table, cursor.version, 0)
		}, func(page port.Page, err error) {
			cursor.busy = false
			t.c.storeAnswered(err, t.c.Now())
			var refused *port.RefusedError
			if errors.As(err, &refused) && refused.Reason == port.RefusedStale {
				t.log.WithFields(log.Fields{"event": "history_lost", "table": table, "version": cursor.version}).Warn("the table is read whole")
				cursor.rescan = true
				cursor.at = time.Time{}
			}
			if err == nil {
				cursor.version = max(cursor.version, page.Version)
				t.takeRows(table, page.Rows)
			}
		})
	}
}

// rescan reads a table whole, because the store no longer knows its changes.
func (t *tenure) rescan(table string, cursor *changeCursor) {
	do(t, 2*storeTimeout, func(ctx context.Context) (port.Page, error) {
		return t.c.scanJobs(ctx, table)
	}, func(page port.Page, err error) {
		cursor.busy = false
		t.c.storeAnswered(err, t.c.Now())
		if err == nil {
			cursor.rescan = false
			cursor.version = max(cursor.version, page.Version)
			t.takeRows(table, page.Rows)
		}
	})
}

// takeRows takes in rows of jobs or cancellations.
func (t *tenure) takeRows(table string, rows []port.Row) {
	now := t.c.Now()
	for _, row := range rows {
		if row.Version == 0 || row.Partition != t.c.jobPartition(row.Key) {
			continue
		}
		if table == tableCancels {
			t.cancel(row.Key)
			continue
		}
		if spec, ok := t.readSpec(row); ok {
			t.add(spec, now)
		}
	}
	t.kick()
}

// readSpec reads a job's row. It reports false for one that has ended or cannot
// be read.
func (t *tenure) readSpec(row port.Row) (job.Spec, bool) {
	record, err := decode[jobRecord](row)
	if err != nil {
		t.log.WithField("event", "job_row_unreadable").WithError(err).Error("job")
	}
	if err != nil || record.Spec == nil || record.Spec.ID != row.Key {
		return job.Spec{}, false
	}
	return *record.Spec, true
}
