package route

import "sync/atomic"

// Usage counts one daemon's requests on one target and holds the state that the
// target announced in its responses. It is safe for concurrent use.
type Usage struct {
	inFlight atomic.Int64
	long     atomic.Int64
	// leaving is set once the target has announced that it leaves.
	leaving atomic.Bool
	// probeAllowed is set when one request may be sent to the suspected target.
	probeAllowed atomic.Bool
	// pausedUntil is the time, in nanoseconds since 1970 UTC, until which the target
	// takes no new requests.
	pausedUntil atomic.Int64
	// failures counts the failed requests since the last success.
	failures atomic.Int64
	// successes counts all requests that got a complete response.
	successes atomic.Int64
}

// InFlight returns the number of requests in flight, including long ones.
func (u *Usage) InFlight() int { return int(u.inFlight.Load()) }

// InFlightLong returns the number of long requests in flight.
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

// RecordSuccess records a complete response of the target.
func (u *Usage) RecordSuccess() {
	u.failures.Store(0)
	u.successes.Add(1)
}

// RecordFailure records a failed request to the target.
func (u *Usage) RecordFailure() { u.failures.Add(1) }

// SetLeaving records that the target has announced that it leaves; pickers send no
// more requests to it.
func (u *Usage) SetLeaving() { u.leaving.Store(true) }

// Leaving reports whether the target has announced that it leaves.
func (u *Usage) Leaving() bool { return u.leaving.Load() }

// ClearLeaving undoes SetLeaving.
func (u *Usage) ClearLeaving() { u.leaving.Store(false) }

// Pause keeps new requests from the target until the given time, in nanoseconds
// since 1970 UTC.
func (u *Usage) Pause(untilUnixNano int64) { u.pausedUntil.Store(untilUnixNano) }

// AllowProbe allows one request to the suspected target.
func (u *Usage) AllowProbe() { u.probeAllowed.Store(true) }

// accepting reports whether the target takes new requests: it neither leaves nor
// is paused.
func (u *Usage) accepting(nowUnixNano int64) bool {
	return !u.leaving.Load() && u.pausedUntil.Load() <= nowUnixNano
}

// reserve counts a request and reports true, unless that would exceed the limit of
// connections or, for a long request, of long ones.
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

// add increments a counter and reports true, unless it has reached limit.
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
