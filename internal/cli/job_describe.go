package cli

import "net/http"

type jobDescribeCommand struct {
	tool *tool
	jobID
	jobOutputOption
}

// Execute implements flags.Commander.
func (c *jobDescribeCommand) Execute([]string) error {
	return c.tool.callJob(http.MethodGet, c.jobID, c.jobOutputOption)
}
