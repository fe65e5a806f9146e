package traffic

import (
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/learn"
	"github.com/bambooyard/bambooyard/route"
)

// flight is one request on its way to a target and back.
type flight struct {
	sender  *Sender
	key     learn.Key
	member  string
	target  *route.Target
	started time.Time
	remote  bool

	mu    sync.Mutex
	class route.Class
	ended bool
	stop  func() bool
}

// begin watches a request that the picker has counted on its target. A short
// one that outlasts the threshold counts as long from then on, and is learned
// before it ends.
func (s *Sender) begin(key learn.Key, member string, t *route.Target, e estimate, remote bool) *flight {
	f := &flight{sender: s, key: key, member: member, target: t, class: e.class, remote: remote, started: s.opts.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.class == route.Short && e.threshold > 0 {
		f.stop = s.opts.AfterFunc(e.threshold, f.outlast)
	}
	return f
}

func (f *flight) outlast() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.class = route.Long
	f.target.Usage.Reclassify()
	f.sender.opts.RunTimes.observe(f.key, f.sender.opts.Now().Sub(f.started))
}

// end frees the target's slot. A complete answer teaches the run time. It
// reports false when the flight has ended before.
func (f *flight) end(complete bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return false
	}
	f.ended = true
	if f.stop != nil {
		f.stop()
	}
	f.target.Usage.End(f.class)
	if complete {
		f.sender.opts.RunTimes.observe(f.key, f.sender.opts.Now().Sub(f.started))
		f.target.Usage.RecordSuccess()
		if f.class == route.Short {
			f.sender.latencies.observe(ServiceVM{f.key.Service, f.target.VM}, f.sender.opts.Now().Sub(f.started))
		}
	}
	if f.class == route.Long {
		f.sender.queue(f.key.Service).wake()
	}
	return true
}
