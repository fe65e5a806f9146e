package batch

import (
	"encoding/json"

	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

const cancelSuffix = "\x00cancel"

// message is a row of the inbox: a job, or the ID of a job to be cancelled.
type message struct {
	Job
	CancelJob string `json:"cancel_job,omitempty"`
	// Moved holds the job's tasks when it comes from another shard.
	Moved []shard.Task `json:"moved,omitempty"`
}

// cancelRow is the row that asks for a job to be cancelled.
func cancelRow(job Job) (platform.Put, error) {
	value, err := json.Marshal(message{CancelJob: job.ID()})
	return platform.Put{Key: platform.InboxKey(job.Shard, job.Member, job.Key) + cancelSuffix, Value: value}, err
}
