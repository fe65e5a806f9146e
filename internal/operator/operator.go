// Package operator serves operators over HTTP on an address of its own.
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
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/membership"
)

const maxDocumentBytes = 32 << 20

// HeaderAuthor names the operator who writes a document.
const HeaderAuthor = "Bambooyard-Author"

// bearer begins the value of the header that carries the operator token.
const bearer = "Bearer "

// Options are the settings of a Server.
type Options struct {
	Table     platform.Table
	Objects   platform.ObjectStore
	Publisher *traffic.Publisher
	Burn      BurnReport
	Metrics   metrics.Registry
	Now       func() time.Time
	// NewID returns a text that no other proposal has.
	NewID func() string
	// Token is demanded of operators unless it is empty.
	Token string
	// Status returns the daemon's control state.
	Status func(ctx context.Context) (Status, error)
	// Targets returns the targets of all services.
	Targets func(ctx context.Context) ([]Target, error)
	// OnAccepted tells the control goroutine that a new document was accepted.
	OnAccepted func()
	// Committed returns what tasks hold of each VM, by name; documents that
	// shrink a VM below it are refused. It may be nil.
	Committed func(ctx context.Context) (map[string]inventory.Resources, error)
}

// Status is what a daemon says of itself and the others.
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

// Server serves operators. It is safe for concurrent use.
type Server struct{ opts Options }

// NewServer returns a server.
func NewServer(opts Options) *Server { return &Server{opts} }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", s.ready)
	guarded := r.Group("/", s.authorise)
	guarded.GET("/metrics", s.metrics)
	guarded.GET("/v1/status", s.status)
	guarded.GET("/v1/burn", s.burn)
	guarded.GET("/v1/burn.html", s.burnPage)
	guarded.GET("/v1/config", s.getConfig)
	guarded.PUT("/v1/config", s.putConfig)
	guarded.GET("/v1/config/adoption", s.adoption)
	guarded.GET("/v1/config/history", s.history)
	guarded.POST("/v1/config/rollback", s.rollback)
	guarded.POST("/v1/daemons/:daemon/forget", s.forget)
	guarded.GET("/v1/targets", s.targets)
	guarded.GET("/v1/workers", s.workers)
	return r
}

// authorise refuses requests without the operator token if one is set. The
// digests are compared in constant time, so that not even the length shows.
func (s *Server) authorise(c *gin.Context) {
	if s.opts.Token == "" {
		return
	}
	given := strings.TrimPrefix(c.GetHeader("Authorization"), bearer)
	want, got := sha256.Sum256([]byte(s.opts.Token)), sha256.Sum256([]byte(given))
	if subtle.ConstantTimeCompare(want[:], got[:]) == 1 {
		return
	}
	c.Header("WWW-Authenticate", "Bearer")
	c.AbortWithStatusJSON(http.StatusUnauthorized, ErrorBody{Errors: []string{"the operator token is missing or wrong"}})
}

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
		s.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, status)
}
