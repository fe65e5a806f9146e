package fake

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/bambooyard/bambooyard/internal/port"
)

// Wire types of the platform's published protocol, as the stand-ins serve it.
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
	// wireRequest is the body of every worker request; endpoints use a subset.
	wireRequest struct {
		Task        string `json:"task"`
		Attempt     int    `json:"attempt"`
		Payload     string `json:"spec"`
		Deadline    int64  `json:"deadlineMs"`
		Epoch       int64  `json:"fencingToken"`
		Checkpoint  string `json:"checkpoint"`
		Acknowledge int64  `json:"ackCursor"`
		WaitMS      int64  `json:"waitMs"`
		Percent     int    `json:"percent"`
	}
	// wireResponse is the body of every worker response; endpoints fill in a subset.
	wireResponse struct {
		ClockMS int64   `json:"clockMs"`
		Reason  string  `json:"reason,omitempty"`
		Boot    int64   `json:"born,omitempty"`
		Running [][]any `json:"running,omitempty"`
		Ended   [][]any `json:"ended,omitempty"`
	}
)

// Handler returns a handler that serves the store over the platform's protocol.
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
		writeResponse(w, http.StatusPreconditionFailed, wirePage{Rows: wireRows(conflict.Rows)})
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeResponse(w, http.StatusOK, wirePage{Version: version})
}

func (s *RowStore) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit")) // a missing limit is zero: no limit
	page, err := s.Range(r.Context(), q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeResponse(w, http.StatusOK, wirePage{Rows: wireRows(page.Rows), More: page.More, Version: page.Version})
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
		writeError(w, err)
		return
	}
	writeResponse(w, http.StatusOK, wirePage{Rows: wireRows(page.Rows), Version: page.Version})
}

func wireRows(rows []port.Row) []wireRow {
	out := []wireRow{}
	for _, r := range rows {
		out = append(out, wireRow{Table: r.Table, Part: r.Partition, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Version == 0})
	}
	return out
}

// Handler returns a handler that serves the worker at address over the platform's
// protocol.
func (f FleetWorkers) Handler(address string) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, serve func(r *http.Request, to port.Target, body wireRequest) (wireResponse, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			f.serveRequest(w, r, address, serve)
		})
	}
	handle("/v1/run-start", func(r *http.Request, to port.Target, body wireRequest) (wireResponse, error) {
		clock, err := f.Start(r.Context(), to, port.StartRequest{
			Task: body.Task, Attempt: body.Attempt, Payload: body.Payload, Checkpoint: body.Checkpoint, Epoch: body.Epoch, NotAfterMS: body.Deadline,
		})
		return wireResponse{ClockMS: clock}, err
	})
	handle("/v1/run-stop", func(r *http.Request, to port.Target, body wireRequest) (wireResponse, error) {
		return wireResponse{}, f.Stop(r.Context(), to, body.Task, body.Attempt, body.Epoch)
	})
	handle("/v1/pace", func(r *http.Request, to port.Target, body wireRequest) (wireResponse, error) {
		return wireResponse{}, f.Throttle(r.Context(), to, body.Task, body.Attempt, body.Epoch, body.Percent)
	})
	handle("/v1/hold", func(r *http.Request, to port.Target, body wireRequest) (wireResponse, error) {
		l, err := f.List(r.Context(), to, port.ListRequest{
			Epoch: body.Epoch, LeaseUntilMS: body.Deadline, Acknowledge: body.Acknowledge, Wait: time.Duration(body.WaitMS) * time.Millisecond,
		})
		return wireListing(l), err
	})
	return mux
}

// wireListing encodes a listing.
func wireListing(l port.Listing) wireResponse {
	response := wireResponse{ClockMS: l.ClockMS, Boot: l.Boot}
	for _, r := range l.Running {
		response.Running = append(response.Running, []any{r.Task, r.Attempt, r.Checkpoint, r.Percent, r.Measurement})
	}
	for _, e := range l.Ended {
		response.Ended = append(response.Ended, []any{e.Sequence, e.Task, e.Attempt, string(e.Reason), e.Checkpoint})
	}
	return response
}

// serveRequest decodes a request for the worker at address and serves it. It
// responds with 421 when the request is meant for another instance.
func (f FleetWorkers) serveRequest(w http.ResponseWriter, r *http.Request, address string, serve func(*http.Request, port.Target, wireRequest) (wireResponse, error)) {
	f.mu.Lock()
	id := f.workers[address].entry.ID
	f.mu.Unlock()
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body wireRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response, err := serve(r, port.Target{ID: id, Address: address}, body)
	if err != nil {
		writeError(w, err)
		return
	}
	writeResponse(w, http.StatusOK, response)
}

// conflictReasons maps refusals to the platform's reasons in a 409 response.
var conflictReasons = map[port.Refusal]string{
	port.RefusedEpoch: "fence", port.RefusedStale: "old", port.RefusedExpired: "late",
	port.RefusedCapacity: "room", port.RefusedTicket: "ticket",
}

// writeError writes the platform's response for err. It aborts the connection
// unless err is a *port.RefusedError.
func writeError(w http.ResponseWriter, err error) {
	var refused *port.RefusedError
	switch {
	case !errors.As(err, &refused):
		panic(http.ErrAbortHandler) // close the connection without a response
	case refused.Op == "changes" && refused.Reason == port.RefusedStale:
		w.WriteHeader(http.StatusGone)
	case refused.Reason == port.RefusedBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case refused.Reason == port.RefusedRateLimit:
		w.WriteHeader(http.StatusTooManyRequests)
	case conflictReasons[refused.Reason] != "":
		writeResponse(w, http.StatusConflict, wireResponse{ClockMS: refused.ClockMS, Reason: conflictReasons[refused.Reason]})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func writeResponse(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
