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
	inboxPrefix    = "inbox/"
	inboxInterval  = 250 * time.Millisecond
	inboxReads     = 400  // scans a second of all daemons together
	maxInboxRows   = 1000 // rows read in one scan
	maxRecords     = 2000 // waiting records beyond which no more jobs are taken
	cancelledByJob = "cancelled by the caller"
)

// inbox is the reading of the jobs that wait for their shards' owners. One
// scan covers all shards.
type inbox struct {
	busy  bool
	last  time.Time
	after string // the last key of a full scan, from which the next goes on
}

func (m *Manager) scanInbox(now time.Time, daemons int) {
	interval := max(inboxInterval, time.Duration(daemons)*time.Second/inboxReads)
	if m.inbox.busy || now.Sub(m.inbox.last) < interval || len(m.Owned()) == 0 {
		return
	}
	m.inbox.busy, m.inbox.last = true, now
	after := m.inbox.after
	control.Async(m.opts.Loop, func(ctx context.Context) ([]platform.Row, error) {
		return m.opts.Table.Scan(ctx, inboxPrefix, after, maxInboxRows)
	}, func(rows []platform.Row, err error) {
		m.inbox.busy = false
		if err != nil {
			m.opts.Log.WithField("event", "inbox_unread").WithError(err).Warn("tried again")
			return
		}
		m.inbox.after = ""
		if len(rows) == maxInboxRows {
			m.inbox.after = rows[len(rows)-1].Key
		}
		for _, row := range rows {
			m.deliver(row)
		}
	})
}

func (m *Manager) deliver(row platform.Row) {
	name, _, _ := strings.Cut(strings.TrimPrefix(row.Key, inboxPrefix), "/")
	o := m.owner(name)
	if o.owning() && !o.releasing && len(o.records) < maxRecords && !o.taking[row.Key] {
		o.accept(row)
	}
}

// accept adds the tasks of a job, or cancels them. The row is deleted by the
// transaction that writes the records.
func (o *owner) accept(row platform.Row) {
	var msg message
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
	o.taking[row.Key] = true
	o.taken = append(o.taken, row.Key)
}

// acceptTask adds a task unless an earlier reading of its row has.
func (o *owner) acceptTask(r shard.Record) {
	if _, ok := o.state.Tasks[r.Task]; !ok {
		o.record(r)
	}
}
