package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/bambooyard/bambooyard/internal/jobapi"
	"github.com/bambooyard/bambooyard/job"
)

// queueJobID identifies a job in a queue on the command line.
type queueJobID struct {
	Queue string `long:"queue" required:"true" description:"queue that the job belongs to"`
	ID    string `long:"id" required:"true" description:"ID of the job; submitting it again changes nothing"`
}

func (t *tool) queueURL(queue string) string {
	return "http://" + t.Jobs + "/v1/queues/" + url.PathEscape(queue)
}

func (t *tool) queueJobURL(q queueJobID) string {
	return t.queueURL(q.Queue) + "/jobs/" + url.PathEscape(q.ID)
}

type jobApplyCommand struct {
	tool *tool
	queueJobID
	File string `short:"f" long:"file" required:"true" description:"job file"`
}

// Execute implements flags.Commander.
func (c *jobApplyCommand) Execute([]string) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if err := checkJobFile(c.ID, body); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	var reply jobapi.StateReply
	if err := callJSON(http.MethodPut, c.tool.queueJobURL(c.queueJobID), nil, body, &reply); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.tool.out, "job %s accepted in queue %s\n", c.ID, c.Queue)
	return nil
}

// checkJobFile validates a job file before it is sent to a daemon.
func checkJobFile(id string, body []byte) error {
	spec, err := job.DecodeFile(body)
	if err != nil {
		return err
	}
	spec.ID = id
	return spec.Validate()
}
