package traffic

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooyard/bambooyard/internal/target"
	"github.com/bambooyard/bambooyard/learn"
	"github.com/bambooyard/bambooyard/route"
	"github.com/bambooyard/bambooyard/verdict"
)

// retryAfterOverload is the delay after which a refused caller may retry.
const retryAfterOverload = time.Second

// Call is an admitted latency-critical request.
type Call struct {
	Service string
	Member  string
	Method  string
	// Path is the escaped path with its query.
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool
	// LastTarget is shared by all attempts of a request, so that each attempt
	// avoids the target of the one before; nil allows any target.
	LastTarget *LastTarget
	// Retry reports whether the retry budget allows a request on a stalled
	// connection to be resent on a new one; nil forbids it.
	Retry func() bool
}

// LastTarget holds the address of the target that a request was last sent to.
// It is safe for concurrent use.
type LastTarget struct{ address atomic.Pointer[string] }

func (t *LastTarget) last() string {
	if t == nil {
		return ""
	}
	if a := t.address.Load(); a != nil {
		return *a
	}
	return ""
}

func (t *LastTarget) set(address string) {
	if t != nil {
		t.address.Store(&address)
	}
}

// SenderOptions are the settings of a Sender.
type SenderOptions struct {
	Publisher *Publisher
	Targets   *target.Client
	RunTimes  *RunTimes
	Links     *Links
	Region    string
	Now       func() time.Time
	// AfterFunc runs a function later unless stopped, as time.AfterFunc does.
	AfterFunc func(d time.Duration, fn func()) (stop func() bool)
}

// Sender sends requests to the targets that the pickers choose. It is safe for
// concurrent use.
type Sender struct {
	opts      SenderOptions
	latencies *Latencies
	mu        sync.Mutex
	queues    map[string]*longQueue // by service, guarded by mu
}

// NewSender returns a sender.
func NewSender(o SenderOptions) *Sender {
	return &Sender{opts: o, latencies: NewLatencies(), queues: map[string]*longQueue{}}
}

// Latencies returns the latencies of short requests by service and VM.
func (s *Sender) Latencies() *Latencies { return s.latencies }

// NewSystemSender returns a sender for a daemon in the given region that uses
// the system's clock and its own connections.
func NewSystemSender(region string, p *Publisher, l *Links) *Sender {
	o := target.SystemClock()
	return NewSender(SenderOptions{
		Publisher: p, Targets: target.NewClient(o), RunTimes: NewRunTimes(), Links: l, Region: region,
		Now: o.Now, AfterFunc: o.AfterFunc,
	})
}

// Send sends a request to a target that the service's picker chooses. The body
// of the response must be closed, which frees the target's slot. The error is a
// *verdict.RequestError.
func (s *Sender) Send(ctx context.Context, c Call) (*http.Response, error) {
	key := learn.Key{Service: c.Service, Member: c.Member, Route: routeOf(c.Method, c.Path)}
	e := s.opts.RunTimes.estimate(key)
	t, err := s.pick(ctx, c, e)
	if err != nil {
		return nil, err
	}
	c.LastTarget.set(t.Address)
	remote := t.Region != s.opts.Region
	inFlight := s.track(key, c.Member, t, e, remote)
	request := target.Request{
		Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body,
		Repeatable: c.Repeatable, Connections: s.connectionLimit(t), StallTimeout: e.stallTimeout, Retry: c.Retry,
	}
	if remote {
		request.Pacer = s.opts.Links.pacer(t.Region)
	}
	resp, err := s.opts.Targets.Do(ctx, t.Address, request)
	if err != nil {
		inFlight.end(false)
		s.recordFailure(ctx, t, err)
		return nil, err
	}
	if resp.Leaving {
		t.Usage.SetLeaving()
	}
	if resp.RetryAfter > 0 {
		t.Usage.Pause(s.opts.Now().Add(resp.RetryAfter).UnixNano())
	}
	resp.Body = &trackedBody{ReadCloser: resp.Body, request: inFlight, response: resp}
	return resp.Response, nil
}

// connectionLimit returns this daemon's share of a target's connections.
func (s *Sender) connectionLimit(t *route.Target) int {
	return route.ConnectionShare(t.Connections, max(1, s.opts.Publisher.Load().Daemons))
}

// pick picks a target and counts the request on it. A long request may wait in
// the service's queue, a short one fails at once if no target can take it.
func (s *Sender) pick(ctx context.Context, c Call, e estimate) (*route.Target, error) {
	var t *route.Target
	outcome := route.NoTarget
	try := func() bool {
		service := s.opts.Publisher.Load().Services[c.Service]
		if service == nil {
			t, outcome = nil, route.NoTarget
			return true
		}
		r := route.Request{
			Seed: rand.Uint64(), Class: e.class, Avoid: c.LastTarget.last(), Probe: c.Repeatable,
			RemoteAllowed: s.opts.Links.hasBudget(), NowUnixNano: s.opts.Now().UnixNano(),
		}
		t, outcome = service.Picker.Pick(r)
		if t == nil && r.Avoid != "" {
			r.Avoid = ""
			t, outcome = service.Picker.Pick(r)
		}
		return outcome != route.LongSlotsFull
	}
	if e.class == route.Short {
		try()
	} else {
		s.longQueue(c.Service).await(ctx, try)
	}
	if t != nil {
		return t, nil
	}
	code := verdict.CodeOverloaded
	if outcome == route.NoTarget {
		code = verdict.CodeNoTarget
	}
	return nil, verdict.Refuse(code, http.StatusServiceUnavailable, retryAfterOverload, "service %q has %s", c.Service, outcome)
}

// recordFailure updates the target's usage: a refusal pauses the target, a
// failure or an expired deadline counts as a failed request.
func (s *Sender) recordFailure(ctx context.Context, t *route.Target, err error) {
	var refused *target.RefusedError
	var e *verdict.RequestError
	switch {
	case errors.As(err, &refused):
		t.Usage.Pause(s.opts.Now().Add(refused.RetryAfter).UnixNano())
		if refused.Leaving {
			t.Usage.SetLeaving()
		}
	case errors.As(err, &e) && (e.Code == verdict.CodeTargetFailed || errors.Is(ctx.Err(), context.DeadlineExceeded)):
		t.Usage.RecordFailure()
	}
}

// SnapshotPublished makes waiting requests pick again from the new snapshot and
// closes idle connections to targets whose address is not listed.
func (s *Sender) SnapshotPublished(listed map[string]bool) {
	s.opts.Targets.PruneIdle(listed)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		q.notify()
	}
}

// longQueue returns the queue of a service, creating it if necessary.
func (s *Sender) longQueue(service string) *longQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[service]
	if !ok {
		q = &longQueue{}
		s.queues[service] = q
	}
	return q
}

// trackedBody is a response body that ends the in-flight request and bills its
// bytes once the body is read to its end or closed.
type trackedBody struct {
	io.ReadCloser
	request  *inFlightRequest
	response *target.Response
	failed   bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.end(true)
	case err != nil && !b.failed:
		b.failed = true
		b.request.target.Usage.RecordFailure()
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(false)
	return err
}

func (b *trackedBody) end(complete bool) {
	if !b.request.end(complete) || !b.request.remote {
		return
	}
	sent, received := b.response.Bytes()
	b.request.sender.opts.Links.recordBilled(b.request.target.Region, b.request.member, sent, received)
}
