package cell

import (
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/port"
)

const (
	// maxCancelAge is the age of the last read of cancellations from which no task of the jobs
	// concerned is started. A start may be executed 1.5 s after it is sent, and the platform
	// allows 3 s and more between a cancellation and the last start.
	maxCancelAge = 2500 * time.Millisecond
	// cancelScanAfter is the age from which cancellations are read by partition, because
	// their changes cannot be read while any partition is unavailable.
	cancelScanAfter = 1200 * time.Millisecond
)

// cancelReads tells how recent the owner's knowledge of cancellations is: the starts of the last
// successful reads. It belongs to the control loop.
type cancelReads struct {
	// all is that of a read of all partitions, and partitions those of single ones.
	all        time.Time
	partitions map[string]time.Time
	// hosted is that of the rows of hosted tasks.
	hosted time.Time
	// unread is set while the knowledge is too old, and unreadSince is when that began.
	unread      bool
	unreadSince time.Time
}

// of returns when the cancellations of a partition were last read.
func (r *cancelReads) of(partition string) time.Time {
	if at := r.partitions[partition]; at.After(r.all) {
		return at
	}
	return r.all
}

// noteCancelRead records a successful read of all cancellations that began at a time.
func (t *term) noteCancelRead(table string, began time.Time) {
	if r := &t.cancelReads; table == tableHosted {
		r.hosted = later(r.hosted, began)
	} else if table == t.c.tables.cancels {
		r.all = later(r.all, began)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// limitStarts keeps tasks from being started whose jobs may have been cancelled: while the owner
// cannot read cancellations, callers may still store them at other daemons.
func (t *term) limitStarts(now time.Time) {
	r := &t.cancelReads
	if !t.mayMoveJobs() {
		r.hosted = now // there are no hosted tasks
	}
	fresh := now.Sub(r.all) <= maxCancelAge && now.Sub(r.hosted) <= maxCancelAge
	if fresh != r.unread { // no change
		if fresh {
			t.engine.SetUnverified(nil)
		}
		return
	}
	r.unread = !fresh
	if fresh {
		t.engine.SetUnverified(nil)
		t.log.WithFields(log.Fields{"event": "cancellations_read_again", "after_ms": now.Sub(r.unreadSince).Milliseconds()}).Info("cancellations are known again")
		return
	}
	r.unreadSince = now
	t.log.WithFields(log.Fields{"event": "cancellations_unread", "age_ms": now.Sub(r.all).Milliseconds(), "hosted_age_ms": now.Sub(r.hosted).Milliseconds()}).
		Warn("cannot read cancellations; starting only tasks whose jobs are known not to be cancelled")
	t.engine.SetUnverified(func(id string, hosted bool) bool {
		now := t.c.Now()
		if hosted {
			return now.Sub(r.hosted) > maxCancelAge
		}
		return now.Sub(r.of(t.c.jobPartition(id))) > maxCancelAge
	})
}

// scanCancels reads the cancellations of each partition, of which some may be unavailable, if their
// changes could not be read for a while.
func (t *term) scanCancels(now time.Time) {
	if t.cancelScan || now.Sub(t.cancelReads.all) < cancelScanAfter || now.Sub(t.cancelScannedAt) < changesPoll {
		return
	}
	t.cancelScan, t.cancelScannedAt = true, now
	pending := jobPartitions
	for n := range jobPartitions {
		partition := t.c.partitionName(n)
		runAsync(t, storeTimeout, t.c.scanPartition(t.c.tables.cancels, partition), func(page port.Page, err error) {
			if pending--; pending == 0 {
				t.cancelScan = false
			}
			if err == nil {
				t.cancelReads.partitions[partition] = now
				t.applyRows(t.c.tables.cancels, page.Rows)
			}
		})
	}
}
