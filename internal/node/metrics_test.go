package node

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func TestMetricsAsText(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("cell.tasks_ended.done", r).Inc(3)
	h := metrics.GetOrRegisterHistogram("cell.commit_ms", r, metrics.NewUniformSample(10))
	h.Update(7)
	w := httptest.NewRecorder()
	metricsHandler(r).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.Equal(w.Body.String(), `bambooyard_cell_commit_ms_count 1
bambooyard_cell_commit_ms{quantile="0.5"} 7
bambooyard_cell_commit_ms{quantile="0.95"} 7
bambooyard_cell_commit_ms{quantile="0.99"} 7
bambooyard_cell_tasks_ended_done 3
`)
}
