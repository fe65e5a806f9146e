package cli_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/cli"
	"github.com/bambooyard/bambooyard/internal/jobapi"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// fakeQueue is the jobs of one queue, by ID.
type fakeQueue map[string]job.Spec

func (q fakeQueue) Submit(_ context.Context, spec job.Spec) error {
	q[spec.ID] = spec
	return nil
}

func (q fakeQueue) State(_ context.Context, id string) (job.State, error) {
	if _, ok := q[id]; !ok {
		return "", verdict.Refuse(verdict.CodeNotFound, http.StatusGone, 0, "no such job")
	}
	return job.Queued, nil
}

func (q fakeQueue) Cancel(_ context.Context, id string) error {
	delete(q, id)
	return nil
}

func (q fakeQueue) Pending(string) (int, error) { return len(q), nil }

// The commands on jobs in queues must return the exit code and print the text
// of each step.
func TestQueueJobCommands(t *testing.T) {
	queue := fakeQueue{}
	server := httptest.NewServer(jobapi.New(jobapi.Options{
		Jobs: queue, HasQueue: func(name string) (bool, bool) { return name == "scans", true },
		Log: &log.Logger{Handler: discard.New()}, Wall: time.Now,
	}))
	defer server.Close()
	steps := []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"job", "apply", "--queue", "scans", "--id", "a", "-f", "../../job/testdata/good.steps.yaml"}, cli.ExitOK, "job a accepted in queue scans"},
		{[]string{"job", "state", "--queue", "scans", "--id", "a"}, cli.ExitOK, "job a is queued"},
		{[]string{"job", "state", "--queue", "scans", "--id", "a", "--output", "json"}, cli.ExitOK, `"state": "queued"`},
		{[]string{"job", "pending", "--queue", "scans"}, cli.ExitOK, "1 jobs of queue scans have not begun"},
		{[]string{"job", "apply", "--queue", "scans", "--id", "b", "-f", "../../job/testdata/bad.no-tasks.yaml"}, cli.ExitFailed, "steps[0].tasks"},
		{[]string{"job", "apply", "--queue", "other", "--id", "b", "-f", "../../job/testdata/good.steps.yaml"}, cli.ExitRefused, `queue "other" does not exist`},
		{[]string{"job", "withdraw", "--queue", "scans", "--id", "a"}, cli.ExitOK, "job a is cancelled"},
		{[]string{"job", "state", "--queue", "scans", "--id", "a"}, cli.ExitRefused, "no such job"},
		{[]string{"job", "state", "--queue", "scans"}, cli.ExitUsage, "id"},
	}
	for _, step := range steps {
		t.Run(strings.Join(step.args, " "), func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			code := cli.Run(append([]string{"--jobs", server.Listener.Addr().String()}, step.args...), nil, &out, &out)
			t.Log(out.String())
			is.Equal(code, step.code)
			is.True(strings.Contains(out.String(), step.out))
		})
	}
	if len(queue) != 0 {
		t.Fatalf("jobs left in the queue: %v", queue)
	}
}
