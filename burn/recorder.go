package burn

import (
	"maps"
	"sync"
)

// Recorder counts requests. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	counts map[Series]Counts
}

// NewRecorder returns a recorder without counts.
func NewRecorder() *Recorder { return &Recorder{counts: map[Series]Counts{}} }

// Record counts one request.
func (r *Recorder) Record(s Series, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts[s]
	c[o]++
	r.counts[s] = c
}

// Counts returns a copy of the counts.
func (r *Recorder) Counts() map[Series]Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}
