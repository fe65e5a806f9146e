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

// queueLifetime is the number of versions of the configuration that have a queue; each version adds one.
const queueLifetime = 3

// TestQueueHistories runs histories in which queues come and go with each version of the configuration,
// which daemons meet at different times, beside submissions, kills, stops and outages of the store. The
// test checks that each accepted job ends, that no task runs twice, and that none runs after its end was
// acknowledged.
func TestQueueHistories(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+uint64(*histories); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runQueueHistory(t, seed) })
		})
	}
}

func runQueueHistory(t *testing.T, seed uint64) {
	cl := newClusterOf(t, seed, 0, 5, fake.FleetOptions{Now: time.Now, TaskDuration: upTo3Seconds}, nil)
	cl.queuesOf = queuesComingAndGoing
	for i := range 3 {
		cl.start(fmt.Sprintf("d%d", i))
	}
	defer cl.stopAll()
	cl.awaitOwner()
	rng := rand.New(rand.NewPCG(seed, 9))
	var accepted []string
	for range 20 {
		cl.configChanges.Add(int64(rng.IntN(3)))
		if name := fmt.Sprintf("d%d", rng.IntN(3)); cl.daemons[name] != nil && rng.IntN(2) == 0 {
			cl.adopt(name, 1+cl.configChanges.Load())
		}
		for range rng.IntN(4) {
			if id := cl.submitToAnyQueue(rng); id != "" {
				accepted = append(accepted, id)
			}
		}
		cl.disturbDaemons(rng)
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
	}
	cl.configChanges.Add(2 * queueLifetime) // all queues that have jobs are removed
	cl.clearFaults()
	if rng.IntN(2) == 0 {
		cl.restartAll()
	}
	for _, id := range accepted {
		cl.awaitFinal(id, outcomeWait)
	}
	cl.check()
}

// queuesComingAndGoing returns the queues of a version of the configuration.
func queuesComingAndGoing(version int64) []job.Queue {
	var queues []job.Queue
	for added := max(1, version-queueLifetime+1); added <= version; added++ {
		queues = append(queues, job.Queue{
			Name: fmt.Sprintf("q%d", added), Pool: "pool", Priority: int(version % 3), MaxAttempts: 3, Stretch: 2, Slack: time.Second,
		})
	}
	return queues
}

// submitToAnyQueue submits a job to a queue that a daemon knows, and returns its ID if it was accepted.
func (cl *cluster) submitToAnyQueue(rng *rand.Rand) string {
	name := fmt.Sprintf("d%d", rng.IntN(3))
	d := cl.daemons[name]
	if d == nil || d.cell.View().Config == nil {
		return ""
	}
	routes := d.cell.View().Config.Routes
	spec := cl.spec(1 + rng.IntN(3))
	spec.Queue = routes[rng.IntN(len(routes))].Queue.Name
	if cl.trySubmit(name, spec) != nil {
		return ""
	}
	return spec.ID
}

// disturbDaemons injects a random fault of daemons or the store, or clears one.
func (cl *cluster) disturbDaemons(rng *rand.Rand) {
	name := fmt.Sprintf("d%d", rng.IntN(3))
	switch rng.IntN(9) {
	case 0:
		cl.kill(cl.owner())
	case 1:
		cl.kill(name)
	case 2:
		cl.restartAll()
	case 3:
		if d := cl.daemons[cl.owner()]; d != nil {
			d.storeUnreachable.Store(rng.IntN(2) == 0)
		}
	case 4:
		if d := cl.daemons[name]; d != nil {
			d.isolated.Store(rng.IntN(2) == 0)
		}
	case 5:
		cl.store.Compact()
	}
	cl.restartSome(rng)
}
