package cell

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

const (
	// queuesInterval is the interval at which the settings of queues are compared with those
	// that are stored.
	queuesInterval = time.Second
	// removedQueueRetention is how long the settings of a queue are kept after its removal
	// without an open job: a job that was accepted before may still be read.
	removedQueueRetention = time.Minute
)

// queuesRecord is the value of the row with the settings of queues.
type queuesRecord struct {
	// Queues are those that may have open jobs, sorted by name.
	Queues []job.Queue `json:"queues"`
}

// queueKeeper keeps the settings of queues in the store, because the configuration lacks those of
// a queue that has been removed while its jobs go on. It belongs to the control loop.
type queueKeeper struct {
	stored    []byte // nil if it is not known
	checkedAt time.Time
	removedAt map[string]time.Time
}

// restoreQueues applies the stored settings of queues that the configuration lacks.
func (t *term) restoreQueues(page port.Page) {
	for _, row := range page.Rows {
		record, err := decode[queuesRecord](row)
		if err != nil {
			t.log.WithField("event", "queues_unreadable").WithError(err).Error("cannot decode the settings of queues; jobs of removed queues do not go on")
			continue
		}
		t.queueKeeper.stored = row.Value
		t.engine.SetQueues(record.Queues)
	}
	t.engine.SetQueues(t.c.queues()) // newer
}

// putQueues adds the settings of queues to a batch if they have changed.
func (t *term) putQueues(b *batch, now time.Time) {
	k := &t.queueKeeper
	if !t.loaded || now.Sub(k.checkedAt) < queuesInterval || b.room() == 0 {
		return
	}
	k.checkedAt = now
	value := encode(queuesRecord{t.queuesToKeep(now)})
	if bytes.Equal(value, k.stored) {
		return
	}
	b.put(tableQueues, queuesKey, value)
	b.queues = value
}

// queuesToKeep returns the queues that open jobs are in and, as far as they fit into the row,
// those that have been removed from the configuration a short time ago.
func (t *term) queuesToKeep(now time.Time) []job.Queue {
	k, configured, used := &t.queueKeeper, map[string]bool{}, t.engine.UsedQueues()
	for _, q := range t.c.queues() {
		configured[q.Name] = true
		delete(k.removedAt, q.Name)
	}
	keep, bytes := []job.Queue{}, 0
	add := func(q job.Queue) {
		if n := len(encode(q)) + 1; bytes+n < t.c.rowBytes() {
			keep, bytes = append(keep, q), bytes+n
		} else if used[q.Name] {
			t.log.WithFields(log.Fields{"event": "queue_not_stored", "queue": q.Name}).Error("the settings of the queue do not fit into the row; its jobs do not go on after its removal and a takeover")
		}
	}
	all := t.engine.Queues()
	for _, q := range all {
		if used[q.Name] {
			add(q)
		}
	}
	for _, q := range all {
		if configured[q.Name] || used[q.Name] || t.c.config == nil {
			continue
		}
		since, known := k.removedAt[q.Name]
		if !known {
			since, k.removedAt[q.Name] = now, now
		}
		if now.Sub(since) < removedQueueRetention {
			add(q)
		}
	}
	slices.SortFunc(keep, func(a, b job.Queue) int { return strings.Compare(a.Name, b.Name) })
	return keep
}
