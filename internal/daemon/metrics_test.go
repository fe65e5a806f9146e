package daemon

import (
	"os"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/intake"
	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/internal/cell"
	"github.com/bambooyard/bambooyard/internal/claims"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/entry"
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/internal/process"
	"github.com/bambooyard/bambooyard/platform"
)

// The metrics in docs/METRICS.md must be exactly those that a daemon registers.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	newRequestMetrics(burn.NewRecorder(), registry)
	claims.NewMetrics(registry)
	entry.NewMetrics(registry)
	batch.NewManager(batch.Options{Metrics: registry})
	cell.New(cell.Options{Metrics: registry})
	platform.NewDirectory(nil, nil).RegisterMetrics(registry)
	is.NoErr(registerControlMetrics(control.NewLoop(), registry))
	is.NoErr(process.Register(registry))
	listeners := intake.Limits{"callers": {}, "jobs": {}, "metrics": {}, "operators": {}, "peers": {}, "ready": {}}
	_, err := gate.New(listeners, registry, log.Log)
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	documented := map[string]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		if cells := strings.Split(line, "`"); strings.HasPrefix(line, "| `") {
			documented[cells[1]] = true
		}
	}
	registry.Each(func(name string, _ any) {
		if strings.HasPrefix(name, "runtime.") {
			return
		}
		is.True(documented[name]) // the metric is not in docs/METRICS.md
		delete(documented, name)
	})
	is.Equal(len(documented), 0) // docs/METRICS.md names metrics that do not exist
}
