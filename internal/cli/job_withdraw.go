package cli

import "net/http"

type jobWithdrawCommand struct {
	tool *tool
	queueJobID
	outputOption
}

// Execute implements flags.Commander.
func (c *jobWithdrawCommand) Execute([]string) error {
	return c.tool.callQueueJob(http.MethodDelete, c.queueJobID, c.outputOption)
}
