package traffic

import (
	"sort"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/burn"
)

// minLatencies is the least number of answers that give a percentile.
const minLatencies = 20

// ServiceVM names a service on one VM.
type ServiceVM struct{ Service, VM string }

// Latencies collects how long short requests take on each VM. It is safe for
// concurrent use.
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
// and begins anew. Services with few answers on a VM are left out.
func (l *Latencies) Take() []VMLatency {
	l.mu.Lock()
	taken := l.byKey
	l.byKey = map[ServiceVM]*burn.Latency{}
	l.mu.Unlock()
	var list []VMLatency
	for k, d := range taken {
		if d.Count() >= minLatencies {
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
