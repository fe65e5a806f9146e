package batch

import (
	"encoding/json"

	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/shard"
)

const cancelSuffix = "\x00cancel"

// inboxMessage is the value of an inbox row: a job, or the ID of a job to cancel.
type inboxMessage struct {
	Job
	CancelJob string `json:"cancel_job,omitempty"`
	// Moved holds the job's tasks when the job was moved from another shard.
	Moved []shard.Task `json:"moved,omitempty"`
}

// cancelRow returns the inbox row that requests the cancellation of a job.
func cancelRow(job Job) (platform.Put, error) {
	value, err := json.Marshal(inboxMessage{CancelJob: job.ID()})
	return platform.Put{Key: platform.InboxKey(job.Shard, job.Member, job.Key) + cancelSuffix, Value: value}, err
}
