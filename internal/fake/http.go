package fake

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

// Handler returns a handler that serves the platform's HTTP interface and the
// controls of the stand-in: PUT /faults with a Faults body, PUT /vms/{name} with
// a state as text, and GET /counts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/get", p.serveGet)
	mux.HandleFunc("POST /table/scan", p.serveScan)
	mux.HandleFunc("POST /table/commit", p.serveCommit)
	mux.HandleFunc("GET /vms", p.serveList)
	mux.HandleFunc("PUT /vms/{name}", p.serveSetVM)
	mux.HandleFunc("PUT /faults", p.serveFaults)
	mux.HandleFunc("GET /counts", p.serveCounts)
	mux.HandleFunc("/objects/{key}", p.serveObject)
	return mux
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	var req platform.GetRequest
	if !readJSON(w, r, &req) {
		return
	}
	rows, err := p.Get(r.Context(), req.Keys...)
	writeJSON(w, platform.RowsReply{Rows: rows}, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var req platform.ScanRequest
	if !readJSON(w, r, &req) {
		return
	}
	rows, err := p.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	writeJSON(w, platform.RowsReply{Rows: rows}, err)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	version, err := p.Commit(r.Context(), txn)
	writeJSON(w, platform.CommitReply{Version: version}, err)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := p.List(r.Context())
	writeJSON(w, list, err)
}

func (p *Platform) serveSetVM(w http.ResponseWriter, r *http.Request) {
	state, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		p.SetVM(r.PathValue("name"), platform.VMState(state))
	}
	writeJSON(w, nil, err)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFaults(f)
	writeJSON(w, nil, nil)
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counts(), nil)
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	switch r.Method {
	case http.MethodPut:
		body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
		if err == nil {
			err = p.Objects().Put(r.Context(), key, body)
		}
		writeJSON(w, nil, err)
	case http.MethodDelete:
		writeJSON(w, nil, p.Objects().Delete(r.Context(), key))
	default:
		body, err := p.Objects().Get(r.Context(), key)
		if err != nil {
			writeJSON(w, nil, err)
			return
		}
		_, _ = w.Write(body)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// writeJSON responds with v, or with the status that the platform's client maps
// to err.
func writeJSON(w http.ResponseWriter, v any, err error) {
	var conflict *platform.ConflictError
	var notFound *platform.NotFoundError
	var refused *platform.RefusedError
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.As(err, &conflict):
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(platform.ConflictReply{Keys: conflict.Keys})
	case errors.As(err, &notFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &refused):
		w.WriteHeader(http.StatusUnprocessableEntity)
		_ = json.NewEncoder(w).Encode(platform.RefusedReply{Reason: refused.Reason})
	case unavailableNotRun(err):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func unavailableNotRun(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Verdict == verdict.NotRun
}
