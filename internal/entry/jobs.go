package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/intake"
	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/verdict"
)

// Limits of job requests.
const (
	maxJobBytes = 1 << 20
	// jobBodyFactor is how often a job is held while it is stored: as received, decoded, encoded and
	// in the request to the table.
	jobBodyFactor = 4
	// maxJobObjects and maxJobValues bound what a job is decoded into. A valid job has two objects
	// and fewer than 100 values.
	maxJobObjects   = 16
	maxJobValues    = 1024
	defaultListJobs = 100
	maxListJobs     = 1000
)

// Jobs submits and tracks batch jobs. Errors are *verdict.RequestError.
type Jobs interface {
	Submit(ctx context.Context, job batch.Job) (batch.Job, error)
	Describe(ctx context.Context, member, key string) (batch.JobStatus, error)
	Cancel(ctx context.Context, member, key string) (batch.JobStatus, error)
	// List returns up to limit jobs after a position of an earlier list. An empty
	// member lists the jobs of all members.
	List(ctx context.Context, member, after string, limit int) (batch.JobList, error)
}

func (s *Server) submitJob(c *gin.Context) {
	body, err := s.opts.Gate.ReadBody(c.Writer, c.Request, gate.Body{Limit: maxJobBytes, Factor: jobBodyFactor})
	if err != nil {
		s.writeJob(c, 0, nil, err)
		return
	}
	var job batch.Job
	s.opts.Gate.Decode(func() { job, err = decodeJob(body) })
	if err == nil {
		job, err = s.opts.Jobs.Submit(c.Request.Context(), job)
	}
	s.writeJob(c, http.StatusAccepted, job, err)
}

func decodeJob(body []byte) (batch.Job, error) {
	var job batch.Job
	if err := intake.CheckJSON(body, maxJobObjects, maxJobValues); err != nil {
		return job, verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0, "the job cannot be read: %v", err)
	}
	d := json.NewDecoder(bytes.NewReader(body))
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
	s.writeJob(c, http.StatusOK, list, err)
}

// intQuery parses a query parameter between low and high. It returns
// defaultValue if the parameter is missing.
func intQuery(c *gin.Context, name string, defaultValue, low, high int) (int, error) {
	text := c.Query(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		return 0, verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0,
			"field %s: value %q must be a number between %d and %d", name, text, low, high)
	}
	return n, nil
}

// describeJob writes the job's status. With the query parameters since (an
// ETag) and wait_ms it is a long poll that waits for a different status.
func (s *Server) describeJob(c *gin.Context) {
	wait, err := intQuery(c, "wait_ms", 0, 0, int(maxWatchWait.Milliseconds()))
	var status batch.JobStatus
	if err == nil {
		status, err = s.watchJob(c, wait)
	}
	if err == nil {
		c.Header("ETag", jobETag(status))
	}
	s.writeJob(c, http.StatusOK, status, err)
}

func (s *Server) cancelJob(c *gin.Context) {
	status, err := s.opts.Jobs.Cancel(c.Request.Context(), c.Param("member"), c.Param("key"))
	s.writeJob(c, http.StatusOK, status, err)
}

func (s *Server) writeJob(c *gin.Context, status int, body any, err error) {
	if err != nil {
		s.writeError(c, request{}, err)
		return
	}
	c.JSON(status, body)
}
