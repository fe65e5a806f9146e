package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/internal/entry"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/rules"
	"github.com/bambooyard/bambooyard/verdict"
)

var update = flag.Bool("update", false, "write the golden files")

// fakeJobs implements entry.Jobs over a stand-in table. Each call of Describe
// advances the job's tasks by one state.
type fakeJobs struct {
	table         *fake.Platform
	directory     *batch.Directory
	describeCalls map[string]int
	cancelled     map[string]bool
}

func newFakeJobs() *fakeJobs {
	capacity := inventory.Resources{MilliProcessors: 8000, MemoryMB: 16000}
	doc := document.Document{
		Inventory: inventory.Inventory{
			Regions:  []inventory.Region{{Name: "hobart", DataCentres: []inventory.DataCentre{{Name: "hobart-1", Racks: []string{"r1"}}}}},
			VMs:      []inventory.VM{{Name: "w1", Rack: "r1", Capacity: capacity}, {Name: "w2", Rack: "r1", Capacity: capacity}},
			Services: []inventory.Service{{Name: "reorder", Targets: []inventory.Target{{VM: "w1"}, {VM: "w2"}}}},
		},
		Rules: rules.Rules{Members: []rules.Member{{Name: "conservators", QuotaMilliProcessors: 4000}, {Name: "state-library"}}},
	}
	return &fakeJobs{table: fake.NewPlatform(), directory: batch.NewDirectory(doc), describeCalls: map[string]int{}, cancelled: map[string]bool{}}
}

func (f *fakeJobs) Submit(ctx context.Context, job batch.Job) (batch.Job, error) {
	return batch.SubmitFeasible(ctx, f.table, f.directory, job)
}

func (f *fakeJobs) List(ctx context.Context, member, after string, limit int) (batch.JobList, error) {
	return batch.ListJobs(ctx, f.table, member, after, limit)
}

func (f *fakeJobs) Cancel(ctx context.Context, member, key string) (batch.JobStatus, error) {
	f.cancelled[member+":"+key] = true
	return f.Describe(ctx, member, key)
}

func (f *fakeJobs) Describe(ctx context.Context, member, key string) (batch.JobStatus, error) {
	job, err := batch.ReadJob(ctx, f.table, member, key)
	if err != nil || job == nil {
		return batch.JobStatus{}, verdict.Refuse(verdict.CodeNotFound, http.StatusNotFound, 0, "job %q of member %q does not exist", key, member)
	}
	states := []batch.TaskStatus{{State: "pending"}, {State: "running", VM: "w1", Attempt: 1}, {State: "finished", Attempt: 1}}
	status := batch.JobStatus{Job: *job}
	for i := range job.Tasks {
		t := states[min(f.describeCalls[job.ID()], len(states)-1)]
		if f.cancelled[job.ID()] {
			t = batch.TaskStatus{State: "cancelled", Reason: "cancelled by the caller"}
		}
		t.ID = fmt.Sprintf("%s/%d", job.ID(), i)
		status.Tasks = append(status.Tasks, t)
	}
	f.describeCalls[job.ID()]++
	return status, nil
}

// runTranscript runs command lines against the HTTP handlers of the callers'
// interface and returns them with their output and exit codes.
func runTranscript(t *testing.T, lines []string) string {
	t.Helper()
	entryServer := entry.NewServer(entry.Options{Jobs: newFakeJobs(), Log: &log.Logger{Handler: discard.New()}})
	server := httptest.NewServer(entryServer.Handler())
	defer server.Close()
	t.Setenv("BAMBOOYARD_CALLER", strings.TrimPrefix(server.URL, "http://"))
	var transcript strings.Builder
	for _, line := range lines {
		var out, errOut bytes.Buffer
		code := Run(strings.Fields(line), strings.NewReader(""), &out, &errOut)
		fmt.Fprintf(&transcript, "$ bambooyard %s\n%s%sexit %d\n", line, out.String(), errOut.String(), code)
	}
	return transcript.String()
}

// The output of the job commands must match the golden files; -update rewrites
// them.
func TestJobCommandTranscripts(t *testing.T) {
	library := "--member state-library --key reconcile-1"
	transcripts := map[string][]string{
		"job_life": {
			"job submit " + library + " --tasks 2 --deadline-unix-ms 1796350000000",
			"job submit " + library + " --tasks 2 --deadline-unix-ms 1796350000000",
			"job submit " + library + " --tasks 3",
			"job submit --member conservators --key urgent-1 --urgent --output json",
			"job list",
			"job list --limit 1",
			"job list --limit 1 --after conservators/urgent-1 --output json",
			"job watch " + library,
			"job describe " + library + " --output json",
			"job cancel --member conservators --key urgent-1",
			"job cancel --member conservators --key urgent-1",
		},
		"job_refused": {
			"job submit " + library + " --tasks 0 --milli-processors -5 --run-time-ms 0",
			"job submit --member a/b --key x",
			"job submit " + library + " --accelerators 1",
			"job submit " + library + " --memory-mb 16001",
			"job submit " + library + " --avoid reorder",
			"job submit " + library + " --avoid reorders",
			"job submit --member conservators --key big --milli-processors 5000",
			"job list --limit 0",
			"job describe " + library,
			"job cancel",
		},
	}
	for name, lines := range transcripts {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := runTranscript(t, lines)
			path := filepath.Join("testdata", name+".golden")
			if *update {
				is.NoErr(os.WriteFile(path, []byte(got), 0o644))
			}
			want, err := os.ReadFile(path)
			is.NoErr(err)
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Errorf("transcript differs (-want +got):\n%s", diff)
			}
		})
	}
}
