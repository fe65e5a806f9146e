// Package control runs the one goroutine that owns a daemon's control state.
//
// Everything that reads or writes control state runs on that goroutine, as a
// function posted to the loop. Input and output run on other goroutines and
// post their results back.
package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// queueLength is how many posted functions may wait for the loop.
const queueLength = 4096

// ErrStopped reports that the loop has ended.
var ErrStopped = errors.New("the control loop has stopped")

// Executor runs control work. Loop is the real one; tests use one in virtual
// time.
type Executor interface {
	// Post runs fn on the control goroutine later. It reports false, without
	// waiting, when too much waits already or the executor has stopped.
	Post(fn func()) bool
	// Every runs fn on the control goroutine at each interval.
	Every(interval time.Duration, fn func(now time.Time))
	// Go runs work elsewhere and then the function that it returns on the
	// control goroutine.
	Go(work func(ctx context.Context) (then func()))
}

// Loop runs posted functions one at a time. It is safe for concurrent use.
type Loop struct {
	queue   chan func()
	done    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	functions atomic.Int64
	busy      atomic.Int64 // nanoseconds
}

// Stats says how much the loop has done.
type Stats struct {
	// Queued is the number of functions in the queue.
	Queued int64
	// Functions is the number of functions that have run.
	Functions int64
	// Busy is the time that they took.
	Busy time.Duration
}

// Stats returns how much the loop has done so far.
func (l *Loop) Stats() Stats {
	return Stats{
		Queued:    int64(len(l.queue)),
		Functions: l.functions.Load(),
		Busy:      time.Duration(l.busy.Load()),
	}
}

// NewLoop returns a loop that is not yet running.
func NewLoop() *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	return &Loop{
		queue:  make(chan func(), queueLength),
		done:   make(chan struct{}),
		ctx:    ctx,
		cancel: cancel,
	}
}

// Run runs posted functions until Stop is called. It must be called once.
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

// Stop ends the loop and waits for it and its workers.
func (l *Loop) Stop() {
	l.cancel()
	<-l.done
	l.workers.Wait()
}

// Post runs fn on the loop later. It reports false, without waiting, when the
// queue is full or the loop has stopped.
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

// Do runs fn on the loop and waits for it. It must not be called on the loop.
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

// Every runs fn on the loop at each interval until the loop stops. A tick is
// skipped while the one before waits in the queue.
func (l *Loop) Every(interval time.Duration, fn func(now time.Time)) {
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
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
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
		then := work(l.ctx)
		_ = l.Do(l.ctx, then)
	}()
}

// Async runs work off the control goroutine and then done on it. The result
// is lost only when the executor stops.
func Async[T any](x Executor, work func(ctx context.Context) (T, error), done func(T, error)) {
	x.Go(func(ctx context.Context) func() {
		result, err := work(ctx)
		return func() { done(result, err) }
	})
}
