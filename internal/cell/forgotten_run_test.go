package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/job"
)

// Guards against TWICE after two takeovers in short succession: the first new owner adopts a
// task, and rewrites the job's progress without the worker that another task of the job was
// recorded on and that has not answered. The second new owner starts that task elsewhere.
func TestRecordedRunOnASilentWorkerOutlivesTwoTakeovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hours := func(string) time.Duration { return time.Hour }
		cl := newCluster(t, 330, 3, 2, hours, nil)
		defer cl.stopAll()
		first := cl.awaitOwner()
		step := job.Step{Tasks: 2, Service: true, Image: "desk", MaxUnavailable: -1, MaxPerWorker: 1, Resources: job.Resources{MilliCPU: 4000, MemoryMB: 1000}}
		cl.submit(first, job.Spec{ID: "service", Queue: "batch", Steps: []job.Step{step}})
		time.Sleep(2 * time.Second)
		is.Equal(cl.fleet.Running(), 2)
		cl.fleet.Add("w9", "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
		time.Sleep(time.Second)
		cl.fleet.SetUnlisted("w0", true)
		cl.fleet.SetUnreachable("w0", true)

		cl.kill(first)
		second := cl.awaitOwner()

		time.Sleep(700 * time.Millisecond) // it reads the progress, adopts and commits
		cl.shutDown(second, time.Second)
		cl.awaitOwner()
		for range 15 {
			time.Sleep(time.Second)

		}
		cl.check()
	})
}
