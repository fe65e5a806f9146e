package claims

import "github.com/rcrowley/go-metrics"

// Metrics counts the table operations that a daemon's claims cause. It is safe
// for concurrent use.
type Metrics struct {
	transactions metrics.Counter
	changes      metrics.Counter
	readBacks    metrics.Counter
	refused      metrics.Counter
	unsettled    metrics.Counter
	deleted      metrics.Counter
}

// NewMetrics returns metrics registered with r.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		transactions: metrics.GetOrRegisterCounter("claims.transactions", r),
		changes:      metrics.GetOrRegisterCounter("claims.changes", r),
		readBacks:    metrics.GetOrRegisterCounter("claims.read_backs", r),
		refused:      metrics.GetOrRegisterCounter("claims.refused", r),
		unsettled:    metrics.GetOrRegisterCounter("claims.unsettled", r),
		deleted:      metrics.GetOrRegisterCounter("claims.deleted", r),
	}
}
