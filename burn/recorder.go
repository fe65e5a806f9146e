package burn

import (
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/rules"
)

// Recorder counts requests in one ledger. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	ledger     *Ledger
	objectives []rules.Objective
}

// NewRecorder returns an empty recorder without objectives.
func NewRecorder() *Recorder { return &Recorder{ledger: NewLedger()} }

// SetObjectives replaces the objectives whose latency separates late responses
// from good ones. The recorder retains the slice; the caller must not change it.
func (r *Recorder) SetObjectives(objectives []rules.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = objectives
}

// Observe counts one request. A good response whose latency exceeds that of its
// objective is counted as late.
func (r *Recorder) Observe(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Outcome == OutcomeGood {
		objective := objectiveFor(r.objectives, o.Series)
		if objective != nil && o.Latency > time.Duration(objective.LatencyMS)*time.Millisecond {
			o.Outcome = OutcomeLate
		}
	}
	r.ledger.Observe(o)
}

// Snapshot returns a copy of the counts.
func (r *Recorder) Snapshot() *Ledger {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := NewLedger()
	out.Merge(r.ledger)
	return out
}

// Compact merges old buckets into longer ones, as Ledger.Compact does.
func (r *Recorder) Compact(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Compact(now)
}

// DropBefore deletes the buckets of the hours before start. The caller must have
// stored them if they are still needed.
func (r *Recorder) DropBefore(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.DropBefore(start)
}
