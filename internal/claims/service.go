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

// ErrBusy reports that too many changes wait to be written.
var ErrBusy = errors.New("too many changes of idempotency keys wait to be written")

// Service runs a Grouper on a goroutine of its own. It is safe for concurrent use.
type Service struct {
	loop    *control.Loop
	grouper *Batcher
	objects platform.ObjectStore
}

// ServiceOptions are the settings of a Service.
type ServiceOptions struct {
	Table   platform.Table
	Objects platform.ObjectStore
	Log     log.Interface
	Metrics *Metrics
	// Daemons returns how many daemons share the table's write budget.
	Daemons func() int
	// ShouldSweep reports whether this daemon deletes expired claims.
	ShouldSweep func() bool
}

// NewService returns a running service; Close stops it.
func NewService(opts ServiceOptions) *Service {
	loop := control.NewLoop()
	s := &Service{
		loop:    loop,
		objects: opts.Objects,
		grouper: NewBatcher(Options{
			Executor: loop, Table: opts.Table, Objects: opts.Objects, Log: opts.Log, Metrics: opts.Metrics,
			Now: time.Now, After: wait, Daemons: opts.Daemons,
		}),
	}
	sweeper := &Sweeper{Table: opts.Table, Objects: opts.Objects}
	loop.Every(sweepInterval, func(now time.Time) {
		if opts.ShouldSweep() {
			s.grouper.startSweep(sweeper, now)
		}
	})
	go loop.Run()
	return s
}

// Claim writes a claim unless its key is taken. It returns when ctx ends; a
// claim written later than that is released.
func (s *Service) Claim(ctx context.Context, key idempotency.Key, claim idempotency.Claim, deadline time.Time) Result {
	results := make(chan Result, 1)
	posted := s.loop.Post(func() {
		s.grouper.StartClaim(key, claim, deadline, func(r Result) { results <- r })
	})
	if !posted {
		return Result{Err: verdict.Refuse(verdict.CodeOverloaded, http.StatusServiceUnavailable, retryAfterStore,
			"too many idempotency keys wait to be claimed")}
	}
	select {
	case r := <-results:
		return r
	case <-ctx.Done():
		go s.releaseLate(results)
		return Result{Err: deadlineError()}
	}
}

// releaseLate releases a claim that came too late for its caller. It ends with
// the claim's last write, which is bounded in attempts and time.
func (s *Service) releaseLate(results <-chan Result) {
	if r := <-results; r.Action == idempotency.ActionRun {
		s.Release(r.Ticket)
	}
}

// Release deletes, later, a claim whose request was not sent and never will be.
func (s *Service) Release(t Ticket) {
	if !s.loop.Post(func() { s.grouper.StartRelease(t) }) {
		s.grouper.report("claim_not_released", t, ErrBusy)
	}
}

// Complete writes the outcome of a claimed request and waits until it is kept
// or ctx ends. The write is tried on after that.
func (s *Service) Complete(ctx context.Context, t Ticket, answer idempotency.Outcome) error {
	kept := make(chan error, 1)
	posted := s.loop.Post(func() {
		s.grouper.StartComplete(t, answer, func(err error) { kept <- err })
	})
	if !posted {
		return ErrBusy
	}
	select {
	case err := <-kept:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Body returns the body of a kept answer.
func (s *Service) Body(ctx context.Context, answer idempotency.Outcome) ([]byte, error) {
	if answer.BodyObject == "" {
		return answer.Body, nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return s.objects.Get(ctx, answer.BodyObject)
}

// Close writes what waits, until ctx ends, and stops the service. No call may
// follow.
func (s *Service) Close(ctx context.Context) error {
	settled := make(chan struct{})
	err := s.loop.Do(ctx, func() {
		s.grouper.closing = func() { close(settled) }
		s.grouper.checkClosed()
	})
	if err == nil {
		select {
		case <-settled:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	s.loop.Stop()
	return err
}
