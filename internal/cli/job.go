package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/inventory"
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
		{"describe", "Show a job's tasks", &jobShowCommand{tool: t, method: http.MethodGet}},
		{"cancel", "Cancel a job", &jobShowCommand{tool: t, method: http.MethodDelete}},
	}
	for _, c := range commands {
		if _, err := job.AddCommand(c.name, c.short, "", c.command); err != nil {
			return err
		}
	}
	return nil
}

// jobName names a job on the command line.
type jobName struct {
	Member string `long:"member" required:"true" description:"member that the job belongs to"`
	Key    string `long:"key" required:"true" description:"key that makes the submission idempotent"`
}

type jobSubmitCommand struct {
	tool *tool
	jobName
	Kind            string   `long:"kind" default:"default" description:"kind of task, for learning"`
	Tasks           int      `long:"tasks" default:"1" description:"number of tasks"`
	MilliProcessors int64    `long:"milli-processors" default:"1000" description:"thousandths of a processor for each task"`
	MemoryMB        int64    `long:"memory-mb" default:"100" description:"memory for each task in MB"`
	Accelerators    int64    `long:"accelerators" description:"accelerators for each task"`
	RunTimeMS       int64    `long:"run-time-ms" default:"60000" description:"declared run time of a task in milliseconds"`
	DeadlineUnixMS  int64    `long:"deadline-unix-ms" description:"deadline in milliseconds since 1970 UTC"`
	Urgent          bool     `long:"urgent" description:"place before all other work"`
	Avoid           []string `long:"avoid" description:"service that the tasks must not share a VM with"`
	Payload         string   `long:"payload" description:"text for the worker"`
}

// Execute implements flags.Commander.
func (c *jobSubmitCommand) Execute([]string) error {
	job := batch.Job{
		Member: c.Member, Key: c.Key, Kind: c.Kind, Tasks: c.Tasks,
		Resources: inventory.Resources{MilliProcessors: c.MilliProcessors, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators},
		RunTimeMS: c.RunTimeMS, DeadlineUnixMS: c.DeadlineUnixMS, Urgent: c.Urgent, Avoid: c.Avoid, Payload: c.Payload,
	}
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	var accepted batch.Job
	if err := call(http.MethodPost, "http://"+c.tool.Caller+"/v1/jobs", nil, body, &accepted); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.tool.out, "job %s accepted on shard %s\n", accepted.ID(), accepted.Shard)
	return nil
}

type jobShowCommand struct {
	tool *tool
	jobName
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	method string
}

// Execute implements flags.Commander.
func (c *jobShowCommand) Execute([]string) error {
	var s batch.JobStatus
	path := "http://" + c.tool.Caller + "/v1/jobs/" + url.PathEscape(c.Member) + "/" + url.PathEscape(c.Key)
	if err := call(c.method, path, nil, nil, &s); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.tool.out, s)
	}
	w := tabwriter.NewWriter(c.tool.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TASK\tSTATE\tVM\tATTEMPT\tREASON")
	for _, t := range s.Tasks {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", t.ID, t.State, t.VM, t.Attempt, t.Reason)
	}
	return w.Flush()
}
