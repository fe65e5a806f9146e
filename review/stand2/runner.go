package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of runners, as the settings state them.
const (
	holdMax     = 6 * time.Second
	maxHoldWait = 2 * time.Second
	maxEnds     = 500
	heartbeat   = 1100 * time.Millisecond
)

// resources are what a task requests or a runner has.
type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

type run struct {
	task      string
	attempt   int
	startedAt time.Duration
	duration  time.Duration
}

type runEnd struct {
	n       int64
	task    string
	attempt int
	how     string
}

// runner is a stand-in for one machine's runner. Each boot has its own ID.
type runner struct {
	y        *yard
	host     string
	address  string
	rack     string
	capacity resources

	mu      sync.Mutex
	id      string
	up      bool
	born    time.Time // on the steady clock
	bornMS  int64     // by the time of day
	skew    time.Duration
	sameID  bool // the runner starts again under the id that it had
	fence   int64
	lease   time.Duration // on the runner's clock
	runs    map[string]*run
	ends    []runEnd
	lastEnd int64
	highest map[string]int // highest attempt that ended or was stopped, by task
	changed chan struct{}
	seq     int64
	server  *http.Server
	boots   int
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

// boot starts a new life of the runner.
func (r *runner) boot() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.boots++
	if !r.sameID || r.id == "" {
		r.id = fmt.Sprintf("i-%s-%d", r.host, r.boots)
	}
	r.bornMS = time.Now().Add(r.skew).UnixMilli()
	r.up, r.born, r.fence, r.lease = true, time.Now(), 0, 0
	r.runs, r.ends, r.lastEnd, r.highest = map[string]*run{}, nil, 0, map[string]int{}
	r.changed = make(chan struct{})
	r.server = &http.Server{Handler: r}
	server, id, boots := r.server, r.id, r.boots
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go r.beat(id, boots)
	go r.tick(boots)
	r.y.log("runner %s: boot %s, born %d", r.host, id, r.bornMS)
	return nil
}

// crash ends the life of the runner with all that it runs. The platform removes its entry after
// three heartbeats.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	for name := range r.runs {
		r.y.runEnded(r.host, name, "crashed")
	}
	r.runs = map[string]*run{}
	id, server := r.id, r.server
	r.mu.Unlock()
	_ = server.Close()
	r.y.log("runner %s: %s crashed", r.host, id)
	time.AfterFunc(3*heartbeat, func() {
		r.mu.Lock()
		back := r.up && r.id == id
		r.mu.Unlock()
		if !back {
			r.y.store.put("servers", id, nil)
		}
	})
}

func (r *runner) alive(boots int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && r.boots == boots
}

func (r *runner) beat(id string, boots int) {
	for r.alive(boots) {
		r.mu.Lock()
		r.seq++
		entry := map[string]any{
			"service": service, "address": r.address, "zone": zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "sequence": r.seq, "capacity": r.capacity, "labels": []string{"a", r.rack}, "born": r.bornMS,
		}
		r.mu.Unlock()
		r.y.store.put("servers", id, entry)
		time.Sleep(heartbeat)
	}
}

// tick ends what is done or whose lease has run out.
func (r *runner) tick(boots int) {
	for r.alive(boots) {
		r.mu.Lock()
		now := r.clock()
		for name, u := range r.runs {
			switch {
			case now > r.lease:
				r.end(name, "lapsed")
			case u.duration > 0 && now >= u.startedAt+u.duration:
				r.end(name, "done")
			}
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// end ends a run. The caller holds r.mu.
func (r *runner) end(name, how string) {
	u := r.runs[name]
	delete(r.runs, name)
	r.highest[u.task] = max(r.highest[u.task], u.attempt)
	r.lastEnd++
	r.ends = append(r.ends, runEnd{r.lastEnd, u.task, u.attempt, how})
	r.y.runEnded(r.host, name, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type order struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Spec    string `json:"spec"`
	Until   int64  `json:"deadlineMs"`
	Fence   int64  `json:"fencingToken"`
	Ack     int64  `json:"ackCursor"`
	WaitMS  int64  `json:"waitMs"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != r.id {
		writeJSON(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if o.Fence < r.fence {
		r.refuse(w, "fence")
		return
	}
	r.fence = o.Fence
	switch req.URL.Path {
	case "/v1/run-start":
		r.start(w, o)
	case "/v1/run-stop":
		r.stop(w, o)
	case "/v1/hold":
		r.hold(w, req, o)
	case "/v1/pace":
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.bornMS})
	default:
		http.NotFound(w, req)
	}
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clockMs": r.clock().Milliseconds(), "reason": reason, "born": r.bornMS})
}

func (r *runner) extend(untilMS int64) {
	until := min(time.Duration(untilMS)*time.Millisecond, r.clock()+holdMax)
	r.lease = max(r.lease, until)
}

func runName(task string, attempt int) string { return fmt.Sprintf("%s#%d", task, attempt) }

func (r *runner) start(w http.ResponseWriter, o order) {
	name := runName(o.Task, o.Attempt)
	ok := map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.bornMS}
	switch {
	case r.runs[name] != nil:
		r.extend(o.Until)
		writeJSON(w, http.StatusOK, ok)
		return
	case o.Until < r.clock().Milliseconds():
		r.refuse(w, "late")
		return
	case o.Attempt <= r.highest[o.Task]:
		r.extend(o.Until)
		r.refuse(w, "old")
		return
	case !r.y.fits(r):
		r.extend(o.Until)
		r.refuse(w, "room")
		return
	}
	r.extend(o.Until)
	r.runs[name] = &run{task: o.Task, attempt: o.Attempt, startedAt: r.clock(), duration: r.y.duration(o.Task)}
	r.y.runStarted(r.host, name)
	writeJSON(w, http.StatusOK, ok)
}

func (r *runner) stop(w http.ResponseWriter, o order) {
	for name, u := range r.runs {
		if u.task == o.Task && u.attempt <= o.Attempt {
			r.end(name, "stopped")
		}
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Attempt)
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.bornMS})
}

// hold answers with the lists, at once or when a run ends. The caller holds r.mu.
func (r *runner) hold(w http.ResponseWriter, req *http.Request, o order) {
	if o.Until > 0 {
		r.extend(o.Until)
	}
	for len(r.ends) > 0 && r.ends[0].n <= o.Ack {
		r.ends = r.ends[1:]
	}
	deadline := time.Now().Add(min(maxHoldWait, time.Duration(o.WaitMS)*time.Millisecond))
	boots := r.boots
	for len(r.ends) == 0 && time.Now().Before(deadline) && r.up && r.boots == boots {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-req.Context().Done():
		}
		r.mu.Lock()
		if req.Context().Err() != nil {
			return
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, u := range r.runs {
		percent := 100
		if u.duration > 0 {
			percent = int(min(99, 100*(r.clock()-u.startedAt)/u.duration))
		}
		running = append(running, []any{u.task, u.attempt, "", percent, 0})
	}
	for _, e := range r.ends[:min(len(r.ends), maxEnds)] {
		ended = append(ended, []any{e.n, e.task, e.attempt, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.bornMS, "running": running, "ended": ended})
}
