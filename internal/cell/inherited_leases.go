package cell

import (
	"context"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// inheritedLeases renews the leases of workers while a new owner reads the state of former
// owners, which may take longer than the leases last. The listings are not used otherwise:
// until the jobs are known, runs and ends cannot be matched.
type inheritedLeases map[string]*inheritedLease

// inheritedLease is the state of the renewals of one worker.
type inheritedLease struct {
	target   port.Target
	clockMS  int64 // the worker's clock at clockAt; zero if it is not known
	clockAt  time.Time
	inFlight bool
	sentAt   time.Time
}

// slowestClock is the lowest rate of a worker's clock relative to the owner's.
const slowestClock = 0.98

// set adds the workers whose leases are to be renewed.
func (l inheritedLeases) set(workers []port.WorkerEntry) {
	for _, w := range workers {
		l[w.ID] = &inheritedLease{target: port.Target{ID: w.ID, Address: w.Address}}
	}
}

// renewInherited renews the leases for which that is due, until the state of former owners
// is known. The first call of a worker tells its clock, and the next renews the lease.
func (t *term) renewInherited(now time.Time) {
	if t.loaded || t.leaseAt(now) <= 0 {
		return
	}
	for _, l := range t.inherited {
		interval := listWait
		if l.clockMS == 0 {
			interval = retryInterval
		}
		if !l.inFlight && now.Sub(l.sentAt) >= interval {
			t.renewLease(l, now)
		}
	}
}

func (t *term) renewLease(l *inheritedLease, now time.Time) {
	req := port.ListRequest{Epoch: t.epoch}
	if l.clockMS > 0 {
		clock := l.clockMS + int64(slowestClock*float64(now.Sub(l.clockAt).Milliseconds()))
		req.LeaseUntilMS = clock + t.leaseAt(now).Milliseconds()
	}
	known := l.clockMS > 0
	l.inFlight, l.sentAt = true, now
	runAsync(t, listTimeoutMargin, func(ctx context.Context) (port.Listing, error) {
		return t.c.Workers.List(ctx, l.target, req)
	}, func(listing port.Listing, err error) {
		l.inFlight = false
		if err != nil || listing.ClockMS <= 0 {
			return // the worker is called again
		}
		l.clockMS, l.clockAt = listing.ClockMS, t.c.Now()
		if !known {
			l.sentAt = time.Time{} // renew the lease at once
		}
	})
}
