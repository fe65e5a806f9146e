package node

import (
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/process"
)

// quantiles are the quantiles reported for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// registerProcessMetrics registers the gauges of the process and of its control
// loop, which are computed when they are read.
func registerProcessMetrics(r metrics.Registry, loop *control.Loop) error {
	return errors.Join(
		process.Register(r),
		r.Register("control.queue_length", metrics.NewFunctionalGauge(func() int64 { return loop.Stats().Queued })),
	)
}

// metricsHandler serves a registry in the Prometheus text format: one line per
// value, with underscores in place of dots and hyphens in the names.
func metricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		lines := metricLines(r)
		if _, err := fmt.Fprint(w, strings.Join(lines, "\n"), "\n"); err != nil {
			return // the scraper has disconnected
		}
	})
}

// metricLines returns the sorted lines of the counters, gauges and histograms in r.
func metricLines(r metrics.Registry) []string {
	var lines []string
	r.Each(func(name string, value any) {
		name = "bambooyard_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch m := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.GaugeFloat64:
			lines = append(lines, fmt.Sprintf("%s %g", name, m.Value()))
		case metrics.Histogram:
			s := m.Snapshot()
			for i, v := range s.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s{quantile=%q} %g", name, fmt.Sprint(quantiles[i]), v))
			}
			lines = append(lines, fmt.Sprintf("%s_count %d", name, s.Count()))
		}
	})
	sort.Strings(lines)
	return lines
}
