package traffic

import (
	"sort"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/burn"
)

// minSamples is the number of requests below which no percentile is reported.
const minSamples = 20

// ServiceVM identifies a service on a VM.
type ServiceVM struct{ Service, VM string }

// Latencies collects the latencies of short requests by service and VM. It is
// safe for concurrent use.
type Latencies struct {
	mu    sync.Mutex
	byKey map[ServiceVM]*burn.Latency
}

// NewLatencies returns an empty collection.
func NewLatencies() *Latencies { return &Latencies{byKey: map[ServiceVM]*burn.Latency{}} }

func (l *Latencies) observe(k ServiceVM, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.byKey[k]
	if !ok {
		d = burn.NewLatency()
		l.byKey[k] = d
	}
	d.Record(took)
}

// VMLatency is the 99th percentile of a service's short requests on one VM.
type VMLatency struct {
	ServiceVM
	P99 time.Duration
}

// Take returns the percentiles since the last call, sorted by service and VM,
// and resets the collection. A service with fewer than minSamples requests on a
// VM is left out.
func (l *Latencies) Take() []VMLatency {
	l.mu.Lock()
	taken := l.byKey
	l.byKey = map[ServiceVM]*burn.Latency{}
	l.mu.Unlock()
	var list []VMLatency
	for k, d := range taken {
		if d.Count() >= minSamples {
			list = append(list, VMLatency{k, d.Quantile(0.99)})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.VM < b.VM
	})
	return list
}
