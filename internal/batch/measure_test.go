package batch

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/shard"
)

// storeRates returns the store's writes and reads per second over the next d.
func (sim *simulation) storeRates(d time.Duration) (writes, reads float64) {
	before := sim.platform.Counts()
	sim.clock.Run(d)
	after := sim.platform.Counts()
	return float64(after.Commits-before.Commits) / d.Seconds(), float64(after.Reads-before.Reads) / d.Seconds()
}

// TestStoreRates measures the store's load by the number of shards: idle, busy, and
// while a daemon's shards are being recovered. The goals are 300 writes and 2,000
// reads per second.
func TestStoreRates(t *testing.T) {
	is := is.New(t)
	for _, shards := range []int{7, 14, 28, 56} {
		sim := newSimulation(1, shards, 9)
		for range 8 {
			sim.startDaemon()
		}
		sim.clock.Run(20 * time.Second)
		idleWrites, idleReads := sim.storeRates(10 * time.Second)
		sim.submitLoad(shards, 30*time.Second)
		sim.clock.Run(5 * time.Second)
		starts := len(sim.check.attempts)
		busyWrites, busyReads := sim.storeRates(10 * time.Second)
		starts = len(sim.check.attempts) - starts
		sim.kill(sim.daemons[0])
		writes, reads := sim.storeRates(10 * time.Second)
		t.Logf("%3d shards: idle %.1f writes/s %.1f reads/s; %d starts/s %.1f writes/s %.1f reads/s; recovery %.1f writes/s %.1f reads/s",
			shards, idleWrites, idleReads, starts/10, busyWrites, busyReads, writes, reads)
		is.True(max(busyWrites, writes) <= 400 && max(busyReads, reads) <= 2000)
		is.Equal(sim.check.allViolations(), nil)
	}
}

// submitLoad submits two jobs of ten short tasks per second for d in total, spread
// over the shards.
func (sim *simulation) submitLoad(shards int, d time.Duration) {
	n := 0
	for at := time.Duration(0); at < d; at += time.Second / time.Duration(shards) {
		n++
		job := testJob(fmt.Sprint("load", n), 10, time.Second)
		sim.clock.After(at, func() { sim.submit(job) })
	}
}

// Sizes of one shard of 128 VMs at full scale: 250 such shards make 32,000 VMs.
const (
	loadVMs             = 128
	loadRunningTasks    = 2760 // of 690,000 running tasks at full scale
	loadStarts          = 1000
	loadStartsPerSecond = 16.4 // starts per second, of 4,100 at full scale
	loadTasksPerJob     = 20
)

func loadSpec(i int) *shard.Spec {
	id := shard.TaskID(fmt.Sprintf("member:job%d/%d", i/loadTasksPerJob, i%loadTasksPerJob))
	return &shard.Spec{ID: id, Job: fmt.Sprintf("member:job%d", i/loadTasksPerJob), Member: "member", Kind: "reconcile",
		Resources: inventory.Resources{MilliProcessors: 500, MemoryMB: 1000}, RunTimeMS: 600_000, DeadlineUnixMS: 1_800_000_000_000}
}

func loadStartRecords(i int) []shard.Record {
	spec := loadSpec(i)
	return []shard.Record{
		{Event: shard.RecordAccept, Task: spec.ID, Spec: spec},
		{Event: charts.TaskStart, Task: spec.ID, VM: fmt.Sprintf("vm%d", i%loadVMs), Worker: "10.0.0.1:7000", Attempt: 1, StartByUnixMS: 1_800_000_000_000},
	}
}

// TestDurabilityCost logs the writes and bytes of 1,000 starts and as many ends in
// one shard, for three layouts of the log, and what a recovery of 2,760 running
// tasks reads.
func TestDurabilityCost(t *testing.T) {
	seconds := loadStarts / loadStartsPerSecond
	single, grouped := 0, 0
	for i := range loadStarts {
		end := []shard.Record{{Event: charts.TaskFinish, Task: loadSpec(i).ID}}
		single += encodedSize(t, loadStartRecords(i)) + encodedSize(t, end)
		grouped += encodedSize(t, loadStartRecords(i)) + encodedSize(t, end) - 2
	}
	const headBytes = 600
	t.Logf("record for each start: %d writes and %d kB in 1,000 starts", 2*loadStarts, (single+2*loadStarts*headBytes)/1000)
	for _, interval := range []float64{0.1, 0.5, 1, 2} {
		writes := seconds / interval
		t.Logf("grouped, every %3.1f s: %.0f writes and %.0f kB in 1,000 starts", interval, writes, (float64(grouped)+writes*headBytes)/1000)
	}
	jobs := loadStarts / loadTasksPerJob
	ranges := encodedSize(t, platform.ExchangeRequest{Shard: "r1", Renew: []platform.LeaseRef{{Task: "member:job1/0-19", Attempt: 1}}})
	t.Logf("ranges of jobs: %d writes and %d kB in 1,000 starts", 2*jobs, 2*jobs*(ranges+headBytes)/1000)
	measureRecovery(t)
}

func measureRecovery(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	state, rows := shard.NewState(), 0
	for i := range loadRunningTasks {
		for _, r := range loadStartRecords(i) {
			_ = state.Apply(r)
		}
		rows += encodedSize(t, loadStartRecords(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	body, _, _ := shard.EncodeSnapshot(state, "snapshot", 1)
	reports := 0
	for i := range loadRunningTasks {
		id := string(loadSpec(i).ID)
		reports += encodedSize(t, platform.Lease{LeaseRef: platform.LeaseRef{Task: id, Attempt: 1}, State: platform.LeaseRunning, RanMS: 1000})
	}
	t.Logf("recovery of %d running tasks: %d rows one by one, %d kB; a snapshot, %d kB; reports of %d workers, %d kB",
		loadRunningTasks, loadRunningTasks, rows/1000, len(body)/1000, loadVMs, reports/1000)
	t.Logf("memory: %d B for each running task", (after.HeapAlloc-before.HeapAlloc)/loadRunningTasks)
	runtime.KeepAlive(state)
}

func encodedSize(t *testing.T, v any) int {
	t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(body)
}

// BenchmarkRecover compares the recovery of one shard at full scale from log rows of
// one record, from grouped rows and from a snapshot.
func BenchmarkRecover(b *testing.B) {
	state := shard.NewState()
	var single, grouped []platform.Row
	var group []shard.Record
	for i := range loadRunningTasks {
		records := loadStartRecords(i)
		for _, r := range records {
			_ = state.Apply(r)
		}
		single = append(single, encodeRow(records))
		if group = append(group, records...); float64(len(group)) > 2*loadStartsPerSecond || i == loadRunningTasks-1 {
			grouped, group = append(grouped, encodeRow(group)), nil
		}
	}
	body, ref, _ := shard.EncodeSnapshot(state, "snapshot", 1)
	replay := func(rows []platform.Row) {
		s := shard.NewState()
		for _, row := range rows {
			if err := applyRow(s, row); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("single", func(b *testing.B) {
		for b.Loop() {
			replay(single)
		}
	})
	b.Run("grouped", func(b *testing.B) {
		for b.Loop() {
			replay(grouped)
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			if _, err := shard.DecodeSnapshot(ref, body); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func encodeRow(records []shard.Record) platform.Row {
	value, _ := json.Marshal(records)
	return platform.Row{Value: value}
}
