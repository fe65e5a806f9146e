package place

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/bambooyard/bambooyard/inventory"
)

// benchTasks is the number of tasks that fill a VM to about 90%.
const benchTasks = 20

// benchInput returns a shard of count VMs that run the given number of tasks
// each.
func benchInput(count, tasks int) Input {
	r := rand.New(rand.NewPCG(1, 1))
	in := Input{NowUnixMS: 1_000_000}
	for i := range count {
		m := Machine{Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%04d", i/10), Services: []string{fmt.Sprintf("s%d", i%4)}}
		m.Capacity = inventory.Resources{MilliProcessors: 56_000, MemoryMB: 218_750}
		m.Free = m.Capacity
		for k := range tasks {
			d := Demand{Task: fmt.Sprintf("m:j%d/%d", i, k), Job: fmt.Sprintf("m:j%d", i/4), Member: "m", Kind: "k", RunTimeMS: 60_000}
			d.Resources = inventory.Resources{MilliProcessors: 500 + r.Int64N(4000), MemoryMB: 1000 + r.Int64N(9000)}
			m.Free = m.Free.Sub(d.Resources)
			in.Running = append(in.Running, RunningTask{Demand: d, Machine: m.Name, StartedUnixMS: 900_000})
		}
		in.Machines = append(in.Machines, m)
	}
	return in
}

var benchSizes = []int{65, 520, 4_096, 32_000}

// BenchmarkDecision measures choosing a VM for one task and recording the
// start.
func BenchmarkDecision(b *testing.B) {
	for _, count := range benchSizes {
		in := benchInput(count, benchTasks)
		p := NewPlanner()
		cl := newCluster(&in, p.estimator)
		d := &candidate{Demand: Demand{Job: "m:new", Kind: "k"}}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for n := range b.N {
				d.size = inventory.Resources{MilliProcessors: 500 + int64(n%7)*500, MemoryMB: 1000}
				d.Resources = d.size
				c, ok := p.choose(cl, d)
				if ok {
					cl.recordStart(c.machine, &d.Demand, d.size, 0)
					cl.allocate(c.machine, inventory.Resources{}.Sub(d.size), true)
					cl.machines[c.machine].loadByKind = cl.machines[c.machine].loadByKind[:1]
				}
			}
		})
	}
}

// BenchmarkLinearBestFit is the baseline of BenchmarkDecision: a linear scan of
// all VMs.
func BenchmarkLinearBestFit(b *testing.B) {
	for _, count := range benchSizes {
		in := benchInput(count, benchTasks)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for n := range b.N {
				size := inventory.Resources{MilliProcessors: 500 + int64(n%7)*500, MemoryMB: 1000}
				BestFit(in.Machines, Demand{Resources: size})
			}
		})
	}
}

// BenchmarkMemory measures the memory of an input and of the cluster state of a
// plan, for each worker and for each running task.
func BenchmarkMemory(b *testing.B) {
	const count = 4_096
	var perWorker, perTask float64
	for range b.N {
		idle, full := heapGrowth(count, 0), heapGrowth(count, benchTasks)
		perWorker, perTask = idle/count, (full-idle)/count/benchTasks
	}
	b.ReportMetric(perWorker, "B/worker")
	b.ReportMetric(perTask, "B/task")
}

func heapGrowth(count, tasks int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	in := benchInput(count, tasks)
	cl := newCluster(&in, newEstimator())
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(cl)
	runtime.KeepAlive(in)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkPlan measures a complete plan with one pending task for each 40 VMs.
func BenchmarkPlan(b *testing.B) {
	for _, count := range benchSizes {
		in := benchInput(count, benchTasks)
		for i := range max(1, count/40) {
			in.Pending = append(in.Pending, Demand{
				Task: fmt.Sprintf("m:new/%d", i), Job: "m:new", Kind: "k",
				Resources: inventory.Resources{MilliProcessors: 1000, MemoryMB: 1000}, RunTimeMS: 1000,
			})
		}
		p := NewPlanner()
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				p.Plan(in)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(len(in.Pending)), "us/start")
		})
	}
}

// BenchmarkUrgent measures the preemption for one urgent task on full VMs.
func BenchmarkUrgent(b *testing.B) {
	for _, count := range benchSizes[:2] {
		in := benchInput(count, benchTasks)
		for i := range in.Machines {
			in.Machines[i].Free = inventory.Resources{}
		}
		p := NewPlanner()
		p.evicted = map[string]bool{}
		cl := newCluster(&in, p.estimator)
		d := &candidate{Demand: Demand{Task: "u", Urgent: true}, size: inventory.Resources{MilliProcessors: 8000, MemoryMB: 1000}}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				var plan Plan
				p.preempt(&in, cl, d, &plan)
				for _, e := range plan.Evictions {
					delete(p.evicted, e.Task)
				}
				b.StopTimer()
				cl = newCluster(&in, p.estimator)
				b.StartTimer()
			}
		})
	}
}
