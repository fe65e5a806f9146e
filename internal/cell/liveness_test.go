package cell

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/job"
)

// shortTask is the duration of the tasks of jobs whose IDs begin with shortPrefix.
const (
	shortTask   = 2 * time.Second
	shortPrefix = "short-"
)

// newVMListCluster returns a cluster of one daemon and two workers that restart under their IDs
// some time after a crash, with a list of VMs that answers late.
func newVMListCluster(t *testing.T, restartAfter, delay time.Duration) *cluster {
	t.Helper()
	work := func(task string) time.Duration {
		if strings.HasPrefix(task, shortPrefix) {
			return shortTask
		}
		return 5 * time.Second
	}
	cl := newClusterOf(t, 1, 0, 2, fake.FleetOptions{
		Now: time.Now, TaskDuration: work, CrashOptions: fake.CrashOptions{RestartAfter: restartAfter, StayListed: true},
	}, nil)
	cl.machines = cl.fleet
	cl.start("d0")
	cl.awaitOwner()
	cl.fleet.DelayAlive(delay)
	return cl
}

// fillWorker submits a job that needs all of one worker, and returns its ID.
func (cl *cluster) fillWorker(prefix string) string {
	cl.t.Helper()
	spec := cl.spec(8)
	spec.ID, spec.Steps = prefix+spec.ID, spec.Steps[:1]
	cl.submit("d0", spec)
	return spec.ID
}

// TestLateListOfVMsEndsNoRunsOfANewBoot guards against a task that runs twice: the list of
// VMs was read while a worker was down, and its answer gave up the runs of the next boot.
func TestLateListOfVMsEndsNoRunsOfANewBoot(t *testing.T) {
	// The tasks of the worker that crashes start again there, because the other worker has no
	// room. That has some again when the answer arrives, roomAfter after the crash.
	tests := map[string]struct{ away, delay, roomAfter time.Duration }{
		"answers after 0.2 s": {660 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond},
		"answers after 0.6 s": {800 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond},
	}
	// The phases of the reads of the directory and of the listings decide whether a play fails.
	for name, test := range tests {
		for idle := time.Duration(0); idle < directoryPoll; idle += 100 * time.Millisecond {
			for busy := time.Duration(0); busy < listWait; busy += 100 * time.Millisecond {
				t.Run(fmt.Sprintf("%s, jobs after %s, crash %s later", name, idle, 2*time.Second+busy), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						cl := newVMListCluster(t, test.away, test.delay)
						defer cl.stopAll()
						time.Sleep(idle)
						long := cl.fillWorker("")
						time.Sleep(2*time.Second + busy - (shortTask - test.roomAfter))
						short := cl.fillWorker(shortPrefix)
						time.Sleep(shortTask - test.roomAfter)
						if cl.fleet.RunningOn("w0") != 8 || cl.fleet.RunningOn("w1") != 8 {
							t.Fatal("the tasks do not fill the workers")
						}
						cl.fleet.Crash("w0")
						cl.awaitState(long, job.Completed, 30*time.Second)
						cl.awaitState(short, job.Completed, 30*time.Second)
						cl.check()
					})
				})
			}
		}
	}
}

// TestWorkerThatStaysDownIsGivenUpAfterTwoReads guards against a slower loss of the tasks of a
// worker that does not come back: two reads of the list of VMs, half a second apart, show it.
func TestWorkerThatStaysDownIsGivenUpAfterTwoReads(t *testing.T) {
	const delay = 200 * time.Millisecond
	for busy := time.Duration(0); busy < listWait; busy += 100 * time.Millisecond {
		t.Run(fmt.Sprintf("crash after %s", 2*time.Second+busy), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newVMListCluster(t, time.Hour, delay)
				defer cl.stopAll()
				cl.fillWorker("")
				time.Sleep(2*time.Second + busy)
				var silentSince time.Time
				d := cl.daemons["d0"]
				if err := d.loop.Do(context.Background(), func() { silentSince = d.cell.term.heartbeats["w0"].sentAt }); err != nil {
					t.Fatal(err)
				}
				crashed := time.Now()
				cl.fleet.Crash("w0")
				firstRead := later(crashed, silentSince.Add(livenessCheckAfter))
				bound := firstRead.Add(livenessPoll + delay + tickInterval).Sub(crashed)
				for cl.fleet.RunningOn("w1") < 8 && time.Since(crashed) <= bound {
					time.Sleep(time.Millisecond)
				}
				if took := time.Since(crashed); took > bound {
					t.Errorf("the tasks do not run elsewhere after %s, want at most %s", took, bound)
				}
				cl.check()
			})
		})
	}
}

// TestReadsOfVMsBeforeAnAnswerDoNotCount guards against runs that are given up after one read of
// the list of VMs, which may lag: the other one was sent before the worker's last answer.
func TestReadsOfVMsBeforeAnAnswerDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newVMListCluster(t, time.Hour, 0)
		defer cl.stopAll()
		cl.fillWorker("")
		time.Sleep(time.Second)
		d := cl.daemons["d0"]
		var before absence
		read := func() (runs int) {
			if err := d.loop.Do(context.Background(), func() {
				term := d.cell.term
				term.recordAbsence(term.engine.Observe("w0", time.Now()), before)
				before = term.liveness.absences["w0"]
				runs = term.engine.Worker("w0").RunCount()
			}); err != nil {
				t.Fatal(err)
			}
			return runs
		}
		if runs := read(); runs != 8 {
			t.Fatalf("%d runs are left after one read", runs)
		}
		time.Sleep(listWait + tickInterval) // the worker answers
		if runs := read(); runs != 8 {
			t.Errorf("%d runs are left after one read since the worker's answer", runs)
		}
		if runs := read(); runs != 0 {
			t.Errorf("%d runs are left after two reads since the worker's answer", runs)
		}
	})
}

// TestTasksOfAWorkerThatRestartsWithAnEarlierBootStartAgain guards against accepted jobs that
// never end: the listings of a boot that is not newer than the known one were ignored, and yet
// counted as answers that renew the lease of the runs of the former boot.
func TestTasksOfAWorkerThatRestartsWithAnEarlierBootStartAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newVMListCluster(t, time.Second, 0)
		defer cl.stopAll()
		cl.fleet.RestartWithBoot("w0", 5)
		time.Sleep(2 * time.Second)
		long := cl.fillWorker("")
		time.Sleep(time.Second)
		if cl.fleet.RunningOn("w0") != 8 {
			t.Fatal("the tasks do not fill the worker")
		}
		cl.fleet.RestartWithBoot("w0", 3)
		cl.awaitState(long, job.Completed, 20*time.Second)
		cl.check()
	})
}
