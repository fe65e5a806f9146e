package cell

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

const (
	// departureRetention is how long a former cell's owner ignores earlier reads and
	// notifications of a job that has moved. They arrive within seconds.
	departureRetention = time.Minute
	// notifiedOverlap is how long a job is counted in its former cell after the owner of the
	// new one has it: the depths of both reach other daemons with different delays, each of
	// up to two polls of 250 ms and their round trips. With 600 ms, a daemon missed the job
	// for up to 0.1 s in 5 of 30 runs of TestStateAndDepthWhileAJobMoves. A job that is
	// counted twice is preferred to one that is not counted.
	notifiedOverlap = time.Second
	// unnotifiedOverlap replaces notifiedOverlap if the owner was not notified. Depths of
	// the new cell that are older than depthTTL are not used, and later ones count the job.
	unnotifiedOverlap = depthTTL + notifiedOverlap
)

// departure is a job that has moved to another cell.
type departure struct {
	// version of the store as of which the job is not in this cell.
	version int64
	at      time.Time
}

// departing is a job that has moved and is still counted in the depth of its queue.
type departing struct {
	queue string
	until time.Time
}

// storedJob is a job in a notification, with the version of its row; zero if the sender is
// a daemon of an earlier version.
type storedJob struct {
	job.Spec
	RowVersion int64 `json:"row_version,omitempty"`
}

// hasLeft reports whether a job, as of a version of its row, is known to be no longer in
// this cell. Notifications may arrive after the job has moved under a former owner: then all
// rows of that version have been read, and the job's was not among them.
func (t *term) hasLeft(stored storedJob) bool {
	if !t.mayMoveJobs() || t.engine.Job(stored.ID) != nil {
		return false
	}
	if d, ok := t.mover.left[stored.ID]; ok && stored.RowVersion <= d.version {
		return true
	}
	return stored.RowVersion > 0 && stored.RowVersion <= t.changes[t.c.tables.jobs].version
}

// rowIsOutdated reports whether a job's row was read before the job moved away.
func (t *term) rowIsOutdated(row port.Row) bool {
	d, ok := t.mover.left[row.Key]
	return ok && row.Version <= d.version
}

// countDepartures adds the jobs that have just moved to the depths of the queues.
func (t *term) countDepartures(depths map[string]int, now time.Time) {
	for id, d := range t.mover.departing {
		switch {
		case !now.Before(d.until):
			delete(t.mover.departing, id)
		case t.engine.Job(id) == nil:
			depths[d.queue]++
		}
	}
}

// notifyNewOwner sends a job that has moved to the owner of its cell, which would find the
// row at its next read of the changes. It must tell the version of the row: by then, the
// job may have moved again.
func (t *term) notifyNewOwner(m *move, version int64, j *dispatch.Job) {
	c := t.c.group.cell(m.to)
	view := c.View()
	stored := storedJob{j.Spec, version}
	counted := func() {
		if d, ok := t.mover.departing[m.id]; ok {
			t.mover.departing[m.id] = departing{d.queue, t.c.Now().Add(notifiedOverlap)}
		}
	}
	switch {
	case view.IsOwner:
		t.c.Loop.Post(func() {
			if c.term != nil {
				c.term.acceptStored([]storedJob{stored}, nil)
				counted()
			}
		})
	case view.Owner != "":
		news := &peerpb.NewsRequest{Cell: uint32(m.to), Jobs: [][]byte{encode(stored)}}
		runAsync(t, notifyTimeout, func(ctx context.Context) (*peerpb.Response, error) {
			return t.c.Peers.Call(ctx, view.Owner, &peerpb.Request{Kind: &peerpb.Request_News{News: news}})
		}, func(_ *peerpb.Response, err error) {
			if err == nil {
				counted()
				return
			}
			t.log.WithFields(log.Fields{"event": "new_owner_not_told", "job": m.id, "to": m.to}).WithError(err).Info("cannot notify the owner of the job's new cell; it will read the row from the store")
		})
	}
}

// readMoves reads the moves that a former owner has recorded and not completed. There are
// none where the workers were never divided into cells.
func (t *term) readMoves(ctx context.Context) (port.Page, error) {
	if t.c.group == nil {
		return port.Page{}, nil
	}
	return port.ScanAll(ctx, t.c.Store, tableMoves, t.c.Partition)
}

// restoreMoves resolves the moves that a former owner has recorded and not completed. Their
// jobs do not start before that.
func (t *term) restoreMoves(records, jobs, hosted port.Page) {
	rows, hostedRows := map[string]port.Row{}, map[string]port.Row{}
	for _, row := range jobs.Rows {
		rows[row.Key] = row
	}
	for _, row := range hosted.Rows {
		hostedRows[row.Key] = row
	}
	for _, row := range records.Rows {
		if record, err := decode[moveRecord](row); err == nil && len(record.Tasks) > 0 {
			fence := rows[row.Key]
			if j := t.engine.Job(row.Key); j != nil && j.Hosted() {
				fence = hostedRows[hostedKey(row.Key, t.c.Number)]
			}
			t.restoreTransfer(row.Key, record, fence)
			continue
		}
		m := &move{id: row.Key, row: rows[row.Key], step: moveRevoking}
		t.mover.moves[m.id] = m
		record, err := decode[moveRecord](row)
		if err != nil {
			t.log.WithFields(log.Fields{"event": "move_unreadable", "job": m.id}).WithError(err).Error("cannot decode the record of a move; revoking the move")
			record.Version = m.row.Version
		}
		m.to = record.To
		j := t.engine.Job(m.id)
		switch {
		case j == nil:
			m.step = moveRemoving
			t.log.WithFields(log.Fields{"event": "job_move_found", "job": m.id, "to": m.to, "moved": true}).Info("a former owner has moved the job, or it has ended")
		case m.row.Version != record.Version:
			m.step = moveRemoving // the job's row was rewritten since: the move was revoked
			t.log.WithFields(log.Fields{"event": "job_move_found", "job": m.id, "to": m.to, "moved": false}).Info("a former owner has revoked the move of the job")
		default:
			t.engine.Hold(m.id)
			t.log.WithFields(log.Fields{"event": "job_move_resumed", "job": m.id, "to": m.to}).Info("revoking the move that a former owner has begun")
			if record, err := decode[jobRecord](m.row); err == nil {
				m.record = record
			}
		}
	}
}
