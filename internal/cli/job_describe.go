package cli

import "net/http"

type jobDescribeCommand struct {
	tool *tool
	jobName
	jobOutput
}

// Execute implements flags.Commander.
func (c *jobDescribeCommand) Execute([]string) error {
	return c.tool.callJob(http.MethodGet, c.jobName, c.jobOutput)
}
