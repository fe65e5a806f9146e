package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
)

func testJob(key string, tasks int, run time.Duration) Job {
	return Job{Member: "m", Key: key, Tasks: tasks, RunTimeMS: run.Milliseconds(), Payload: "run=" + run.String(),
		Resources: inventory.Resources{MilliProcessors: 1000, MemoryMB: 100}}
}

// owner returns the daemon that owns the first shard, or nil.
func (sim *simulation) owner() *daemon { return sim.ownerOf(0) }

func (sim *simulation) ownerOf(rack int) *daemon {
	for _, d := range sim.running() {
		if _, owned := d.manager.JobTasks(fmt.Sprintf("r%d", rack), "", false); owned {
			return d
		}
	}
	return nil
}

// runUntil advances the clock until the condition holds, for at most a minute, and
// returns the time that passed.
func (sim *simulation) runUntil(holds func() bool) time.Duration {
	for passed := time.Duration(0); passed < time.Minute; passed += 10 * time.Millisecond {
		if holds() {
			return passed
		}
		sim.clock.Run(10 * time.Millisecond)
	}
	return time.Minute
}

// TestKilledOwnerIsReplaced checks that the shard of a killed owner starts tasks
// again within the session TTL and 2 s.
func TestKilledOwnerIsReplaced(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(50) {
		is := is.New(t)
		sim := newSimulation(seed, 1, 2)
		for range 3 {
			sim.startDaemon()
		}
		sim.runUntil(func() bool { return sim.owner() != nil })
		sim.submit(testJob("k", 4, time.Second))
		sim.clock.Run(time.Duration(sim.rand.Int64N(int64(4 * time.Second))))
		sim.kill(sim.owner())
		sim.submit(testJob("next", 1, time.Second))
		began := len(sim.check.attempts)
		took := sim.runUntil(func() bool { return len(sim.check.attempts) > began })
		worst = max(worst, took)
		is.True(took <= testSessionTTL+2*time.Second) // starts again in time
		sim.clock.Run(30 * time.Second)
		is.Equal(len(sim.check.openTasks()), 0)
		is.Equal(sim.check.allViolations(), nil)
	}
	t.Logf("worst of 50: %v after the kill, with sessions of %v", worst, testSessionTTL)
}

// TestDrainHandsOver checks that a draining owner hands its shard over without
// lapsed leases or restarted tasks.
func TestDrainHandsOver(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, 2)
	sim.startDaemon()
	sim.startDaemon()
	sim.runUntil(func() bool { return sim.owner() != nil })
	sim.submit(testJob("k", 4, 20*time.Second))
	sim.clock.Run(3 * time.Second)
	d := sim.owner()
	d.leaving = true
	d.executor.Post(d.manager.Drain)
	took := sim.runUntil(func() bool { return sim.owner() != nil })
	t.Logf("another daemon owned the shard after %v", took)
	is.True(took <= time.Second)
	is.Equal(len(d.manager.Owned()), 0)
	sim.kill(d)
	sim.clock.Run(30 * time.Second)
	is.Equal(len(sim.check.openTasks()), 0)
	is.Equal(len(sim.check.attempts), 4) // one start for each task
}

// TestJoiningDaemonGetsShards checks that a daemon which joins receives shards, and
// that no lease lapses on the way.
func TestJoiningDaemonGetsShards(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8, 1)
	sim.startDaemon()
	sim.clock.Run(5 * time.Second)
	for i := range 16 {
		sim.submit(testJob(fmt.Sprint(i), 1, 40*time.Second))
	}
	sim.clock.Run(5 * time.Second)
	sim.startDaemon()
	sim.clock.Run(30 * time.Second)
	a, b := sim.daemons[0].manager.Owned(), sim.daemons[1].manager.Owned()
	is.True(len(b) > 0)
	is.Equal(len(a)+len(b), 8)
	sim.clock.Run(60 * time.Second)
	is.Equal(len(sim.check.openTasks()), 0)
	is.Equal(len(sim.check.attempts), 16)
	is.Equal(sim.check.allViolations(), nil)
}

// TestOutage checks that running tasks survive a store outage shorter than the
// renewal grace while nothing new starts, and that in an outage that outlasts every
// lease they stop and are restarted afterwards.
func TestOutage(t *testing.T) {
	for _, tt := range []struct {
		outage time.Duration
		starts int
	}{{5 * time.Second, 2}, {30 * time.Second, 3}} {
		is := is.New(t)
		sim := newSimulation(1, 1, 1)
		sim.startDaemon()
		sim.startDaemon()
		sim.runUntil(func() bool { return sim.owner() != nil })
		sim.submit(testJob("k", 1, 20*time.Second))
		sim.clock.Run(3 * time.Second)
		sim.submit(testJob("late", 1, time.Second))
		sim.platform.SetFaults(fake.Faults{Outage: true})
		sim.clock.Run(tt.outage)
		is.Equal(len(sim.check.attempts), 1) // nothing new starts
		sim.platform.SetFaults(fake.Faults{})
		sim.clock.Run(60 * time.Second)
		is.Equal(len(sim.check.openTasks()), 0)
		is.Equal(len(sim.check.attempts), tt.starts)
		is.Equal(sim.check.allViolations(), nil)
	}
}

// TestResultOutlivesForgottenJob checks that the result of an ended job can still be
// read after the job has left the shard's state.
func TestResultOutlivesForgottenJob(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, 1)
	sim.startDaemon()
	sim.submit(testJob("k", 2, time.Second))
	sim.clock.Run(20 * time.Second)
	tasks, owned := sim.daemons[0].manager.JobTasks("r0", "m:k", false)
	is.True(owned)
	is.Equal(len(tasks), 0)
	result, err := ReadResult(t.Context(), sim.platform, "m:k")
	is.NoErr(err)
	is.Equal(len(result), 2)
	is.Equal(result[0].State, "finished")
}

// TestUrgentWorkStarts checks that urgent work starts within 2.8 s of its submission
// although every VM is full of other work. The time includes evictions, confirmed
// stops and the write of the start.
func TestUrgentWorkStarts(t *testing.T) {
	const bound = 2800 * time.Millisecond
	var worst time.Duration
	for seed := range uint64(50) {
		is := is.New(t)
		sim := newSimulation(seed, 2, 2)
		sim.startDaemon()
		sim.startDaemon()
		sim.clock.Run(5 * time.Second)
		for i := range 8 {
			sim.submit(testJob(fmt.Sprint(i), 4, 10*time.Minute))
		}
		sim.clock.Run(5*time.Second + time.Duration(sim.rand.Int64N(int64(time.Second))))
		for _, v := range sim.vms {
			is.Equal(len(v.worker.Running()), 4) // the VM is full
		}
		job := testJob("urgent", 1, time.Second)
		job.Urgent = true
		sim.submit(job)
		ref := platform.LeaseRef{Task: job.ID() + "/0", Attempt: 1}
		took := sim.runUntil(func() bool { return sim.check.attempts[ref] })
		worst = max(worst, took)
		is.True(took <= bound)
		is.Equal(sim.check.allViolations(), nil)
	}
	t.Logf("worst of 50: %v after the submission, with calls of up to %v each way", worst, testDelay)
}
