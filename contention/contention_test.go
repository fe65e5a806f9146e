package contention

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// vm is a VM of 16 cores and 64 GB; its services request and use processors.
type vm struct {
	requested, used, memory float64
	serviceLoad, limit      float64
	services                int
	bestEffort              int
	load                    float64 // of best-effort tasks
}

func (v *vm) total() float64 { return v.load + v.used }

// burst is a best-effort task of a burst.
type burst struct{ share, memory, coefficient float64 }

// cost rates a placement with all parts, as a scheduler does.
func (v *vm) cost(t burst) float64 {
	return SlowdownCost(v.total(), t.share, v.bestEffort) +
		ServiceCost(v.serviceLoad, v.serviceLoad+t.coefficient*t.share, v.limit, v.services) +
		StrandedCost(1-v.requested, 1-v.memory, t.memory, 0.5)
}

func (v *vm) place(t burst) {
	v.load += t.share
	v.memory += t.memory
	v.serviceLoad += t.coefficient * t.share
	v.bestEffort++
}

// newPool returns VMs of which four of five are full of services that use about half of
// what they request.
func newPool(rng *rand.Rand) []*vm {
	var pool []*vm
	for i := range 100 {
		v := &vm{limit: 0.8}
		if i%5 != 0 {
			v.requested, v.memory, v.services = 1, 0.5, 5
			v.serviceLoad = 0.3 + 0.2*rng.Float64()
			v.used = v.serviceLoad
		}
		pool = append(pool, v)
	}
	return pool
}

// small is a task of a burst that hardly disturbs services.
var small = burst{share: 0.11, memory: 0.05, coefficient: 0.2}

// fill places tasks of a burst one by one with a choice, and returns those that wait. A share
// disturbing of them has images that disturb services.
func fill(pool []*vm, rng *rand.Rand, tasks int, t burst, disturbing float64, choose func(v *vm, t burst) float64, bounded bool) int {
	waiting := 0
	for range tasks {
		t := t
		if rng.Float64() < disturbing {
			t.coefficient = 4
		}
		var best *vm
		least := 0.0
		for _, v := range pool {
			if v.memory+t.memory > 1 || bounded && !Accepts(v.total(), t.share, v.bestEffort, false) {
				continue
			}
			if c := choose(v, t); best == nil || c < least {
				best, least = v, c
			}
		}
		if best == nil {
			waiting++
			continue
		}
		best.place(t)
	}
	return waiting
}

// Guards against batch jobs that take twice as long as declared: a burst of best-effort tasks
// was packed by memory on the few VMs without services, at two to three times their
// processors, while the VMs with services had half of theirs idle.
func TestBurstOfBestEffortTasksSpreadsOverIdleProcessors(t *testing.T) {
	is := is.New(t)
	worstLoad := func(choose func(*vm, burst) float64, bounded bool) float64 {
		rng := rand.New(rand.NewPCG(1, 2))
		pool := newPool(rng)
		fill(pool, rng, 500, small, 0.6, choose, bounded)
		worst := 0.0
		for _, v := range pool {
			worst = max(worst, v.total())
		}
		return worst
	}
	byMemory := func(v *vm, _ burst) float64 { return float64(v.services)*10 - v.memory }
	is.True(worstLoad(byMemory, false) > 2)
	is.True(worstLoad((*vm).cost, true) <= maxLoad)
}

// Guards against services over their targets beside images that disturb them, while VMs
// without services have processors for these images.
func TestDisturbingTasksOfABurstAvoidServices(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	pool := newPool(rng)
	fill(pool, rng, 400, small, 0.6, (*vm).cost, true)
	over := 0
	for _, v := range pool {
		if v.services > 0 && v.serviceLoad > v.limit {
			over++
		}
	}
	is.Equal(over, 0)
}

// Guards against services that find no VM because a burst has taken the memory beside free
// processors.
func TestBurstLeavesMemoryBesideFreeProcessors(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	pool := newPool(rng)
	large := burst{share: 0.11, memory: 0.1, coefficient: 0.2}
	fill(pool, rng, 400, large, 0, (*vm).cost, true)
	for _, v := range pool {
		if v.requested == 0 {
			is.True(1-v.memory >= 0.4) // half of the memory for the free processors, less one task
		}
	}
}

// Guards against a burst that takes so many processors that all its tasks are late: beyond a
// load the tasks wait, and the first ones end in time.
func TestTasksOfABurstWaitWhenAllProcessorsAreTaken(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 8))
	pool := newPool(rng)
	waiting := fill(pool, rng, 3000, small, 0.6, (*vm).cost, true)
	is.True(waiting > 0)
	for _, v := range pool {
		is.True(v.bestEffort == 1 || v.total() <= maxLoad)
	}
	is.True(!Accepts(1.4, 0.2, 3, false))
	is.True(Accepts(1.4, 0.2, 3, true)) // its job would miss its objective
	is.True(Accepts(0, 1.8, 0, false))  // a task larger than the bound runs alone
}
