package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, from the settings and the protocol page.
const (
	rowBytes   = 65536
	maxEntries = 100
	maxTxBytes = 1 << 20
	maxRows    = 500
	storeDelay = 4 * time.Millisecond
)

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version int64
}

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's table store.
type store struct {
	mu      sync.Mutex
	started time.Time
	rows    map[rowKey]storedRow
	version int64
	history []wireRow
	// tooLarge counts the transactions that were refused for their size.
	tooLarge int
	down     bool
	upSince  time.Time // when the store last returned
	rec      *record
}

func newStore(rec *record) *store {
	return &store{started: time.Now(), rows: map[rowKey]storedRow{}, rec: rec}
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, part, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(wireRow{Table: table, Part: part, Key: key, Value: encoded, Version: s.version})
}

func (s *store) remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(wireRow{Table: table, Part: part, Key: key, Version: s.version, Deleted: true})
}

// get returns the value of a row, or nil.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].value
}

// setDown begins or ends an outage. Entries of runners lapse in an outage of three intervals
// of their reports.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.upSince = down, time.Now()
	if down {
		time.AfterFunc(3*heartbeat, s.lapse)
	}
	s.rec.logf("store is down: %v", down)
}

func (s *store) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return
	}
	s.version++
	for k := range s.rows {
		if k.table == "servers" {
			s.apply(wireRow{Table: k.table, Part: k.part, Key: k.key, Version: s.version, Deleted: true})
		}
	}
	s.rec.logf("the entries of the runners lapse")
}

// report writes what a runner says of itself. It fails while the store is down, and for a
// time after that.
func (s *store) report(id string, entry map[string]any, after time.Duration) bool {
	s.mu.Lock()
	reachable := !s.down && time.Since(s.upSince) >= after
	known := s.rows[rowKey{"servers", "", id}].version > 0
	s.mu.Unlock()
	if !reachable {
		return false
	}
	s.put("servers", "", id, entry)
	if !known {
		s.rec.logf("runner %s is listed", id)
	}
	return true
}

func (s *store) apply(r wireRow) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = storedRow{r.Value, r.Version}
	}
	s.history = append(s.history, r)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTx)
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-parts", s.serveParts)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["rowVersion"], body["nowMs"] = s.version, time.Since(s.started).Milliseconds()
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

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var tx struct {
		Checks  []wireRow `json:"expectedRev"`
		Puts    []wireRow `json:"write"`
		Removes []wireRow `json:"remove"`
	}
	if err := json.Unmarshal(body, &tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	largest, key := 0, rowKey{}
	for _, p := range tx.Puts {
		if len(p.Value) > largest {
			largest, key = len(p.Value), rowKey{p.Table, p.Part, p.Key}
		}
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if largest > rowBytes || len(body) > maxTxBytes || len(tx.Checks)+len(tx.Puts)+len(tx.Removes) > maxEntries {
		if s.tooLarge++; s.tooLarge <= 3 || s.tooLarge%50 == 0 {
			s.rec.logf("store refuses transaction %d over its limits: row %v has %d bytes (at most %d)", s.tooLarge, key, largest, rowBytes)
		}
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	conflict := false
	found := []wireRow{}
	for _, c := range tx.Checks {
		now := s.rows[rowKey{c.Table, c.Part, c.Key}]
		conflict = conflict || now.version != c.Version
		found = append(found, wireRow{Table: c.Table, Part: c.Part, Key: c.Key, Value: now.value, Version: now.version})
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": found})
		return
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version = s.version
		s.apply(p)
	}
	for _, d := range tx.Removes {
		d.Version, d.Deleted, d.Value = s.version, true, nil
		s.apply(d)
	}
	s.reply(w, http.StatusOK, map[string]any{})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []wireRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, wireRow{Table: k.table, Part: k.part, Key: k.key, Value: row.value, Version: row.version})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	n, bytes := 0, 0
	for n < len(rows) && n < limit && bytes < maxTxBytes/2 {
		bytes += len(rows[n].Value)
		n++
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": rows[:n], "hasMore": n < len(rows)})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") {
			seen[k.part] = true
		}
	}
	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	s.reply(w, http.StatusOK, map[string]any{"parts": parts, "hasMore": false})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []wireRow{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, row := range s.history[from:] {
			if row.Table == q.Get("table") {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || !time.Now().Before(deadline) {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}
