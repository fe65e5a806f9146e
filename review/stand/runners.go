package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the runners, from the settings and the protocol page.
const (
	stopTime      = 100 * time.Millisecond // at most stopTimeoutMs
	restoreTime   = 250 * time.Millisecond
	checkpointing = time.Second
	endsPerAnswer = 500
	heartbeat     = 1100 * time.Millisecond
)

// step is a step of a job as a requester submits it, and how long its tasks run.
type step struct {
	Count         int   `json:"count"`
	CPU           int   `json:"cpu"`
	MemMB         int   `json:"memMb"`
	EstimateMS    int   `json:"estimateMs,omitempty"`
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	LongRunning   bool  `json:"longRunning,omitempty"`
	run           time.Duration
}

// fleet is the stand-in for all runners, and judges what they are told.
type fleet struct {
	mu      sync.Mutex
	rec     *record
	store   *store
	service string
	perRack int
	runners []*runner
	jobs    map[string]*submitted
	tasks   map[string]*taskHistory
}

// submitted is a job that a requester has sent.
type submitted struct {
	spec     string
	steps    []step
	times    int
	running  int
	done     int       // tasks that have ended done
	doneAt   time.Time // when the last of them did so first
	doneRuns int       // runs that have ended done
}

func (j *submitted) tasks() int {
	n := 0
	for _, s := range j.steps {
		n += s.Count
	}
	return n * max(1, j.times)
}

type taskHistory struct {
	running  map[string]bool // by runner and attempt
	lastRun  time.Time       // when the task last ran
	doneEnds []*end
}

type end struct {
	number     int64
	task       string
	attempt    int
	how, saved string
	taken      bool // ackCursor has reached it
	lapsed     bool // the lease lapsed before that
	// startedAfter describes a later start of the task.
	startedAfter string
	at           time.Time
}

type taskRun struct {
	attempt    int
	step       step
	job        *submitted
	began      time.Time
	work       time.Duration // done before this run
	stopAt     time.Time
	checkpoint string
}

// runner is a machine and the runner that lives on it.
type runner struct {
	f       *fleet
	number  int
	host    string
	id      string
	life    int
	address string
	cpu     int
	mem     int
	zone    string
	labels  []string
	server  *http.Server
	up      bool
	born    int64
	began   time.Time
	epoch   int64
	lease   int64
	runs    map[string]*taskRun
	ended   []*end
	ends    int64
	highest map[string]int
	wake    chan struct{}
	seq     int
	// backAfter is how long after the return of the store the runner reports there again.
	backAfter time.Duration
}

func newFleet(rec *record, s *store, service string) *fleet {
	return &fleet{rec: rec, store: s, service: service, perRack: 8, jobs: map[string]*submitted{}, tasks: map[string]*taskHistory{}}
}

// add starts a runner of a size in a rack.
func (f *fleet) add(n, cpu, mem int, zone string) error {
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	r := &runner{f: f, number: n, host: fmt.Sprintf("m-%04x", 0xa0+n), address: address, cpu: cpu, mem: mem, zone: zone, labels: []string{"a", fmt.Sprintf("r1-%d", n/f.perRack)}}
	f.runners = append(f.runners, r)
	return r.boot()
}

// boot begins a new life of the runner.
func (r *runner) boot() error {
	f := r.f
	f.mu.Lock()
	r.life++
	r.id = fmt.Sprintf("i-%08x", 0x7f3a9000+r.number*256+r.life)
	r.began, r.born = time.Now(), time.Now().UnixMilli()
	r.epoch, r.lease, r.ends = 0, 0, 0
	r.runs, r.ended, r.highest = map[string]*taskRun{}, nil, map[string]int{}
	r.wake, r.up = make(chan struct{}), true
	life, id := r.life, r.id
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", r.serve(life, r.serveStart))
	mux.HandleFunc("POST /v1/run-stop", r.serve(life, r.serveStop))
	mux.HandleFunc("POST /v1/pace", r.serve(life, func(request) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	mux.HandleFunc("POST /v1/hold", r.serveHold(life))
	r.server = &http.Server{Handler: mux}
	server := r.server
	f.mu.Unlock()
	var listener net.Listener
	var err error
	for range 50 { // the port may not be free at once after a crash
		if listener, err = net.Listen("tcp", r.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	go func() { _ = server.Serve(listener) }()
	go r.live(life)
	f.rec.logf("runner %s on %s is up as %s at %s", id, r.host, f.service, r.address)
	return nil
}

// crash ends the runner at once; nothing is sent.
func (r *runner) crash() {
	f := r.f
	f.mu.Lock()
	r.up = false
	id := r.id
	lost := 0
	for task, run := range r.runs {
		f.tasks[task].forget(r, run.attempt)
		run.job.running--
		lost++
	}
	r.runs = map[string]*taskRun{}
	server := r.server
	f.mu.Unlock()
	_ = server.Close()
	f.rec.logf("runner %s on %s crashes with %d runs", id, r.host, lost)
	time.AfterFunc(3*heartbeat, func() { f.store.remove("servers", "", id) })
}

func (h *taskHistory) forget(r *runner, attempt int) {
	delete(h.running, fmt.Sprintf("%s/%d", r.id, attempt))
}

// entry is what the runner says of itself in the store.
func (r *runner) entry() map[string]any {
	r.seq++
	return map[string]any{
		"service": r.f.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]any{"cpu": r.cpu, "memMb": r.mem, "gpu": 0}, "labels": r.labels,
		"sequence": r.seq, "born": r.born, "clockMs": r.clock(),
	}
}

// live reports to the store and ends runs, for one life.
func (r *runner) live(life int) {
	next := time.Now()
	for {
		r.f.mu.Lock()
		if r.life != life || !r.up {
			r.f.mu.Unlock()
			return
		}
		r.advance()
		id, entry := r.id, map[string]any(nil)
		if !time.Now().Before(next) {
			entry, next = r.entry(), time.Now().Add(heartbeat)
		}
		r.f.mu.Unlock()
		if entry != nil && !r.f.store.report(id, entry, r.backAfter) {
			next = time.Now().Add(50 * time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *runner) clock() int64 { return time.Since(r.began).Milliseconds() + 1000 }

// advance ends what is over. The fleet is locked.
func (r *runner) advance() {
	now := time.Now()
	if len(r.runs) > 0 && r.clock() > r.lease {
		for task := range r.runs {
			r.end(task, "lapsed")
		}
		for _, e := range r.ended {
			e.lapsed = true
		}
	}
	for task, run := range r.runs {
		r.f.tasks[task].lastRun = now
		worked := run.work + now.Sub(run.began)
		if run.step.Checkpointing {
			run.checkpoint = fmt.Sprintf("%016x", worked.Milliseconds()/checkpointing.Milliseconds()*checkpointing.Milliseconds())
		}
		switch {
		case !run.stopAt.IsZero() && !now.Before(run.stopAt):
			r.end(task, "stopped")
		case !run.step.LongRunning && worked >= run.step.run:
			r.end(task, "done")
		}
	}
}

func (r *runner) end(task, how string) {
	run := r.runs[task]
	delete(r.runs, task)
	r.ends++
	e := &end{number: r.ends, task: task, attempt: run.attempt, how: how, at: time.Now()}
	if how != "done" && run.step.Checkpointing {
		e.saved = run.checkpoint
	}
	r.ended = append(r.ended, e)
	r.highest[task] = max(r.highest[task], run.attempt)
	h := r.f.tasks[task]
	h.forget(r, run.attempt)
	run.job.running--
	if how == "done" {
		if len(h.doneEnds) == 0 {
			run.job.done++
			run.job.doneAt = time.Now()
		}
		h.doneEnds = append(h.doneEnds, e)
		run.job.doneRuns++
	}
	r.f.rec.logf("run %s attempt %d on %s ends %s", task, run.attempt, r.id, how)
	close(r.wake)
	r.wake = make(chan struct{})
}

type request struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Epoch      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Ack        int64  `json:"ackCursor"`
	Wait       int    `json:"waitMs"`
}

func (r *runner) decode(w http.ResponseWriter, q *http.Request, life int) (request, bool) {
	var body request
	if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return body, false
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if expected := q.Header.Get("X-Expected-Instance"); expected != "" && expected != r.id || r.life != life {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return body, false
	}
	return body, true
}

func (r *runner) serve(life int, handle func(request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		body, ok := r.decode(w, q, life)
		if !ok {
			return
		}
		r.f.mu.Lock()
		r.advance()
		status, answer := http.StatusConflict, map[string]any{"reason": "fence"}
		if body.Epoch >= r.epoch {
			r.epoch = body.Epoch
			status, answer = handle(body)
		}
		answer["clockMs"], answer["born"] = r.clock(), r.born
		r.f.mu.Unlock()
		writeJSON(w, status, answer)
	}
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (r *runner) serveStart(q request) (int, map[string]any) {
	f := r.f
	if q.Deadline < r.clock() {
		return refuse("late")
	}
	r.lease = max(r.lease, min(q.Deadline, r.clock()+holdMaxMS))
	if run := r.runs[q.Task]; run != nil && run.attempt == q.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if q.Attempt <= r.highest[q.Task] || r.runs[q.Task] != nil {
		return refuse("old")
	}
	parts := strings.Split(q.Task, ".")
	j := f.jobs[parts[0]]
	n := -1
	if len(parts) == 4 {
		n, _ = strconv.Atoi(parts[2])
	}
	if j == nil || n < 0 || n >= len(j.steps) || q.Spec != j.spec {
		f.rec.breach("UNASKED: %s is told to start %s, which nobody sent", r.id, q.Task)
		return http.StatusBadRequest, map[string]any{}
	}
	cpu, mem := j.steps[n].CPU, j.steps[n].MemMB
	for _, run := range r.runs {
		cpu, mem = cpu+run.step.CPU, mem+run.step.MemMB
	}
	if cpu > r.cpu || mem > r.mem {
		return refuse("room")
	}
	h := f.tasks[q.Task]
	if h == nil {
		h = &taskHistory{running: map[string]bool{}}
		f.tasks[q.Task] = h
	}
	for other := range h.running {
		f.rec.breach("TWICE: %s starts on %s as attempt %d while it runs as %s", q.Task, r.id, q.Attempt, other)
	}
	for _, e := range h.doneEnds {
		later := fmt.Sprintf("attempt %d on %s", q.Attempt, r.id)
		switch {
		case e.lapsed:
		case e.taken:
			f.rec.breach("TWICE: %s starts as %s after attempt %d has ended done, which was taken note of", q.Task, later, e.attempt)
		default:
			e.startedAfter = later
		}
	}
	h.running[fmt.Sprintf("%s/%d", r.id, q.Attempt)] = true
	run := &taskRun{attempt: q.Attempt, step: j.steps[n], job: j, began: time.Now(), checkpoint: q.Checkpoint}
	if saved, err := strconv.ParseInt(q.Checkpoint, 16, 64); err == nil {
		run.work = time.Duration(saved)*time.Millisecond - restoreTime
	}
	r.runs[q.Task] = run
	j.running++
	h.lastRun = time.Now()
	f.rec.logf("start %s attempt %d on %s, epoch %d", q.Task, q.Attempt, r.id, q.Epoch)
	return http.StatusOK, map[string]any{}
}

func (r *runner) serveStop(q request) (int, map[string]any) {
	r.highest[q.Task] = max(r.highest[q.Task], q.Attempt)
	if run := r.runs[q.Task]; run != nil && run.attempt <= q.Attempt && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) serveHold(life int) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		body, ok := r.decode(w, q, life)
		if !ok {
			return
		}
		f := r.f
		f.mu.Lock()
		r.advance()
		if body.Epoch < r.epoch {
			clock := r.clock()
			f.mu.Unlock()
			writeJSON(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
			return
		}
		r.epoch = body.Epoch
		r.lease = max(r.lease, min(body.Deadline, r.clock()+holdMaxMS))
		r.take(body.Ack)
		deadline := time.Now().Add(time.Duration(min(body.Wait, 2000)) * time.Millisecond)
		for len(r.ended) == 0 && time.Now().Before(deadline) && r.up && r.life == life {
			wake := r.wake
			f.mu.Unlock()
			select {
			case <-wake:
			case <-time.After(time.Until(deadline)):
			case <-q.Context().Done():
				return
			}
			f.mu.Lock()
		}
		running, ended := [][]any{}, [][]any{}
		for task, run := range r.runs {
			running = append(running, []any{task, run.attempt, run.checkpoint, run.percent(), run.figure()})
		}
		for _, e := range r.ended[:min(len(r.ended), endsPerAnswer)] {
			ended = append(ended, []any{e.number, e.task, e.attempt, e.how, e.saved})
		}
		answer := map[string]any{"clockMs": r.clock(), "born": r.born, "running": running, "ended": ended}
		f.mu.Unlock()
		writeJSON(w, http.StatusOK, answer)
	}
}

// take forgets the ends up to a number. The fleet is locked.
func (r *runner) take(cursor int64) {
	for len(r.ended) > 0 && r.ended[0].number <= cursor {
		e := r.ended[0]
		r.ended, e.taken = r.ended[1:], true
		if e.how == "done" && e.startedAfter != "" && !e.lapsed {
			r.f.rec.breach("TWICE: %s was started as %s after attempt %d had ended done on %s, which is taken note of now", e.task, e.startedAfter, e.attempt, r.id)
		}
	}
}

func (run *taskRun) percent() int {
	if run.step.LongRunning {
		return 100
	}
	return int(min(99, 100*(run.work+time.Since(run.began))/max(1, run.step.run)))
}

func (run *taskRun) figure() int {
	if run.step.LongRunning {
		return 10
	}
	return run.step.CPU
}

// machines serves the platform's list of machines.
func (f *fleet) machines(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	list := []map[string]any{}
	for _, r := range f.runners {
		m := map[string]any{"hostId": r.host, "pool": f.service, "state": "up", "zone": r.zone, "labels": r.labels,
			"capacity": map[string]any{"cpu": r.cpu, "memMb": r.mem, "gpu": 0}, "id": r.id}
		if !r.up {
			m["state"], m["id"] = "down", ""
		}
		list = append(list, m)
	}
	f.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
}

// freeCPU returns the share of the processors that no run uses.
func (f *fleet) freeCPU() float64 {
	used, all := 0, 0
	for _, r := range f.runners {
		if !r.up {
			continue
		}
		all += r.cpu
		for _, run := range r.runs {
			used += run.step.CPU
		}
	}
	return 1 - float64(used)/float64(max(1, all))
}
