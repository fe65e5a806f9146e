package cell

import (
	"bytes"
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
	// Queues are those in the configuration and those that have been removed and may have
	// open jobs, sorted by name.
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
	if len(value) > t.c.rowBytes() {
		t.log.WithFields(log.Fields{"event": "queues_too_large", "bytes": len(value)}).Error("the settings of queues are too large to be stored; a next owner lacks those of removed queues")
		return
	}
	b.put(tableQueues, queuesKey, value)
	b.queues = value
}

// queuesToKeep returns the queues of the configuration, and those that have been removed and have
// open jobs.
func (t *term) queuesToKeep(now time.Time) []job.Queue {
	configured := map[string]bool{}
	for _, q := range t.c.queues() {
		configured[q.Name] = true
		delete(t.queueKeeper.removedAt, q.Name)
	}
	var keep []job.Queue
	for _, q := range t.engine.Queues() {
		if configured[q.Name] {
			keep = append(keep, q)
			continue
		}
		since, known := t.queueKeeper.removedAt[q.Name]
		if !known {
			since, t.queueKeeper.removedAt[q.Name] = now, now
		}
		if t.c.config == nil || now.Sub(since) < removedQueueRetention || t.engine.UsesQueue(q.Name) {
			keep = append(keep, q)
		}
	}
	return keep
}
