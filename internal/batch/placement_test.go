package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/place"
)

const urgentStartLimit = 2800 * time.Millisecond

// newFullSimulation returns one shard with two VMs that are full of long batch
// tasks.
func newFullSimulation(seed uint64) *simulation {
	sim := newSimulation(seed, 1, 2)
	for i := range sim.doc.Inventory.VMs {
		sim.doc.Inventory.Services = append(sim.doc.Inventory.Services, inventory.Service{
			Name: fmt.Sprintf("s%d", i), Targets: []inventory.Target{{VM: sim.vms[i].name}},
		})
	}
	sim.startDaemon()
	sim.startDaemon()
	sim.submit(Job{Member: "m", Key: "batch", Kind: "batch", Tasks: 8, RunTimeMS: 600_000, Payload: "run=600s",
		Resources: inventory.Resources{MilliProcessors: 1000, MemoryMB: 1000}})
	sim.clock.Run(5 * time.Second)
	return sim
}

// tasks returns the tasks of a job in the state of the first shard's owner.
func (sim *simulation) tasks(job string) []TaskStatus {
	for _, d := range sim.running() {
		if tasks, owned := d.manager.JobTasks("r0", job, false); owned {
			return tasks
		}
	}
	return nil
}

// TestUrgentJobStartsOnFullShard checks the latency of an urgent start when every VM
// is full of batch tasks: it includes the owner's writes and the confirmed stops of
// the evicted tasks.
func TestUrgentJobStartsOnFullShard(t *testing.T) {
	is := is.New(t)
	var worst time.Duration
	for seed := range uint64(30) {
		sim := newFullSimulation(seed)
		is.Equal(len(sim.vms[0].worker.Running())+len(sim.vms[1].worker.Running()), 8)
		submitted := sim.clock.Now()
		sim.submit(Job{Member: "m", Key: "now", Kind: "now", Tasks: 1, RunTimeMS: 1000, Urgent: true, Payload: "run=60s",
			Resources: inventory.Resources{MilliProcessors: 2000, MemoryMB: 1000}})
		started := func() bool {
			return strings.Contains(strings.Join(append(sim.vms[0].worker.Running(), sim.vms[1].worker.Running()...), " "), "m:now/0")
		}
		for !started() && sim.clock.Now().Sub(submitted) < time.Minute {
			sim.clock.Run(10 * time.Millisecond)
		}
		worst = max(worst, sim.clock.Now().Sub(submitted))
		stopped := 0
		for _, task := range sim.tasks("m:batch") {
			if task.State != "running" {
				stopped++
			}
		}
		is.Equal(stopped, 2) // no more than the urgent task needs
		is.Equal(len(sim.check.allViolations()), 0)
	}
	t.Logf("slowest urgent start of 30 seeds: %v after submission", worst)
	is.True(worst <= urgentStartLimit)
}

// TestShrunkInventoryRejectsJobs checks that a pending job which fits no VM after
// an inventory change is rejected with the field, the value and the reason.
func TestShrunkInventoryRejectsJobs(t *testing.T) {
	is := is.New(t)
	sim := newFullSimulation(1)
	sim.submit(Job{Member: "m", Key: "large", Tasks: 2, RunTimeMS: 1000,
		Resources: inventory.Resources{MilliProcessors: 3000, MemoryMB: 1000}})
	sim.clock.Run(2 * time.Second)
	is.Equal(sim.tasks("m:large")[0].State, "pending")
	for _, v := range sim.vms { // one inventory change for each VM, as by two operators
		sim.resize(v.name, 2000)
	}
	sim.clock.Run(5 * time.Second)
	for _, task := range sim.tasks("m:large") {
		is.Equal(task.State, "rejected")
		is.Equal(task.Reason, `field resources.milli_processors: value "3000" is more than any VM can give to a task (2000)`)
	}
	running := 0
	for _, v := range sim.vms {
		running += len(v.worker.Running())
	}
	is.Equal(running, 4) // four tasks of 1000 fit the shrunk VMs
	is.Equal(len(sim.check.allViolations()), 0)
}

// TestSlowServiceThrottlesAtWorker checks that the batch tasks on the VM of a slow
// service are throttled by their worker.
func TestSlowServiceThrottlesAtWorker(t *testing.T) {
	is := is.New(t)
	sim := newFullSimulation(1)
	observe := func(latencyMS float64) {
		at := sim.clock.Now().UnixMilli()
		for _, d := range sim.running() {
			d.manager.ObserveLatency(place.ServiceLatency{Service: "s0", Machine: "w0", LatencyMS: latencyMS, MeasuredUnixMS: at})
		}
	}
	observe(20)
	for range 12 {
		sim.clock.Run(time.Second)
		observe(60)
	}
	sim.clock.Run(time.Second)
	throttled := 0
	for _, d := range sim.running() {
		if o := d.manager.owners["r0"]; o.owning() {
			throttled = len(o.throttlePerMille)
			for id := range o.throttlePerMille {
				is.Equal(o.state.Tasks[id].VM, "w0")
			}
		}
	}
	is.True(throttled > 0)
}
