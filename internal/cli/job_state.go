package cli

import (
	"fmt"
	"net/http"

	"github.com/bambooyard/bambooyard/internal/jobapi"
)

type jobStateCommand struct {
	tool *tool
	queueJobID
	outputOption
}

// Execute implements flags.Commander.
func (c *jobStateCommand) Execute([]string) error {
	return c.tool.callQueueJob(http.MethodGet, c.queueJobID, c.outputOption)
}

// callQueueJob sends a request on a job in a queue and prints the job's state.
func (t *tool) callQueueJob(method string, q queueJobID, o outputOption) error {
	var reply jobapi.StateReply
	if err := callJSON(method, t.queueJobURL(q), nil, nil, &reply); err != nil {
		return err
	}
	if o.json() {
		return printJSON(t.out, reply)
	}
	_, _ = fmt.Fprintf(t.out, "job %s is %s\n", q.ID, reply.State)
	return nil
}
