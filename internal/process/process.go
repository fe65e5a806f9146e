// Package process reports the memory and the garbage collection of the running
// process as metrics.
package process

import (
	"errors"
	runtimemetrics "runtime/metrics"

	"github.com/rcrowley/go-metrics"
)

// Samples of the Go runtime. Reading them does not stop the program.
const (
	sampleHeapLive    = "/gc/heap/live:bytes"
	sampleMemoryLimit = "/gc/gomemlimit:bytes"
	sampleGCTime      = "/cpu/classes/gc/total:cpu-seconds"
	sampleTotalTime   = "/cpu/classes/total:cpu-seconds"
)

// Register registers the gauges of the process, which are computed when they are
// read.
func Register(r metrics.Registry) error {
	return errors.Join(
		r.Register("process.heap_live_bytes", metrics.NewFunctionalGauge(func() int64 { return readBytes(sampleHeapLive) })),
		r.Register("process.memory_limit_bytes", metrics.NewFunctionalGauge(func() int64 { return readBytes(sampleMemoryLimit) })),
		r.Register("process.gc_cpu_ratio", metrics.NewFunctionalGaugeFloat64(readGCRatio)),
	)
}

func readBytes(name string) int64 {
	samples := []runtimemetrics.Sample{{Name: name}}
	runtimemetrics.Read(samples)
	if samples[0].Value.Kind() != runtimemetrics.KindUint64 {
		return 0
	}
	return int64(samples[0].Value.Uint64())
}

// readGCRatio returns the share of the available processor time since the start
// of the process that was used for garbage collection.
func readGCRatio() float64 {
	samples := []runtimemetrics.Sample{{Name: sampleGCTime}, {Name: sampleTotalTime}}
	runtimemetrics.Read(samples)
	for _, s := range samples {
		if s.Value.Kind() != runtimemetrics.KindFloat64 {
			return 0
		}
	}
	if total := samples[1].Value.Float64(); total > 0 {
		return samples[0].Value.Float64() / total
	}
	return 0
}
