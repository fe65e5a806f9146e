package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store's responses and transactions, as PROTOCOL.md states them.
const (
	maxRowsPerPage = 500
	maxTxnEntries  = 100
	maxFeedWait    = 30 * time.Second
	storeLatency   = 4 * time.Millisecond
	txnLatency     = 5 * time.Millisecond
)

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type txn struct {
	Checks  []row `json:"expectedRev"`
	Puts    []row `json:"write"`
	Removes []row `json:"remove"`
}

// store is a stand-in for the platform's metadata store, without a history limit.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	feed    []row
	changed chan struct{}
	started time.Time
	// delay returns how long a transaction is delayed. The caller gets no answer to a delayed
	// transaction, which is applied later if its condition still holds.
	delay func(txn) time.Duration
	log   func(format string, args ...any)
	// writes and lost count the transactions, and those without an answer.
	writes, lost int
}

func newStore(log func(string, ...any)) *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now(), log: log, delay: func(txn) time.Duration { return 0 }}
}

func (s *store) setDelay(delay func(txn) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// counts returns the number of transactions so far, and of those without an answer.
func (s *store) counts() (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.lost
}

// put writes a row as the operator and the runners do; a nil value removes the row.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := txn{Removes: []row{{Table: table, Key: key}}}
	if value != nil {
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		t = txn{Puts: []row{{Table: table, Key: key, Value: encoded}}}
	}
	s.apply(t)
}

// get returns a row of the store.
func (s *store) get(table, part, key string) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, part, key}]
	return r, ok
}

func (s *store) apply(t txn) (current []row, ok bool) {
	ok = true
	for _, c := range t.Checks {
		found, exists := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if found.Version != c.Version {
			ok = false
		}
		if exists {
			current = append(current, found)
		}
	}
	if !ok {
		return current, false
	}
	s.version++
	for _, p := range t.Puts {
		r := row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Version: s.version}
		s.rows[rowKey{p.Table, p.Part, p.Key}] = r
		s.feed = append(s.feed, r)
	}
	for _, d := range t.Removes {
		k := rowKey{d.Table, d.Part, d.Key}
		if _, exists := s.rows[k]; !exists {
			continue
		}
		delete(s.rows, k)
		s.feed = append(s.feed, row{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, true
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["nowMs"] = s.nowMS()
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.serveTxn(w, r)
	case "/v1/rows-get":
		s.serveGet(w, r)
	case "/v1/rows-parts":
		s.serveParts(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Checks)+len(t.Puts)+len(t.Removes) > maxTxnEntries {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, p := range append(slices.Clone(t.Puts), t.Removes...) {
		if p.Table == "op" || p.Table == "servers" {
			writeJSON(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	delay := s.delay(t)
	s.writes++
	if delay > 0 {
		s.lost++
	}
	s.mu.Unlock()
	if delay > 0 {
		s.applyLate(t, delay)
		<-r.Context().Done() // no answer: the connection delivers nothing further
		panic(http.ErrAbortHandler)
	}
	time.Sleep(txnLatency)
	s.mu.Lock()
	current, ok := s.apply(t)
	version := s.version
	s.mu.Unlock()
	if !ok {
		if current == nil {
			current = []row{}
		}
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "rowVersion": version})
		return
	}
	s.reply(w, http.StatusOK, map[string]any{"rowVersion": version})
}

// applyLate applies a transaction after a delay if its condition still holds.
func (s *store) applyLate(t txn, delay time.Duration) {
	s.log("store: no answer to the transaction that writes %s; it is carried out %v later if its condition still holds", describe(t), delay)
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		_, ok := s.apply(t)
		s.mu.Unlock()
		s.log("store: late transaction that writes %s: condition held: %v", describe(t), ok)
	})
}

func describe(t txn) string {
	var names []string
	for _, p := range t.Puts {
		names = append(names, p.Table+"/"+p.Key)
	}
	return strings.Join(names, " ")
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxRowsPerPage {
		limit = maxRowsPerPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, found := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, found)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "rowVersion": s.version})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && k.part > r.URL.Query().Get("after") {
			seen[k.part] = true
		}
	}
	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	s.reply(w, http.StatusOK, map[string]any{"parts": parts, "hasMore": false, "rowVersion": s.version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.Now().Add(min(maxFeedWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		rows := []row{}
		first := sort.Search(len(s.feed), func(i int) bool { return s.feed[i].Version > after })
		for _, c := range s.feed[first:] {
			if c.Table == q.Get("table") {
				rows = append(rows, c)
			}
		}
		changed, version := s.changed, s.version
		s.mu.Unlock()
		left := time.Until(deadline)
		if len(rows) > 0 || left <= 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "rowVersion": version})
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}
