package fake

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/inventory"
)

// Worker is a stand-in worker. A task's payload determines its behaviour:
// "run=<duration>" finishes after that time, "fail" fails at once. It is safe
// for concurrent use.
type Worker struct {
	now      func() time.Time
	capacity inventory.Resources

	mu         sync.Mutex
	epochs     map[string]int64 // highest epoch seen, by shard
	leases     map[string]*lease
	starts     map[string]int // starts so far, by task
	violations []string
	// onStart is called after a request has started a task.
	onStart func(platform.StartRequest)
}

type lease struct {
	platform.Lease
	shard     string
	expiresAt time.Time
	startedAt time.Time
	endsAt    time.Time
	fails     bool
	resources inventory.Resources
}

// NewWorker returns an idle worker that reads the time from now.
func NewWorker(capacity inventory.Resources, now func() time.Time) *Worker {
	return &Worker{
		now:      now,
		capacity: capacity,
		epochs:   map[string]int64{},
		leases:   map[string]*lease{},
		starts:   map[string]int{},
	}
}

// Observe registers fn to be called after every request that starts a task.
func (w *Worker) Observe(fn func(platform.StartRequest)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onStart = fn
}

// Restart discards the worker's state, as when its VM is replaced.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epochs = map[string]int64{}
	w.leases = map[string]*lease{}
}

// Violations returns the recorded violations, such as tasks that exceed the
// worker's capacity.
func (w *Worker) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// Running returns the sorted names of the running tasks.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var tasks []string
	for _, l := range w.leases {
		if l.State == platform.LeaseRunning {
			tasks = append(tasks, l.Task)
		}
	}
	sort.Strings(tasks)
	return tasks
}

func leaseKey(task string, attempt int) string { return fmt.Sprintf("%s#%d", task, attempt) }

// fence refuses requests of a former owner of the shard.
func (w *Worker) fence(shard string, epoch int64) error {
	if epoch < w.epochs[shard] {
		return &platform.RefusedError{Reason: fmt.Sprintf("epoch %d of shard %q is older than %d", epoch, shard, w.epochs[shard])}
	}
	w.epochs[shard] = epoch
	return nil
}

// Start implements platform.Worker.
func (w *Worker) Start(_ context.Context, request platform.StartRequest) error {
	onStart, err := w.start(request)
	if onStart != nil {
		onStart(request)
	}
	return err
}

// start returns the function to call when the request has started the task, or nil.
func (w *Worker) start(request platform.StartRequest) (func(platform.StartRequest), error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	now := w.now()
	if err := w.fence(request.Shard, request.Epoch); err != nil {
		return nil, err
	}
	if now.UnixMilli() > request.StartByUnixMS {
		return nil, &platform.RefusedError{Reason: fmt.Sprintf("order for task %q came after its start_by", request.Task)}
	}
	key := leaseKey(request.Task, request.Attempt)
	if _, ok := w.leases[key]; ok {
		return nil, nil // a repeated request
	}
	l := &lease{
		Lease: platform.Lease{
			LeaseRef: platform.LeaseRef{Task: request.Task, Attempt: request.Attempt},
			State:    platform.LeaseRunning,
			Usage:    request.Resources,
		},
		shard:     request.Shard,
		expiresAt: time.UnixMilli(request.LeaseUntilUnixMS),
		startedAt: now,
		resources: request.Resources,
	}
	l.applyPayload(request.Payload, now)
	w.leases[key] = l
	w.starts[request.Task]++
	w.checkCapacity()
	return w.onStart, nil
}

// applyPayload sets how and when the task ends. A payload that is neither "fail"
// nor a duration runs for one second.
func (l *lease) applyPayload(payload string, now time.Time) {
	if payload == "fail" {
		l.fails = true
		l.endsAt = now
		return
	}
	run, err := time.ParseDuration(strings.TrimPrefix(payload, "run="))
	if err != nil {
		run = time.Second
	}
	l.endsAt = now.Add(run)
}

func (w *Worker) checkCapacity() {
	var used inventory.Resources
	for _, l := range w.leases {
		if l.State == platform.LeaseRunning {
			used = used.Add(l.resources)
		}
	}
	if !used.Fits(w.capacity) {
		w.violations = append(w.violations, fmt.Sprintf("used %v is more than capacity %v", used, w.capacity))
	}
}

// advance ends the leases whose task has ended or that have expired by now.
func (w *Worker) advance() {
	now := w.now()
	for _, l := range w.leases {
		if l.State != platform.LeaseRunning {
			continue
		}
		l.RanMS = now.Sub(l.startedAt).Milliseconds()
		switch {
		case l.fails:
			l.State, l.Reason = platform.LeaseFailed, "task failed"
		case !now.Before(l.endsAt) && !l.endsAt.After(l.expiresAt):
			l.State, l.RanMS = platform.LeaseFinished, l.endsAt.Sub(l.startedAt).Milliseconds()
		case !now.Before(l.expiresAt):
			l.State = platform.LeaseExpired
		}
	}
}

// Stop implements platform.Worker.
func (w *Worker) Stop(_ context.Context, request platform.StopRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err := w.fence(request.Shard, request.Epoch); err != nil {
		return err
	}
	l, ok := w.leases[leaseKey(request.Task, request.Attempt)]
	if !ok || l.State != platform.LeaseRunning {
		return nil
	}
	l.State = platform.LeaseStopped
	if request.Checkpoint {
		l.Checkpoint = fmt.Sprintf("checkpoint-%s-%d", request.Task, request.Attempt)
	}
	return nil
}

// Throttle implements platform.Worker.
func (w *Worker) Throttle(_ context.Context, request platform.ThrottleRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fence(request.Shard, request.Epoch); err != nil {
		return err
	}
	if l, ok := w.leases[leaseKey(request.Task, request.Attempt)]; ok {
		l.Usage.MilliProcessors = l.resources.MilliProcessors * int64(request.PerMille) / 1000
	}
	return nil
}

// Exchange implements platform.Worker.
func (w *Worker) Exchange(_ context.Context, request platform.ExchangeRequest) (platform.ExchangeReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err := w.fence(request.Shard, request.Epoch); err != nil {
		return platform.ExchangeReply{}, err
	}
	for _, ref := range request.Renew {
		l, ok := w.leases[leaseKey(ref.Task, ref.Attempt)]
		if ok && l.State == platform.LeaseRunning {
			l.expiresAt = time.UnixMilli(max(l.expiresAt.UnixMilli(), request.LeaseUntilUnixMS))
		}
	}
	for _, ref := range request.Acknowledge {
		key := leaseKey(ref.Task, ref.Attempt)
		if l, ok := w.leases[key]; ok && l.State != platform.LeaseRunning {
			delete(w.leases, key)
		}
	}
	return w.report(request.Shard), nil
}

func (w *Worker) report(shard string) platform.ExchangeReply {
	report := platform.ExchangeReply{MeasuredUnixMS: w.now().UnixMilli()}
	for _, l := range w.leases {
		if l.shard == shard {
			report.Leases = append(report.Leases, l.Lease)
		}
	}
	sort.Slice(report.Leases, func(i, j int) bool {
		a, b := report.Leases[i], report.Leases[j]
		if a.Task != b.Task {
			return a.Task < b.Task
		}
		return a.Attempt < b.Attempt
	})
	return report
}

// Handler returns a handler that serves the worker's HTTP interface.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /worker/start", func(rw http.ResponseWriter, r *http.Request) {
		serveWorkerRequest(rw, r, func(request platform.StartRequest) (any, error) { return nil, w.Start(r.Context(), request) })
	})
	mux.HandleFunc("POST /worker/stop", func(rw http.ResponseWriter, r *http.Request) {
		serveWorkerRequest(rw, r, func(request platform.StopRequest) (any, error) { return nil, w.Stop(r.Context(), request) })
	})
	mux.HandleFunc("POST /worker/throttle", func(rw http.ResponseWriter, r *http.Request) {
		serveWorkerRequest(rw, r, func(request platform.ThrottleRequest) (any, error) { return nil, w.Throttle(r.Context(), request) })
	})
	mux.HandleFunc("POST /worker/exchange", func(rw http.ResponseWriter, r *http.Request) {
		serveWorkerRequest(rw, r, func(request platform.ExchangeRequest) (any, error) { return w.Exchange(r.Context(), request) })
	})
	return mux
}

func serveWorkerRequest[T any](w http.ResponseWriter, r *http.Request, handle func(T) (any, error)) {
	var request T
	if !readJSON(w, r, &request) {
		return
	}
	reply, err := handle(request)
	writeJSON(w, reply, err)
}
