package entry

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/internal/batch"
)

// Limits of a long poll.
const (
	maxWatchWait  = 10 * time.Second
	watchInterval = 250 * time.Millisecond
)

// jobETag returns a hash of a job's status, or "" if it cannot be encoded.
func jobETag(status batch.JobStatus) string {
	body, err := json.Marshal(status)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// watchJob returns the job's status once its ETag differs from the query
// parameter since, or after waitMS milliseconds. It checks every watchInterval.
func (s *Server) watchJob(c *gin.Context, waitMS int) (batch.JobStatus, error) {
	ctx, since := c.Request.Context(), c.Query("since")
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		status, err := s.opts.Jobs.Describe(ctx, c.Param("member"), c.Param("key"))
		if err != nil || since == "" || jobETag(status) != since {
			return status, err
		}
		select {
		case <-ctx.Done():
			return status, nil
		case <-timeout.C:
			return status, nil
		case <-ticker.C:
		}
	}
}
