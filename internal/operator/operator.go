// Package operator is the HTTP interface for operators. It has an address of
// its own.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/membership"
)

const maxDocumentBytes = 32 << 20

// HeaderAuthor is the request header with the name of the operator who writes
// a document.
const HeaderAuthor = "Bambooyard-Author"

// bearerPrefix precedes the operator token in the Authorization header.
const bearerPrefix = "Bearer "

// Options are the settings of a Server.
type Options struct {
	Table     platform.Table
	Objects   platform.ObjectStore
	Publisher *traffic.Publisher
	Burn      BurnReport
	Metrics   metrics.Registry
	Now       func() time.Time
	// NewID returns a unique ID for a proposal.
	NewID func() string
	// Token is the bearer token that operators must send; none if it is empty.
	Token string
	// Status returns the daemon's control state.
	Status func(ctx context.Context) (Status, error)
	// Targets returns the targets of all services.
	Targets func(ctx context.Context) ([]Target, error)
	// OnAccepted is called after a new document was accepted, before the request
	// is answered.
	OnAccepted func()
	// Gate has the limits of what the requests may hold; none if nil.
	Gate *gate.Gate
	// DocumentMemoryBytes bounds the memory to decode a document; zero means no bound.
	DocumentMemoryBytes int64
	// Committed returns the resources that tasks hold on each VM, by name.
	// Documents that reduce a VM below them are refused. It may be nil.
	Committed func(ctx context.Context) (map[string]inventory.Resources, error)
}

// Status is a daemon's own state and its view of the live sessions.
type Status struct {
	Daemon   string               `json:"daemon"`
	Session  string               `json:"session"`
	State    string               `json:"state"`
	Ready    bool                 `json:"ready"`
	Reason   string               `json:"reason,omitempty"`
	Head     document.Head        `json:"head"`
	Sessions []membership.Session `json:"sessions"`
	Shards   []string             `json:"shards"`
}

// Server handles the requests of operators. It is safe for concurrent use.
type Server struct{ opts Options }

// NewServer returns a server.
func NewServer(opts Options) *Server { return &Server{opts} }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", s.ready)
	authorised := r.Group("/", s.authorise)
	authorised.GET("/metrics", s.metrics)
	authorised.GET("/v1/status", s.status)
	authorised.GET("/v1/burn", s.burn)
	authorised.GET("/v1/burn.html", s.burnPage)
	authorised.GET("/v1/config", s.getConfig)
	authorised.PUT("/v1/config", s.putConfig)
	authorised.GET("/v1/config/adoption", s.adoption)
	authorised.GET("/v1/config/history", s.history)
	authorised.POST("/v1/config/rollback", s.rollback)
	authorised.POST("/v1/daemons/:daemon/forget", s.forget)
	authorised.GET("/v1/targets", s.targets)
	authorised.GET("/v1/workers", s.workers)
	return r
}

// authorise refuses requests without the operator token if one is set. The
// digests are compared in constant time, so that the duration reveals neither
// the token nor its length.
func (s *Server) authorise(c *gin.Context) {
	if s.opts.Token == "" {
		return
	}
	token := strings.TrimPrefix(c.GetHeader("Authorization"), bearerPrefix)
	want, got := sha256.Sum256([]byte(s.opts.Token)), sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(want[:], got[:]) == 1 {
		return
	}
	c.Header("WWW-Authenticate", "Bearer")
	c.AbortWithStatusJSON(http.StatusUnauthorized, ErrorBody{Errors: []string{"the operator token is missing or wrong"}})
}

// ready answers 200 while the daemon may serve, and 503 with the reason
// otherwise.
func (s *Server) ready(c *gin.Context) {
	if ok, reason := s.opts.Publisher.Load().Serving(s.opts.Now()); !ok {
		c.String(http.StatusServiceUnavailable, "not ready: %s\n", reason)
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (s *Server) metrics(c *gin.Context) {
	c.Header("Content-Type", "application/json")
	metrics.CaptureRuntimeMemStatsOnce(s.opts.Metrics)
	metrics.WriteJSONOnce(s.opts.Metrics, c.Writer)
}

func (s *Server) status(c *gin.Context) {
	status, err := s.opts.Status(c.Request.Context())
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(http.StatusOK, status)
}
