package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/batch"
)

// jobCommand groups the sub-commands on jobs.
type jobCommand struct{}

func (t *tool) registerJob(parser *flags.Parser) error {
	job, err := parser.AddCommand("job", "Submit and follow jobs", "", &jobCommand{})
	if err != nil {
		return err
	}
	commands := []struct {
		name, short string
		command     any
	}{
		{"submit", "Submit a job", &jobSubmitCommand{tool: t}},
		{"list", "List accepted jobs", &jobListCommand{tool: t}},
		{"describe", "Show a job's tasks", &jobDescribeCommand{tool: t}},
		{"watch", "Show a job's tasks until all have ended", &jobWatchCommand{tool: t}},
		{"cancel", "Cancel a job", &jobCancelCommand{tool: t}},
		{"apply", "Submit a job file with steps to a queue", &jobApplyCommand{tool: t}},
		{"state", "Show the state of a job in a queue", &jobStateCommand{tool: t}},
		{"withdraw", "Cancel a job in a queue", &jobWithdrawCommand{tool: t}},
		{"pending", "Count the jobs of a queue that have not begun", &jobPendingCommand{tool: t}},
	}
	for _, c := range commands {
		if _, err := job.AddCommand(c.name, c.short, "", c.command); err != nil {
			return err
		}
	}
	return nil
}

// jobID identifies a member's job on the command line.
type jobID struct {
	Member string `long:"member" required:"true" description:"member that the job belongs to"`
	Key    string `long:"key" required:"true" description:"key that makes the submission idempotent"`
}

// jobOutputOption is the output format of jobs.
type jobOutputOption struct {
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

func (t *tool) jobsURL() string { return "http://" + t.Caller + "/v1/jobs" }

func (t *tool) jobURL(id jobID) string {
	return t.jobsURL() + "/" + url.PathEscape(id.Member) + "/" + url.PathEscape(id.Key)
}

// callJob sends a request on a job and prints the job's tasks.
func (t *tool) callJob(method string, id jobID, o jobOutputOption) error {
	var s batch.JobStatus
	if err := callJSON(method, t.jobURL(id), http.Header{}, nil, &s); err != nil {
		return err
	}
	return o.printStatus(t.out, s)
}

func (o jobOutputOption) printStatus(out io.Writer, s batch.JobStatus) error {
	if o.Output == "json" {
		return printJSON(out, s)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TASK\tSTATE\tVM\tATTEMPT\tREASON")
	for _, t := range s.Tasks {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", t.ID, t.State, t.VM, t.Attempt, t.Reason)
	}
	return w.Flush()
}

// allTasksFinal reports whether the job has tasks and all are in final states.
func allTasksFinal(s batch.JobStatus) bool {
	for _, t := range s.Tasks {
		if !charts.Task.IsFinal(chart.State(t.State)) {
			return false
		}
	}
	return len(s.Tasks) > 0
}
