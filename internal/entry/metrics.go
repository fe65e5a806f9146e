package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/admit"
)

// Metrics counts the decisions of the gates. It is safe for concurrent use.
type Metrics struct {
	inFlight metrics.Counter
	refused  map[admit.Reason]metrics.Counter
	retries  metrics.Counter
	hedges   metrics.Counter
	denied   metrics.Counter
}

// NewMetrics returns the metrics, registered.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		inFlight: metrics.GetOrRegisterCounter("admission.in_flight", r),
		refused: map[admit.Reason]metrics.Counter{
			admit.ReasonDeadline: metrics.GetOrRegisterCounter("admission.refused_deadline", r),
			admit.ReasonLimit:    metrics.GetOrRegisterCounter("admission.refused_limit", r),
			admit.ReasonShare:    metrics.GetOrRegisterCounter("admission.refused_share", r),
		},
		retries: metrics.GetOrRegisterCounter("retry.retries", r),
		hedges:  metrics.GetOrRegisterCounter("retry.hedges", r),
		denied:  metrics.GetOrRegisterCounter("retry.denied", r),
	}
}

// admission counts the answer to one arrival.
func (m *Metrics) admission(d admit.Decision) {
	if d.Admitted {
		m.inFlight.Inc(1)
		return
	}
	m.refused[d.Reason].Inc(1)
}

// secondSend counts a second send that was wanted.
func (m *Metrics) secondSend(kind metrics.Counter, allowed bool) {
	if allowed {
		kind.Inc(1)
	} else {
		m.denied.Inc(1)
	}
}
