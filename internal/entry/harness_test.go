package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/claims"
	"github.com/bambooyard/bambooyard/internal/entry"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/membership"
	"github.com/bambooyard/bambooyard/route"
	"github.com/bambooyard/bambooyard/rules"
)

const daemonCount = 2

// cluster is the callers' interface of two daemons that share one platform and
// one runner.
type cluster struct {
	platform *fake.Platform
	table    *hookedTable
	runner   *fake.Runner
	target   *httptest.Server
	snapshot *traffic.Snapshot
	daemons  [daemonCount]struct {
		server    *entry.Server
		publisher *traffic.Publisher
		http      *httptest.Server
		claims    *claims.Service
	}
}

// hookedTable calls onCommit after each committed transaction.
type hookedTable struct {
	*fake.Platform
	mu       sync.Mutex
	onCommit func()
}

func (h *hookedTable) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	v, err := h.Platform.Commit(ctx, txn)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.onCommit != nil && err == nil {
		h.onCommit()
	}
	return v, err
}

type noObserver struct{}

func (noObserver) Observe(burn.Observation) {}

// newCluster returns a running cluster. If handler is not nil, it sees each
// request at the target first; the runner serves those for which it returns false.
func newCluster(t testing.TB, handler func(c *cluster, w http.ResponseWriter, r *http.Request) bool) *cluster {
	c := &cluster{platform: fake.NewPlatform(), runner: fake.NewRunner("w001")}
	c.table = &hookedTable{Platform: c.platform}
	c.target = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if handler == nil || !handler(c, w, r) {
			c.runner.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(c.target.Close)
	closed := httptest.NewServer(nil)
	closed.Close()
	repeatable := rules.Service{DeadlineMS: 10_000, MaxDeadlineMS: 20_000, MaxBodyBytes: 64}
	atMostOnce := repeatable
	atMostOnce.AtMostOnce = true
	c.snapshot = &traffic.Snapshot{
		CreatedAt: time.Now().Add(time.Hour), Ready: true, ValidUntil: time.Now().Add(time.Hour), Daemons: daemonCount,
		Members: map[string]bool{"conservators": true},
		Services: map[string]*traffic.Service{
			"stock-check": c.service(repeatable, c.target.URL), "reorder": c.service(atMostOnce, c.target.URL),
			"no-targets": c.service(atMostOnce), "closed-target": c.service(atMostOnce, closed.URL),
		},
	}
	logger := &log.Logger{Handler: discard.New()}
	for i, id := range []string{"d1-session", "d2-session"} {
		d := &c.daemons[i]
		d.claims = claims.NewService(claims.ServiceOptions{
			Metrics: claims.NewMetrics(metrics.NewRegistry()), Table: c.table, Objects: c.platform.Objects(), Log: logger,
			Daemons: func() int { return daemonCount }, ShouldCollect: func() bool { return false },
		})
		d.publisher = traffic.NewPublisher()
		s := *c.snapshot
		s.Session = membership.Session{ID: id, ExpiresUnixMS: time.Now().Add(time.Hour).UnixMilli()}
		d.publisher.Publish(&s)
		d.server = entry.NewServer(entry.Options{
			Publisher: d.publisher, Claims: d.claims, Sender: traffic.NewSystemSender("hobart", d.publisher, traffic.NewLinks("hobart", time.Now, time.Sleep)),
			Limiters: entry.NewLimiters(entry.NewMetrics(metrics.NewRegistry())), Observer: noObserver{}, Log: logger, Now: time.Now,
		})
		d.http = httptest.NewServer(d.server.Handler())
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_ = d.server.Drain(ctx, d.http.Config)
		})
	}
	return c
}

func (c *cluster) service(r rules.Service, urls ...string) *traffic.Service {
	var targets []route.Target
	for _, u := range urls {
		targets = append(targets, route.Target{
			Address: strings.TrimPrefix(u, "http://"), Region: "hobart", Slots: 64, Connections: 512,
			State: charts.TargetLive, Usage: &route.Usage{},
		})
	}
	return &traffic.Service{Rules: r, Picker: route.NewPicker(route.Options{Region: "hobart", Daemons: daemonCount, Targets: targets}), Limit: 64, Slots: 64}
}
