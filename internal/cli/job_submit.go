package cli

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/inventory"
)

type jobSubmitCommand struct {
	tool *tool
	jobID
	jobOutputOption
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
	body, err := json.Marshal(c.job())
	if err != nil {
		return err
	}
	var accepted batch.Job
	if err := callJSON(http.MethodPost, c.tool.jobsURL(), nil, body, &accepted); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.tool.out, accepted)
	}
	_, _ = fmt.Fprintf(c.tool.out, "job %s accepted on shard %s\n", accepted.ID(), accepted.Shard)
	return nil
}

func (c *jobSubmitCommand) job() batch.Job {
	return batch.Job{
		Member:         c.Member,
		Key:            c.Key,
		Kind:           c.Kind,
		Tasks:          c.Tasks,
		Resources:      inventory.Resources{MilliProcessors: c.MilliProcessors, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators},
		RunTimeMS:      c.RunTimeMS,
		DeadlineUnixMS: c.DeadlineUnixMS,
		Urgent:         c.Urgent,
		Avoid:          c.Avoid,
		Payload:        c.Payload,
	}
}
