package daemon

import (
	"time"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/place"
)

const (
	// latencyInterval is the time over which percentiles are taken.
	latencyInterval = 5 * time.Second
	// quietInterval is the time between two reports of a daemon that has
	// nothing new to say.
	quietInterval = 2 * time.Second
)

// addLatencies puts the latest percentiles into a report and lets the own
// shards learn from them. The shard of a VM may belong to any daemon.
func (c *controller) addLatencies(r *peerpb.LoadReport, now time.Time) {
	if now.Sub(c.latencyAt) < latencyInterval {
		return
	}
	c.latencyAt = now
	for _, l := range c.sender.Latencies().Take() {
		r.Latencies = append(r.Latencies, &peerpb.VMLatency{
			Service:        l.Service,
			Vm:             l.VM,
			P99Ms:          float64(l.P99) / float64(time.Millisecond),
			MeasuredUnixMs: now.Add(-latencyInterval / 2).UnixMilli(),
		})
	}
	c.learnLatencies(r.GetLatencies())
}

func (c *controller) learnLatencies(latencies []*peerpb.VMLatency) {
	for _, l := range latencies {
		c.batch.ObserveLatency(place.ServiceLatency{
			Service: l.GetService(), Machine: l.GetVm(), LatencyMS: l.GetP99Ms(), MeasuredUnixMS: l.GetMeasuredUnixMs(),
		})
	}
}
