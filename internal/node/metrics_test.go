package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/internal/cell"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/settings"
	"github.com/bambooyard/bambooyard/platform"
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

func TestGaugesAsText(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterGauge("cell.epoch", r).Update(12)
	metrics.GetOrRegisterGaugeFloat64("process.gc_cpu_ratio", r).Update(0.25)
	is.NoErr(r.Register("control.queue_length", metrics.NewFunctionalGauge(func() int64 { return 5 })))
	w := httptest.NewRecorder()
	metricsHandler(r).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.Equal(w.Body.String(), `bambooyard_cell_epoch 12
bambooyard_control_queue_length 5
bambooyard_process_gc_cpu_ratio 0.25
`)
}

func TestProcessMetrics(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	loop := control.NewLoop()
	is.NoErr(registerProcessMetrics(r, loop))
	loop.Post(func() {})
	runtime.GC() // the live heap is measured by a collection
	is.Equal(r.Get("control.queue_length").(metrics.Gauge).Value(), int64(1))
	is.True(r.Get("process.heap_live_bytes").(metrics.Gauge).Value() > 0)
	is.True(r.Get("process.memory_limit_bytes").(metrics.Gauge).Value() > 0)
	ratio := r.Get("process.gc_cpu_ratio").(metrics.GaugeFloat64).Value()
	is.True(ratio > 0 && ratio < 1)
}

func TestMetricsAtAFixedAddress(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := taken.Addr().String()
	h := memory.New()
	r := metrics.NewRegistry()
	metrics.GetOrRegisterGauge("cell.epoch", r).Update(12)
	d := &daemon{
		settings: settings.Node{FixedMetricsAddress: address},
		log:      &log.Logger{Handler: h, Level: log.InfoLevel}, metrics: new(daemon).newServer(metricsHandler(r)),
	}
	d.serveFixedMetrics()
	is.Equal(len(h.Entries), 1)
	is.Equal(h.Entries[0].Fields.Get("event"), "metrics_not_served")
	is.NoErr(taken.Close())
	d.serveFixedMetrics()
	defer d.metrics.Close()
	is.Equal(len(h.Entries), 1)
	resp, err := http.Get("http://" + address + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "bambooyard_cell_epoch 12\n")
}

// TestMetricsAreDocumented checks that docs/METRICS.md names every metric of a
// daemon.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	r := metrics.NewRegistry()
	is.NoErr(registerProcessMetrics(r, control.NewLoop()))
	cell.New(cell.Options{Metrics: r, Now: time.Now})
	platform.NewDirectory(nil, nil).RegisterMetrics(r)
	is.True(r.Get("directory.unreadable_entries") != nil)
	_, err = newGate(settings.Node{}, r, log.Log)
	is.NoErr(err)
	_, platformPart, found := strings.Cut(string(page), "## On the users' platform")
	is.True(found)
	r.Each(func(name string, _ any) {
		if !strings.Contains(platformPart, "| `"+name+"` |") {
			t.Errorf("docs/METRICS.md does not name %s", name)
		}
	})
}
