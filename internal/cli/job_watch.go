package cli

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/bambooyard/bambooyard/internal/batch"
)

// Limits of watching a job.
const (
	watchWaitMS      = 5_000 // longest time that a daemon holds a poll without a change
	watchRetryDelay  = time.Second
	maxWatchRefusals = 30 // consecutive refusals before the command fails
)

type jobWatchCommand struct {
	tool *tool
	jobID
	jobOutputOption
}

// Execute implements flags.Commander.
func (c *jobWatchCommand) Execute([]string) error {
	etag, refusals := "", 0
	for {
		s, newETag, err := c.poll(etag)
		var refused *RefusedError
		switch {
		case errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable && refusals < maxWatchRefusals:
			refusals++
			time.Sleep(watchRetryDelay) // the shard has no owner during a hand-over
			continue
		case err != nil:
			return err
		}
		refusals = 0
		if newETag != etag {
			if err := c.printStatus(c.tool.out, s); err != nil {
				return err
			}
		}
		if allTasksFinal(s) {
			return nil
		}
		etag = newETag
	}
}

// poll returns the job's status and its ETag once it differs from the given
// ETag, or after watchWaitMS milliseconds.
func (c *jobWatchCommand) poll(etag string) (batch.JobStatus, string, error) {
	query := url.Values{"since": {etag}, "wait_ms": {fmt.Sprint(watchWaitMS)}}
	var s batch.JobStatus
	header, err := callJSONWithHeader(http.MethodGet, c.tool.jobURL(c.jobID)+"?"+query.Encode(), nil, nil, &s)
	return s, header.Get("ETag"), err
}
