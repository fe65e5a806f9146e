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

// defaultTTL is the session TTL of the daemon's default settings.
const defaultTTL = 5 * time.Second

// linkUsage is the traffic between a daemon and the store: bytes of request and
// reply bodies, and the numbers of reads and writes.
type linkUsage struct{ bytes, reads, writes int }

func (c *linkUsage) add(bodies ...any) {
	for _, b := range bodies {
		data, _ := json.Marshal(b)
		c.bytes += len(data)
	}
}

// recordUsage counts an operation if usage is set.
func (l *storeLink) recordUsage(request, reply any, reads, writes int) {
	if l.usage == nil {
		return
	}
	l.usage.add(request, reply)
	l.usage.reads += reads
	l.usage.writes += writes
}

// BenchmarkIdleControl measures the store traffic of an idle daemon for sessions
// and configuration in virtual time, by number of daemons.
func BenchmarkIdleControl(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			const length = 60 * time.Second
			var total linkUsage
			for b.Loop() {
				total = linkUsage{}
				f := newFleetWithTTL(1, n, 5*time.Millisecond, defaultTTL)
				f.clock.Run(5 * time.Second)
				f.daemons[n-1].link.usage = &total
				f.clock.Run(length)
			}
			b.ReportMetric(float64(total.bytes)/length.Seconds(), "B/s")
			b.ReportMetric(float64(total.reads)/length.Seconds(), "reads/s")
			b.ReportMetric(float64(total.writes)/length.Seconds(), "writes/s")
		})
	}
}

// documentWithVMs returns a document with n VMs, ten to a rack, each with a target.
func documentWithVMs(n int) document.Document {
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

// BenchmarkChange measures the cost of a change, the draining of one VM, for a
// daemon: the size of the whole body and of the changed fields alone, and the
// decoding time of YAML relative to JSON.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{65, 650, 2600, 10400} {
		b.Run(fmt.Sprintf("VMs=%d", n), func(b *testing.B) {
			before, after := documentWithVMs(n), documentWithVMs(n)
			after.Inventory.VMs[n/2].Draining = true
			body, err := document.Encode(after)
			if err != nil {
				b.Fatal(err)
			}
			var delta linkUsage
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

// jsonTime measures the time to decode and check the same document as JSON.
func jsonTime(b *testing.B, d document.Document) time.Duration {
	data, err := json.Marshal(d)
	if err != nil {
		b.Fatal(err)
	}
	const times = 5
	begin := time.Now()
	for range times {
		var decoded document.Document
		if err := json.Unmarshal(data, &decoded); err != nil {
			b.Fatal(err)
		}
		if err := document.Check(decoded); err != nil {
			b.Fatal(err)
		}
	}
	return time.Since(begin) / times
}

// BenchmarkChangeOfFleet measures the store operations per daemon that a change
// adds, by number of daemons.
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

// operations counts the store operations of n daemons over ten seconds, with or
// without a change.
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

// BenchmarkInForceAfterKill measures in virtual time how long a change takes to
// be in force if one of eight daemons is killed just before it. The seeds spread
// the kill over the session TTL.
func BenchmarkInForceAfterKill(b *testing.B) {
	const seeds = 100
	for _, ttl := range []time.Duration{6 * time.Second, defaultTTL, 4 * time.Second} {
		b.Run("session-ttl="+ttl.String(), func(b *testing.B) {
			var waits []float64
			for b.Loop() {
				waits = nil
				for seed := range uint64(seeds) {
					waits = append(waits, timeToInForce(b, seed, ttl, time.Duration(seed)*ttl/seeds))
				}
			}
			sort.Float64s(waits)
			b.ReportMetric(waits[len(waits)/2], "median-s")
			b.ReportMetric(waits[len(waits)-1], "max-s")
		})
	}
}

// timeToInForce returns the seconds from the change until it is in force.
func timeToInForce(b *testing.B, seed uint64, ttl, phase time.Duration) float64 {
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
