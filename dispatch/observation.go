package dispatch

import "time"

// An Observation tells what the result of a call is about: the boot of a worker that was known
// when the call was sent, and that time, because the result may be as old as that. Every call
// whose result can end runs, or shows that a worker is alive, is sent with one.
//
// The result says nothing of a later boot. If it ends runs, it must also be newer than the
// worker's last answer: a run that has ended is found by the next call, but a run that is given up
// by mistake runs twice. docs/design/observations.md lists the results.
type Observation struct {
	worker string
	// boot and address are the worker's, as known when the call was sent; both are zero
	// if the worker was not known.
	boot    int64
	address string
	at      time.Time
}

// Observe returns the observation of a call to the worker that is sent at a time.
func (w *Worker) Observe(at time.Time) Observation {
	return Observation{worker: w.Entry.ID, boot: w.boot, address: w.Entry.Address, at: at}
}

// Observe returns the observation of a call about a worker that is sent at a time. The worker
// may be unknown.
func (e *Engine) Observe(id string, at time.Time) Observation {
	if w := e.workers[id]; w != nil {
		return w.Observe(at)
	}
	return Observation{worker: id, at: at}
}

// Worker returns the ID of the worker.
func (o Observation) Worker() string { return o.worker }

// concerns reports whether the worker's present boot was known when the call was sent.
func (o Observation) concerns(w *Worker) bool { return o.boot == w.boot }

// Outdated reports whether the engine knows of a later boot of the worker, of another address, or
// of an answer since the call was sent. An observation that a worker is gone or silent then has no effect.
func (e *Engine) Outdated(o Observation) bool {
	w := e.workers[o.worker]
	return w != nil && (!o.concerns(w) || o.address != w.Entry.Address || o.at.Before(w.lastContact))
}
