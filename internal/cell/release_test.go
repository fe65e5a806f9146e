package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/job"
)

// Guards against LOST: a daemon that shuts down hands the cell over, and its successor waits
// for the longest lease of a silent worker before it starts a service that runs nowhere. In
// inc1 of issue 32, a service was away for 11.2 s.
func TestServiceIsRestartedAfterAReleaseBesideASilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hours := func(string) time.Duration { return time.Hour }
		cl := newCluster(t, 320, 3, 3, hours, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		step := job.Step{Tasks: 3, Service: true, Image: "desk", MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 8000, MemoryMB: 1000}}
		spec := job.Spec{ID: "service", Queue: "batch", Steps: []job.Step{step}}
		cl.submit(first, spec)
		time.Sleep(2 * time.Second)
		is.Equal(cl.fleet.Running(), 3)

		cl.fleet.Drain("w1", drainForTest)
		time.Sleep(2 * time.Second)
		is.Equal(cl.fleet.Running(), 2) // there is no other place
		cl.fleet.SetUnreachable("w0", true)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(cl.daemons[first].cell.Release(ctx))
		cl.fleet.Add("w9", "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
		released := time.Now()
		for cl.fleet.Running() < 3 {
			if away := time.Since(released); away > recoveryBound {
				t.Fatalf("the service has not started again %v after the release", away)
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("the service started again %v after the release", time.Since(released))
		cl.check()
	})
}

// drainForTest is the time for which the worker of the test drains.
const drainForTest = 800 * time.Millisecond
