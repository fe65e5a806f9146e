package cli

import (
	"fmt"
	"net/http"

	"github.com/bambooyard/bambooyard/internal/jobapi"
)

type jobPendingCommand struct {
	tool  *tool
	Queue string `long:"queue" required:"true" description:"queue to count"`
	outputOption
}

// Execute implements flags.Commander.
func (c *jobPendingCommand) Execute([]string) error {
	var reply jobapi.PendingReply
	if err := callJSON(http.MethodGet, c.tool.queueURL(c.Queue), nil, nil, &reply); err != nil {
		return err
	}
	if c.json() {
		return printJSON(c.tool.out, reply)
	}
	_, _ = fmt.Fprintf(c.tool.out, "%d jobs of queue %s have not begun\n", reply.Pending, c.Queue)
	return nil
}
