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

// fullWorld is two VMs of one shard, full of long batch tasks.
func fullWorld(seed uint64) *world {
	w := newWorld(seed, 1, 2)
	for i := range w.doc.Inventory.VMs {
		w.doc.Inventory.Services = append(w.doc.Inventory.Services, inventory.Service{
			Name: fmt.Sprintf("s%d", i), Targets: []inventory.Target{{VM: w.vms[i].name}},
		})
	}
	w.startDaemon()
	w.startDaemon()
	w.submit(Job{Member: "m", Key: "batch", Kind: "batch", Tasks: 8, RunTimeMS: 600_000, Payload: "run=600s",
		Resources: inventory.Resources{MilliProcessors: 1000, MemoryMB: 1000}})
	w.clock.Run(5 * time.Second)
	return w
}

// tasks returns the tasks of a job as the shard's owner knows them.
func (w *world) tasks(job string) []TaskStatus {
	for _, d := range w.running() {
		if tasks, owned := d.m.JobTasks("r0", job, false); owned {
			return tasks
		}
	}
	return nil
}

// With every VM full of batch, urgent work starts in time through the owner's
// writes and the workers' confirmed stops.
func TestUrgentJobStartsOnFullShard(t *testing.T) {
	is := is.New(t)
	var worst time.Duration
	for seed := range uint64(30) {
		w := fullWorld(seed)
		is.Equal(len(w.vms[0].worker.Running())+len(w.vms[1].worker.Running()), 8)
		submitted := w.clock.Now()
		w.submit(Job{Member: "m", Key: "now", Kind: "now", Tasks: 1, RunTimeMS: 1000, Urgent: true, Payload: "run=60s",
			Resources: inventory.Resources{MilliProcessors: 2000, MemoryMB: 1000}})
		started := func() bool {
			return strings.Contains(strings.Join(append(w.vms[0].worker.Running(), w.vms[1].worker.Running()...), " "), "m:now/0")
		}
		for !started() && w.clock.Now().Sub(submitted) < time.Minute {
			w.clock.Run(10 * time.Millisecond)
		}
		worst = max(worst, w.clock.Now().Sub(submitted))
		stopped := 0
		for _, task := range w.tasks("m:batch") {
			if task.State != "running" {
				stopped++
			}
		}
		is.Equal(stopped, 2) // no more than the urgent task needs
		is.Equal(len(w.check.all()), 0)
	}
	t.Logf("slowest urgent start of 30 seeds: %v after submission", worst)
	is.True(worst <= urgentStartLimit)
}

// A waiting job that no VM can hold after a change of the inventory is
// rejected with the field, the value and the reason.
func TestShrunkInventoryRejectsJobs(t *testing.T) {
	is := is.New(t)
	w := fullWorld(1)
	w.submit(Job{Member: "m", Key: "large", Tasks: 2, RunTimeMS: 1000,
		Resources: inventory.Resources{MilliProcessors: 3000, MemoryMB: 1000}})
	w.clock.Run(2 * time.Second)
	is.Equal(w.tasks("m:large")[0].State, "pending")
	for _, v := range w.vms { // two operators, each for one VM
		w.resize(v.name, 2000)
	}
	w.clock.Run(5 * time.Second)
	for _, task := range w.tasks("m:large") {
		is.Equal(task.State, "rejected")
		is.Equal(task.Reason, `field resources.milli_processors: value "3000" is more than any VM can give to a task (2000)`)
	}
	running := 0
	for _, v := range w.vms {
		running += len(v.worker.Running())
	}
	is.Equal(running, 4) // four tasks of 1000 fit the shrunk VMs
	is.Equal(len(w.check.all()), 0)
}

// A service that is slow beside batch has the tasks on its VM throttled at the
// worker.
func TestSlowServiceThrottlesAtWorker(t *testing.T) {
	is := is.New(t)
	w := fullWorld(1)
	observe := func(latencyMS float64) {
		at := w.clock.Now().UnixMilli()
		for _, d := range w.running() {
			d.m.ObserveLatency(place.ServiceLatency{Service: "s0", Machine: "w0", LatencyMS: latencyMS, MeasuredUnixMS: at})
		}
	}
	observe(20)
	for range 12 {
		w.clock.Run(time.Second)
		observe(60)
	}
	w.clock.Run(time.Second)
	throttled := 0
	for _, d := range w.running() {
		if o := d.m.owners["r0"]; o.owning() {
			throttled = len(o.throttlePerMille)
			for id := range o.throttlePerMille {
				is.Equal(o.state.Tasks[id].VM, "w0")
			}
		}
	}
	is.True(throttled > 0)
}
