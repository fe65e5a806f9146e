package entry

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/admit"
	"github.com/bambooyard/bambooyard/retry"
)

// Limiters holds the admission, retry and hedging state of each service. It is
// safe for concurrent use.
type Limiters struct {
	metrics *Metrics

	mu       sync.Mutex
	limiters map[string]*limiter
}

// limiter makes the admission, retry and hedging decisions for one service. It
// is safe for concurrent use.
type limiter struct {
	metrics   *Metrics
	mu        sync.Mutex
	admission *admit.Controller
	budget    retry.Budget
	latencies *retry.Latencies
}

// NewLimiters returns limiters without any service; they are created on first use.
func NewLimiters(m *Metrics) *Limiters { return &Limiters{metrics: m, limiters: map[string]*limiter{}} }

// service returns the limiter of a service and creates it if necessary.
func (l *Limiters) service(name string) *limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	svc, ok := l.limiters[name]
	if !ok {
		svc = &limiter{metrics: l.metrics, admission: admit.NewController(admit.Capacity{}), latencies: retry.NewLatencies()}
		l.limiters[name] = svc
	}
	return svc
}

// admit decides whether a request is admitted. The caller must call release for
// each admitted request.
func (l *limiter) admit(now time.Time, c admit.Capacity, r admit.Request) admit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.SetCapacity(c)
	d := l.admission.Admit(now, r)
	l.metrics.countAdmission(d)
	return d
}

// release ends an admitted request of member.
func (l *limiter) release(member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.Release(member)
	l.metrics.inFlight.Dec(1)
}

// countFirstSend adds to the retry budget for a request's first send.
func (l *limiter) countFirstSend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Deposit()
}

// allowRetry reports whether a request is sent again after a failure, and takes
// the send from the retry budget if so.
func (l *limiter) allowRetry(f retry.Failure) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.Expected = l.latencies.Median()
	wanted := f.ShouldRetry()
	allowed := wanted && l.budget.TryWithdraw()
	if wanted {
		l.metrics.countResend(l.metrics.retries, allowed)
	}
	return allowed
}

// allowHedge takes a hedged send from the budget, if the budget allows it.
func (l *limiter) allowHedge() bool { return l.takeBudget(l.metrics.hedges) }

// allowReconnect takes a send on another connection from the budget, if the
// budget allows it.
func (l *limiter) allowReconnect() bool { return l.takeBudget(l.metrics.retries) }

func (l *limiter) takeBudget(kind metrics.Counter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := l.budget.TryWithdraw()
	l.metrics.countResend(kind, allowed)
	return allowed
}

// hedgeDelay returns how long to wait before a hedged send, or false for none.
func (l *limiter) hedgeDelay(remaining time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latencies.HedgeDelay(remaining)
}

// observeResponse records the latency of a send that got a response.
func (l *limiter) observeResponse(now time.Time, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.Observe(now, latency)
	l.latencies.Observe(latency)
}

// observeTimeout records the latency of a send that timed out. It counts for
// admission only, not for the latencies behind retries and hedging.
func (l *limiter) observeTimeout(now time.Time, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.Observe(now, latency)
}
