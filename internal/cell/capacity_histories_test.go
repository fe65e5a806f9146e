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

// reportInterval is the interval at which workers write their entries.
const reportInterval = 1100 * time.Millisecond

// capacityHistoryShare is how many histories of other tests take as long as one of these,
// whose jobs wait for capacity.
const capacityHistoryShare = 5

// TestCapacityHistories runs histories of faults in a divided cluster whose workers shrink
// and grow. It also checks that no start brings a worker over the capacity that it has had
// for longer than the platform allows.
func TestCapacityHistories(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+uint64(max(1, *histories/capacityHistoryShare)); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCapacityHistory(t, seed) })
		})
	}
}

func runCapacityHistory(t *testing.T, seed uint64) {
	work := func(task string) time.Duration {
		return time.Duration(100+200*(len(task)+int(task[len(task)-1]))%2900) * time.Millisecond
	}
	cl := newLimitedCluster(t, seed, 6, work, func(_ string, attempt int) bool { return attempt%7 == 3 })
	defer cl.stopAll()
	cl.awaitCells()
	rng := rand.New(rand.NewPCG(seed, 8))
	var accepted []string
	for range 12 {
		for range 4 + rng.IntN(8) {
			spec := cl.historySpec(4 + rng.IntN(8))
			if cl.trySubmit(fmt.Sprintf("d%d", rng.IntN(6)), spec) == nil {
				accepted = append(accepted, spec.ID)
			}
		}
		cl.changeCapacities(rng)
		cl.slowDirectory(rng)
		switch rng.IntN(4) {
		case 0:
			cl.failStore(rng)
		case 1:
			cl.suspendOwner(rng)
		case 2:
			cl.slowDaemons(rng)
		default:
			cl.injectDividedFault(rng)
		}
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
	cl.clearDividedFaults()
	cl.stopSlowing()
	for _, id := range accepted {
		cl.awaitFinal(id, 180*time.Second)
	}
	cl.check()
}

func (cl *cluster) stopSlowing() {
	for _, name := range cl.names() {
		cl.daemons[name].clearDelays()
		cl.daemons[name].workersUnreachable.Store(false)
	}
}

// changeCapacities shrinks or grows a third of the workers.
func (cl *cluster) changeCapacities(rng *rand.Rand) {
	for r := range dividedRacks {
		for i := range workersPerRack {
			if rng.IntN(3) > 0 {
				continue
			}
			capacity := job.Resources{MilliCPU: 1000 * int64(1+rng.IntN(4)), MemoryMB: 64000}
			cl.fleet.SetCapacity(fmt.Sprintf("w%d-%d", r, i), capacity, time.Duration(rng.Int64N(int64(reportInterval))))
		}
	}
}

// failStore makes the store refuse all calls for a while.
func (cl *cluster) failStore(rng *rand.Rand) {
	cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultRefused })
	time.Sleep(time.Duration(rng.IntN(8000)) * time.Millisecond)
	cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
}

// suspendOwner suspends the VM of a cell's owner for a while.
func (cl *cluster) suspendOwner(rng *rand.Rand) {
	if d := cl.ownerOf(rng.IntN(4)); d != nil {
		d.suspend(time.Duration(rng.IntN(4000)) * time.Millisecond)
	}
}

// slowDirectory lets single daemons read slowly, so that they read the directory late or not
// at all and still commit.
func (cl *cluster) slowDirectory(rng *rand.Rand) {
	for _, name := range cl.names() {
		if rng.IntN(3) == 0 {
			cl.daemons[name].scanDelay.Store(int64(time.Duration(rng.IntN(1600)) * time.Millisecond))
		}
	}
}
