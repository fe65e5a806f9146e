package jobapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// table holds submitted jobs; err, if set, is returned by every operation.
type table struct {
	jobs map[string]job.Spec
	err  error
}

func (t *table) Submit(_ context.Context, spec job.Spec) error {
	if t.err == nil {
		t.jobs[spec.ID] = spec
	}
	return t.err
}

func (t *table) State(_ context.Context, id string) (job.State, error) {
	if _, ok := t.jobs[id]; !ok && t.err == nil {
		return "", verdict.Refuse(verdict.CodeNotFound, http.StatusGone, 0, "no such job")
	}
	return job.Running, t.err
}

func (t *table) Cancel(_ context.Context, id string) error {
	delete(t.jobs, id)
	return t.err
}

func (t *table) Pending(string) (int, error) { return len(t.jobs), t.err }

func serve(jobs port.Jobs, ready bool) http.Handler {
	return New(Options{
		Jobs: jobs, HasQueue: func(name string) (bool, bool) { return name == "scans", ready },
		Log: &log.Logger{Handler: discard.New()}, Wall: func() time.Time { return time.UnixMilli(5) },
	})
}

func call(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body)))
	return w
}

func TestJobIsSubmittedAskedForAndCancelled(t *testing.T) {
	is := is.New(t)
	file, err := os.ReadFile("../../job/testdata/good.steps.yaml")
	is.NoErr(err)
	jobs := &table{jobs: map[string]job.Spec{}}
	h := serve(jobs, true)
	is.Equal(call(h, http.MethodPut, "/v1/queues/scans/jobs/a", string(file)).Code, http.StatusOK)
	is.Equal(jobs.jobs["a"].Queue, "scans")
	is.Equal(jobs.jobs["a"].AcceptedUnixMS, int64(5))
	is.Equal(strings.TrimSpace(call(h, http.MethodGet, "/v1/queues/scans/jobs/a", "").Body.String()), `{"state":"running"}`)
	is.Equal(strings.TrimSpace(call(h, http.MethodGet, "/v1/queues/scans", "").Body.String()), `{"pending":1}`)
	is.Equal(call(h, http.MethodDelete, "/v1/queues/scans/jobs/a", "").Code, http.StatusOK)
	is.Equal(call(h, http.MethodGet, "/v1/queues/scans/jobs/a", "").Code, http.StatusGone)
}

func TestRefusalsSayWhetherTheRequestRan(t *testing.T) {
	away := verdict.Refuse(verdict.CodeStoreUnavailable, http.StatusServiceUnavailable, 1500*time.Millisecond, "the store does not answer")
	cases := []struct {
		name, method, path, body string
		jobs                     *table
		ready                    bool
		status                   int
		code                     verdict.Code
		retry                    string
	}{
		{"unknown queue", http.MethodGet, "/v1/queues/other", "", &table{}, true, http.StatusNotFound, verdict.CodeNotFound, ""},
		{"no configuration", http.MethodGet, "/v1/queues/scans", "", &table{}, false, http.StatusServiceUnavailable, verdict.CodeNotReady, "1"},
		{"bad file", http.MethodPut, "/v1/queues/scans/jobs/a", "steps: []", &table{}, true, http.StatusBadRequest, verdict.CodeBadRequest, ""},
		{"large file", http.MethodPut, "/v1/queues/scans/jobs/a", strings.Repeat("#", maxFileBytes+1), &table{}, true, http.StatusRequestEntityTooLarge, verdict.CodeTooLarge, ""},
		{"store away", http.MethodDelete, "/v1/queues/scans/jobs/a", "", &table{err: away}, true, http.StatusServiceUnavailable, verdict.CodeStoreUnavailable, "2"},
		{"fault of ours", http.MethodGet, "/v1/queues/scans", "", &table{err: errors.New("broken")}, true, http.StatusInternalServerError, verdict.CodeInternal, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := call(serve(c.jobs, c.ready), c.method, c.path, c.body)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Retry-After"), c.retry)
			var reply ErrorReply
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &reply))
			is.Equal(reply.Code, c.code)
			is.Equal(reply.Verdict, w.Header().Get(verdict.Header))
			if c.code != verdict.CodeInternal {
				is.Equal(reply.Verdict, verdict.NotRun.String())
			}
		})
	}
}
