package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// longHistories is the number of histories that take several times as long as others.
func longHistories() uint64 { return uint64(max(1, *histories/15)) }

// TestReleaseHistoriesWithDrains adds to TestReleaseHistories what these lack: workers that
// drain, leave and are added, workers that are unlisted, cancellations, services, gangs, and
// daemons that are suspended while they release the cell.
func TestReleaseHistoriesWithDrains(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+longHistories(); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runDrainHistory(t, seed) })
		})
	}
}

func runDrainHistory(t *testing.T, seed uint64) {
	work := func(task string) time.Duration {
		return time.Duration(100+200*(len(task)+int(task[len(task)-1]))%2900) * time.Millisecond
	}
	cl := newCluster(t, seed, 3, 5, work, func(_ string, attempt int) bool { return attempt%7 == 3 })
	defer cl.stopAll()
	cl.machines = cl.fleet
	cl.awaitOwner()
	rng := rand.New(rand.NewPCG(seed, 13))
	var accepted []string
	next := 5
	leaving := map[string]time.Time{}
	alive := []string{"w0", "w1", "w2", "w3", "w4"}
	for range 14 {
		for range 1 + rng.IntN(3) {
			spec := cl.historySpec(1 + rng.IntN(5))
			if rng.IntN(5) == 0 {
				for s := range spec.Steps {
					spec.Steps[s].Gang, spec.Steps[s].Speculative = true, false
				}
			}
			if cl.trySubmit(fmt.Sprintf("d%d", rng.IntN(3)), spec) == nil {
				accepted = append(accepted, spec.ID)
			}
		}
		if len(accepted) > 0 && rng.IntN(4) == 0 {
			id := accepted[rng.IntN(len(accepted))]
			if d := cl.daemons[fmt.Sprintf("d%d", rng.IntN(3))]; d != nil {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				_ = d.jobs().Cancel(ctx, id)
				cancel()
			}
		}
		if rng.IntN(2) == 0 { // one drains, one is added
			i := rng.IntN(len(alive))
			id, remaining := alive[i], time.Duration(500+rng.IntN(2500))*time.Millisecond
			alive = append(alive[:i], alive[i+1:]...)
			cl.fleet.Drain(id, remaining)
			leaving[id] = time.Now().Add(remaining)
			added := fmt.Sprintf("w%d", next)
			next++
			cl.fleet.Add(added, "pool", job.Resources{MilliCPU: 8000, MemoryMB: 64000})
			alive = append(alive, added)
		}
		for id, at := range leaving {
			if time.Now().After(at) {
				cl.fleet.Kill(id)
				delete(leaving, id)
			}
		}
		if rng.IntN(4) == 0 {
			cl.fleet.SetUnreachable(alive[rng.IntN(len(alive))], rng.IntN(2) == 0)
		}
		if rng.IntN(4) == 0 {
			cl.slowDaemons(rng)
		}
		if owner := cl.daemons[cl.owner()]; owner != nil && rng.IntN(5) == 0 {
			owner.suspend(time.Duration(rng.IntN(2500)) * time.Millisecond)
		}
		if rng.IntN(3) > 0 {
			cl.shutDown(cl.owner(), time.Duration(rng.IntN(1500))*time.Millisecond)
		}
		if rng.IntN(2) == 0 {
			cl.injectFault(rng)
		}
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		cl.restartSome(rng)
	}
	cl.clearFaults()
	for i := range next {
		id := fmt.Sprintf("w%d", i)
		cl.fleet.SetUnreachable(id, false)
		cl.fleet.DelayStarts(id, 0)
	}
	for _, name := range cl.names() {
		cl.daemons[name].clearDelays()
		cl.daemons[name].workersUnreachable.Store(false)
	}
	for _, id := range accepted {
		cl.awaitFinal(id, 90*time.Second)
	}
	cl.check()
}

// TestDividedReleaseHistories releases cells of a divided cluster beside the faults of
// TestDividedHistories.
func TestDividedReleaseHistories(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+longHistories(); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runDividedReleaseHistory(t, seed) })
		})
	}
}

func runDividedReleaseHistory(t *testing.T, seed uint64) {
	work := func(task string) time.Duration {
		return time.Duration(100+200*(len(task)+int(task[len(task)-1]))%2900) * time.Millisecond
	}
	cl := newDividedCluster(t, seed, 6, work, func(_ string, attempt int) bool { return attempt%7 == 3 })
	defer cl.stopAll()
	cl.awaitOwner()
	rng := rand.New(rand.NewPCG(seed, 15))
	var accepted []string
	for range 12 {
		for range 1 + rng.IntN(4) {
			spec := cl.historySpec(1 + rng.IntN(5))
			if cl.trySubmit(fmt.Sprintf("d%d", rng.IntN(6)), spec) == nil {
				accepted = append(accepted, spec.ID)
			}
		}
		if rng.IntN(3) > 0 {
			if d := cl.ownerOf(rng.IntN(4)); d != nil {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(1500))*time.Millisecond)
				_ = d.group.Release(ctx)
				cancel()
				cl.kill(d.name)
			}
		}
		if rng.IntN(2) == 0 {
			cl.injectDividedFault(rng)
		}
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		if rng.IntN(2) == 0 {
			cl.restartMissing()
		}
	}
	cl.clearDividedFaults()
	for _, id := range accepted {
		cl.awaitFinal(id, 90*time.Second)
	}
	cl.check()
}
