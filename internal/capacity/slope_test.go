package capacity_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/capacity"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/route"
	"github.com/bambooyard/bambooyard/rules"
	"github.com/bambooyard/bambooyard/shard"
)

// reportSlope measures a cost at each size and reports the fitted line as metrics
// of the benchmark.
func reportSlope(b *testing.B, unit string, sizes []int, cost func(size int) float64) {
	b.Helper()
	var points []capacity.Point
	for _, size := range sizes {
		points = append(points, capacity.Point{Size: float64(size), Cost: cost(size)})
	}
	l, err := capacity.Fit(points)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(l.Slope, unit)
	b.ReportMetric(l.Base, "base")
	b.ReportMetric(100*l.MaxRelativeError, "spread%")
}

// minNanos returns the shortest duration of five runs of fn, in nanoseconds.
func minNanos(fn func()) float64 {
	best := time.Duration(1 << 62)
	for range 5 {
		began := time.Now()
		fn()
		best = min(best, time.Since(began))
	}
	return float64(best.Nanoseconds())
}

// heapBytes returns the heap memory in bytes that the value returned by fn retains.
func heapBytes(fn func() any) float64 {
	var before, after runtime.MemStats
	collectGarbage()
	runtime.ReadMemStats(&before)
	kept := fn()
	collectGarbage()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// collectGarbage runs two collections, because values in a sync.Pool survive the
// first.
func collectGarbage() {
	runtime.GC()
	runtime.GC()
}

// jsonBytes returns the length of v's JSON encoding.
func jsonBytes(b *testing.B, v any) float64 {
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

var vmSizes = []int{65, 500, 2000, 8000}

// documentOf returns a valid document with a number of VMs, each with one target.
func documentOf(vms int) document.Document {
	d := document.Document{}
	service := inventory.Service{Name: "stock-check"}
	region := inventory.Region{Name: "hobart", DataCentres: []inventory.DataCentre{{Name: "hobart-1"}}}
	for i := range vms {
		rack := fmt.Sprintf("hobart-1-r%d", i/10)
		if i%10 == 0 {
			region.DataCentres[0].Racks = append(region.DataCentres[0].Racks, rack)
		}
		name := fmt.Sprintf("w%05d", i)
		d.Inventory.VMs = append(d.Inventory.VMs, inventory.VM{
			Name: name, Rack: rack, WorkerAddress: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250),
			Capacity: inventory.Resources{MilliProcessors: 64000, MemoryMB: 250000},
		})
		service.Targets = append(service.Targets, inventory.Target{
			VM: name, Address: fmt.Sprintf("127.0.%d.%d:8000", i/250, i%250), Slots: 8, Connections: 64,
		})
	}
	d.Inventory.Regions = []inventory.Region{region}
	d.Inventory.Services = []inventory.Service{service}
	d.Rules.Services = []rules.Service{{Name: "stock-check", DeadlineMS: 1000, MaxDeadlineMS: 2000}}
	d.Rules.Members = []rules.Member{{Name: "conservators", Weight: 1}}
	return d
}

func bodyOf(b *testing.B, vms int) []byte {
	body, err := document.Encode(documentOf(vms))
	if err != nil {
		b.Fatal(err)
	}
	return body
}

func BenchmarkDocumentBytes(b *testing.B) {
	reportSlope(b, "B/VM", vmSizes, func(n int) float64 { return float64(len(bodyOf(b, n))) })
}

func BenchmarkDocumentDecode(b *testing.B) {
	reportSlope(b, "ns/VM", vmSizes, func(n int) float64 {
		body := bodyOf(b, n)
		return minNanos(func() {
			if _, err := document.Decode(body); err != nil {
				b.Fatal(err)
			}
		})
	})
}

func BenchmarkDocumentMemory(b *testing.B) {
	reportSlope(b, "B/VM", vmSizes, func(n int) float64 {
		body := bodyOf(b, n)
		cost := heapBytes(func() any {
			d, err := document.Decode(body)
			if err != nil {
				b.Fatal(err)
			}
			return &d
		})
		runtime.KeepAlive(body)
		return cost
	})
}

var targetSizes = []int{65, 500, 2000, 8000}

func BenchmarkPickerBuild(b *testing.B) {
	reportSlope(b, "ns/target", targetSizes, func(n int) float64 {
		targets := targetsOf(n)
		return minNanos(func() { route.NewPicker(route.Options{Region: "hobart", Daemons: 8, Targets: targets}) })
	})
}

func BenchmarkPickerMemory(b *testing.B) {
	reportSlope(b, "B/target", targetSizes, func(n int) float64 {
		return heapBytes(func() any { return route.NewPicker(route.Options{Region: "hobart", Daemons: 8, Targets: targetsOf(n)}) })
	})
}

func targetsOf(n int) []route.Target {
	targets := make([]route.Target, n)
	for i := range targets {
		targets[i] = route.Target{
			VM: fmt.Sprintf("w%05d", i), Address: fmt.Sprintf("127.0.%d.%d:8000", i/250, i%250),
			Region: "hobart", DataCentre: "hobart-1", Slots: 8, Connections: 64,
			State: charts.TargetLive, Usage: &route.Usage{},
		}
	}
	return targets
}

func BenchmarkPeerReportBytes(b *testing.B) {
	reportSlope(b, "B/service", []int{2, 10, 50, 400}, func(n int) float64 {
		report := &peerpb.LoadReport{Session: "d1-FMAXFWV2DFDKN5HCRPYJVV3NGY", Sequence: 1000, Revision: 100, Daemons: 8}
		for i := range n {
			report.Services = append(report.Services, &peerpb.ServiceLoad{Service: fmt.Sprintf("service-%d", i), Region: "hobart", InFlight: 30})
		}
		return float64(proto.Size(report))
	})
}

var taskSizes = []int{1000, 4000, 16000, 64000}

// recordsOf returns the shard records of a number of accepted and started tasks.
func recordsOf(tasks int) []shard.Record {
	records := make([]shard.Record, 0, 2*tasks)
	for i := range tasks {
		id := shard.TaskID(fmt.Sprintf("state-library:reconcile-%d/%d", i/10, i%10))
		spec := &shard.Spec{
			ID: id, Job: fmt.Sprintf("state-library:reconcile-%d", i/10), Member: "state-library", Kind: "reconcile",
			Resources: inventory.Resources{MilliProcessors: 1000, MemoryMB: 1000}, RunTimeMS: 60000, DeadlineUnixMS: 1767225600000,
			Payload: "ledger-2026-01",
		}
		records = append(records,
			shard.Record{Event: shard.RecordAccept, Task: id, Spec: spec},
			shard.Record{Event: charts.TaskStart, Task: id, VM: fmt.Sprintf("w%05d", i%1000), Attempt: 1, StartByUnixMS: 1767225600000},
		)
	}
	return records
}

// replay applies records to an empty state.
func replay(b *testing.B, records []shard.Record) *shard.State {
	s := shard.NewState()
	for _, r := range records {
		if err := s.Apply(r); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

func BenchmarkShardLogBytes(b *testing.B) {
	reportSlope(b, "B/start", taskSizes, func(n int) float64 { return jsonBytes(b, recordsOf(n)) })
}

func BenchmarkShardReplay(b *testing.B) {
	reportSlope(b, "ns/task", taskSizes, func(n int) float64 {
		records := recordsOf(n)
		return minNanos(func() { replay(b, records) })
	})
}

func BenchmarkShardMemory(b *testing.B) {
	reportSlope(b, "B/task", taskSizes, func(n int) float64 {
		return heapBytes(func() any { return replay(b, recordsOf(n)) })
	})
}

var leaseSizes = []int{1, 8, 32, 128}

// exchangeOf returns an exchange request and its reply with a number of leases.
func exchangeOf(leases int) (platform.ExchangeRequest, platform.ExchangeReply) {
	e := platform.ExchangeRequest{Shard: "hobart-1-r1", Epoch: 12, LeaseUntilUnixMS: 1767225600000}
	var r platform.ExchangeReply
	for i := range leases {
		ref := platform.LeaseRef{Task: fmt.Sprintf("state-library:reconcile-1234/%d", i), Attempt: 1}
		e.Renew = append(e.Renew, ref)
		r.Leases = append(r.Leases, platform.Lease{
			LeaseRef: ref, State: platform.LeaseRunning, RanMS: 30000,
			Usage: inventory.Resources{MilliProcessors: 900, MemoryMB: 800},
		})
	}
	return e, r
}

func BenchmarkExchangeBytes(b *testing.B) {
	reportSlope(b, "B/lease", leaseSizes, func(n int) float64 {
		e, r := exchangeOf(n)
		return jsonBytes(b, e) + jsonBytes(b, r)
	})
}

// BenchmarkExchangeCodec measures the owner's side of an exchange: encoding the
// request and decoding the reply.
func BenchmarkExchangeCodec(b *testing.B) {
	reportSlope(b, "ns/lease", leaseSizes, func(n int) float64 {
		e, r := exchangeOf(n)
		body, err := json.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		return minNanos(func() {
			jsonBytes(b, e)
			var got platform.ExchangeReply
			if err := json.Unmarshal(body, &got); err != nil {
				b.Fatal(err)
			}
		})
	})
}

func BenchmarkClaimBytes(b *testing.B) {
	reportSlope(b, "B/claim", []int{1, 16, 64, 256}, func(n int) float64 {
		var txn platform.Txn
		for i := range n {
			key := platform.ClaimKey("conservators", "reorder", fmt.Sprintf("order-%d", 100000+i))
			value, err := json.Marshal(idempotency.Claim{Session: "d1-FMAXFWV2DFDKN5HCRPYJVV3NGY", RequestDigest: "dc60a4d0079e11bc", ClaimedUnixMS: 1767225600000})
			if err != nil {
				b.Fatal(err)
			}
			txn.Checks = append(txn.Checks, platform.Check{Key: key})
			txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
		}
		return jsonBytes(b, txn)
	})
}

var seriesSizes = []int{10, 100, 1000, 4000}

func ledgerOf(series int) *burn.Ledger {
	l := burn.NewLedger()
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range series {
		s := burn.Series{Service: fmt.Sprintf("service-%d", i%10), Member: fmt.Sprintf("team-%d", i/10)}
		for minute := range 60 {
			l.Observe(burn.Observation{At: at.Add(time.Duration(minute) * time.Minute), Series: s, Latency: 20 * time.Millisecond})
		}
	}
	return l
}

func BenchmarkBurnHourBytes(b *testing.B) {
	reportSlope(b, "B/series", seriesSizes, func(n int) float64 {
		data, err := ledgerOf(n).Encode()
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	})
}

func BenchmarkBurnHourMemory(b *testing.B) {
	reportSlope(b, "B/series", seriesSizes, func(n int) float64 {
		return heapBytes(func() any { return ledgerOf(n) })
	})
}

func BenchmarkBurnObserve(b *testing.B) {
	l := burn.NewLedger()
	o := burn.Observation{At: time.Now(), Series: burn.Series{Service: "s", Member: "m"}, Latency: time.Millisecond}
	for b.Loop() {
		l.Observe(o)
	}
}
