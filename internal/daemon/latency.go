package daemon

import (
	"time"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/place"
)

const (
	// latencyInterval is the time window of the latency percentiles.
	latencyInterval = 5 * time.Second
	// idleReportInterval is the time between two load reports of a daemon that
	// has no change to report.
	idleReportInterval = 2 * time.Second
)

// addLatencies adds the latest percentiles to a report and passes them to the
// shards of this daemon. They are sent to all peers, because any daemon may own
// the shard of a VM.
func (c *controller) addLatencies(r *peerpb.LoadReport, now time.Time) {
	if now.Sub(c.latenciesTakenAt) < latencyInterval {
		return
	}
	c.latenciesTakenAt = now
	for _, l := range c.sender.Latencies().Take() {
		r.Latencies = append(r.Latencies, &peerpb.VMLatency{
			Service:        l.Service,
			Vm:             l.VM,
			P99Ms:          float64(l.P99) / float64(time.Millisecond),
			MeasuredUnixMs: now.Add(-latencyInterval / 2).UnixMilli(),
		})
	}
	c.observeLatencies(r.GetLatencies())
}

// observeLatencies passes measured latencies to the shards of this daemon.
func (c *controller) observeLatencies(latencies []*peerpb.VMLatency) {
	for _, l := range latencies {
		c.batch.ObserveLatency(place.ServiceLatency{
			Service: l.GetService(), Machine: l.GetVm(), LatencyMS: l.GetP99Ms(), MeasuredUnixMS: l.GetMeasuredUnixMs(),
		})
	}
}
