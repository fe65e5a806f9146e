package cli

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/bambooyard/bambooyard/internal/batch"
)

// Times of following a job.
const (
	watchWaitMS       = 5_000 // a daemon holds a request for at most this long
	watchRetryDelay   = time.Second
	maxWatchedRefusal = 30 // refusals in a row after which the command gives up
)

type jobWatchCommand struct {
	tool *tool
	jobName
	jobOutput
}

// Execute implements flags.Commander.
func (c *jobWatchCommand) Execute([]string) error {
	tag, refusals := "", 0
	for {
		s, next, err := c.poll(tag)
		var refused *RefusedError
		switch {
		case errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable && refusals < maxWatchedRefusal:
			refusals++
			time.Sleep(watchRetryDelay) // the shard is changing its owner
			continue
		case err != nil:
			return err
		}
		refusals = 0
		if next != tag {
			if err := c.printStatus(c.tool.out, s); err != nil {
				return err
			}
		}
		if ended(s) {
			return nil
		}
		tag = next
	}
}

// poll waits until the job's state differs from that of the tag.
func (c *jobWatchCommand) poll(tag string) (batch.JobStatus, string, error) {
	query := url.Values{"since": {tag}, "wait_ms": {fmt.Sprint(watchWaitMS)}}
	var s batch.JobStatus
	header, err := callWithHeader(http.MethodGet, c.tool.jobURL(c.jobName)+"?"+query.Encode(), nil, nil, &s)
	return s, header.Get("ETag"), err
}
