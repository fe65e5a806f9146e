package explain

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
)

// TestReports compares the reports on a failed job, on a job whose owner changed
// on a refused job and on one with a task that crashes its workers with golden files. The logs come from benchmark runs.
func TestReports(t *testing.T) {
	cases := []struct{ file, id string }{
		{"failed", "29a42b25b85ed33e"},
		{"taken-over", "03364cc11cb5fcec"},
		{"refused", "19ece992f11e619e"},
		{"crashed", "724eab8b0d62bd0b"},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			is := is.New(t)
			file, err := os.Open("testdata/" + c.file + ".log")
			is.NoErr(err)
			defer func() { is.NoErr(file.Close()) }()
			events, skipped, err := Read(file)
			is.NoErr(err)
			is.Equal(skipped, 0)
			want, err := os.ReadFile("testdata/" + c.file + ".golden")
			is.NoErr(err)
			var got strings.Builder
			is.NoErr(Analyse(events, c.id).Print(&got))
			if diff := cmp.Diff(string(want), got.String()); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

func TestUnknownJobHasNoEvents(t *testing.T) {
	is := is.New(t)
	var got strings.Builder
	is.NoErr(Analyse(nil, "0000").Print(&got))
	is.Equal(got.String(), "the logs say nothing of job 0000\n")
}

func TestLinesThatAreNoEventsAreSkipped(t *testing.T) {
	is := is.New(t)
	log := "panic: something\n" +
		"timestamp=yesterday event=start\n" +
		"timestamp=2026-01-02T03:04:05Z level=info\n" +
		"  12.5 edge-1 timestamp=2026-01-02T03:04:05Z event=job_known job=a daemon=edge-1\n"
	events, skipped, err := Read(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(skipped, 3)
	is.Equal(len(events), 1)
	is.Equal(events[0].Daemon, "edge-1")
}

// TestFailuresAreAttributedToTheTaskOrItsWorkers checks that the workers are held
// to be at fault when most runs on them failed, and the task when few others did.
func TestFailuresAreAttributedToTheTaskOrItsWorkers(t *testing.T) {
	line := func(task, reason string) string {
		return "timestamp=2026-01-02T03:04:05Z event=task_end task=" + task + " worker=w reason=" + reason + "\n"
	}
	cases := []struct{ name, others, want string }{
		{"healthy worker", line("b.0.0.0", "done") + line("b.0.0.1", "done") + line("b.0.0.2", "done") + line("b.0.0.3", "failed"), "the task is probably at fault"},
		{"unhealthy worker", line("b.0.0.0", "failed") + line("b.0.0.1", "failed") + line("b.0.0.2", "done"), "the workers are probably at fault"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			events, _, err := Read(strings.NewReader(line("a.0.0.0", "failed") + c.others))
			is.NoErr(err)
			findings := Analyse(events, "a").Findings
			is.Equal(len(findings), 1)
			is.True(strings.HasSuffix(findings[0], c.want))
		})
	}
}

// A change of the owner of another cell explains nothing about a job.
func TestOwnersOfOtherCellsAreLeftOut(t *testing.T) {
	is := is.New(t)
	log := `timestamp=2026-12-04T10:00:00Z daemon=a event=job_known job=one cell=2 epoch=3
timestamp=2026-12-04T10:00:01Z daemon=b event=cell_acquire cell=1 epoch=8
timestamp=2026-12-04T10:00:02Z daemon=c event=cell_acquire cell=2 epoch=4
timestamp=2026-12-04T10:00:03Z daemon=c event=woke_up gap_ms=900
timestamp=2026-12-04T10:00:04Z daemon=c event=job_final job=one cell=2 epoch=4 state=completed known_ms=4000
`
	events, skipped, err := Read(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(skipped, 0)
	var names []string
	for _, e := range Analyse(events, "one").Events {
		names = append(names, e.Daemon+" "+e.Name)
	}
	is.Equal(names, []string{"a job_known", "c cell_acquire", "c woke_up", "c job_final"})
}
