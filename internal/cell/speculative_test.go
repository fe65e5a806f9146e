package cell

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/job"
)

// speculativePrefix begins the IDs of jobs whose steps allow copies, from which fleets know
// which tasks may have two runs.
const speculativePrefix = "speculative-"

func speculativeTask(task string) bool { return strings.HasPrefix(task, speculativePrefix) }

// historySpec returns a job of two steps, in a third of the cases with steps that allow
// copies.
func (cl *cluster) historySpec(tasks int) job.Spec {
	if (cl.jobs+1)%3 == 0 {
		return cl.speculativeSpec(tasks)
	}
	return cl.spec(tasks)
}

// speculativeSpec returns a job of two steps that allow copies.
func (cl *cluster) speculativeSpec(tasks int) job.Spec {
	spec := cl.spec(tasks)
	spec.ID = speculativePrefix + spec.ID
	for s := range spec.Steps {
		spec.Steps[s].Speculative = true
	}
	return spec
}

// speculativeFleet returns the options of a fleet in which one worker is slow, a quarter of
// the attempts fail, and no task may be started after three failures.
func speculativeFleet() fake.FleetOptions {
	return fake.FleetOptions{
		Now: time.Now,
		TaskDuration: func(task string) time.Duration {
			return time.Duration(300+100*int(task[len(task)-1])%500) * time.Millisecond
		},
		Fails: func(task string, attempt int) bool {
			h := fnv.New32a()
			fmt.Fprintf(h, "%s %d", task, attempt)
			return h.Sum32()%4 == 0
		},
		SpeculationOptions: fake.SpeculationOptions{
			MaxAttempts: 3,
			Slowdown: func(worker string) int {
				if worker == "w0" {
					return 8
				}
				return 1
			},
		},
	}
}

// TestSpeculativeHistories runs histories of faults in which all steps allow copies and one
// worker is slow. In addition to the checks of TestHistories it checks that no task is
// started after its last allowed failure.
func TestSpeculativeHistories(t *testing.T) {
	copies := 0
	for seed := *firstHistory; seed < *firstHistory+uint64(*histories); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { copies += runSpeculativeHistory(t, seed) })
		})
	}
	if copies == 0 {
		t.Error("no copy was started in any history")
	}
	t.Logf("%d copies", copies)
}

// runSpeculativeHistory returns the number of copies that were started.
func runSpeculativeHistory(t *testing.T, seed uint64) int {
	cl := newClusterOf(t, seed, 3, 5, speculativeFleet(), nil)
	defer cl.stopAll()
	cl.awaitOwner()
	rng := rand.New(rand.NewPCG(seed, 9))
	var accepted []string
	for range 12 {
		for range 1 + rng.IntN(3) {
			spec := cl.speculativeSpec(1 + rng.IntN(5))
			if cl.trySubmit(fmt.Sprintf("d%d", rng.IntN(3)), spec) == nil {
				accepted = append(accepted, spec.ID)
			}
		}
		if rng.IntN(3) == 0 {
			cl.slowDaemons(rng)
		}
		cl.injectFault(rng)
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	}
	cl.clearFaults()
	cl.stopSlowing()
	for _, id := range accepted {
		cl.awaitFinal(id, 90*time.Second)
	}
	cl.check()
	return cl.fleet.Copies()
}

// runStraggler submits a job of which one task gets the slow worker, waits for the copy, and
// returns the cluster, the owner and the job.
func runStraggler(t *testing.T, seed uint64, logTo log.Handler) (*cluster, string, job.Spec) {
	t.Helper()
	is := is.New(t)
	o := speculativeFleet()
	o.Fails = nil
	cl := newClusterOf(t, seed, 0, 5, o, nil)
	cl.logTo = logTo
	for _, name := range []string{"d0", "d1", "d2"} {
		cl.start(name)
	}
	cl.fleet.SetUnlisted("w4", true) // the first runs take the other workers
	owner := cl.awaitOwner()
	time.Sleep(2 * time.Second)
	spec := cl.speculativeSpec(4)
	for s := range spec.Steps {
		spec.Steps[s].Resources.MilliCPU = 8000
	}
	cl.submit(owner, spec)
	time.Sleep(200 * time.Millisecond)
	cl.fleet.SetUnlisted("w4", false)
	for deadline := time.Now().Add(5 * time.Second); cl.fleet.Copies() == 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(cl.fleet.Copies(), 1)
	is.Equal(cl.daemons[owner].cell.instruments.copiesStarted.Count(), int64(1))
	return cl, owner, spec
}

// Guards against a copy that is started again, or a run that is lost, because the owner is
// killed between the start of the copy and the end of either run.
func TestOwnerIsReplacedBetweenCopyAndEnd(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, owner, spec := runStraggler(t, 600+seed, nil)
				defer cl.stopAll()
				time.Sleep(time.Duration(seed) * 60 * time.Millisecond)
				cl.kill(owner)
				cl.awaitState(spec.ID, job.Completed, 20*time.Second)
				cl.check()
			})
		})
	}
}

// Guards against a straggler on a slow worker that its job waits for, and against copies that
// operators cannot see.
func TestCopyEndsBeforeTheStragglerAndIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := memory.New()
		began := time.Now()
		cl, owner, spec := runStraggler(t, 610, h)
		defer cl.stopAll()
		m := cl.daemons[owner].cell.instruments
		for deadline := time.Now().Add(2 * time.Second); m.copiesWon.Count() == 0 && time.Now().Before(deadline); {
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(m.copiesWon.Count(), int64(1))
		cl.awaitState(spec.ID, job.Completed, 20*time.Second)
		synctest.Wait() // nothing is logged any more
		names := eventNames(h)
		is.True(slices.Contains(names, "task_copy") && slices.Contains(names, "task_copy_ended"))
		t.Logf("completed after %s", time.Since(began))
		cl.check()
	})
}
