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

// fakeJobs stores submitted jobs in memory. If err is set, every operation returns
// it.
type fakeJobs struct {
	jobs map[string]job.Spec
	err  error
}

func (f *fakeJobs) Submit(_ context.Context, spec job.Spec) error {
	if f.err == nil {
		f.jobs[spec.ID] = spec
	}
	return f.err
}

func (f *fakeJobs) State(_ context.Context, id string) (job.State, error) {
	if _, ok := f.jobs[id]; !ok && f.err == nil {
		return "", verdict.Refuse(verdict.CodeNotFound, http.StatusGone, 0, "no such job")
	}
	return job.Running, f.err
}

func (f *fakeJobs) Cancel(_ context.Context, id string) error {
	delete(f.jobs, id)
	return f.err
}

func (f *fakeJobs) Pending(string) (int, error) { return len(f.jobs), f.err }

func newHandler(jobs port.Jobs, ready bool) http.Handler {
	return New(Options{
		Jobs: jobs, HasQueue: func(name string) (bool, bool) { return name == "scans", ready },
		Log: &log.Logger{Handler: discard.New()}, Wall: func() time.Time { return time.UnixMilli(5) },
	})
}

func do(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body)))
	return w
}

func TestJobIsSubmittedReadAndCancelled(t *testing.T) {
	is := is.New(t)
	file, err := os.ReadFile("../../job/testdata/good.steps.yaml")
	is.NoErr(err)
	jobs := &fakeJobs{jobs: map[string]job.Spec{}}
	h := newHandler(jobs, true)
	is.Equal(do(h, http.MethodPut, "/v1/queues/scans/jobs/a", string(file)).Code, http.StatusOK)
	is.Equal(jobs.jobs["a"].Queue, "scans")
	is.Equal(jobs.jobs["a"].AcceptedUnixMS, int64(5))
	is.Equal(strings.TrimSpace(do(h, http.MethodGet, "/v1/queues/scans/jobs/a", "").Body.String()), `{"state":"running"}`)
	is.Equal(strings.TrimSpace(do(h, http.MethodGet, "/v1/queues/scans", "").Body.String()), `{"pending":1}`)
	is.Equal(do(h, http.MethodDelete, "/v1/queues/scans/jobs/a", "").Code, http.StatusOK)
	is.Equal(do(h, http.MethodGet, "/v1/queues/scans/jobs/a", "").Code, http.StatusGone)
}

func TestErrorRepliesCarryVerdict(t *testing.T) {
	unavailable := verdict.Refuse(verdict.CodeStoreUnavailable, http.StatusServiceUnavailable, 1500*time.Millisecond, "the store does not answer")
	cases := []struct {
		name, method, path, body string
		jobs                     *fakeJobs
		ready                    bool
		status                   int
		code                     verdict.Code
		retryAfter               string
	}{
		{"unknown queue", http.MethodGet, "/v1/queues/other", "", &fakeJobs{}, true, http.StatusNotFound, verdict.CodeNotFound, ""},
		{"no configuration", http.MethodGet, "/v1/queues/scans", "", &fakeJobs{}, false, http.StatusServiceUnavailable, verdict.CodeNotReady, "1"},
		{"invalid file", http.MethodPut, "/v1/queues/scans/jobs/a", "steps: []", &fakeJobs{}, true, http.StatusBadRequest, verdict.CodeBadRequest, ""},
		{"large file", http.MethodPut, "/v1/queues/scans/jobs/a", strings.Repeat("#", maxFileBytes+1), &fakeJobs{}, true, http.StatusRequestEntityTooLarge, verdict.CodeTooLarge, ""},
		{"store unavailable", http.MethodDelete, "/v1/queues/scans/jobs/a", "", &fakeJobs{err: unavailable}, true, http.StatusServiceUnavailable, verdict.CodeStoreUnavailable, "2"},
		{"internal error", http.MethodGet, "/v1/queues/scans", "", &fakeJobs{err: errors.New("broken")}, true, http.StatusInternalServerError, verdict.CodeInternal, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := do(newHandler(c.jobs, c.ready), c.method, c.path, c.body)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Retry-After"), c.retryAfter)
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

func TestCellsAreShown(t *testing.T) {
	is := is.New(t)
	cells := []port.CellState{{Owner: "d1", Known: true, Evacuations: []port.Evacuation{{DataCentre: "a", Workers: 3, Services: 2, Tasks: 1}}}, {Number: 1}}
	var err error
	h := New(Options{Cells: func(context.Context) ([]port.CellState, error) { return cells, err }, Log: &log.Logger{Handler: discard.New()}})
	w := do(h, http.MethodGet, "/v1/cells", "")
	is.Equal(w.Code, http.StatusOK)
	var reply CellsReply
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &reply))
	is.Equal(reply.Cells, cells)
	err = errors.New("the control loop has stopped")
	is.True(do(h, http.MethodGet, "/v1/cells", "").Code >= http.StatusInternalServerError)
}
