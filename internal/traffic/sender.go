package traffic

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/internal/target"
	"github.com/bambooyard/bambooyard/learn"
	"github.com/bambooyard/bambooyard/route"
	"github.com/bambooyard/bambooyard/verdict"
)

const (
	// maxTargets bounds the targets that one request is offered to.
	maxTargets = 3
	// retryAfterFull is when a caller may come back after a refusal.
	retryAfterFull = time.Second
)

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
	// Avoid is the address of a target not to be asked, or empty.
	Avoid string
}

// Answer is a target's answer. Its body must be closed, which frees the
// target's slot.
type Answer struct {
	*http.Response
	// Address is the target that answered.
	Address string
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
	// Retry is asked before a request that was not run goes to another target.
	Retry func(service string) bool
}

// Sender sends requests to the targets that the pickers choose. It is safe for
// concurrent use.
type Sender struct {
	opts   SenderOptions
	mu     sync.Mutex
	queues map[string]*longQueue
}

// NewSender returns a sender.
func NewSender(o SenderOptions) *Sender { return &Sender{opts: o, queues: map[string]*longQueue{}} }

// Send sends a request to a target. A request that has not run goes on to
// other targets, as far as the retry budget allows.
func (s *Sender) Send(ctx context.Context, c Call) (*Answer, error) {
	for tried := 1; ; tried++ {
		answer, address, err := s.attempt(ctx, c)
		if err == nil || verdict.Of(err) != verdict.NotRun || address == "" {
			return answer, err
		}
		if tried == maxTargets || ctx.Err() != nil || !s.opts.Retry(c.Service) {
			return nil, err
		}
		c.Avoid = address
	}
}

// attempt sends a request to one target. The address is empty when none was found.
func (s *Sender) attempt(ctx context.Context, c Call) (*Answer, string, error) {
	key := learn.Key{Service: c.Service, Member: c.Member, Route: routeOf(c.Method, c.Path)}
	e := s.opts.RunTimes.estimate(key)
	t, err := s.pick(ctx, c, e)
	if err != nil {
		return nil, "", err
	}
	remote := t.Region != s.opts.Region
	f := s.begin(key, c.Member, t, e, remote)
	request := target.Request{
		Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body,
		Repeatable: c.Repeatable, Connections: s.connections(t), Patience: e.patience,
	}
	if remote {
		request.Pacer = s.opts.Links.pacer(t.Region)
	}
	a, err := s.opts.Targets.Do(ctx, t.Address, request)
	if err != nil {
		f.end(false)
		s.blame(ctx, t, err)
		return nil, t.Address, err
	}
	if a.Leaving {
		t.Usage.SetLeaving()
	}
	if a.Pause > 0 {
		t.Usage.Pause(s.opts.Now().Add(a.Pause).UnixNano())
	}
	a.Body = &flightBody{ReadCloser: a.Body, flight: f, answer: a}
	return &Answer{Response: a.Response, Address: t.Address}, t.Address, nil
}

// connections is this daemon's part of a target's connections.
func (s *Sender) connections(t *route.Target) int {
	return route.ConnectionShare(t.Connections, s.opts.Publisher.Load().Peers+1)
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
		t, outcome = service.Picker.Pick(route.Request{
			Seed: rand.Uint64(), Class: e.class, Avoid: c.Avoid, Probe: c.Repeatable,
			RemoteAllowed: s.opts.Links.ready(), NowUnixNano: s.opts.Now().UnixNano(),
		})
		return outcome != route.LongFull
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
	return nil, verdict.Refuse(code, http.StatusServiceUnavailable, retryAfterFull, "service %q: %s", c.Service, outcome)
}

// blame records what a failure tells of a target.
func (s *Sender) blame(ctx context.Context, t *route.Target, err error) {
	var refused *target.RefusedError
	var e *verdict.RequestError
	switch {
	case errors.As(err, &refused):
		t.Usage.Pause(s.opts.Now().Add(refused.Pause).UnixNano())
		if refused.Leaving {
			t.Usage.SetLeaving()
		}
	case errors.As(err, &e) && (e.Code == verdict.CodeTargetFailed || errors.Is(ctx.Err(), context.DeadlineExceeded)):
		t.Usage.Failed()
	}
}

// Refreshed lets waiting requests try again on a new snapshot.
func (s *Sender) Refreshed() {
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
	answer *target.Answer
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
		b.flight.target.Usage.Failed()
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
