// Package entry serves the callers' interface over HTTP/1.1: it admits requests,
// sends them to targets and writes the responses.
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
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/verdict"
)

// Headers of the callers' interface.
const (
	HeaderMember         = "Bambooyard-Member"
	HeaderDeadline       = "Bambooyard-Deadline-Ms"
	HeaderRequestID      = "Bambooyard-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" on a stored response that is replayed.
	HeaderReplayed = "Bambooyard-Replayed"
	// HeaderOutcomeKept is "false" on a response that could not be stored. A
	// retry with the same key is then answered with may-have-run.
	HeaderOutcomeKept = "Bambooyard-Outcome-Kept"

	headerPrefix   = "Bambooyard-"
	servicesPrefix = "/v1/services/"
)

// Options configures a Server.
type Options struct {
	Publisher *traffic.Publisher
	Claims    *claims.Service
	Sender    *traffic.Sender
	Limiters  *Limiters
	Observer  Observer
	Jobs      Jobs
	Log       log.Interface
	Now       func() time.Time
	// Gate has the limits of what the requests may hold; none if nil.
	Gate *gate.Gate
}

// Observer receives the outcome of each request. It is safe for concurrent use.
type Observer interface {
	Observe(o burn.Observation)
}

// Server serves the callers' interface. It is safe for concurrent use.
type Server struct{ opts Options }

// NewServer returns a server.
func NewServer(opts Options) *Server { return &Server{opts} }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.UseRawPath = true
	router.RedirectTrailingSlash = false
	router.HandleMethodNotAllowed = true
	router.Match(forwardedMethods, servicesPrefix+":service/*path", s.serveRequest)
	router.POST("/v1/jobs", s.submitJob)
	router.GET("/v1/jobs", s.listJobs)
	router.GET("/v1/jobs/:member/:key", s.describeJob)
	router.DELETE("/v1/jobs/:member/:key", s.cancelJob)
	router.NoMethod(func(c *gin.Context) {
		s.writeError(c, newRequest(c), badRequest(verdict.CodeBadRequest, http.StatusMethodNotAllowed, "method %s is not supported on path %q", c.Request.Method, c.Request.URL.Path))
	})
	router.NoRoute(func(c *gin.Context) {
		s.writeError(c, newRequest(c), badRequest(verdict.CodeNotFound, http.StatusNotFound, "path %q does not exist", c.Request.URL.Path))
	})
	return router
}

// Drain shuts server down gracefully and then closes the claims service. The
// order matters: requests in flight still claim keys and store outcomes.
func (s *Server) Drain(ctx context.Context, server *http.Server) error {
	err := server.Shutdown(ctx)
	return errors.Join(err, s.opts.Claims.Close(ctx))
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Code      verdict.Code    `json:"code"`
	Message   string          `json:"message"`
	Verdict   verdict.Verdict `json:"verdict"`
	Member    string          `json:"member,omitempty"`
	Service   string          `json:"service,omitempty"`
	RequestID string          `json:"request_id,omitempty"`
}

// writeError writes err as an error response and logs it.
func (s *Server) writeError(c *gin.Context, req request, err error) {
	reqErr := verdict.AsRequestError(err, http.StatusInternalServerError)
	header := c.Writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(verdict.Header, reqErr.Verdict.String())
	if reqErr.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(reqErr.RetryAfterSeconds()))
	}
	c.Writer.WriteHeader(reqErr.Status)
	_ = json.NewEncoder(c.Writer).Encode(ErrorBody{
		Code: reqErr.Code, Message: reqErr.Message, Verdict: reqErr.Verdict, Member: req.member, Service: req.serviceName, RequestID: req.id,
	})
	s.opts.Log.WithFields(log.Fields{
		"event": "request_refused", "request": req.id, "member": req.member, "service": req.serviceName,
		"code": string(reqErr.Code), "verdict": reqErr.Verdict.String(), "status": reqErr.Status,
	}).Info(reqErr.Error())
}
