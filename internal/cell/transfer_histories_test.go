package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/job"
)

// transferHistoryShare is how many histories of other tests take as long as one of these.
const transferHistoryShare = 5

// TestTransferHistories runs histories of faults in a divided cluster that is nearly full of
// services and loses workers, so that tasks are transferred between cells. It checks that no task
// runs twice, that all tasks run at the end, that none does after the jobs are cancelled, and
// that no rows are left.
func TestTransferHistories(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+uint64(max(1, *histories/transferHistoryShare)); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runTransferHistory(t, seed) })
		})
	}
}

// lastingService returns a job of services of three cores each.
func (cl *cluster) lastingService(tasks int) job.Spec {
	cl.jobs++
	step := job.Step{Tasks: tasks, Service: true, Image: "desk", MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 3000, MemoryMB: 1000}}
	return job.Spec{ID: fmt.Sprintf("service%04d", cl.jobs), Queue: "batch", Steps: []job.Step{step}}
}

func runTransferHistory(t *testing.T, seed uint64) {
	demand := func(string) job.Resources { return job.Resources{MilliCPU: 3000, MemoryMB: 1000} }
	cl := newDividedClusterOf(t, seed, 6, fake.FleetOptions{
		Now: time.Now, TaskDuration: func(string) time.Duration { return time.Hour }, Demand: demand,
	})
	defer cl.stopAll()
	cl.awaitCells()
	time.Sleep(2 * time.Second)
	rng := rand.New(rand.NewPCG(seed, 9))
	tasks := map[string]int{}
	const perWorker = 2 // three cores of eight
	for room := dividedRacks * workersPerRack * perWorker * 85 / 100; room > 0; {
		spec := cl.lastingService(1 + rng.IntN(5))
		cl.submit(fmt.Sprintf("d%d", rng.IntN(6)), spec)
		tasks[spec.ID] = spec.Steps[0].Tasks
		room -= spec.Steps[0].Tasks
	}
	time.Sleep(5 * time.Second)
	lost := map[string]bool{}
	cancelled := map[string]bool{} // whether that was acknowledged
	for range 10 {
		if id := fmt.Sprintf("service%04d", 1+rng.IntN(cl.jobs)); !cancelled[id] {
			if d := cl.daemons[fmt.Sprintf("d%d", rng.IntN(6))]; d != nil {
				cancelled[id] = cl.tryCancel(d, id)
			}
		}
		for id := range lost {
			if rng.IntN(3) == 0 {
				cl.fleet.Restart(id)
				delete(lost, id)
			}
		}
		if rack := rng.IntN(dividedRacks); len(lost) <= workersPerRack {
			for i := range workersPerRack {
				id := fmt.Sprintf("w%d-%d", rack, i)
				cl.fleet.Kill(id)
				lost[id] = true
			}
		}
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
		cl.injectDividedFault(rng)
		if rng.IntN(2) == 0 {
			cl.restartMissing()
		}
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
	for id := range lost {
		cl.fleet.Restart(id)
	}
	cl.clearDividedFaults()
	time.Sleep(40 * time.Second)
	for id, acknowledged := range cancelled {
		if !acknowledged {
			continue
		}
		if running := cl.fleet.RunningTasksOf(id); running > 0 {
			t.Errorf("%d tasks of job %s run, which was cancelled long before", running, id)
		}
		delete(tasks, id)
	}
	for id, n := range tasks {
		running := cl.fleet.RunningTasksOf(id)
		if running == n {
			continue
		}
		// Jobs under whose tasks workers were lost repeatedly have failed. A cancellation
		// that was not acknowledged may have been stored.
		state := cl.state(id)
		_, tried := cancelled[id]
		mayHaveEnded := state == job.Failed || state == job.Cancelled && tried
		if running != 0 || !mayHaveEnded {
			t.Errorf("%d of the %d tasks of job %s run, which is %q", running, n, id, state)
		}
	}
	hosted := len(cl.hostedRows())
	for id := range tasks {
		acknowledged := false
		for range 20 {
			if acknowledged = cl.tryCancel(cl.daemons[fmt.Sprintf("d%d", rng.IntN(6))], id); acknowledged {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !acknowledged {
			t.Errorf("job %s cannot be cancelled", id)
		}
	}
	time.Sleep(endedHostedRetention + 15*time.Second)
	if n := cl.fleet.Running(); n != 0 {
		t.Errorf("%d tasks run after all jobs were cancelled", n)
	}
	if rows := cl.hostedRows(); len(rows) > 0 {
		t.Errorf("rows of hosted tasks are left: %v", rows)
	}
	for n := range 4 {
		for _, table := range []string{tableMoves, tableProgress} {
			for _, row := range cl.store.Rows(table, fmt.Sprintf("c%d", n)) {
				t.Errorf("row %s of table %s is left in cell %d", row.Key, table, n)
			}
		}
	}
	cl.check()
	t.Logf("%d rows of hosted tasks before the end", hosted)
}

// hostedRows returns the keys of the rows of hosted tasks.
func (cl *cluster) hostedRows() []string {
	var keys []string
	lead := cl.daemons[cl.names()[0]].group.lead
	for n := range jobPartitions {
		for _, row := range cl.store.Rows(tableHosted, lead.partitionName(n)) {
			keys = append(keys, row.Key)
		}
	}
	return keys
}
