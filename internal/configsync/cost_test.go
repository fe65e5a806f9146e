package configsync_test

import (
	"encoding/json"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/rules"
)

// productTTL is the session lifetime of the daemon's default settings.
const productTTL = 5 * time.Second

// count is what one link has carried, in bodies of the platform's protocol.
type count struct{ bytes, reads, writes int }

func (c *count) add(bodies ...any) {
	for _, b := range bodies {
		data, _ := json.Marshal(b)
		c.bytes += len(data)
	}
}

func (l *link) carried(request, reply any, reads, writes int) {
	if l.count == nil {
		return
	}
	l.count.add(request, reply)
	l.count.reads += reads
	l.count.writes += writes
}

// BenchmarkIdleControl prints what sessions and configuration cost an idle
// daemon, in virtual time, for the slope by daemons.
func BenchmarkIdleControl(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			const length = 60 * time.Second
			var total count
			for b.Loop() {
				total = count{}
				f := newFleetWithTTL(1, n, 5*time.Millisecond, productTTL)
				f.clock.Run(5 * time.Second)
				f.daemons[n-1].link.count = &total
				f.clock.Run(length)
			}
			b.ReportMetric(float64(total.bytes)/length.Seconds(), "B/s")
			b.ReportMetric(float64(total.reads)/length.Seconds(), "reads/s")
			b.ReportMetric(float64(total.writes)/length.Seconds(), "writes/s")
		})
	}
}

// yardOf returns a document with n VMs, each with a target, as in the examples.
func yardOf(n int) document.Document {
	var d document.Document
	region := inventory.Region{Name: "hobart"}
	service := inventory.Service{Name: "stock-check"}
	for i := range n {
		rack := fmt.Sprintf("hobart-1-r%d", i/10)
		if i%10 == 0 {
			region.DataCentres = append(region.DataCentres, inventory.DataCentre{Name: "dc-" + rack, Racks: []string{rack}})
		}
		name := fmt.Sprintf("w%05d", i)
		d.Inventory.VMs = append(d.Inventory.VMs, inventory.VM{
			Name: name, Rack: rack, WorkerAddress: fmt.Sprintf("10.0.%d.%d:21000", i/250, i%250),
			Capacity: inventory.Resources{MilliProcessors: 64000, MemoryMB: 250000},
			Reserved: inventory.Resources{MilliProcessors: 8000, MemoryMB: 31250},
		})
		service.Targets = append(service.Targets, inventory.Target{VM: name, Address: fmt.Sprintf("10.0.%d.%d:22000", i/250, i%250), Slots: 8, Connections: 64})
	}
	d.Inventory.Regions = []inventory.Region{region}
	d.Inventory.Services = []inventory.Service{service}
	d.Rules.Services = []rules.Service{{Name: "stock-check", DeadlineMS: 2000, MaxDeadlineMS: 10000}}
	return d
}

// BenchmarkChange prints what one change, the draining of one VM, costs a
// daemon: the whole body, the changed fields alone, and reading them.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{65, 650, 2600, 10400} {
		b.Run(fmt.Sprintf("VMs=%d", n), func(b *testing.B) {
			before, after := yardOf(n), yardOf(n)
			after.Inventory.VMs[n/2].Draining = true
			body, err := document.Encode(after)
			if err != nil {
				b.Fatal(err)
			}
			var delta count
			for b.Loop() {
				if _, err := document.Decode(body); err != nil {
					b.Fatal(err)
				}
			}
			delta.add(document.Diff(before, after))
			yamlTime := b.Elapsed() / time.Duration(b.N)
			b.ReportMetric(float64(yamlTime)/float64(jsonTime(b, after)), "yaml/json-time")
			b.ReportMetric(float64(len(body)), "body-B")
			b.ReportMetric(float64(delta.bytes), "delta-B")
		})
	}
}

// jsonTime is the time to read the same document as JSON.
func jsonTime(b *testing.B, d document.Document) time.Duration {
	data, err := json.Marshal(d)
	if err != nil {
		b.Fatal(err)
	}
	const times = 5
	begin := time.Now()
	for range times {
		var back document.Document
		if err := json.Unmarshal(data, &back); err != nil {
			b.Fatal(err)
		}
		if err := document.Check(back); err != nil {
			b.Fatal(err)
		}
	}
	return time.Since(begin) / times
}

// BenchmarkChangeOfFleet prints the store's work for one change on n daemons.
func BenchmarkChangeOfFleet(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var idle, busy fake.OperationCounts
			for b.Loop() {
				idle, busy = operations(b, n, false), operations(b, n, true)
			}
			b.ReportMetric(float64(busy.Reads-idle.Reads)/float64(n), "reads/daemon")
			b.ReportMetric(float64(busy.Commits-idle.Commits)/float64(n), "writes/daemon")
		})
	}
}

// operations counts the store's work over ten seconds with or without a change.
func operations(b *testing.B, n int, change bool) fake.OperationCounts {
	f := newFleet(1, n, 5*time.Millisecond)
	f.clock.Run(5 * time.Second)
	before := f.platform.Counts()
	if change {
		if _, err := f.apply(f.platform, "first", 0); err != nil {
			b.Fatal(err)
		}
	}
	f.clock.Run(10 * time.Second)
	after := f.platform.Counts()
	after.Reads -= before.Reads
	after.Commits -= before.Commits
	return after
}

// BenchmarkInForceAfterKill prints how long a change waits to be in force when
// one of eight daemons is killed just before it, in virtual time over seeds.
func BenchmarkInForceAfterKill(b *testing.B) {
	const seeds = 100
	for _, ttl := range []time.Duration{6 * time.Second, productTTL, 4 * time.Second} {
		b.Run("session-ttl="+ttl.String(), func(b *testing.B) {
			var waits []float64
			for b.Loop() {
				waits = nil
				for seed := range uint64(seeds) {
					waits = append(waits, inForceAfterKill(b, seed, ttl, time.Duration(seed)*ttl/seeds))
				}
			}
			sort.Float64s(waits)
			b.ReportMetric(waits[len(waits)/2], "median-s")
			b.ReportMetric(waits[len(waits)-1], "max-s")
		})
	}
}

func inForceAfterKill(b *testing.B, seed uint64, ttl, phase time.Duration) float64 {
	const step = 50 * time.Millisecond
	f := newFleetWithTTL(seed, 8, 5*time.Millisecond, ttl)
	f.clock.Run(2*ttl + phase)
	f.daemons[seed%8].kill()
	if _, err := f.apply(f.platform, "first", 0); err != nil {
		b.Fatal(err)
	}
	for wait := step; ; wait += step {
		f.clock.Run(step)
		a, err := f.adoption(1, f.clock.Now())
		if err == nil && a.InForce() {
			return wait.Seconds()
		}
	}
}
