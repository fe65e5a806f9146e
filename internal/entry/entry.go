// Package entry serves callers over HTTP/1.1.
package entry

import (
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
)

// Options are the settings of a Server.
type Options struct {
	Publisher *traffic.Publisher
	Claims    *claims.Grouper
	Sender    *traffic.Sender
	Gates     *Gates
	Burn      *burn.Recorder
	Jobs      Jobs
	Log       log.Interface
	Now       func() time.Time
	// Session returns the ID of this daemon's session.
	Session func() string
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
	r.Any("/v1/services/:service/*path", s.serveQuick)
	r.POST("/v1/jobs", s.submitJob)
	r.GET("/v1/jobs/:member/:key", s.describeJob)
	r.DELETE("/v1/jobs/:member/:key", s.cancelJob)
	r.NoRoute(func(c *gin.Context) {
		s.refuse(c, call{}, verdict.Refuse(verdict.CodeNotFound, http.StatusNotFound, 0, "path %q does not exist", c.Request.URL.Path))
	})
	return r
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
	var e *verdict.RequestError
	if !errors.As(err, &e) {
		e = &verdict.RequestError{Code: verdict.CodeInternal, Message: "internal error", Status: http.StatusInternalServerError, Err: err}
	}
	header := c.Writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds(e.RetryAfter)))
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

// retryAfterSeconds rounds up, since the header has whole seconds.
func retryAfterSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
