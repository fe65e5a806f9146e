package batch

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

// Limits of reading the inbox.
const (
	inboxPrefix            = "inbox/"
	inboxInterval          = 250 * time.Millisecond
	maxInboxScansPerSecond = 400  // of all daemons together
	maxInboxRows           = 1000 // rows read in one scan
	maxUnwrittenRecords    = 2000 // unwritten records of a shard above which it accepts no more jobs
	cancelledByCaller      = "cancelled by the caller"
)

// inboxScan is the state of the scan for jobs that wait for their shards' owners.
// One scan covers all shards.
type inboxScan struct {
	inFlight    bool
	lastStart   time.Time
	resumeAfter string // last key of a full page, after which the next scan resumes
}

func (m *Manager) scanInbox(now time.Time, daemons int) {
	interval := max(inboxInterval, time.Duration(daemons)*time.Second/maxInboxScansPerSecond)
	if m.inboxScan.inFlight || now.Sub(m.inboxScan.lastStart) < interval || len(m.Owned()) == 0 {
		return
	}
	m.inboxScan.inFlight, m.inboxScan.lastStart = true, now
	after := m.inboxScan.resumeAfter
	control.Async(m.opts.Loop, func(ctx context.Context) ([]platform.Row, error) {
		return m.opts.Table.Scan(ctx, inboxPrefix, after, maxInboxRows)
	}, func(rows []platform.Row, err error) {
		m.inboxScan.inFlight = false
		if err != nil {
			m.opts.Log.WithField("event", "inbox_unread").WithError(err).Warn("cannot scan the inbox; will retry")
			return
		}
		m.inboxScan.resumeAfter = ""
		if len(rows) == maxInboxRows {
			m.inboxScan.resumeAfter = rows[len(rows)-1].Key
		}
		for _, row := range rows {
			m.deliver(row)
		}
	})
}

func (m *Manager) deliver(row platform.Row) {
	name, _, _ := strings.Cut(strings.TrimPrefix(row.Key, inboxPrefix), "/")
	o := m.owner(name)
	if o.owning() && !o.releasing && len(o.records) < maxUnwrittenRecords && !o.acceptedRows[row.Key] {
		o.accept(row)
	}
}

// accept adds the tasks of a job, or cancels them. The transaction that writes the
// records also deletes the inbox row.
func (o *owner) accept(row platform.Row) {
	var msg inboxMessage
	if err := json.Unmarshal(row.Value, &msg); err != nil {
		o.log.WithField("event", "inbox_unreadable").WithError(err).Error(row.Key)
		return
	}
	switch {
	case msg.CancelJob != "":
		o.cancelJob(msg.CancelJob)
	case msg.Moved != nil:
		for _, t := range msg.Moved {
			o.acceptTask(shard.Record{Event: shard.RecordAccept, Task: t.Spec.ID, Moved: &t})
		}
	default:
		for _, spec := range msg.specs() {
			o.acceptTask(shard.Record{Event: shard.RecordAccept, Task: spec.ID, Spec: &spec})
		}
	}
	o.acceptedRows[row.Key] = true
	o.rowDeletes = append(o.rowDeletes, row.Key)
}

// acceptTask adds a task unless it was already added from the same row.
func (o *owner) acceptTask(r shard.Record) {
	if _, ok := o.state.Tasks[r.Task]; !ok {
		o.record(r)
	}
}
