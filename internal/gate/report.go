package gate

import (
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/intake"
)

// limited is what happened to a client that a limit left no room for. It is the name of the event in
// the log.
type limited string

const (
	// evictedConnection was closed to make way for a new one.
	evictedConnection limited = "connection_evicted"
	// rejectedConnection was closed as no other could make way.
	rejectedConnection limited = "connection_rejected"
	// interruptedRequest came slowly and made way for others.
	interruptedRequest limited = "request_interrupted"
	// refusedForMemory is a request that takes more memory than there is room for.
	refusedForMemory limited = "request_refused_memory"
	// refusedRequest is a request that came while too many were in progress.
	refusedRequest limited = "request_refused_busy"
)

var allLimited = []limited{evictedConnection, rejectedConnection, interruptedRequest, refusedForMemory, refusedRequest}

// reportInterval bounds the lines in the log: each kind at each listener is reported once in this time.
const reportInterval = 10 * time.Second

// reportKey names a kind of event at a listener.
type reportKey struct {
	kind     limited
	listener string
}

// unreported is what has happened since the last line in the log.
type unreported struct {
	count      int
	reportedAt time.Time
}

// instruments are the metrics of a Gate and the state of its log.
type instruments struct {
	counters map[limited]metrics.Counter
	log      map[reportKey]*unreported
}

func newInstruments(registry metrics.Registry, g *Gate, limits intake.Limits) (*instruments, error) {
	in := &instruments{counters: map[limited]metrics.Counter{}, log: map[reportKey]*unreported{}}
	var errs []error
	for _, kind := range allLimited {
		in.counters[kind] = metrics.NewCounter()
		errs = append(errs, registry.Register("gate."+string(kind), in.counters[kind]))
	}
	gauge := func(name string, value func() int64) {
		errs = append(errs, registry.Register("gate."+name, metrics.NewFunctionalGauge(value)))
	}
	for listener, d := range limits {
		gauge("connections."+listener, func() int64 { n, _ := g.usage(listener); return int64(n) })
		gauge("connections_limit."+listener, func() int64 { return int64(d.Connections) })
		gauge("held_bytes."+listener, func() int64 { _, held := g.usage(listener); return held })
		gauge("held_limit_bytes."+listener, func() int64 { return d.SharedBytes })
	}
	return in, errors.Join(errs...)
}

func (g *Gate) usage(listener string) (connections int, heldBytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Usage(listener)
}

// report counts an event, and logs it unless one of its kind at the listener was logged recently. The
// caller must hold g.mu.
func (g *Gate) report(kind limited, listener string) {
	g.instruments.counters[kind].Inc(1)
	key := reportKey{kind, listener}
	u := g.instruments.log[key]
	if u == nil {
		u = &unreported{}
		g.instruments.log[key] = u
	}
	u.count++
	now := g.now()
	if !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < reportInterval {
		return
	}
	connections, held := g.ledger.Usage(listener)
	g.log.WithFields(log.Fields{
		"event": string(kind), "listener": listener, "times": u.count, "connections": connections, "held_bytes": held,
	}).Warn("clients are limited")
	u.count, u.reportedAt = 0, now
}
