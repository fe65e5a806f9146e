package cell

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/job"
)

var (
	histories    = flag.Int("histories", defaultHistories, "number of histories to play")
	firstHistory = flag.Uint64("first-history", 0, "seed of the first history")
)

// TestHistories runs histories. Each is a sequence of jobs and faults in one cell,
// generated from a seed; faults occur singly, combined and repeated. The test checks
// that no task runs twice, that none runs after its end was acknowledged, and that
// every accepted job ends after the faults are cleared.
func TestHistories(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+uint64(*histories); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed, (*cluster).historySpec) })
		})
	}
}

// TestHistoriesRegression runs the histories that once failed.
func TestHistoriesRegression(t *testing.T) {
	seeds := []uint64{
		21, 129, // attempts of restarted workers were started twice, acknowledgements were repeated
		14025, 16364, // a lost stop request, for a start that had reached a restarted worker, was not retried
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed, (*cluster).spec) })
		})
	}
}

func runHistory(t *testing.T, seed uint64, newSpec func(*cluster, int) job.Spec) {
	work := func(task string) time.Duration {
		return time.Duration(100+200*(len(task)+int(task[len(task)-1]))%2900) * time.Millisecond
	}
	cl := newCluster(t, seed, 3, 5, work, func(task string, attempt int) bool { return attempt%7 == 3 })
	defer cl.stopAll()
	cl.awaitOwner()
	rng := rand.New(rand.NewPCG(seed, 3))
	var accepted []string
	for range 12 {
		for range 1 + rng.IntN(3) {
			spec := newSpec(cl, 1+rng.IntN(5))
			if cl.trySubmit(fmt.Sprintf("d%d", rng.IntN(3)), spec) == nil {
				accepted = append(accepted, spec.ID)
			}
		}
		cl.injectFault(rng)
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	cl.clearFaults()
	for _, id := range accepted {
		cl.awaitFinal(id, 60*time.Second)
	}
	cl.check()
}

// injectFault injects a random fault, or clears one, and may restart daemons.
func (cl *cluster) injectFault(rng *rand.Rand) {
	worker := fmt.Sprintf("w%d", rng.IntN(5))
	name := fmt.Sprintf("d%d", rng.IntN(3))
	switch rng.IntN(10) {
	case 0:
		cl.kill(cl.owner())
	case 1:
		cl.kill(name)
	case 2:
		cl.restartAll()
	case 3:
		cl.fleet.SetUnreachable(worker, rng.IntN(2) == 0)
	case 4:
		cl.fleet.Restart(worker)
	case 5:
		cl.fleet.DelayStarts(worker, time.Duration(rng.IntN(2))*2*time.Second)
	case 6:
		if d := cl.daemons[cl.owner()]; d != nil {
			d.storeUnreachable.Store(rng.IntN(2) == 0)
		}
	case 7:
		if d := cl.daemons[name]; d != nil {
			d.isolated.Store(rng.IntN(2) == 0)
		}
	case 8:
		share, calls := rng.Float64(), rand.New(rand.NewPCG(rng.Uint64(), 4))
		cl.store.SetFault(func(string) fake.StoreFault { // runs under the store's lock
			if calls.Float64() < share/2 {
				return fake.FaultResponseLost
			}
			return fake.FaultNone
		})
	case 9:
		cl.store.Compact()
	}
	cl.restartSome(rng)
}

func (cl *cluster) restartSome(rng *rand.Rand) {
	for i := range 3 {
		if name := fmt.Sprintf("d%d", i); cl.daemons[name] == nil && rng.IntN(2) == 0 {
			cl.start(name)
		}
	}
}

func (cl *cluster) restartAll() {
	for _, name := range cl.names() {
		cl.kill(name)
	}
	for i := range 3 {
		cl.start(fmt.Sprintf("d%d", i))
	}
}

// clearFaults clears all faults and starts the daemons that are not running.
func (cl *cluster) clearFaults() {
	cl.store.SetFault(func(string) fake.StoreFault { return fake.FaultNone })
	for i := range 5 {
		id := fmt.Sprintf("w%d", i)
		cl.fleet.SetUnreachable(id, false)
		cl.fleet.DelayStarts(id, 0)
	}
	for i := range 3 {
		name := fmt.Sprintf("d%d", i)
		if cl.daemons[name] == nil {
			cl.start(name)
		}
		cl.daemons[name].storeUnreachable.Store(false)
		cl.daemons[name].isolated.Store(false)
	}
}

// awaitFinal waits until a job is final.
func (cl *cluster) awaitFinal(id string, within time.Duration) {
	cl.t.Helper()
	deadline := time.Now().Add(within)
	var state job.State
	for time.Now().Before(deadline) {
		if state = cl.state(id); state.Final() {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	cl.t.Fatalf("job %s is %q after %s", id, state, within)
}

// TestTakeoverHistories runs histories of repeated takeovers: in addition to the faults of
// TestHistories, daemons read and commit slowly, and their control loops are busy.
func TestTakeoverHistories(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+uint64(*histories); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runTakeoverHistory(t, seed) })
		})
	}
}

func runTakeoverHistory(t *testing.T, seed uint64) {
	work := func(task string) time.Duration {
		return time.Duration(100+200*(len(task)+int(task[len(task)-1]))%2900) * time.Millisecond
	}
	cl := newCluster(t, seed, 3, 5, work, func(task string, attempt int) bool { return attempt%7 == 3 })
	defer cl.stopAll()
	cl.awaitOwner()
	rng := rand.New(rand.NewPCG(seed, 5))
	var accepted []string
	for range 14 {
		for range 1 + rng.IntN(3) {
			spec := cl.historySpec(1 + rng.IntN(5))
			if cl.trySubmit(fmt.Sprintf("d%d", rng.IntN(3)), spec) == nil {
				accepted = append(accepted, spec.ID)
			}
		}
		cl.slowDaemons(rng)
		cl.injectFault(rng)
		time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
	}
	cl.endHistory(accepted)
}

// endHistory undoes all faults and delays, and checks that the accepted jobs end and that no
// invariant was violated.
func (cl *cluster) endHistory(accepted []string) {
	cl.clearFaults()
	for _, name := range cl.names() {
		cl.daemons[name].clearDelays()
		cl.daemons[name].workersUnreachable.Store(false)
	}
	for _, id := range accepted {
		cl.awaitFinal(id, 90*time.Second)
	}
	cl.check()
}

// slowDaemons makes some daemons slow, or undoes it.
func (cl *cluster) slowDaemons(rng *rand.Rand) {
	upTo := func(ms int) time.Duration { return time.Duration(rng.IntN(ms)) * time.Millisecond }
	for _, name := range cl.names() {
		d := cl.daemons[name]
		switch rng.IntN(8) {
		case 0:
			d.scanDelay.Store(int64(upTo(1800)))
		case 1:
			d.acquireBusy.Store(int64(upTo(3500)))
		case 2:
			d.commitDelay.Store(int64(upTo(1300)))
		case 3:
			busy := upTo(4000)
			d.loop.Post(func() { time.Sleep(busy) })
		case 4:
			d.workersUnreachable.Store(rng.IntN(2) == 0)
		case 5:
			d.clearDelays()
		}
	}
}

func (d *daemon) clearDelays() {
	d.scanDelay.Store(0)
	d.acquireBusy.Store(0)
	d.commitDelay.Store(0)
}
