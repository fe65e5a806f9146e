package traffic

import (
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/learn"
	"github.com/bambooyard/bambooyard/route"
)

// inFlightRequest is a request that occupies a slot of its target until its
// response ends.
type inFlightRequest struct {
	sender    *Sender
	key       learn.Key
	member    string
	target    *route.Target
	startedAt time.Time
	remote    bool

	// mu guards the fields below.
	mu        sync.Mutex
	class     route.Class
	ended     bool
	stopTimer func() bool
}

// track starts to track a request that the picker has counted on its target. A
// short request that runs beyond the threshold is reclassified as long, and its
// run time so far is observed before it ends.
func (s *Sender) track(key learn.Key, member string, t *route.Target, e estimate, remote bool) *inFlightRequest {
	r := &inFlightRequest{sender: s, key: key, member: member, target: t, class: e.class, remote: remote, startedAt: s.opts.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.class == route.Short && e.threshold > 0 {
		r.stopTimer = s.opts.AfterFunc(e.threshold, r.exceedThreshold)
	}
	return r
}

// exceedThreshold reclassifies a request that is still running as long.
func (r *inFlightRequest) exceedThreshold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.class = route.Long
	r.target.Usage.Reclassify()
	r.sender.opts.RunTimes.observe(r.key, r.sender.opts.Now().Sub(r.startedAt))
}

// end frees the target's slot. If the response is complete, the run time and, for
// a short request, the latency are observed. The end of a long request notifies
// the first waiting one. end reports false if it was called before.
func (r *inFlightRequest) end(complete bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.ended = true
	if r.stopTimer != nil {
		r.stopTimer()
	}
	r.target.Usage.End(r.class)
	if complete {
		r.sender.opts.RunTimes.observe(r.key, r.sender.opts.Now().Sub(r.startedAt))
		r.target.Usage.RecordSuccess()
		if r.class == route.Short {
			r.sender.latencies.observe(ServiceVM{r.key.Service, r.target.VM}, r.sender.opts.Now().Sub(r.startedAt))
		}
	}
	if r.class == route.Long {
		r.sender.longQueue(r.key.Service).notify()
	}
	return true
}
