package control_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/control"
)

func TestResultsArriveOnTheLoopAndTicksAreNotQueuedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := control.NewLoop()
		go l.Run()
		ticks, results := 0, 0 // written on the loop only
		l.Every(time.Second, func(time.Time) {
			ticks++
			time.Sleep(2500 * time.Millisecond) // slower than the interval
		})
		control.Async(l, func(context.Context) (int, error) { return 7, nil }, func(n int, err error) {
			is.NoErr(err)
			results += n
		})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		l.Stop()
		is.Equal(results, 7)
		is.Equal(ticks, 4) // no backlog of ticks was queued
	})
}

func TestFullLoopRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	l := control.NewLoop() // not running
	posted := 0
	for l.Post(func() {}) {
		posted++
	}
	is.True(posted > 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(l.Do(ctx, func() {}), context.Canceled))
}

func TestStoppedLoopRunsNothing(t *testing.T) {
	is := is.New(t)
	l := control.NewLoop()
	go l.Run()
	l.Stop()
	is.True(!l.Post(func() { t.Error("ran after the stop") }))
	is.Equal(l.Do(context.Background(), func() {}), control.ErrStopped)
}

// Functions that are queued when the loop is stopped do not run, whichever of
// the queue and the stop Run selects first.
func TestStopDropsQueuedFunctions(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			l := control.NewLoop()
			for range 10 {
				l.Post(func() { t.Error("ran after the stop") })
			}
			go l.Stop()
			synctest.Wait()
			l.Run()
		})
	}
}
