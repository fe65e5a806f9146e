package traffic

import (
	"strings"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/learn"
	"github.com/bambooyard/bambooyard/route"
)

// RunTimes is a learn.Table for many goroutines.
type RunTimes struct {
	mu    sync.Mutex
	table *learn.Estimator
}

// NewRunTimes returns a table without run times.
func NewRunTimes() *RunTimes { return &RunTimes{table: learn.NewEstimator()} }

// estimate is what is known of a request before it runs.
type estimate struct {
	class route.Class
	// threshold is the run time beyond which the request counts as long after
	// all; zero is not known.
	threshold time.Duration
	// stallTimeout is how long an answer may take to begin; zero is not known.
	stallTimeout time.Duration
}

func (r *RunTimes) estimate(k learn.Key) estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := estimate{threshold: r.table.LongThreshold(k.Service), stallTimeout: r.table.StallTimeout(k)}
	if r.table.IsLong(k) {
		e.class = route.Long
	}
	return e
}

func (r *RunTimes) observe(k learn.Key, ran time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Observe(k, ran)
}

// routeOf names the kind of a request: its method and the first part of its
// path.
func routeOf(method, path string) string {
	path, _, _ = strings.Cut(path, "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return method + " /" + first
}
