package fake

import "time"

// clock returns the worker's clock, which reads one second when it is started.
func (w *fleetWorker) clock() time.Duration { return w.fleet.now().Sub(w.startedAt) + time.Second }

// maxLease is the longest lease that a worker grants. A request that was meant for an earlier
// boot, whose clock was ahead, gets no longer one.
const maxLease = 6 * time.Second

// extendLease grants a lease until a time on the worker's clock in milliseconds.
func (w *fleetWorker) extendLease(untilMS int64) {
	until := min(time.Duration(untilMS)*time.Millisecond, w.clock()+maxLease)
	w.leaseEnd = max(w.leaseEnd, until)
}
