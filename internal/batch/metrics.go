package batch

import "github.com/rcrowley/go-metrics"

// counters are what the coordination of the shards counts.
type counters struct {
	flushes        metrics.Counter // transactions that took effect
	records        metrics.Counter // records that they wrote
	bytes          metrics.Counter // bytes of log rows and snapshots written
	conflicts      metrics.Counter // transactions that another owner had overtaken
	unanswered     metrics.Counter // transactions without a reply
	lapses         metrics.Counter // leases given up
	acquisitions   metrics.Counter // shards taken over
	releases       metrics.Counter // shards handed over
	recoveries     metrics.Counter // states recovered
	snapshots      metrics.Counter // snapshots written
	badSnapshots   metrics.Counter // snapshots that could not be used
	renewalsFailed metrics.Counter // renewals of the owner row that failed
	collected      metrics.Counter // owner rows of daemons that are gone
}

func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("batch."+name, r) }
	return counters{
		flushes:        counter("flushes"),
		records:        counter("records"),
		bytes:          counter("bytes"),
		conflicts:      counter("conflicts"),
		unanswered:     counter("unanswered"),
		lapses:         counter("lapses"),
		acquisitions:   counter("acquisitions"),
		releases:       counter("releases"),
		recoveries:     counter("recoveries"),
		snapshots:      counter("snapshots"),
		badSnapshots:   counter("bad_snapshots"),
		renewalsFailed: counter("renewals_failed"),
		collected:      counter("collected_owners"),
	}
}
