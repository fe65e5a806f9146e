package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of the job requests.
const (
	maxJobBytes     = 1 << 20
	defaultListJobs = 100
	maxListJobs     = 1000
)

// Jobs is what the callers' interface needs of the batch side. Errors are
// *verdict.RequestError.
type Jobs interface {
	Submit(ctx context.Context, job batch.Job) (batch.Job, error)
	Describe(ctx context.Context, member, key string) (batch.JobStatus, error)
	Cancel(ctx context.Context, member, key string) (batch.JobStatus, error)
	// List returns up to limit jobs of a member, or of all members if it is
	// empty, that follow the position after.
	List(ctx context.Context, member, after string, limit int) (batch.JobList, error)
}

func (s *Server) submitJob(c *gin.Context) {
	job, err := decodeJob(c.Request)
	if err == nil {
		job, err = s.opts.Jobs.Submit(c.Request.Context(), job)
	}
	s.answerJob(c, http.StatusAccepted, job, err)
}

func decodeJob(r *http.Request) (batch.Job, error) {
	var job batch.Job
	d := json.NewDecoder(io.LimitReader(r.Body, maxJobBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&job); err != nil {
		return job, verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0, "the job cannot be read: %v", err)
	}
	if err := job.Check(); err != nil {
		return job, verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0, "%v", err)
	}
	return job, nil
}

func (s *Server) listJobs(c *gin.Context) {
	limit, err := intQuery(c, "limit", defaultListJobs, 1, maxListJobs)
	var list batch.JobList
	if err == nil {
		list, err = s.opts.Jobs.List(c.Request.Context(), c.Query("member"), c.Query("after"), limit)
	}
	s.answerJob(c, http.StatusOK, list, err)
}

// intQuery reads a number from the query string.
func intQuery(c *gin.Context, name string, absent, low, high int) (int, error) {
	text := c.Query(name)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		return 0, verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0,
			"field %s: value %q must be a number between %d and %d", name, text, low, high)
	}
	return n, nil
}

// describeJob answers with the job's state, at once or, with the query
// parameters since and wait_ms, once it differs from the state of that tag.
func (s *Server) describeJob(c *gin.Context) {
	wait, err := intQuery(c, "wait_ms", 0, 0, int(maxWatch.Milliseconds()))
	var status batch.JobStatus
	if err == nil {
		status, err = s.watchJob(c, wait)
	}
	if err == nil {
		c.Header("ETag", jobTag(status))
	}
	s.answerJob(c, http.StatusOK, status, err)
}

func (s *Server) cancelJob(c *gin.Context) {
	status, err := s.opts.Jobs.Cancel(c.Request.Context(), c.Param("member"), c.Param("key"))
	s.answerJob(c, http.StatusOK, status, err)
}

func (s *Server) answerJob(c *gin.Context, status int, body any, err error) {
	if err != nil {
		s.refuse(c, call{}, err)
		return
	}
	c.JSON(status, body)
}
