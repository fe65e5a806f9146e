package cell

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
)

// Intervals of listings, which serve as heartbeats of workers.
const (
	// listWait is how long a worker may hold a listing until an attempt ends. Each
	// listing renews the lease, which must cover several of them.
	listWait = time.Second
	// colocatedWait replaces listWait while best-effort tasks run beside a service:
	// the service's latency is measured over half a second.
	colocatedWait = 400 * time.Millisecond
	// overTargetWait replaces listWait while a service exceeds its latency target.
	overTargetWait = 200 * time.Millisecond
	// listTimeoutMargin is added to the wait for a round trip between regions and
	// a slow response.
	listTimeoutMargin = 500 * time.Millisecond
	// retryInterval is the interval of listings of an unresponsive worker.
	retryInterval = 150 * time.Millisecond
	// idleRetryInterval replaces retryInterval if no attempt is known to run on
	// the worker.
	idleRetryInterval = time.Second
	// commitWait is how long the next listing is delayed for the commit of ends,
	// which the worker would list again otherwise.
	commitWait = 150 * time.Millisecond
	// acknowledgeWithin is how long after an answer of a boot its ends are acknowledged
	// without another listing. A worker that has restarted numbers its ends from the start,
	// and would discard them by the old number.
	acknowledgeWithin = 300 * time.Millisecond
)

// workerHeartbeat is the state of the listings of one worker. It belongs to the
// control loop.
type workerHeartbeat struct {
	inFlight bool
	sentAt   time.Time
	failed   bool
	// committedEnd is the sequence number up to which the ends of boot are
	// committed.
	committedEnd, boot int64
	// acknowledgedEnd is the sequence number up to which ends are acknowledged to
	// the worker.
	acknowledgedEnd int64
	// answeredAt is when the last listing of boot arrived.
	answeredAt time.Time
	// uncommittedSince is when the last listing that showed uncommitted ends was
	// received.
	uncommittedSince time.Time
}

// errOutdatedBoot means that a listing is of an older boot than the one known.
var errOutdatedBoot = errors.New("the listing is of an older boot")

// heartbeatAll requests listings from the workers for which one is due.
func (t *term) heartbeatAll(now time.Time) {
	if !t.loaded || t.leaseAt(now) <= 0 || t.readsNothing(now) {
		return
	}
	workers := t.engine.Workers()
	for id := range t.heartbeats {
		if workers[id] == nil {
			delete(t.heartbeats, id)
		}
	}
	for id, w := range workers {
		hb := t.heartbeats[id]
		if hb == nil {
			hb = &workerHeartbeat{}
			t.heartbeats[id] = hb
		}
		if !hb.inFlight {
			t.heartbeat(hb, w, now)
		}
	}
}

// heartbeat requests a listing from a worker if one is due.
func (t *term) heartbeat(hb *workerHeartbeat, w *dispatch.Worker, now time.Time) {
	seen, boot := w.LastEnd()
	if boot != hb.boot {
		hb.boot, hb.committedEnd, hb.acknowledgedEnd = boot, 0, 0
		hb.answeredAt = time.Time{}
	}
	uncommitted, overloaded := seen > hb.committedEnd, t.c.loopDelay.overloaded
	if hb.due(w, uncommitted, overloaded, now) {
		t.list(hb, w, hb.wait(w, uncommitted, overloaded), now)
	}
}

// due reports whether a listing is due. While ends are uncommitted, the next
// listing is delayed by commitWait.
func (hb *workerHeartbeat) due(w *dispatch.Worker, uncommitted, overloaded bool, now time.Time) bool {
	busy := w.RunCount() > 0
	if hb.failed {
		interval := idleRetryInterval
		if !overloaded && (busy || !w.Contacted()) {
			interval = retryInterval
		}
		return now.Sub(hb.sentAt) >= interval && (w.Listed || busy)
	}
	if uncommitted && now.Sub(hb.uncommittedSince) < commitWait || w.HasUnmatchedEnds() && now.Sub(hb.sentAt) < commitWait {
		return false
	}
	return busy || hb.committedEnd > hb.acknowledgedEnd || !w.Contacted()
}

// wait returns how long the worker may hold the listing until an attempt ends. While
// the control loop is overloaded, services over their target are listed less often, but
// often enough to suspend the tasks beside them in time.
func (hb *workerHeartbeat) wait(w *dispatch.Worker, uncommitted, overloaded bool) time.Duration {
	switch {
	case w.RunCount() == 0 || uncommitted || hb.failed || !w.Contacted() || w.HasUnacknowledgedRuns():
		return 0
	case w.Colocated() && w.OverLatencyTarget() && !overloaded:
		return overTargetWait
	case w.Colocated():
		return colocatedWait
	}
	return listWait
}

// list requests a listing from a worker and renews the worker's lease.
func (t *term) list(hb *workerHeartbeat, w *dispatch.Worker, wait time.Duration, now time.Time) {
	target, observed := w.Target(), w.Observe(now)
	req := port.ListRequest{Epoch: t.epoch, Wait: wait}
	if hb.committedEnd > hb.acknowledgedEnd {
		if now.Sub(hb.answeredAt) <= t.c.loopDelay.timeout(acknowledgeWithin) {
			req.Acknowledge = hb.committedEnd
		} else {
			req.Wait, wait = 0, 0 // the answer shows whether the worker has restarted
		}
	}
	if !hb.failed {
		// The lease of an unresponsive worker is not renewed: each request may have
		// reached it, and its tasks are restarted elsewhere only after the last lease
		// has expired.
		req.LeaseUntilMS = w.ExtendLease(now, t.leaseAt(now))
	}
	boot := hb.boot
	hb.inFlight, hb.sentAt = true, now
	t.c.instruments.listingsSent.Inc(1)
	listings := t.listings
	var received time.Time // before the control loop processes it, which may be much later
	runAsync(t, t.c.loopDelay.timeout(wait+listTimeoutMargin), func(ctx context.Context) (port.Listing, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(listings, cancel)()
		l, err := t.c.Workers.List(ctx, target, req)
		received = t.c.Now()
		return l, err
	}, func(l port.Listing, err error) {
		hb.inFlight = false
		if listings.Err() != nil {
			return
		}
		done := t.c.Now()
		t.c.instruments.observeListing(done.Sub(now), err)
		if err != nil {
			t.listFailed(hb, w, observed, err)
			t.schedulePlan()
			return
		}
		if l.Boot == boot {
			hb.acknowledgedEnd = max(hb.acknowledgedEnd, req.Acknowledge)
			hb.answeredAt = received
		}
		t.logEnds(w, l)
		if !t.engine.HandleListing(observed, l, done) {
			if t.engine.Worker(w.Entry.ID) == w { // the known boot has not answered
				t.listFailed(hb, w, observed, errOutdatedBoot)
				t.schedulePlan()
			}
			return
		}
		hb.failed = false
		if seen, _ := w.LastEnd(); seen > hb.committedEnd && hb.uncommittedSince.Before(now) {
			hb.uncommittedSince = done
			t.urgent = true
		}
		t.schedulePlan()
	})
}

func (t *term) listFailed(hb *workerHeartbeat, w *dispatch.Worker, observed dispatch.Observation, err error) {
	if !hb.failed {
		t.log.WithFields(log.Fields{"event": "worker_silent", "worker": w.Entry.ID, "runs": w.RunCount()}).WithError(err).Warn("listing failed")
	}
	hb.failed = true
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Reason == port.RefusedIncarnation {
		t.engine.HandleReplacement(observed, t.c.Now())
		return
	}
	t.checkEpoch(w, err)
	t.engine.HandleNoResponse(observed)
}

// logEnds logs and counts each end that was not listed before.
func (t *term) logEnds(w *dispatch.Worker, l port.Listing) {
	seen, boot := w.LastEnd()
	for _, e := range l.Ended {
		if e.Sequence > seen || l.Boot != boot {
			t.c.instruments.countEnd(e.Reason)
			t.log.WithFields(log.Fields{"event": "task_end", "task": e.Task, "attempt": e.Attempt, "worker": w.Entry.ID,
				"reason": e.Reason, "saved": e.Checkpoint != ""}).Info("task run ended")
		}
	}
}
