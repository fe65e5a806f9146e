package cell

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Size and decay of the samples of a latency histogram, which cover about the
// last five minutes.
const (
	sampleSize  = 512
	sampleDecay = 0.015
)

// instruments are the cell's counters and histograms. Latencies are in
// milliseconds. They are safe for concurrent use.
type instruments struct {
	registry metrics.Registry
	// firstStartLatency is the time from a job's arrival at the owner to its first
	// start request, startLatency from a task's readiness to its start request.
	firstStartLatency, startLatency metrics.Histogram
	commitLatency                   metrics.Histogram
	takeovers, ownershipsLost       metrics.Counter
	jobsStored, jobsNotStored       metrics.Counter
}

func newInstruments(r metrics.Registry) *instruments {
	if r == nil {
		r = metrics.NewRegistry()
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	m := &instruments{
		registry:          r,
		firstStartLatency: histogram("cell.first_start_ms"),
		startLatency:      histogram("cell.hand_over_ms"),
		commitLatency:     histogram("cell.commit_ms"),
		takeovers:         metrics.GetOrRegisterCounter("cell.takeovers", r),
		ownershipsLost:    metrics.GetOrRegisterCounter("cell.ownerships_lost", r),
		jobsStored:        metrics.GetOrRegisterCounter("cell.jobs_stored", r),
		jobsNotStored:     metrics.GetOrRegisterCounter("cell.jobs_not_stored", r),
	}
	for _, reason := range []port.EndReason{port.EndDone, port.EndFailed, port.EndStopped, port.EndLeaseExpired, port.EndGangBroken, port.EndGangTimeout} {
		m.endCounter(reason)
	}
	for _, state := range []job.State{job.Completed, job.Failed, job.Cancelled} {
		m.finalCounter(state)
	}
	return m
}

func (m *instruments) endCounter(reason port.EndReason) metrics.Counter {
	return metrics.GetOrRegisterCounter("cell.tasks_ended."+string(reason), m.registry)
}

func (m *instruments) finalCounter(state job.State) metrics.Counter {
	return metrics.GetOrRegisterCounter("cell.jobs_final."+string(state), m.registry)
}

func (m *instruments) countEnd(reason port.EndReason) { m.endCounter(reason).Inc(1) }

func (m *instruments) countFinal(state job.State) { m.finalCounter(state).Inc(1) }

// observe records a latency in a histogram.
func observe(h metrics.Histogram, d time.Duration) { h.Update(d.Milliseconds()) }
