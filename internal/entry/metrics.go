package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/admit"
)

// Metrics counts admission, retry and hedging decisions. It is safe for
// concurrent use.
type Metrics struct {
	inFlight metrics.Counter
	refused  map[admit.Reason]metrics.Counter
	retries  metrics.Counter
	hedges   metrics.Counter
	denied   metrics.Counter
}

// NewMetrics returns metrics registered with r.
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

// countAdmission counts an admission decision.
func (m *Metrics) countAdmission(d admit.Decision) {
	if d.Admitted {
		m.inFlight.Inc(1)
		return
	}
	m.refused[d.Reason].Inc(1)
}

// countResend counts a retry or hedge that was wanted, as kind if the budget
// allowed it and as denied if not.
func (m *Metrics) countResend(kind metrics.Counter, allowed bool) {
	if allowed {
		kind.Inc(1)
	} else {
		m.denied.Inc(1)
	}
}
