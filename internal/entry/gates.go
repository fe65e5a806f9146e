package entry

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/admit"
	"github.com/bambooyard/bambooyard/retry"
)

// Limiters holds what the daemon has learned of the load of each service. It is
// safe for concurrent use.
type Limiters struct {
	metrics *Metrics

	mu    sync.Mutex
	gates map[string]*gate
}

// gate serialises the decisions on one service.
type gate struct {
	metrics   *Metrics
	mu        sync.Mutex
	admission *admit.Controller
	budget    retry.Budget
	latencies *retry.Latencies
}

// NewLimiters returns no gates.
func NewLimiters(m *Metrics) *Limiters { return &Limiters{metrics: m, gates: map[string]*gate{}} }

func (g *Limiters) service(name string) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.gates[name]
	if !ok {
		s = &gate{metrics: g.metrics, admission: admit.NewController(admit.Capacity{}), latencies: retry.NewLatencies()}
		g.gates[name] = s
	}
	return s
}

// arrive decides on a request.
func (g *gate) arrive(now time.Time, c admit.Capacity, r admit.Request) admit.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.SetCapacity(c)
	d := g.admission.Arrive(now, r)
	g.metrics.admission(d)
	return d
}

// leave counts an admitted request that has ended.
func (g *gate) leave(member string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Leave(member)
	g.metrics.inFlight.Dec(1)
}

// first counts a request that is sent for the first time.
func (g *gate) first() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Deposit()
}

// again decides whether a request is sent once more after a failure.
func (g *gate) again(f retry.Failure) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	f.Expected = g.latencies.Median()
	wanted := f.ShouldRetry()
	allowed := wanted && g.budget.TryWithdraw()
	if wanted {
		g.metrics.secondSend(g.metrics.retries, allowed)
	}
	return allowed
}

// hedge uses the budget for a send beside a slow one, if it allows it.
func (g *gate) hedge() bool { return g.take(g.metrics.hedges) }

// move uses the budget for a send on another connection, if it allows it.
func (g *gate) move() bool { return g.take(g.metrics.retries) }

func (g *gate) take(kind metrics.Counter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	allowed := g.budget.TryWithdraw()
	g.metrics.secondSend(kind, allowed)
	return allowed
}

// hedgeAfter returns how long to wait before a hedge.
func (g *gate) hedgeAfter(remaining time.Duration) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.latencies.HedgeDelay(remaining)
}

// answered counts the latency of a send that was answered.
func (g *gate) answered(now time.Time, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Observe(now, latency)
	g.latencies.Observe(latency)
}

// timedOut counts the latency of a send that got no answer in time.
func (g *gate) timedOut(now time.Time, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Observe(now, latency)
}
