// Package jobapi serves bambooyard's own interface to jobs with steps: submit,
// ask for the state, cancel, and count what waits.
//
//	PUT    /v1/queues/QUEUE/jobs/ID   a job file in YAML or JSON
//	GET    /v1/queues/QUEUE/jobs/ID   {"state": "running"}
//	DELETE /v1/queues/QUEUE/jobs/ID
//	GET    /v1/queues/QUEUE           {"pending": 3}
//
// Errors are bodies of {"code", "message", "verdict"}; the verdict says whether
// the request may have taken effect, and Retry-After when to come back.
package jobapi

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// Options are what a Handler is made of.
type Options struct {
	Jobs port.Jobs
	// HasQueue reports whether a queue is in force; ready is false while that is
	// not known.
	HasQueue func(name string) (exists, ready bool)
	Log      log.Interface
	// Wall is the time of day.
	Wall func() time.Time
}

const (
	// maxFileBytes bounds a job file; it is what the store takes for a row.
	maxFileBytes = 256 << 10
	// requestTimeout bounds a request: twice a lost answer of the store.
	requestTimeout = 3 * time.Second
	// unreadyRetry is what clients are told before a configuration is known.
	unreadyRetry = time.Second
)

// StateReply is the response to a question for a job's state.
type StateReply struct {
	State job.State `json:"state"`
}

// PendingReply is the response to a question for a queue's depth.
type PendingReply struct {
	// Pending is the number of accepted jobs of which no task has started.
	Pending int `json:"pending"`
}

// ErrorReply is the body of every refusal and failure.
type ErrorReply struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	Verdict string       `json:"verdict"`
}

type handler struct{ Options }

// New returns the interface. It is safe for concurrent use.
func New(o Options) http.Handler {
	h := &handler{o}
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	queue := engine.Group("/v1/queues/:queue", bound, h.checkQueue)
	queue.GET("", h.pending)
	queue.PUT("/jobs/:id", h.submit)
	queue.GET("/jobs/:id", h.state)
	queue.DELETE("/jobs/:id", h.cancel)
	return engine
}

// bound limits the time of a request.
func bound(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	c.Request = c.Request.WithContext(ctx)
	c.Next()
}

// checkQueue refuses requests for queues that are not in force.
func (h *handler) checkQueue(c *gin.Context) {
	exists, ready := h.HasQueue(c.Param("queue"))
	switch {
	case !ready:
		h.fail(c, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, unreadyRetry, "the configuration is not known yet"))
	case !exists:
		h.fail(c, verdict.Refuse(verdict.CodeNotFound, http.StatusNotFound, 0, "queue %q does not exist", c.Param("queue")))
	}
}

func (h *handler) submit(c *gin.Context) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxFileBytes))
	if err != nil {
		h.fail(c, verdict.Refuse(verdict.CodeTooLarge, http.StatusRequestEntityTooLarge, 0, "the job file cannot be read or is over %d bytes", maxFileBytes))
		return
	}
	spec, err := job.DecodeFile(body)
	if err == nil {
		spec.ID, spec.Queue, spec.AcceptedUnixMS = c.Param("id"), c.Param("queue"), h.Wall().UnixMilli()
		err = spec.Validate()
	}
	if err != nil {
		h.fail(c, verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0, "%v", err))
		return
	}
	h.answer(c, h.Jobs.Submit(c.Request.Context(), spec), StateReply{job.Queued})
}

func (h *handler) state(c *gin.Context) {
	state, err := h.Jobs.State(c.Request.Context(), c.Param("id"))
	h.answer(c, err, StateReply{state})
}

func (h *handler) cancel(c *gin.Context) {
	err := h.Jobs.Cancel(c.Request.Context(), c.Param("id"))
	h.answer(c, err, StateReply{job.Cancelled})
}

func (h *handler) pending(c *gin.Context) {
	n, err := h.Jobs.Pending(c.Param("queue"))
	h.answer(c, err, PendingReply{n})
}

// answer writes the outcome of an operation.
func (h *handler) answer(c *gin.Context, err error, body any) {
	if err != nil {
		h.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, body)
}

// fail writes an error and ends the request.
func (h *handler) fail(c *gin.Context, err error) {
	e := verdict.AsRequestError(err, http.StatusInternalServerError)
	h.Log.WithFields(log.Fields{"event": "request_refused", "code": e.Code, "status": e.Status, "path": c.FullPath()}).WithError(e).Info("job interface")
	if e.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(e.RetryAfterSeconds()))
	}
	c.Header(verdict.Header, e.Verdict.String())
	c.AbortWithStatusJSON(e.Status, ErrorReply{e.Code, e.Message, e.Verdict.String()})
}
