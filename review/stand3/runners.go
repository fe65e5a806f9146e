//go:build review3

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

const (
	heartbeat    = 1500 * time.Millisecond
	maxLease     = 10 * time.Second // holdMaxMs
	maxEnds      = 500
	maxHoldWait  = 2 * time.Second
	runnerRack   = 2
	runnerCPU    = 16000
	runnerMemory = 64000
)

// fleet is all runners of a service.
type fleet struct {
	mu      sync.Mutex
	store   *store
	rec     *record
	service string
	work    func(task string) time.Duration
	runners []*runner
	history []*run
	changed chan struct{} // closed and replaced when a run begins or ends
	// taskCPU is what each task requests; a runner refuses what does not fit.
	taskCPU int
	// stayID keeps a runner's ID in its next lives.
	stayID bool
	// machinesLate is how late the list of machines is answered.
	machinesLate time.Duration
}

// runner is a machine with a runner; its life changes when it crashes.
type runner struct {
	fleet   *fleet
	number  int
	address string
	life    *life // nil while it is down
	lives   int
	state   string
}

// life is one boot of a runner.
type life struct {
	id       string
	born     int64
	started  time.Time
	server   *http.Server
	fence    int64
	lease    int64 // on its clock
	runs     map[string]*run
	ended    []end
	lastEnd  int64
	highest  map[string]int
	sequence int
	gone     chan struct{}
}

// run is one run of a task.
type run struct {
	task       string
	attempt    int
	runner     int
	life       string
	fence      int64
	from, to   time.Time // to is zero while it goes on
	how        string
	spec       string
	checkpoint string
	timer      *time.Timer
}

type end struct {
	n   int64
	run *run
}

func newFleet(s *store, rec *record, service string, work func(string) time.Duration) *fleet {
	return &fleet{store: s, rec: rec, service: service, work: work, changed: make(chan struct{}), taskCPU: 1000}
}

// add starts a runner on a free port.
func (f *fleet) add() (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{fleet: f, number: len(f.runners), address: l.Addr().String(), state: "ready"}
	f.runners = append(f.runners, r)
	r.start(l)
	return r, nil
}

func (r *runner) start(l net.Listener) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r.lives++
	lf := &life{
		id: fmt.Sprintf("i-%02d%04d", r.number, r.lives), born: time.Now().UnixMilli(), started: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, gone: make(chan struct{}),
	}
	if f.stayID {
		lf.id = fmt.Sprintf("i-%02d", r.number)
	}
	r.life, r.state = lf, "ready"
	lf.server = &http.Server{Handler: r.handler(lf), ReadHeaderTimeout: time.Minute}
	go func() { _ = lf.server.Serve(l) }() // ends with the life
	go r.report(lf)
	go r.watchLease(lf)
	f.rec.add("runner %d up as %s", r.number, lf.id)
}

// crash ends the runner without a word; its entry goes after three silent intervals.
func (r *runner) crash() {
	f := r.fleet
	f.mu.Lock()
	lf := r.life
	r.life = nil
	names := []string{}
	for _, run := range lf.runs {
		run.timer.Stop()
		run.to, run.how = time.Now(), "crash"
		names = append(names, fmt.Sprintf("%s/%d", run.task, run.attempt))
	}
	close(lf.gone)
	f.notify()
	f.mu.Unlock()
	_ = lf.server.Close()
	f.rec.add("runner %d (%s) crashed with %s", r.number, lf.id, strings.Join(names, " "))
	time.AfterFunc(3*heartbeat, func() {
		f.mu.Lock()
		back := r.life != nil && r.life.id == lf.id
		f.mu.Unlock()
		if !back {
			f.store.remove("servers", lf.id)
		}
	})
}

// restart starts the next life of a crashed runner at its address.
func (r *runner) restart() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.start(l)
	return nil
}

// report writes the runner's entry at intervals.
func (r *runner) report(lf *life) {
	for {
		r.fleet.mu.Lock()
		lf.sequence++
		entry := map[string]any{
			"id": lf.id, "service": r.fleet.service, "address": r.address, "zone": "a", "version": "1", "slots": 8, "state": r.state,
			"coldRemainingMs": 0, "sequence": lf.sequence, "born": lf.born,
			"capacity": map[string]any{"cpu": runnerCPU, "memMb": runnerMemory},
			"labels":   []string{"a", fmt.Sprintf("r1-%d", r.number/runnerRack)},
		}
		r.fleet.mu.Unlock()
		select {
		case <-lf.gone:
			return
		default:
			r.fleet.store.put("servers", lf.id, entry)
		}
		select {
		case <-lf.gone:
			return
		case <-time.After(heartbeat):
		}
	}
}

// clock is the life's own clock in milliseconds.
func (l *life) clock() int64 { return time.Since(l.started).Milliseconds() + 1 }

func (f *fleet) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// watchLease kills everything when the lease expires.
func (r *runner) watchLease(lf *life) {
	for {
		select {
		case <-lf.gone:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r.fleet.mu.Lock()
		if lf.clock() > lf.lease {
			for _, run := range lf.runs {
				r.finish(lf, run, "lapsed")
			}
		}
		r.fleet.mu.Unlock()
	}
}

func (l *life) extend(until int64) {
	l.lease = max(l.lease, min(until, l.clock()+maxLease.Milliseconds()))
}

// finish ends a run. The caller holds the fleet's mutex.
func (r *runner) finish(lf *life, run *run, how string) {
	if lf.runs[run.task] != run {
		return
	}
	delete(lf.runs, run.task)
	run.timer.Stop()
	run.to, run.how = time.Now(), how
	lf.lastEnd++
	lf.ended = append(lf.ended, end{lf.lastEnd, run})
	lf.highest[run.task] = max(lf.highest[run.task], run.attempt)
	r.fleet.rec.add("runner %d: %s/%d ended %s", r.number, run.task, run.attempt, how)
	r.fleet.notify()
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Ack        int64  `json:"ackCursor"`
	WaitMS     int64  `json:"waitMs"`
}

func (r *runner) handler(lf *life) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, serve func(order) (int, map[string]any)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
			var o order
			if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			w.Header().Set("X-Instance-Id", lf.id)
			if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != lf.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			status, body := serve(o)
			select {
			case <-lf.gone:
				panic(http.ErrAbortHandler)
			default:
			}
			body["clockMs"], body["born"] = lf.clock(), lf.born
			reply(w, status, body)
		})
	}
	handle("/v1/run-start", func(o order) (int, map[string]any) { return r.serveStart(lf, o) })
	handle("/v1/run-stop", func(o order) (int, map[string]any) { return r.serveStop(lf, o) })
	handle("/v1/hold", func(o order) (int, map[string]any) { return r.serveHold(lf, o) })
	handle("/v1/pace", func(order) (int, map[string]any) { return http.StatusOK, map[string]any{} })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", lf.id)
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (r *runner) serveStart(lf *life, o order) (int, map[string]any) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Fence < lf.fence {
		return refuse("fence")
	}
	lf.fence = o.Fence
	if current := lf.runs[o.Task]; current != nil && current.attempt == o.Attempt {
		lf.extend(o.Deadline)
		return http.StatusOK, map[string]any{}
	}
	if o.Deadline < lf.clock() {
		return refuse("late")
	}
	lf.extend(o.Deadline)
	if o.Attempt <= lf.highest[o.Task] || lf.runs[o.Task] != nil {
		return refuse("old")
	}
	if (len(lf.runs)+1)*f.taskCPU > runnerCPU {
		f.rec.add("runner %d (%s): %s/%d refused for want of room", r.number, lf.id, o.Task, o.Attempt)
		return refuse("room")
	}
	started := &run{task: o.Task, attempt: o.Attempt, runner: r.number, life: lf.id, fence: o.Fence, from: time.Now(), spec: o.Spec, checkpoint: o.Checkpoint}
	lf.runs[o.Task] = started
	f.history = append(f.history, started)
	if work := f.work(o.Task); work > 0 {
		started.timer = time.AfterFunc(work, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			r.finish(lf, started, "done")
		})
	} else {
		started.timer = time.NewTimer(time.Hour) // a task that lasts
	}
	f.rec.add("runner %d (%s): %s/%d started, fence %d", r.number, lf.id, o.Task, o.Attempt, o.Fence)
	f.notify()
	return http.StatusOK, map[string]any{}
}

func (r *runner) serveStop(lf *life, o order) (int, map[string]any) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Fence < lf.fence {
		return refuse("fence")
	}
	lf.fence = o.Fence
	lf.highest[o.Task] = max(lf.highest[o.Task], o.Attempt)
	f.rec.add("runner %d: stop of %s/%d, fence %d", r.number, o.Task, o.Attempt, o.Fence)
	if run := lf.runs[o.Task]; run != nil && run.attempt <= o.Attempt {
		r.finish(lf, run, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) serveHold(lf *life, o order) (int, map[string]any) {
	f := r.fleet
	deadline := time.After(min(time.Duration(o.WaitMS)*time.Millisecond, maxHoldWait))
	first := true
	for {
		f.mu.Lock()
		if o.Fence < lf.fence {
			f.mu.Unlock()
			return refuse("fence")
		}
		lf.fence = o.Fence
		if first {
			first = false
			lf.extend(o.Deadline)
			for len(lf.ended) > 0 && lf.ended[0].n <= o.Ack {
				lf.ended = lf.ended[1:]
			}
		}
		running, ended := [][]any{}, [][]any{}
		for _, run := range lf.runs {
			running = append(running, []any{run.task, run.attempt, "", r.percent(run), 0})
		}
		for _, e := range lf.ended[:min(len(lf.ended), maxEnds)] {
			ended = append(ended, []any{e.n, e.run.task, e.run.attempt, e.run.how, ""})
		}
		changed := f.changed
		f.mu.Unlock()
		body := map[string]any{"running": running, "ended": ended}
		if len(ended) > 0 || o.WaitMS <= 0 {
			return http.StatusOK, body
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, body
		case <-lf.gone:
			return http.StatusOK, body
		}
	}
}

// percent returns a run's progress. A task that lasts is at work at once.
func (r *runner) percent(run *run) int {
	work := r.fleet.work(run.task)
	if work == 0 {
		return 100
	}
	return int(min(100, 100*time.Since(run.from)/work))
}

// runsOf returns copies of the runs of a job's tasks.
func (f *fleet) runsOf(job string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []run{}
	for _, r := range f.history {
		if strings.HasPrefix(r.task, job+".") {
			out = append(out, *r)
		}
	}
	return out
}

// done returns how many runs of a job's tasks have ended done.
func (f *fleet) done(job string) int {
	n := 0
	for _, r := range f.runsOf(job) {
		if r.how == "done" {
			n++
		}
	}
	return n
}

// overlaps returns the pairs of runs of one task that went on at the same time.
func (f *fleet) overlaps() [][2]run {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, pairs := time.Now(), [][2]run{}
	end := func(r *run) time.Time {
		if r.to.IsZero() {
			return now
		}
		return r.to
	}
	for i, a := range f.history {
		for _, b := range f.history[i+1:] {
			if a.task == b.task && b.from.Before(end(a)) && a.from.Before(end(b)) {
				pairs = append(pairs, [2]run{*a, *b})
			}
		}
	}
	return pairs
}

// running returns the current run of a task, or nil.
func (f *fleet) running(task string) *run {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.history {
		if r.task == task && r.to.IsZero() {
			found := *r
			return &found
		}
	}
	return nil
}

// setTaskCPU sets what each task requests, in thousandths of a core.
func (f *fleet) setTaskCPU(cpu int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taskCPU = cpu
}

// setLate sets how late the list of machines is answered.
func (f *fleet) setLate(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machinesLate = d
}

// machines serves the platform's list of machines.
func (f *fleet) machines() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		list, down, late := []map[string]any{}, []string{}, f.machinesLate
		for _, r := range f.runners {
			m := map[string]any{
				"hostId": "h-" + strconv.Itoa(r.number), "pool": f.service, "state": "down", "zone": "a",
				"labels":   []string{"a", fmt.Sprintf("r1-%d", r.number/runnerRack)},
				"capacity": map[string]any{"cpu": runnerCPU, "memMb": runnerMemory},
			}
			if r.life != nil {
				m["state"], m["id"] = "up", r.life.id
			} else {
				down = append(down, strconv.Itoa(r.number))
			}
			list = append(list, m)
		}
		f.mu.Unlock()
		asked := time.Now()
		time.Sleep(late)
		f.rec.add("list of machines: as of %.3f, down: %s", f.rec.at(asked), strings.Join(down, " "))
		reply(w, http.StatusOK, map[string]any{"machines": list, "nextToken": ""})
	})
	return mux
}
