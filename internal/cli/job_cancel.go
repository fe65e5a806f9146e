package cli

import "net/http"

type jobCancelCommand struct {
	tool *tool
	jobID
	jobOutputOption
}

// Execute implements flags.Commander.
func (c *jobCancelCommand) Execute([]string) error {
	return c.tool.callJob(http.MethodDelete, c.jobID, c.jobOutputOption)
}
