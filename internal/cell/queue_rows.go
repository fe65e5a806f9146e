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
	// Versions are the versions of the configuration that Queues are of, in the same order. A
	// daemon of an earlier version stores none.
	Versions []int64 `json:"versions,omitempty"`
}

// settings returns the settings with their versions; zero if these are not known.
func (r queuesRecord) settings() []job.QueueSettings {
	settings := make([]job.QueueSettings, 0, len(r.Queues))
	for i, q := range r.Queues {
		t := job.QueueSettings{Queue: q}
		if len(r.Versions) == len(r.Queues) {
			t.Version = r.Versions[i]
		}
		settings = append(settings, t)
	}
	return settings
}

// queueKeeper keeps the last settings of queues in the store, because the configuration lacks those of
// a queue that has been removed while its jobs go on. A job whose queue is not stored goes on under
// the settings that it was accepted under. It belongs to the control loop.
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
		t.engine.SetQueueSettings(record.settings())
	}
	t.engine.SetQueues(t.c.queues(), t.c.configVersion())
}

// putQueues adds the settings of queues to a batch if they have changed.
func (t *term) putQueues(b *batch, now time.Time) {
	k := &t.queueKeeper
	if !t.loaded || now.Sub(k.checkedAt) < queuesInterval || b.room() == 0 {
		return
	}
	k.checkedAt = now
	value := encode(t.queuesToKeep(now))
	if bytes.Equal(value, k.stored) {
		return
	}
	b.put(tableQueues, queuesKey, value)
	b.queues = value
}

// queuesToKeep returns the queues that open jobs are in and, as far as they fit into the row,
// those that have been removed from the configuration a short time ago.
func (t *term) queuesToKeep(now time.Time) queuesRecord {
	k, configured, used := &t.queueKeeper, map[string]bool{}, t.engine.UsedQueues()
	for _, q := range t.c.queues() {
		configured[q.Name] = true
		delete(k.removedAt, q.Name)
	}
	keep, bytes := []job.QueueSettings{}, 0
	add := func(settings job.QueueSettings) {
		if n := len(encode(settings)) + 1; bytes+n < t.c.rowBytes() {
			keep, bytes = append(keep, settings), bytes+n
		} else if name := settings.Queue.Name; used[name] {
			t.log.WithFields(log.Fields{"event": "queue_not_stored", "queue": name}).Debug("the settings of the queue do not fit into the row; after its removal and a takeover its jobs go on under the settings that they were accepted under")
		}
	}
	all := t.engine.QueueSettings()
	for _, settings := range all {
		if used[settings.Queue.Name] {
			add(settings)
		}
	}
	for _, settings := range all {
		q := settings.Queue
		if configured[q.Name] || used[q.Name] || t.c.config == nil {
			continue
		}
		since, known := k.removedAt[q.Name]
		if !known {
			since, k.removedAt[q.Name] = now, now
		}
		if now.Sub(since) < removedQueueRetention {
			add(settings)
		}
	}
	slices.SortFunc(keep, func(a, b job.QueueSettings) int { return strings.Compare(a.Queue.Name, b.Queue.Name) })
	record := queuesRecord{Queues: []job.Queue{}}
	for _, settings := range keep {
		record.Queues, record.Versions = append(record.Queues, settings.Queue), append(record.Versions, settings.Version)
	}
	return record
}
