// Package entry serves callers over HTTP/1.1.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/internal/claims"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/verdict"
)

// Headers of the callers' interface.
const (
	HeaderMember         = "Bambooyard-Member"
	HeaderDeadline       = "Bambooyard-Deadline-Ms"
	HeaderRequestID      = "Bambooyard-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" on a kept answer that is given again.
	HeaderReplayed = "Bambooyard-Replayed"
	// HeaderOutcomeKept is "false" on an answer that could not be kept: a
	// second try will be told that the request may have run.
	HeaderOutcomeKept = "Bambooyard-Outcome-Kept"

	headerPrefix   = "Bambooyard-"
	servicesPrefix = "/v1/services/"
)

// Options are the settings of a Server.
type Options struct {
	Publisher *traffic.Publisher
	Claims    *claims.Service
	Sender    *traffic.Sender
	Limiters  *Limiters
	Observer  Observer
	Jobs      Jobs
	Log       log.Interface
	Now       func() time.Time
}

// Observer is told of each request that has ended. It is safe for concurrent use.
type Observer interface {
	Observe(o burn.Observation)
}

// Server serves callers. It is safe for concurrent use.
type Server struct{ opts Options }

// NewServer returns a server.
func NewServer(opts Options) *Server { return &Server{opts} }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.UseRawPath = true
	r.RedirectTrailingSlash = false
	r.HandleMethodNotAllowed = true
	r.Match(methods, servicesPrefix+":service/*path", s.serveQuick)
	r.POST("/v1/jobs", s.submitJob)
	r.GET("/v1/jobs", s.listJobs)
	r.GET("/v1/jobs/:member/:key", s.describeJob)
	r.DELETE("/v1/jobs/:member/:key", s.cancelJob)
	r.NoMethod(func(c *gin.Context) {
		s.refuse(c, newCall(c), badRequest(verdict.CodeBadRequest, http.StatusMethodNotAllowed, "method %s is not supported on path %q", c.Request.Method, c.Request.URL.Path))
	})
	r.NoRoute(func(c *gin.Context) {
		s.refuse(c, newCall(c), badRequest(verdict.CodeNotFound, http.StatusNotFound, "path %q does not exist", c.Request.URL.Path))
	})
	return r
}

// Drain is the graceful stop of the callers' side: requests in progress are
// answered, and only then are the claims of their keys settled.
func (s *Server) Drain(ctx context.Context, server *http.Server) error {
	err := server.Shutdown(ctx)
	return errors.Join(err, s.opts.Claims.Close(ctx))
}

// ErrorBody is the JSON body of a refusal or failure.
type ErrorBody struct {
	Code      verdict.Code    `json:"code"`
	Message   string          `json:"message"`
	Verdict   verdict.Verdict `json:"verdict"`
	Member    string          `json:"member,omitempty"`
	Service   string          `json:"service,omitempty"`
	RequestID string          `json:"request_id,omitempty"`
}

// refuse writes the error body of err with its headers.
func (s *Server) refuse(c *gin.Context, q call, err error) {
	e := verdict.AsRequestError(err, http.StatusInternalServerError)
	header := c.Writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds()))
	}
	c.Writer.WriteHeader(e.Status)
	_ = json.NewEncoder(c.Writer).Encode(ErrorBody{
		Code: e.Code, Message: e.Message, Verdict: e.Verdict, Member: q.member, Service: q.serviceName, RequestID: q.id,
	})
	s.opts.Log.WithFields(log.Fields{
		"event": "request_refused", "request": q.id, "member": q.member, "service": q.serviceName,
		"code": string(e.Code), "verdict": e.Verdict.String(), "status": e.Status,
	}).Info(e.Error())
}
