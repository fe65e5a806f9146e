package daemon

import (
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/internal/control"
)

// Names of the daemon's own metrics; docs/METRICS.md explains each.
const (
	metricQueueLength   = "control.queue_length"
	metricBusy          = "control.busy_nanoseconds"
	metricFunctions     = "control.functions"
	metricRequestPrefix = "entry.requests_"
	metricLatency       = "entry.answer_latency"
)

// requestMetrics counts each completed request and passes it to the burn
// recorder. It is safe for concurrent use.
type requestMetrics struct {
	recorder *burn.Recorder
	outcomes [burn.Outcomes]metrics.Counter
	latency  metrics.Timer
}

func newRequestMetrics(recorder *burn.Recorder, registry metrics.Registry) *requestMetrics {
	m := &requestMetrics{recorder: recorder, latency: metrics.GetOrRegisterTimer(metricLatency, registry)}
	for o := range burn.Outcome(burn.Outcomes) {
		if o != burn.OutcomeEvicted {
			m.outcomes[o] = metrics.GetOrRegisterCounter(metricRequestPrefix+o.String(), registry)
		}
	}
	return m
}

// Observe implements entry.Observer.
func (m *requestMetrics) Observe(o burn.Observation) {
	m.recorder.Observe(o)
	m.outcomes[o.Outcome].Inc(1)
	if o.Outcome == burn.OutcomeGood || o.Outcome == burn.OutcomeLate {
		m.latency.Update(o.Latency)
	}
}

// registerControlMetrics registers the metrics of the control loop and the runtime.
func registerControlMetrics(loop *control.Loop, registry metrics.Registry) error {
	gauges := []struct {
		name  string
		value func() int64
	}{
		{metricQueueLength, func() int64 { return loop.Stats().Queued }},
		{metricBusy, func() int64 { return int64(loop.Stats().Busy) }},
		{metricFunctions, func() int64 { return loop.Stats().Functions }},
	}
	for _, g := range gauges {
		if err := registry.Register(g.name, metrics.NewFunctionalGauge(g.value)); err != nil {
			return err
		}
	}
	metrics.RegisterRuntimeMemStats(registry)
	return nil
}
