// Package jobapi serves the HTTP API for jobs: submit a job, get its state, cancel
// it, and count the pending jobs of a queue.
//
//	PUT    /v1/queues/QUEUE/jobs/ID   a job file in YAML or JSON
//	GET    /v1/queues/QUEUE/jobs/ID   {"state": "running"}
//	DELETE /v1/queues/QUEUE/jobs/ID
//	GET    /v1/queues/QUEUE           {"pending": 3}
//	GET    /v1/cells                  {"cells": [...]}
//
// The body of an error is {"code", "message", "verdict"}; the verdict says whether
// the request may have taken effect, and the header Retry-After when to retry.
package jobapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/verdict"
)

// Options configure the API.
type Options struct {
	Jobs port.Jobs
	// HasQueue reports whether a queue exists in the configuration in force; ready is
	// false while that is not known.
	HasQueue func(name string) (exists, ready bool)
	// Cells returns the state of all cells, as far as the daemon knows it.
	Cells func(ctx context.Context) ([]port.CellState, error)
	Log   log.Interface
	// Gate has the limits of what the requests may hold; none if nil.
	Gate *gate.Gate
	// Wall returns the time of the wall clock.
	Wall func() time.Time
}

const (
	// maxFileBytes bounds a job file; it is the store's size limit for a row.
	maxFileBytes = 256 << 10
	// fileFactor is how often a job is held while it is stored: as received, decoded, encoded and in
	// the request to the store.
	fileFactor = 4
	// requestTimeout bounds a request; it is twice the time after which a reply of
	// the store counts as lost.
	requestTimeout = 3 * time.Second
	// notReadyRetryAfter is the Retry-After before a configuration is known.
	notReadyRetryAfter = time.Second
)

// StateReply is the response with a job's state.
type StateReply struct {
	State job.State `json:"state"`
}

// PendingReply is the response with a queue's depth.
type PendingReply struct {
	// Pending is the number of accepted jobs of which no task has started.
	Pending int `json:"pending"`
}

// CellsReply is the response with the state of all cells.
type CellsReply struct {
	Cells []port.CellState `json:"cells"`
}

// ErrorReply is the response to a refused or failed request.
type ErrorReply struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	Verdict string       `json:"verdict"`
}

type handler struct{ Options }

// New returns the handler of the API. It is safe for concurrent use.
func New(o Options) http.Handler {
	h := &handler{o}
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	queue := engine.Group("/v1/queues/:queue", withTimeout, h.checkQueue)
	queue.GET("", h.pending)
	queue.PUT("/jobs/:id", h.submit)
	queue.GET("/jobs/:id", h.state)
	queue.DELETE("/jobs/:id", h.cancel)
	engine.GET("/v1/cells", withTimeout, h.cells)
	return engine
}

// withTimeout applies requestTimeout to a request.
func withTimeout(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	c.Request = c.Request.WithContext(ctx)
	c.Next()
}

// checkQueue refuses requests for queues that do not exist.
func (h *handler) checkQueue(c *gin.Context) {
	exists, ready := h.HasQueue(c.Param("queue"))
	switch {
	case !ready:
		h.fail(c, verdict.Refuse(verdict.CodeNotReady, http.StatusServiceUnavailable, notReadyRetryAfter, "the configuration is not known yet"))
	case !exists:
		h.fail(c, verdict.Refuse(verdict.CodeNotFound, http.StatusNotFound, 0, "queue %q does not exist", c.Param("queue")))
	}
}

func (h *handler) submit(c *gin.Context) {
	body, err := h.Gate.ReadBody(c.Writer, c.Request, gate.Body{Limit: maxFileBytes, Factor: fileFactor})
	if err != nil {
		h.fail(c, err)
		return
	}
	var spec job.Spec
	h.Gate.DecodeLarge(func() { spec, err = job.DecodeFile(body) })
	if err == nil {
		spec.ID, spec.Queue, spec.AcceptedUnixMS = c.Param("id"), c.Param("queue"), h.Wall().UnixMilli()
		err = spec.Validate()
	}
	if err != nil {
		h.fail(c, verdict.Refuse(verdict.CodeBadRequest, http.StatusBadRequest, 0, "%v", err))
		return
	}
	h.respond(c, h.Jobs.Submit(c.Request.Context(), spec), StateReply{job.Queued})
}

func (h *handler) state(c *gin.Context) {
	state, err := h.Jobs.State(c.Request.Context(), c.Param("id"))
	h.respond(c, err, StateReply{state})
}

func (h *handler) cancel(c *gin.Context) {
	err := h.Jobs.Cancel(c.Request.Context(), c.Param("id"))
	h.respond(c, err, StateReply{job.Cancelled})
}

func (h *handler) pending(c *gin.Context) {
	n, err := h.Jobs.Pending(c.Param("queue"))
	h.respond(c, err, PendingReply{n})
}

func (h *handler) cells(c *gin.Context) {
	cells, err := h.Cells(c.Request.Context())
	h.respond(c, err, CellsReply{cells})
}

// respond writes the result of an operation.
func (h *handler) respond(c *gin.Context, err error, body any) {
	if err != nil {
		h.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, body)
}

// fail writes and logs an error, and ends the request.
func (h *handler) fail(c *gin.Context, err error) {
	e := verdict.AsRequestError(err, http.StatusInternalServerError)
	h.Log.WithFields(log.Fields{"event": "request_refused", "code": e.Code, "status": e.Status, "path": c.FullPath()}).WithError(e).Info("refused a job API request")
	if e.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(e.RetryAfterSeconds()))
	}
	c.Header(verdict.Header, e.Verdict.String())
	c.AbortWithStatusJSON(e.Status, ErrorReply{e.Code, e.Message, e.Verdict.String()})
}
