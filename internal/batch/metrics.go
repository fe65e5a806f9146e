package batch

import "github.com/rcrowley/go-metrics"

// counters are the metrics of shard ownership and of the shards' logs.
type counters struct {
	flushes        metrics.Counter // committed transactions
	records        metrics.Counter // records in committed transactions
	bytes          metrics.Counter // bytes of log rows and snapshots written
	conflicts      metrics.Counter // transactions rejected because another owner had written the head row
	unanswered     metrics.Counter // transactions without a reply
	lapses         metrics.Counter // lapsed leases
	acquisitions   metrics.Counter // shards acquired
	releases       metrics.Counter // shards released
	recoveries     metrics.Counter // shard states recovered
	snapshots      metrics.Counter // snapshots written
	badSnapshots   metrics.Counter // snapshots that could not be written or used
	renewalsFailed metrics.Counter // failed renewals of the owner row
	collected      metrics.Counter // expired owner rows deleted
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
