package cell

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooyard/bambooyard/internal/fake"
)

// TestPartitionHistories runs histories of takeovers in which daemons have two sizes and
// single daemons cannot reach single workers, daemons or the store. It also checks the
// queue depths that daemons report.
func TestPartitionHistories(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+uint64(*histories); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runPartitionHistory(t, seed) })
		})
	}
}

func runPartitionHistory(t *testing.T, seed uint64) {
	work := func(task string) time.Duration {
		return time.Duration(200+300*(len(task)+int(task[len(task)-1]))%5900) * time.Millisecond
	}
	size := func(name string) int64 {
		if name == "d0" {
			return 800
		}
		return 200
	}
	cl := newSizedCluster(t, seed, 4, 5, work, func(task string, attempt int) bool { return attempt%7 == 3 }, size)
	defer cl.stopAll()
	cl.awaitOwner()
	rng := rand.New(rand.NewPCG(seed, 5))
	accepted := map[string]time.Time{}
	for range 12 {
		for range 1 + rng.IntN(3) {
			spec := cl.historySpec(1 + rng.IntN(5))
			if cl.trySubmit(fmt.Sprintf("d%d", rng.IntN(4)), spec) == nil {
				accepted[spec.ID] = time.Now()
			}
		}
		cl.injectPartition(rng)
		for range rng.IntN(25) {
			time.Sleep(100 * time.Millisecond)
			cl.checkDepths(accepted)
		}
	}
	cl.clearPartitions()
	for _, id := range slices.Sorted(maps.Keys(accepted)) {
		cl.awaitFinal(id, 90*time.Second)
	}
	cl.check()
}

// injectPartition injects a random fault that leads to a takeover or disturbs one.
func (cl *cluster) injectPartition(rng *rand.Rand) {
	owner := cl.daemons[cl.owner()]
	other := cl.daemons[fmt.Sprintf("d%d", rng.IntN(4))]
	worker := fmt.Sprintf("w%d", rng.IntN(5))
	switch rng.IntN(9) {
	case 0:
		cl.kill(cl.owner())
	case 1:
		cl.setScanDelay(time.Duration(rng.IntN(4000)) * time.Millisecond)
	case 2:
		busy := int64(time.Duration(rng.IntN(4000)) * time.Millisecond)
		for _, name := range cl.names() {
			cl.daemons[name].acquireBusy.Store(busy)
		}
	case 3:
		if owner != nil {
			owner.storeUnreachable.Store(rng.IntN(3) > 0)
		}
	case 4:
		if other != nil {
			other.unreachableWorkers.Store(worker, true)
		}
	case 5:
		if owner != nil && other != nil {
			other.unreachablePeers.Store(owner.name, true)
		}
	case 6:
		busy := time.Duration(rng.IntN(3000)) * time.Millisecond
		if owner != nil {
			owner.loop.Post(func() { time.Sleep(busy) })
		}
	case 7:
		cl.fleet.Restart(worker)
	case 8:
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultRefused })
		time.Sleep(time.Duration(rng.IntN(6000)) * time.Millisecond)
		cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
	}
	for i := range 4 {
		if name := fmt.Sprintf("d%d", i); cl.daemons[name] == nil && rng.IntN(2) == 0 {
			cl.start(name)
		}
	}
}

// visibleAfter is how long after its acceptance a waiting job must be counted.
const visibleAfter = 5 * time.Second

// checkDepths fails the test if a daemon reports less than half of the jobs that were
// accepted more than visibleAfter ago and have not started.
func (cl *cluster) checkDepths(accepted map[string]time.Time) {
	cl.t.Helper()
	waiting := 0
	for id, at := range accepted {
		if time.Since(at) > visibleAfter && cl.fleet.StartsOfJob(id) == 0 {
			waiting++
		}
	}
	for _, name := range cl.names() {
		if n, err := cl.daemons[name].cell.Pending("batch"); err == nil && 2*n < waiting {
			cl.t.Errorf("daemon %s reports %d waiting jobs; %d have waited", name, n, waiting)
		}
	}
}

// clearPartitions clears all faults and starts the daemons that are not running.
func (cl *cluster) clearPartitions() {
	for i := range 4 {
		if name := fmt.Sprintf("d%d", i); cl.daemons[name] == nil {
			cl.start(name)
		}
	}
	cl.setScanDelay(0)
	for _, name := range cl.names() {
		d := cl.daemons[name]
		d.acquireBusy.Store(0)
		d.storeUnreachable.Store(false)
		d.unreachableWorkers.Clear()
		d.unreachablePeers.Clear()
	}
}
