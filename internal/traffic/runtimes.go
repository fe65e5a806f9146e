package traffic

import (
	"strings"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/learn"
	"github.com/bambooyard/bambooyard/route"
)

// RunTimes is a learn.Estimator that is safe for concurrent use.
type RunTimes struct {
	mu        sync.Mutex
	estimator *learn.Estimator
}

// NewRunTimes returns an estimator without run times.
func NewRunTimes() *RunTimes { return &RunTimes{estimator: learn.NewEstimator()} }

// estimate is the prediction for a request before it runs.
type estimate struct {
	class route.Class
	// threshold is the run time beyond which a short request is reclassified as
	// long; zero if it is not known.
	threshold time.Duration
	// stallTimeout bounds the wait for the response headers; zero if it is not
	// known.
	stallTimeout time.Duration
}

func (r *RunTimes) estimate(k learn.Key) estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := estimate{threshold: r.estimator.LongThreshold(k.Service), stallTimeout: r.estimator.StallTimeout(k)}
	if r.estimator.IsLong(k) {
		e.class = route.Long
	}
	return e
}

func (r *RunTimes) observe(k learn.Key, ran time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.estimator.Observe(k, ran)
}

// routeOf returns the learn.Key.Route of a request: its method and the first
// segment of its path.
func routeOf(method, path string) string {
	path, _, _ = strings.Cut(path, "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return method + " /" + first
}
