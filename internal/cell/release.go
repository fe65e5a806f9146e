package cell

import (
	"context"
	"time"

	"github.com/apex/log"
)

// A release of the cell is complete: whatever the owner has read from workers is stored before the row
// says that the cell is free, because workers may leave before a successor lists them. The owner
// starts nothing and requests no listings from the beginning of a release on.

// release stores all changes, and then releases the cell to another daemon. It is called again after
// each commit.
func (t *term) release(now time.Time) {
	if !t.releasing {
		t.releasing, t.releaseBegan = true, now
	}
	if t.committing || t.abandonRelease(now) {
		return
	}
	t.plan() // starts nothing, and takes over the changes that the engine holds
	if !t.committing && !t.ended {
		t.commit(now, true)
	}
}

// retryRelease releases the cell unless an attempt was sent only just before. Once the commit that releases
// the cell was sent, a release goes on until it succeeds or another daemon has acquired the cell.
func (t *term) retryRelease(now time.Time) {
	if !t.releasing || now.Sub(t.triedAt) >= commitRetryDelay {
		t.release(now)
	}
}

// allChangesIn reports whether the batch, with earlier ones, holds all changes that can be stored.
func (t *term) allChangesIn(b *batch) bool { return !b.incomplete && len(t.changedJobs()) == 0 }

// mustRelease reports whether the cell is released with changes that are not stored: this daemon is
// being stopped, and has tried for long enough, or a release was sent before.
func (t *term) mustRelease(now time.Time) bool {
	if t.releaseSentAt.IsZero() && (!t.c.stopping || now.Sub(t.releaseBegan) < releaseWithin) {
		return false
	}
	if left := len(t.changedJobs()); left > 0 {
		t.c.instruments.releasesIncomplete.Inc(1)
		t.log.WithFields(log.Fields{"event": "release_incomplete", "jobs": left, "took_ms": now.Sub(t.releaseBegan).Milliseconds()}).
			Warn("releasing the cell with changes of jobs that are not stored; the next owner has to find them at the workers")
	}
	return true
}

// abandonRelease ends a release by choice whose changes could not be stored in time. It reports
// whether it has; then this daemon stays the owner.
func (t *term) abandonRelease(now time.Time) bool {
	if t.c.stopping || t.abandoned || !t.releaseSentAt.IsZero() || now.Sub(t.releaseBegan) < releaseWithin {
		return false
	}
	t.releasing, t.handoverNotBefore = false, now.Add(repeatedHandoverDelay)
	t.c.instruments.releasesAbandoned.Inc(1)
	t.log.WithFields(log.Fields{"event": "release_abandoned", "jobs": len(t.changedSince), "took_ms": now.Sub(t.releaseBegan).Milliseconds()}).
		Warn("cannot store all changes in time; this daemon stays the owner of the cell")
	t.schedulePlan()
	return true
}

// noteReleaseSent records that a commit was sent that releases the cell. What workers list from now on
// would not be stored.
func (t *term) noteReleaseSent(now time.Time) {
	if t.releaseSentAt.IsZero() {
		t.releaseSentAt = now
	}
	t.stopListings()
	t.listings, t.stopListings = context.WithCancel(context.Background())
}

// readsNothing reports whether the owner requests no listings because it is releasing the cell. It does so
// again if the store does not answer, to renew the leases.
func (t *term) readsNothing(now time.Time) bool {
	return t.releasing && now.Sub(t.releaseBegan) < releaseWithin
}
