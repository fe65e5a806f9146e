package shard

import (
	"fmt"
	"time"
)

// Head is the row that names a shard's owner. Every write of the shard checks
// the row's version, so that a former owner's write fails.
type Head struct {
	// Owner is the owner's identity, or empty after a release.
	Owner string `json:"owner,omitempty"`
	// Epoch increases with every change of owner.
	Epoch int64 `json:"epoch"`
	// Sequence is the number of the last log row.
	Sequence int64 `json:"sequence"`
	// LeasesUntilUnixMS bounds the expiry of the leases that owners of earlier
	// epochs, or the owner that released the shard, can have granted, in
	// milliseconds since 1970 UTC.
	LeasesUntilUnixMS int64 `json:"leases_until_unix_ms,omitempty"`
	// Snapshot is the latest snapshot and Previous the one before, or zero.
	Snapshot SnapshotRef `json:"snapshot"`
	Previous SnapshotRef `json:"previous"`
	// Trimmed is the number of the last log row that has been deleted.
	Trimmed int64 `json:"trimmed,omitempty"`
	// Load is the shard's free and pending resources at the last write. It can
	// be stale.
	Load Load `json:"load"`
}

// Load is the free and the pending processors of a shard, in thousandths.
type Load struct {
	FreeMilliProcessors    int64 `json:"free_milli_processors"`
	PendingMilliProcessors int64 `json:"pending_milli_processors"`
}

// OwnerLease is the row that a daemon renews to keep all the shards that it
// owns.
type OwnerLease struct {
	Owner string `json:"owner"`
	// ExpiresUnixMS is when other daemons may take over the shards, in
	// milliseconds since 1970 UTC.
	ExpiresUnixMS int64 `json:"expires_unix_ms"`
}

// Expires returns when other daemons may take over the owner's shards.
func (l OwnerLease) Expires() time.Time { return time.UnixMilli(l.ExpiresUnixMS) }

// Timing holds the durations that govern ownership and leases.
type Timing struct {
	// LeaseTTL is how long a worker may run a task without renewal.
	LeaseTTL time.Duration
	// OwnerTTL is how long an owner keeps its shards without renewal.
	OwnerTTL time.Duration
	// RenewalGrace is how long after the expiry of its row an owner that cannot
	// reach the table service may continue to renew the leases of running
	// tasks.
	RenewalGrace time.Duration
	// ClockSkew is the greatest difference between the clocks of two VMs.
	ClockSkew time.Duration
	// StartWindow is the time from a placement decision until the task can no
	// longer start.
	StartWindow time.Duration
}

// OwnedError reports a shard whose owner's lease has not expired.
type OwnedError struct {
	Owner string
	Until time.Time
}

// Error implements error.
func (e *OwnedError) Error() string {
	return fmt.Sprintf("shard is owned by %q until %s", e.Owner, e.Until.UTC().Format(time.RFC3339Nano))
}

// LeaseBound returns the latest expiry of a lease that an owner whose row
// expires at the given time can have granted.
func (t Timing) LeaseBound(expires time.Time) time.Time {
	return expires.Add(t.RenewalGrace).Add(t.LeaseTTL)
}

// TakeOver returns the head row with which self takes over a shard at now, or
// an *OwnedError. The row of the current owner is passed as read; it is zero if
// it does not exist, which is the case only long after its expiry.
func (t Timing) TakeOver(old Head, lease OwnerLease, self string, now time.Time) (Head, error) {
	until := lease.Expires().Add(t.ClockSkew)
	if old.Owner != "" && old.Owner != self && now.Before(until) {
		return Head{}, &OwnedError{Owner: old.Owner, Until: until}
	}
	next := old
	next.Owner = self
	next.Epoch++
	if old.Owner != "" && lease.ExpiresUnixMS != 0 {
		next.LeasesUntilUnixMS = max(next.LeasesUntilUnixMS, t.LeaseBound(lease.Expires()).UnixMilli())
	}
	return next, nil
}

// MayRenew reports whether an owner whose row is known to last until expires
// may renew the leases of running tasks at now.
func (t Timing) MayRenew(expires, now time.Time) bool {
	return now.Before(expires.Add(t.RenewalGrace))
}

// HasPassed reports whether a worker's clock has certainly passed the time at,
// given the time now on another VM.
func (t Timing) HasPassed(at, now time.Time) bool { return now.After(at.Add(t.ClockSkew)) }

// Leases tracks the latest lease expiry that has been granted to each VM. The
// zero value is not usable; see NewLeases.
type Leases struct {
	timing Timing
	expiry map[string]time.Time
	floor  time.Time
}

// NewLeases returns the leases of a new owner. Earlier owners can have granted
// any VM a lease that expires at floor.
func NewLeases(timing Timing, floor time.Time) *Leases {
	return &Leases{timing: timing, expiry: map[string]time.Time{}, floor: floor}
}

// Extend extends the leases of a VM from now and returns their new expiry.
func (l *Leases) Extend(vm string, now time.Time) time.Time {
	end := now.Add(l.timing.LeaseTTL)
	if end.After(l.expiry[vm]) {
		l.expiry[vm] = end
	}
	return end
}

// Expiry returns the latest expiry of a lease on the VM.
func (l *Leases) Expiry(vm string) time.Time {
	if l.expiry[vm].After(l.floor) {
		return l.expiry[vm]
	}
	return l.floor
}

// Expired reports whether every lease on the VM has certainly expired by its
// worker's clock.
func (l *Leases) Expired(vm string, now time.Time) bool { return l.timing.HasPassed(l.Expiry(vm), now) }

// LatestExpiry returns the latest expiry of a lease on any VM.
func (l *Leases) LatestExpiry() time.Time {
	latest := l.floor
	for _, t := range l.expiry {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}
