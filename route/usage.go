package route

import "sync/atomic"

// Usage counts one daemon's requests on one target and keeps what their
// answers told of the target. It is safe for concurrent use.
type Usage struct {
	inFlight atomic.Int64
	long     atomic.Int64
	// leaving is set once the target has said that it leaves.
	leaving atomic.Bool
	// probe is set when one request may try the suspected target.
	probe atomic.Bool
	// pausedUntil is a time in nanoseconds before which the target wants no work.
	pausedUntil atomic.Int64
	// failures is the failed requests since the last success.
	failures atomic.Int64
	// successes is all requests that got an answer.
	successes atomic.Int64
}

// InFlight returns the requests in flight, long ones included.
func (u *Usage) InFlight() int { return int(u.inFlight.Load()) }

// InFlightLong returns the long requests in flight.
func (u *Usage) InFlightLong() int { return int(u.long.Load()) }

// Begin counts a request that starts.
func (u *Usage) Begin(c Class) {
	u.inFlight.Add(1)
	if c == Long {
		u.long.Add(1)
	}
}

// End counts a request that has ended.
func (u *Usage) End(c Class) {
	if c == Long {
		u.long.Add(-1)
	}
	u.inFlight.Add(-1)
}

// Reclassify counts a request in flight as long. It must then end as Long.
func (u *Usage) Reclassify() { u.long.Add(1) }

// RecordSuccess records that the target gave a complete answer.
func (u *Usage) RecordSuccess() {
	u.failures.Store(0)
	u.successes.Add(1)
}

// RecordFailure records that a request to the target failed.
func (u *Usage) RecordFailure() { u.failures.Add(1) }

// SetLeaving records that the target said it leaves; no request is picked for
// it from then on.
func (u *Usage) SetLeaving() { u.leaving.Store(true) }

// Leaving reports whether the target said that it leaves.
func (u *Usage) Leaving() bool { return u.leaving.Load() }

// ClearLeaving forgets that the target said it leaves.
func (u *Usage) ClearLeaving() { u.leaving.Store(false) }

// Pause keeps new requests from the target until a time in nanoseconds.
func (u *Usage) Pause(untilUnixNano int64) { u.pausedUntil.Store(untilUnixNano) }

// AllowProbe lets one request try the suspected target.
func (u *Usage) AllowProbe() { u.probe.Store(true) }

// open reports whether the target itself takes new requests.
func (u *Usage) open(nowUnixNano int64) bool {
	return !u.leaving.Load() && u.pausedUntil.Load() <= nowUnixNano
}

// reserve counts a request unless that would exceed a limit.
func (u *Usage) reserve(c Class, connections, long int64) bool {
	if c == Long && !add(&u.long, long) {
		return false
	}
	if add(&u.inFlight, connections) {
		return true
	}
	if c == Long {
		u.long.Add(-1)
	}
	return false
}

// add adds one to a counter that is below limit.
func add(counter *atomic.Int64, limit int64) bool {
	for {
		n := counter.Load()
		if n >= limit {
			return false
		}
		if counter.CompareAndSwap(n, n+1) {
			return true
		}
	}
}
