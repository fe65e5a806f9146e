package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Runner is a stand-in target of a quick service. A request's query says what
// it does: delay=<duration> waits before the answer, size=<bytes> makes a
// large answer, cut=1 breaks the answer off half way. It is safe for
// concurrent use.
type Runner struct {
	name string

	mu       sync.Mutex
	requests int
	runs     map[string]int // by idempotency key
}

// NewRunner returns a runner with a name that its answers carry.
func NewRunner(name string) *Runner {
	return &Runner{name: name, runs: map[string]int{}}
}

// RunnerResponse is the body of a runner's small answer.
type RunnerResponse struct {
	Runner string `json:"runner"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Body   string `json:"body,omitempty"`
}

// Requests returns the number of requests that reached the runner.
func (r *Runner) Requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

// Runs returns how often a request with the idempotency key has run.
func (r *Runner) Runs(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[key]
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	key := req.Header.Get("Idempotency-Key")
	if req.URL.Path == "/runs" {
		_, _ = io.WriteString(w, strconv.Itoa(r.Runs(req.URL.Query().Get("key"))))
		return
	}
	r.count(key)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	query := req.URL.Query()
	if delay, err := time.ParseDuration(query.Get("delay")); err == nil {
		time.Sleep(delay)
	}
	if size, err := strconv.Atoi(query.Get("size")); err == nil {
		writeLarge(w, size, query.Get("cut") != "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(RunnerResponse{
		Runner: r.name, Method: req.Method, Path: req.URL.Path, Key: key, Body: string(body),
	})
}

func (r *Runner) count(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if key != "" {
		r.runs[key]++
	}
}

func writeLarge(w http.ResponseWriter, size int, cut bool) {
	const chunk = 32 << 10
	buf := make([]byte, chunk)
	for i := range buf {
		buf[i] = 'x'
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if cut {
		size /= 2
	}
	for size > 0 {
		n, err := w.Write(buf[:min(size, chunk)])
		if err != nil {
			return
		}
		size -= n
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
}
