package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Runner is a stand-in target of a latency-critical service. The query of a
// request determines the response: delay=<duration> delays it, size=<bytes> sets
// the size of its body, and cut=1 aborts it half way. It is safe for concurrent
// use.
type Runner struct {
	name string

	mu       sync.Mutex
	requests int
	runs     map[string]int // by idempotency key
}

// NewRunner returns a runner whose responses carry its name.
func NewRunner(name string) *Runner {
	return &Runner{name: name, runs: map[string]int{}}
}

// RunnerResponse is the body of a response to a request without a size.
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

// Runs returns how often requests with the idempotency key have run.
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

func writeLarge(w http.ResponseWriter, size int, abort bool) {
	const chunk = 32 << 10
	buf := make([]byte, chunk)
	for i := range buf {
		buf[i] = 'x'
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if abort {
		size /= 2
	}
	for size > 0 {
		n, err := w.Write(buf[:min(size, chunk)])
		if err != nil {
			return
		}
		size -= n
	}
	if abort {
		panic(http.ErrAbortHandler)
	}
}
