package fake

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// Wire forms of the platform's published protocol, as the stand-ins speak it.
type (
	wireRow struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"rowVersion"`
		Deleted bool   `json:"deleted,omitempty"`
	}
	wireTxn struct {
		Checks  []wireRow `json:"expectedRev"`
		Puts    []wireRow `json:"write"`
		Deletes []wireRow `json:"remove"`
	}
	wirePage struct {
		Rows    []wireRow `json:"rows"`
		More    bool      `json:"hasMore"`
		Version int64     `json:"rowVersion"`
		NowMS   int64     `json:"nowMs"`
	}
	wireOrder struct {
		Task       string `json:"task"`
		Attempt    int    `json:"attempt"`
		Payload    string `json:"spec"`
		Deadline   int64  `json:"deadlineMs"`
		Epoch      int64  `json:"fencingToken"`
		Checkpoint string `json:"checkpoint"`
		Seen       int64  `json:"ackCursor"`
		WaitMS     int64  `json:"waitMs"`
		Percent    int    `json:"percent"`
	}
	wireAnswer struct {
		ClockMS int64   `json:"clockMs"`
		Reason  string  `json:"reason,omitempty"`
		Boot    int64   `json:"born,omitempty"`
		Running [][]any `json:"running,omitempty"`
		Ended   [][]any `json:"ended,omitempty"`
	}
)

// Handler serves the store over the platform's protocol.
func (s *RowStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTxn)
	mux.HandleFunc("GET /v1/rows-get", s.serveRange)
	mux.HandleFunc("GET /v1/rows-feed", s.serveChanges)
	return mux
}

func (s *RowStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in wireTxn
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var txn port.Txn
	for _, c := range in.Checks {
		txn.Partition = c.Part
		txn.Checks = append(txn.Checks, port.Check{Table: c.Table, Key: c.Key, Version: c.Version})
	}
	for _, p := range in.Puts {
		txn.Partition = p.Part
		txn.Puts = append(txn.Puts, port.Put{Table: p.Table, Key: p.Key, Value: p.Value})
	}
	for _, d := range in.Deletes {
		txn.Partition = d.Part
		txn.Deletes = append(txn.Deletes, port.Ref{Table: d.Table, Key: d.Key})
	}
	version, err := s.Commit(r.Context(), txn)
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		reply(w, http.StatusPreconditionFailed, wirePage{Rows: wireRows(conflict.Rows)})
		return
	}
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, wirePage{Version: version})
}

func (s *RowStore) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit")) // none is no limit
	page, err := s.Range(r.Context(), q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, wirePage{Rows: wireRows(page.Rows), More: page.More, Version: page.Version})
}

func (s *RowStore) serveChanges(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := s.Changes(r.Context(), q.Get("table"), after, 0)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, wirePage{Rows: wireRows(page.Rows), Version: page.Version})
}

func wireRows(rows []port.Row) []wireRow {
	out := []wireRow{}
	for _, r := range rows {
		out = append(out, wireRow{Table: r.Table, Part: r.Partition, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Version == 0})
	}
	return out
}

// Handler serves the worker at an address over the platform's protocol.
func (f FleetWorkers) Handler(address string) http.Handler {
	mux := http.NewServeMux()
	order := func(path string, serve func(r *http.Request, to port.Target, o wireOrder) (wireAnswer, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			f.serveOrder(w, r, address, serve)
		})
	}
	order("/v1/run-start", func(r *http.Request, to port.Target, o wireOrder) (wireAnswer, error) {
		clock, err := f.Start(r.Context(), to, port.StartRequest{
			Task: o.Task, Attempt: o.Attempt, Payload: o.Payload, Checkpoint: o.Checkpoint, Epoch: o.Epoch, NotAfterMS: o.Deadline,
		})
		return wireAnswer{ClockMS: clock}, err
	})
	order("/v1/run-stop", func(r *http.Request, to port.Target, o wireOrder) (wireAnswer, error) {
		return wireAnswer{}, f.Stop(r.Context(), to, o.Task, o.Attempt, o.Epoch)
	})
	order("/v1/pace", func(r *http.Request, to port.Target, o wireOrder) (wireAnswer, error) {
		return wireAnswer{}, f.Throttle(r.Context(), to, o.Task, o.Attempt, o.Epoch, o.Percent)
	})
	order("/v1/hold", func(r *http.Request, to port.Target, o wireOrder) (wireAnswer, error) {
		l, err := f.List(r.Context(), to, port.ListRequest{
			Epoch: o.Epoch, LeaseUntilMS: o.Deadline, Acknowledge: o.Seen, Wait: time.Duration(o.WaitMS) * time.Millisecond,
		})
		return wireListing(l), err
	})
	return mux
}

func wireListing(l port.Listing) wireAnswer {
	a := wireAnswer{ClockMS: l.ClockMS, Boot: l.Boot}
	for _, r := range l.Running {
		a.Running = append(a.Running, []any{r.Task, r.Attempt, r.Checkpoint, r.Percent, r.Measurement})
	}
	for _, e := range l.Ended {
		a.Ended = append(a.Ended, []any{e.Sequence, e.Task, e.Attempt, string(e.Reason), e.Checkpoint})
	}
	return a
}

func (f FleetWorkers) serveOrder(w http.ResponseWriter, r *http.Request, address string, serve func(*http.Request, port.Target, wireOrder) (wireAnswer, error)) {
	f.mu.Lock()
	id := f.workers[address].entry.ID
	f.mu.Unlock()
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o wireOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := serve(r, port.Target{ID: id, Address: address}, o)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, answer)
}

// reasons are the platform's words for refusals.
var reasons = map[port.Refusal]string{
	port.RefusedEpoch: "fence", port.RefusedStale: "old", port.RefusedExpired: "late",
	port.RefusedCapacity: "room", port.RefusedTicket: "ticket",
}

// refuse writes an error as the platform does.
func refuse(w http.ResponseWriter, err error) {
	var refused *port.RefusedError
	switch {
	case !errors.As(err, &refused):
		panic(http.ErrAbortHandler) // no response
	case refused.Op == "changes" && refused.Reason == port.RefusedStale:
		w.WriteHeader(http.StatusGone)
	case refused.Reason == port.RefusedBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case refused.Reason == port.RefusedRateLimit:
		w.WriteHeader(http.StatusTooManyRequests)
	case reasons[refused.Reason] != "":
		reply(w, http.StatusConflict, wireAnswer{ClockMS: refused.ClockMS, Reason: reasons[refused.Reason]})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
