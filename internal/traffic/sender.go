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

// retryAfterFull is when a caller may come back after a refusal.
const retryAfterFull = time.Second

// Call is a quick request that has been admitted.
type Call struct {
	Service string
	Member  string
	Method  string
	// Path is the escaped path with its query.
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool
	// LastTarget is shared by all sends of one request, so that each goes to
	// another target than the one before; nil asks any target.
	LastTarget *LastTarget
	// Retry is asked before a connection that fell silent is left for a new
	// one; nil forbids it.
	Retry func() bool
}

// LastTarget remembers the target that one request was last sent to. It is safe for
// concurrent use.
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
	// AfterFunc runs a function later unless stopped.
	AfterFunc func(d time.Duration, fn func()) (stop func() bool)
}

// Sender sends requests to the targets that the pickers choose. It is safe for
// concurrent use.
type Sender struct {
	opts      SenderOptions
	latencies *Latencies
	mu        sync.Mutex
	queues    map[string]*longQueue
}

// NewSender returns a sender.
func NewSender(o SenderOptions) *Sender {
	return &Sender{opts: o, latencies: NewLatencies(), queues: map[string]*longQueue{}}
}

// Latencies returns how long short requests take on each VM.
func (s *Sender) Latencies() *Latencies { return s.latencies }

// NewSystemSender returns a sender of a daemon in the given region, with its
// own connections, that uses the system's clock.
func NewSystemSender(region string, p *Publisher, l *Links) *Sender {
	o := target.SystemClock()
	return NewSender(SenderOptions{
		Publisher: p, Targets: target.NewClient(o), RunTimes: NewRunTimes(), Links: l, Region: region,
		Now: o.Now, AfterFunc: o.AfterFunc,
	})
}

// Send sends a request to one target. The body of the answer must be closed,
// which frees the target's slot. The error is a *verdict.RequestError.
func (s *Sender) Send(ctx context.Context, c Call) (*http.Response, error) {
	key := learn.Key{Service: c.Service, Member: c.Member, Route: routeOf(c.Method, c.Path)}
	e := s.opts.RunTimes.estimate(key)
	t, err := s.pick(ctx, c, e)
	if err != nil {
		return nil, err
	}
	c.LastTarget.set(t.Address)
	remote := t.Region != s.opts.Region
	f := s.begin(key, c.Member, t, e, remote)
	request := target.Request{
		Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body,
		Repeatable: c.Repeatable, Connections: s.connections(t), StallTimeout: e.stallTimeout, Retry: c.Retry,
	}
	if remote {
		request.Pacer = s.opts.Links.pacer(t.Region)
	}
	a, err := s.opts.Targets.Do(ctx, t.Address, request)
	if err != nil {
		f.end(false)
		s.blame(ctx, t, err)
		return nil, err
	}
	if a.Leaving {
		t.Usage.SetLeaving()
	}
	if a.RetryAfter > 0 {
		t.Usage.Pause(s.opts.Now().Add(a.RetryAfter).UnixNano())
	}
	a.Body = &flightBody{ReadCloser: a.Body, flight: f, answer: a}
	return a.Response, nil
}

// connections is this daemon's part of a target's connections.
func (s *Sender) connections(t *route.Target) int {
	return route.ConnectionShare(t.Connections, max(1, s.opts.Publisher.Load().Daemons))
}

// pick finds a target. Long work waits for its turn, short work never does.
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
			RemoteAllowed: s.opts.Links.ready(), NowUnixNano: s.opts.Now().UnixNano(),
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
		s.queue(c.Service).try(ctx, try)
	}
	if t != nil {
		return t, nil
	}
	code := verdict.CodeOverloaded
	if outcome == route.NoTarget {
		code = verdict.CodeNoTarget
	}
	return nil, verdict.Refuse(code, http.StatusServiceUnavailable, retryAfterFull, "service %q has %s", c.Service, outcome)
}

// blame records what a failure tells of a target.
func (s *Sender) blame(ctx context.Context, t *route.Target, err error) {
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

// SnapshotPublished lets waiting requests try again on a new snapshot. Idle connections
// to targets that are not listed are closed.
func (s *Sender) SnapshotPublished(listed map[string]bool) {
	s.opts.Targets.Sweep(listed)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		q.wake()
	}
}

func (s *Sender) queue(service string) *longQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[service]
	if !ok {
		q = &longQueue{}
		s.queues[service] = q
	}
	return q
}

// flightBody ends the flight with the answer's body.
type flightBody struct {
	io.ReadCloser
	flight *flight
	answer *target.Response
	failed bool
}

// Read implements io.Reader.
func (b *flightBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.end(true)
	case err != nil && !b.failed:
		b.failed = true
		b.flight.target.Usage.RecordFailure()
	}
	return n, err
}

// Close implements io.Closer.
func (b *flightBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(false)
	return err
}

func (b *flightBody) end(complete bool) {
	if !b.flight.end(complete) || !b.flight.remote {
		return
	}
	sent, received := b.answer.Bytes()
	b.flight.sender.opts.Links.bill(b.flight.target.Region, b.flight.member, sent, received)
}
