package cli

import "net/http"

type jobWithdrawCommand struct {
	tool *tool
	queueJob
	outputOption
}

// Execute implements flags.Commander.
func (c *jobWithdrawCommand) Execute([]string) error {
	return c.tool.callQueueJob(http.MethodDelete, c.queueJob, c.outputOption)
}
