// Package control runs the event loop that owns a daemon's control state.
//
// All code that reads or writes control state runs on the loop's goroutine, as a
// function posted to the loop. Blocking I/O runs on other goroutines, which post
// their results back.
package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// queueLength is the capacity of the loop's queue, in functions.
const queueLength = 4096

// ErrStopped reports that the loop has stopped.
var ErrStopped = errors.New("the control loop has stopped")

// Executor runs functions on the control goroutine. Loop implements it; tests
// may use an implementation in virtual time.
type Executor interface {
	// Post runs fn on the control goroutine asynchronously. It does not block, and
	// reports false when the queue is full or the executor has stopped.
	Post(fn func()) bool
	// Every runs fn on the control goroutine at each interval.
	Every(interval time.Duration, fn func(now time.Time))
	// Go runs work on another goroutine, and then the function that work returns
	// on the control goroutine.
	Go(work func(ctx context.Context) (then func()))
}

// Loop runs posted functions one at a time. It is safe for concurrent use.
type Loop struct {
	queue      chan func()
	done       chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	functions atomic.Int64
	busy      atomic.Int64 // nanoseconds
}

// Stats are counters of a Loop.
type Stats struct {
	// Queued is the number of functions that wait in the queue.
	Queued int64
	// Functions is the number of functions that have run.
	Functions int64
	// Busy is the total run time of these functions.
	Busy time.Duration
}

// Stats returns the loop's counters.
func (l *Loop) Stats() Stats {
	return Stats{
		Queued:    int64(len(l.queue)),
		Functions: l.functions.Load(),
		Busy:      time.Duration(l.busy.Load()),
	}
}

// NewLoop returns a loop; Run must be called to start it.
func NewLoop() *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	return &Loop{
		queue:  make(chan func(), queueLength),
		done:   make(chan struct{}),
		ctx:    ctx,
		cancel: cancel,
	}
}

// Run runs posted functions until Stop is called. It must be called exactly once.
func (l *Loop) Run() {
	defer close(l.done)
	for {
		select {
		case fn := <-l.queue:
			if l.ctx.Err() != nil {
				return
			}
			l.run(fn)
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Loop) run(fn func()) {
	began := time.Now()
	fn()
	l.functions.Add(1)
	l.busy.Add(int64(time.Since(began)))
}

// Stop stops the loop and waits for Run and for the goroutines of Every and Go.
// Queued functions are dropped.
func (l *Loop) Stop() {
	l.cancel()
	<-l.done
	l.goroutines.Wait()
}

// Post runs fn on the loop asynchronously. It does not block, and reports false
// when the queue is full or the loop has stopped.
func (l *Loop) Post(fn func()) bool {
	if l.ctx.Err() != nil {
		return false
	}
	select {
	case l.queue <- fn:
		return true
	default:
		return false
	}
}

// Do runs fn on the loop and waits for it. It returns ErrStopped when the loop
// has stopped, or the error of ctx. Calling it on the loop deadlocks.
func (l *Loop) Do(ctx context.Context, fn func()) error {
	finished := make(chan struct{})
	task := func() { defer close(finished); fn() }
	select {
	case l.queue <- task:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.ctx.Done():
		return ErrStopped
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.ctx.Done():
		return ErrStopped
	}
}

// Every runs fn on the loop at each interval until the loop stops. No call is
// queued while the previous one is queued or running.
func (l *Loop) Every(interval time.Duration, fn func(now time.Time)) {
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-l.ctx.Done():
				return
			case <-ticker.C:
				_ = l.Do(l.ctx, func() { fn(time.Now()) })
			}
		}
	}()
}

// Go implements Executor.
func (l *Loop) Go(work func(ctx context.Context) (then func())) {
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		then := work(l.ctx)
		_ = l.Do(l.ctx, then)
	}()
}

// Async runs work on another goroutine and then done on the control goroutine.
// done is not called if the executor stops first.
func Async[T any](x Executor, work func(ctx context.Context) (T, error), done func(T, error)) {
	x.Go(func(ctx context.Context) func() {
		result, err := work(ctx)
		return func() { done(result, err) }
	})
}
