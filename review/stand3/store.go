//go:build review3

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store as it is sent over HTTP.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type page struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"hasMore"`
	Version int64 `json:"rowVersion"`
	NowMS   int64 `json:"nowMs"`
}

type rowKey struct{ table, part, key string }

// store is the platform's metadata store: linearizable rows with a feed of changes.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	changed chan struct{} // closed and replaced at each change
	started time.Time
	latency time.Duration
}

const (
	storeLatency   = 4 * time.Millisecond
	maxRowsPerPage = 500
)

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now(), latency: storeLatency}
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: body})
	s.notify()
}

// remove drops a row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Deleted: true})
	s.notify()
}

func (s *store) write(r row) {
	r.Version = s.version
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTx)
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	mux.HandleFunc("GET /v1/rows-parts", s.serveParts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(s.latency)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Checks []row `json:"expectedRev"`
		Puts   []row `json:"write"`
		Drops  []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, e := range slices.Concat(tx.Checks, tx.Puts, tx.Drops) {
		parts[e.Part] = true
	}
	if len(parts) > 1 || len(tx.Checks)+len(tx.Puts)+len(tx.Drops) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range slices.Concat(tx.Puts, tx.Drops) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, found := false, []row{}
	for _, c := range tx.Checks {
		current, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if !ok || current.Deleted {
			current = row{Table: c.Table, Part: c.Part, Key: c.Key}
		}
		found = append(found, current)
		conflict = conflict || current.Version != c.Version
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, page{Rows: found, Version: s.version, NowMS: s.nowMS()})
		return
	}
	s.version++
	for _, p := range tx.Puts {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, d := range tx.Drops {
		s.write(row{Table: d.Table, Part: d.Part, Key: d.Key, Deleted: true})
	}
	s.notify()
	reply(w, http.StatusOK, page{Rows: []row{}, Version: s.version, NowMS: s.nowMS()})
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target")
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRowsPerPage {
		limit = maxRowsPerPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for k, v := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) && !v.Deleted {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	p := page{Rows: out, Version: s.version, NowMS: s.nowMS()}
	if len(out) > limit {
		p.Rows, p.More = out[:limit], true
	}
	reply(w, http.StatusOK, p)
}

const maxFeedWait = 30 * time.Second

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64) // none: no wait
	deadline := time.After(min(time.Duration(waitMS)*time.Millisecond, maxFeedWait))
	for {
		s.mu.Lock()
		rows := []row{}
		for k, v := range s.rows {
			if k.table == q.Get("table") && v.Version > after {
				rows = append(rows, v)
			}
		}
		slices.SortFunc(rows, func(a, b row) int { return int(a.Version - b.Version) })
		p, changed := page{Rows: rows, Version: s.version, NowMS: s.nowMS()}, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") && !v.Deleted {
			parts = append(parts, k.part)
		}
	}
	slices.Sort(parts)
	reply(w, http.StatusOK, map[string]any{"parts": slices.Compact(parts), "hasMore": false, "rowVersion": s.version, "nowMs": s.nowMS()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
