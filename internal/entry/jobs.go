package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/verdict"
)

const maxJobBytes = 1 << 20

// Jobs is what the callers' interface needs of the batch side. Errors are
// *verdict.RequestError.
type Jobs interface {
	Submit(ctx context.Context, job batch.Job) (batch.Job, error)
	Describe(ctx context.Context, member, key string) (batch.JobStatus, error)
	Cancel(ctx context.Context, member, key string) (batch.JobStatus, error)
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

func (s *Server) describeJob(c *gin.Context) {
	status, err := s.opts.Jobs.Describe(c.Request.Context(), c.Param("member"), c.Param("key"))
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
