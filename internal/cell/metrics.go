package cell

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// sampleSize bounds the samples that a latency histogram keeps; with a decay it
// covers about the last five minutes.
const (
	sampleSize  = 512
	sampleDecay = 0.015
)

// gauges are the cell's counters and histograms. They are safe for concurrent
// use. Latencies are in milliseconds.
type gauges struct {
	registry metrics.Registry
	// firstStart is from a job's becoming known to its first start order,
	// handOver from a task's turn to its start order.
	firstStart, handOver metrics.Histogram
	commit               metrics.Histogram
	takeovers, lost      metrics.Counter
	submitted, refused   metrics.Counter
}

func newGauges(r metrics.Registry) *gauges {
	if r == nil {
		r = metrics.NewRegistry()
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	g := &gauges{
		registry:   r,
		firstStart: histogram("cell.first_start_ms"),
		handOver:   histogram("cell.hand_over_ms"),
		commit:     histogram("cell.commit_ms"),
		takeovers:  metrics.GetOrRegisterCounter("cell.takeovers", r),
		lost:       metrics.GetOrRegisterCounter("cell.ownerships_lost", r),
		submitted:  metrics.GetOrRegisterCounter("cell.jobs_stored", r),
		refused:    metrics.GetOrRegisterCounter("cell.jobs_not_stored", r),
	}
	for _, reason := range []port.EndReason{port.EndDone, port.EndFailed, port.EndStopped, port.EndLeaseExpired, port.EndGangBroken, port.EndGangTimeout} {
		g.endCounter(reason)
	}
	for _, state := range []job.State{job.Completed, job.Failed, job.Cancelled} {
		g.finalCounter(state)
	}
	return g
}

func (g *gauges) endCounter(reason port.EndReason) metrics.Counter {
	return metrics.GetOrRegisterCounter("cell.tasks_ended."+string(reason), g.registry)
}

func (g *gauges) finalCounter(state job.State) metrics.Counter {
	return metrics.GetOrRegisterCounter("cell.jobs_final."+string(state), g.registry)
}

func (g *gauges) ended(reason port.EndReason) { g.endCounter(reason).Inc(1) }

func (g *gauges) final(state job.State) { g.finalCounter(state).Inc(1) }

// observe adds a latency to a histogram.
func observe(h metrics.Histogram, d time.Duration) { h.Update(d.Milliseconds()) }
