package cell

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
)

// Times of the conversation with a worker.
const (
	// listWait is how long a listing may wait for an end. Each listing renews
	// the lease, which must last several of them.
	listWait = time.Second
	// watchWait is the pace of listings while best-effort tasks run beside a
	// service, whose latency figure covers half a second.
	watchWait = 400 * time.Millisecond
	// strainedWait is the pace while a service is over its target.
	strainedWait = 200 * time.Millisecond
	// listSlack is added to the wait for a round trip between regions and a
	// slow answer.
	listSlack = 500 * time.Millisecond
	// retryPause is the pace of listings of a worker that does not answer.
	retryPause = 150 * time.Millisecond
	// idleRetry is the pace while nothing is known to run there.
	idleRetry = time.Second
	// commitWait is how long a listing waits for the commit of ends that the
	// worker would only list again.
	commitWait = 150 * time.Millisecond
)

// talk is the conversation with one worker.
type talk struct {
	busy    bool
	triedAt time.Time
	failed  bool
	// committed is the number up to which ends are committed, of a boot.
	committed, boot int64
	// acknowledged is the number that the worker has been told.
	acknowledged int64
	// takenAt is when an end that is not committed was first listed.
	takenAt time.Time
}

// converseAll asks each worker that must be heard for a listing.
func (t *tenure) converseAll(now time.Time) {
	if !t.loaded || t.unconfirmed || t.releasing {
		return
	}
	workers := t.engine.Workers()
	for id := range t.talks {
		if workers[id] == nil {
			delete(t.talks, id)
		}
	}
	for id, w := range workers {
		k := t.talks[id]
		if k == nil {
			k = &talk{}
			t.talks[id] = k
		}
		if !k.busy {
			t.converse(k, w, now)
		}
	}
}

// converse asks a worker for a listing if one is needed now.
func (t *tenure) converse(k *talk, w *dispatch.Worker, now time.Time) {
	seen, boot := w.LastEnd()
	if boot != k.boot {
		k.boot, k.committed, k.acknowledged = boot, 0, 0
	}
	uncommitted := seen > k.committed
	if k.due(w, uncommitted, now) {
		t.list(k, w, k.wait(w, uncommitted), now)
	}
}

// due reports whether a worker is to be asked now. Ends that are not committed
// are not listed again before their commit had time.
func (k *talk) due(w *dispatch.Worker, uncommitted bool, now time.Time) bool {
	busy := w.RunCount() > 0
	if k.failed {
		pace := idleRetry
		if busy || !w.Contacted() {
			pace = retryPause
		}
		return now.Sub(k.triedAt) >= pace && (w.Listed || busy)
	}
	if uncommitted && now.Sub(k.takenAt) < commitWait || w.HasOrphanEnds() && now.Sub(k.triedAt) < commitWait {
		return false
	}
	return busy || k.committed > k.acknowledged || !w.Contacted()
}

// wait returns how long a listing may wait for an end.
func (k *talk) wait(w *dispatch.Worker, uncommitted bool) time.Duration {
	switch {
	case w.RunCount() == 0 || uncommitted || k.failed || !w.Contacted() || w.HasUnknownRuns():
		return 0
	case w.Colocated() && w.OverLatencyTarget():
		return strainedWait
	case w.Colocated():
		return watchWait
	}
	return listWait
}

// list asks a worker for a listing and renews its lease.
func (t *tenure) list(k *talk, w *dispatch.Worker, wait time.Duration, now time.Time) {
	id, target := w.Entry.ID, w.Target()
	order := port.ListRequest{Epoch: t.epoch, Wait: wait}
	if k.committed > k.acknowledged {
		// Sent once only: a worker that has started again under its ID counts its
		// ends anew, and would forget them by the old number.
		order.Acknowledge = k.committed
	}
	if !k.failed {
		// A worker that does not answer gets no further lease: each call may have
		// reached it, and its tasks start elsewhere only when the last has run out.
		order.LeaseUntilMS = w.ExtendLease(now, t.c.Lease)
	}
	boot := k.boot
	k.busy, k.triedAt = true, now
	do(t, wait+listSlack, func(ctx context.Context) (port.Listing, error) {
		return t.c.Workers.List(ctx, target, order)
	}, func(l port.Listing, err error) {
		k.busy = false
		done := t.c.Now()
		if err != nil {
			t.listFailed(k, w, err, now)
			t.kick()
			return
		}
		k.failed = false
		if l.Boot == boot {
			k.acknowledged = max(k.acknowledged, order.Acknowledge)
		}
		t.logEnds(w, l)
		t.engine.HandleListing(id, l, now, done)
		if seen, _ := w.LastEnd(); seen > k.committed && k.takenAt.Before(now) {
			k.takenAt = done
			t.urgent = true
		}
		t.kick()
	})
}

func (t *tenure) listFailed(k *talk, w *dispatch.Worker, err error, sent time.Time) {
	if !k.failed {
		t.log.WithFields(log.Fields{"event": "worker_silent", "worker": w.Entry.ID, "runs": w.RunCount()}).WithError(err).Warn("no listing")
	}
	k.failed = true
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Reason == port.RefusedIncarnation {
		t.engine.HandleReplacement(w.Entry.ID, t.c.Now())
		return
	}
	t.orderAnswered(err)
	t.engine.HandleNoResponse(w.Entry.ID, sent)
}

// logEnds writes a line for each end that was not listed before.
func (t *tenure) logEnds(w *dispatch.Worker, l port.Listing) {
	seen, boot := w.LastEnd()
	for _, e := range l.Ended {
		if e.Sequence > seen || l.Boot != boot {
			t.c.gauges.ended(e.Reason)
			t.log.WithFields(log.Fields{"event": "task_end", "task": e.Task, "attempt": e.Attempt, "worker": w.Entry.ID,
				"reason": e.Reason, "saved": e.Checkpoint != ""}).Info("listed")
		}
	}
}
