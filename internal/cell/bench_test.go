package cell

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/control"
	"github.com/bambooyard/bambooyard/internal/eventlog"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// benchFleet simulates workers at a low cost to the benchmark: an attempt ends after a
// fixed time, and a listing waits on a channel.
type benchFleet struct {
	workers          map[string]*benchWorker // by ID
	began            time.Time
	work             time.Duration
	listings, starts atomic.Int64
}

type benchWorker struct {
	mu       sync.Mutex
	entry    port.WorkerEntry
	running  []port.RunningTask
	ended    []port.EndedTask
	sequence int64
	changed  chan struct{} // has a value after an end
}

func newBenchFleet(n int, work time.Duration) *benchFleet {
	f := &benchFleet{workers: map[string]*benchWorker{}, began: time.Now(), work: work}
	for i := range n {
		id := fmt.Sprintf("w%03d", i)
		f.workers[id] = &benchWorker{changed: make(chan struct{}, 1), entry: port.WorkerEntry{
			ID: id, Pool: "pool", Address: id, Boot: 1, Capacity: job.Resources{MilliCPU: 64000, MemoryMB: 250000},
		}}
	}
	return f
}

func (f *benchFleet) clock() int64 { return 1000 + time.Since(f.began).Milliseconds() }

// Start implements port.Workers. Services run until the benchmark ends.
func (f *benchFleet) Start(_ context.Context, to port.Target, req port.StartRequest) (int64, error) {
	f.starts.Add(1)
	w := f.workers[to.ID]
	w.mu.Lock()
	defer w.mu.Unlock()
	service := req.Payload == "service"
	r := port.RunningTask{Task: req.Task, Attempt: req.Attempt, Percent: 50, Measurement: 100}
	if service {
		r.Percent, r.Measurement = 100, 20
	}
	w.running = append(w.running, r)
	if !service {
		time.AfterFunc(f.work, func() { w.end(req.Task, req.Attempt) })
	}
	return f.clock(), nil
}

func (w *benchWorker) end(task string, attempt int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, r := range w.running {
		if r.Task == task && r.Attempt == attempt {
			w.running = append(w.running[:i], w.running[i+1:]...)
			w.sequence++
			w.ended = append(w.ended, port.EndedTask{Sequence: w.sequence, Task: task, Attempt: attempt, Reason: port.EndDone})
			select {
			case w.changed <- struct{}{}:
			default:
			}
			return
		}
	}
}

// Stop implements port.Workers.
func (f *benchFleet) Stop(_ context.Context, to port.Target, task string, attempt int, _ int64) error {
	f.workers[to.ID].end(task, attempt)
	return nil
}

// Throttle implements port.Workers.
func (f *benchFleet) Throttle(context.Context, port.Target, string, int, int64, int) error {
	return nil
}

// benchWorkers implements port.Workers on a benchFleet, and benchFleet port.Directory.
type benchWorkers struct{ *benchFleet }

// List implements port.Workers.
func (f benchWorkers) List(ctx context.Context, to port.Target, req port.ListRequest) (port.Listing, error) {
	f.listings.Add(1)
	w := f.workers[to.ID]
	w.mu.Lock()
	for len(w.ended) > 0 && w.ended[0].Sequence <= req.Acknowledge {
		w.ended = w.ended[1:]
	}
	wait := req.Wait > 0 && len(w.ended) == 0
	w.mu.Unlock()
	if wait {
		timer := time.NewTimer(req.Wait)
		defer timer.Stop()
		select {
		case <-w.changed:
		case <-timer.C:
		case <-ctx.Done():
			return port.Listing{}, &port.UnansweredError{Op: "list", Err: ctx.Err()}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return port.Listing{
		ClockMS: f.clock(), Boot: 1,
		Running: append([]port.RunningTask(nil), w.running...), Ended: append([]port.EndedTask(nil), w.ended...),
	}, nil
}

// List implements port.Directory.
func (f *benchFleet) List(context.Context) ([]port.WorkerEntry, error) {
	entries := make([]port.WorkerEntry, 0, len(f.workers))
	for _, w := range f.workers {
		entries = append(entries, w.entry)
	}
	return entries, nil
}

// benchConfig is a configuration with one queue.
type benchConfig struct{}

// Read implements port.ConfigSource.
func (benchConfig) Read(context.Context, *port.Config) (*port.Config, error) {
	queue := job.Queue{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second}
	return &port.Config{Version: 1, Body: []byte("{}"), Routes: []port.Route{{Queue: queue}}}, nil
}

// Decode implements port.ConfigSource.
func (c benchConfig) Decode([]byte) (*port.Config, error) { return c.Read(context.Background(), nil) }

// startBenchCell runs an owner with real time, a log and a fleet.
func startBenchCell(b *testing.B, fleet *benchFleet) *Cell {
	b.Helper()
	loop := control.NewLoop()
	events := eventlog.NewLogfmt(io.Discard, time.Now)
	c := New(Options{
		Partition: "c0", Self: Identity{Name: "d0", Boot: "1", Address: "d0"},
		Loop: loop, Store: fake.NewRowStore(), Workers: benchWorkers{fleet}, Directory: fleet, Configs: benchConfig{},
		Log:    (&log.Logger{Handler: events, Level: log.InfoLevel}).WithField("daemon", "d0"),
		Engine: dispatch.Options{MaxLease: 6 * time.Second, StartWindow: 1500 * time.Millisecond, MaxViolation: 4 * time.Second},
		Lease:  4500 * time.Millisecond, Retention: 4 * time.Minute,
		Now: time.Now, Wall: time.Now,
		Uptime: func() time.Duration { return time.Since(fleet.began) },
		Random: func() float64 { return 0.5 },
	})
	go loop.Run()
	c.Start()
	b.Cleanup(func() { loop.Stop(); events.Close() })
	for !c.View().IsOwner {
		time.Sleep(10 * time.Millisecond)
	}
	return c
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Load of BenchmarkConversation.
const (
	benchFleetSize    = 490
	benchServices     = 1200
	benchJobInterval  = 20 * time.Millisecond
	benchTasksPerJob  = 16
	benchTaskDuration = 2500 * time.Millisecond
	benchWarmUp       = 4 * time.Second
	benchPeriod       = 4 * time.Second
)

func benchJob(n int, service bool) job.Spec {
	step := job.Step{Tasks: benchTasksPerJob, BestEffort: true, Checkpoints: true, EstimateMS: benchTaskDuration.Milliseconds(),
		Image: fmt.Sprintf("b%d", n%9), Resources: job.Resources{MilliCPU: 1000, MemoryMB: 13000}}
	spec := job.Spec{ID: fmt.Sprintf("batch-%06d", n), Queue: "batch", Payload: "batch"}
	if service {
		spec.ID, spec.Payload = fmt.Sprintf("service-%06d", n), "service"
		step = job.Step{Tasks: 1, Service: true, Image: fmt.Sprintf("s%d", n%5), TargetLatencyMS: 50, Resources: job.Resources{MilliCPU: 13000, MemoryMB: 26000}}
	}
	spec.Steps = []job.Step{step}
	return spec
}

// BenchmarkConversation measures the processor time of an owner of many workers, without
// the cost of its connections. Each iteration covers benchPeriod of real time.
func BenchmarkConversation(b *testing.B) {
	fleet := newBenchFleet(benchFleetSize, benchTaskDuration)
	c := startBenchCell(b, fleet)
	for i := range benchServices {
		if err := c.Submit(b.Context(), benchJob(i, true)); err != nil {
			b.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(benchJobInterval)
		defer ticker.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			<-ticker.C
			_ = c.Submit(ctx, benchJob(n, false))
		}
	})
	time.Sleep(benchWarmUp)
	b.ResetTimer()
	listings, starts, began := fleet.listings.Load(), fleet.starts.Load(), processorTime(b)
	for range b.N {
		time.Sleep(benchPeriod)
	}
	seconds := float64(b.N) * benchPeriod.Seconds()
	listed := float64(fleet.listings.Load() - listings)
	used := processorTime(b) - began
	b.ReportMetric(used.Seconds()/seconds, "cores")
	b.ReportMetric(listed/seconds, "listings/s")
	b.ReportMetric(float64(fleet.starts.Load()-starts)/seconds, "starts/s")
	b.ReportMetric(float64(used.Microseconds())/listed, "cpu-µs/listing")
	b.StopTimer()
	cancel()
	wg.Wait()
}

// BenchmarkDepths measures the depths of the queues, which the owner sends with each
// reply to a follower, while 1,500 jobs are open.
func BenchmarkDepths(b *testing.B) {
	t := &term{engine: dispatch.NewEngine(dispatch.Options{})}
	for i := range 1500 {
		t.engine.Add(benchJob(i, i%2 == 0), time.Now(), 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		t.depths()
	}
}

// BenchmarkRestore measures the part of a recovery that runs on the control loop, for
// 1,500 jobs of two steps, half of which have started. The jobs have no settings, or those of queues
// that the configuration lacks.
func BenchmarkRestore(b *testing.B) {
	for _, queues := range []int{0, 1, 1400} {
		b.Run(fmt.Sprintf("queues=%d", queues), func(b *testing.B) { benchmarkRestore(b, queues) })
	}
}

func benchmarkRestore(b *testing.B, queues int) {
	var data recoveryData
	cluster := &cluster{}
	for i := range 1500 {
		spec := cluster.spec(benchTasksPerJob)
		if queues > 0 {
			spec.Queue = fmt.Sprintf("queue%d", i%queues)
			spec.QueueSettings = &job.QueueSettings{Version: 1, Queue: job.Queue{Name: spec.Queue, Pool: "pool", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}
		}
		row := port.Row{Table: tableJobs, Key: spec.ID, Value: encode(jobRecord{Spec: &spec}), Version: 1}
		data.jobs.Rows = append(data.jobs.Rows, row)
		if i%2 == 0 {
			progress := dispatch.Progress{}
			for k := range benchTasksPerJob {
				progress.Tasks = append(progress.Tasks, dispatch.TaskProgress{Index: k, Done: k%2 == 0, Attempt: 1, Worker: "w001"})
			}
			data.progress.Rows = append(data.progress.Rows, port.Row{Table: tableProgress, Key: spec.ID, Value: encode(progress), Version: 1})
		}
	}
	data.workers.workers, _ = newBenchFleet(benchFleetSize, benchTaskDuration).List(b.Context())
	b.ReportAllocs()
	for b.Loop() {
		c := New(Options{Log: &log.Logger{Handler: discard.New()}, Now: time.Now, Wall: time.Now})
		t := newTerm(c, ownerRecord{Epoch: 2}, 1, time.Now())
		t.restore(data, time.Now())
		if len(t.engine.Jobs()) != len(data.jobs.Rows) {
			b.Fatal("jobs are missing")
		}
	}
}
