package claims

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// ErrBusy reports that the queue of changes is full.
var ErrBusy = errors.New("write queue for idempotency keys is full")

// Service runs a Batcher on its own goroutine. It is safe for concurrent use.
type Service struct {
	loop    *control.Loop
	batcher *Batcher
	objects platform.ObjectStore
}

// ServiceOptions configures a Service.
type ServiceOptions struct {
	Table   platform.Table
	Objects platform.ObjectStore
	Log     log.Interface
	Metrics *Metrics
	// Daemons returns how many daemons share the table's write budget.
	Daemons func() int
	// ShouldCollect reports whether this daemon currently collects expired claims.
	ShouldCollect func() bool
}

// NewService returns a running service, to be stopped with Close.
func NewService(opts ServiceOptions) *Service {
	loop := control.NewLoop()
	s := &Service{
		loop:    loop,
		objects: opts.Objects,
		batcher: NewBatcher(Options{
			Executor: loop, Table: opts.Table, Objects: opts.Objects, Log: opts.Log, Metrics: opts.Metrics,
			Now: time.Now, After: afterFunc, Daemons: opts.Daemons,
		}),
	}
	collector := &Collector{Table: opts.Table, Objects: opts.Objects}
	loop.Every(collectInterval, func(now time.Time) {
		if opts.ShouldCollect() {
			s.batcher.startCollection(collector, now)
		}
	})
	go loop.Run()
	return s
}

// Claim writes a claim unless its key is already claimed. It returns when ctx
// ends; a claim that is written after that is released.
func (s *Service) Claim(ctx context.Context, key idempotency.Key, claim idempotency.Claim, deadline time.Time) Result {
	results := make(chan Result, 1)
	posted := s.loop.Post(func() {
		s.batcher.StartClaim(key, claim, deadline, func(r Result) { results <- r })
	})
	if !posted {
		return Result{Err: verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, retryAfterUnavailable,
			"too many idempotency keys wait to be claimed")}
	}
	select {
	case r := <-results:
		return r
	case <-ctx.Done():
		go s.releaseLateClaim(results)
		return Result{Err: deadlineError()}
	}
}

// releaseLateClaim releases a claim whose caller no longer waits for it. It
// returns after the claim's last write attempt; attempts and their time are
// bounded.
func (s *Service) releaseLateClaim(results <-chan Result) {
	if r := <-results; r.Action == idempotency.ActionRun {
		s.Release(r.Ticket)
	}
}

// Release deletes, asynchronously, the claim of a request that was not sent and
// never will be.
func (s *Service) Release(t Ticket) {
	if !s.loop.Post(func() { s.batcher.StartRelease(t) }) {
		s.batcher.logUnsettled("claim_not_released", t, ErrBusy)
	}
}

// Complete writes the outcome of a claimed request and waits until it is stored
// or ctx ends. Write attempts continue after ctx has ended.
func (s *Service) Complete(ctx context.Context, t Ticket, outcome idempotency.Outcome) error {
	done := make(chan error, 1)
	posted := s.loop.Post(func() {
		s.batcher.StartComplete(t, outcome, func(err error) { done <- err })
	})
	if !posted {
		return ErrBusy
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Body returns the response body of a stored outcome. The error is a
// *platform.NotFoundError if the object that held it no longer exists.
func (s *Service) Body(ctx context.Context, outcome idempotency.Outcome) ([]byte, error) {
	if outcome.BodyObject == "" {
		return outcome.Body, nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return s.objects.Get(ctx, outcome.BodyObject)
}

// Close flushes pending changes until ctx ends and stops the service. No method
// may be called afterwards.
func (s *Service) Close(ctx context.Context) error {
	drained := make(chan struct{})
	err := s.loop.Do(ctx, func() {
		s.batcher.onDrained = func() { close(drained) }
		s.batcher.checkDrained()
	})
	if err == nil {
		select {
		case <-drained:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	s.loop.Stop()
	return err
}
