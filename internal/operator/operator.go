// Package operator serves operators over HTTP on an address of its own.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/configsync"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/traffic"
	"github.com/bambooyard/bambooyard/membership"
)

const maxDocumentBytes = 32 << 20

// HeaderAuthor names the operator who writes a document.
const HeaderAuthor = "Bambooyard-Author"

// Options are the settings of a Server.
type Options struct {
	Table     platform.Table
	Objects   platform.ObjectStore
	Publisher *traffic.Publisher
	Burn      BurnReport
	Metrics   metrics.Registry
	Now       func() time.Time
	// Status returns the daemon's control state.
	Status func(ctx context.Context) (Status, error)
	// Announce tells the control goroutine that a new document was accepted.
	Announce func()
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

// ErrorBody is the JSON body of a refused operation.
type ErrorBody struct {
	Errors []string `json:"errors"`
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
	r.GET("/metrics", s.metrics)
	r.GET("/v1/status", s.status)
	r.GET("/v1/burn", s.burn)
	r.GET("/v1/burn.html", s.burnPage)
	r.GET("/v1/config", s.getConfig)
	r.PUT("/v1/config", s.putConfig)
	r.GET("/v1/config/adoption", s.adoption)
	return r
}

func (s *Server) ready(c *gin.Context) {
	snapshot := s.opts.Publisher.Load()
	if !snapshot.Ready {
		c.String(http.StatusServiceUnavailable, "not ready: %s\n", snapshot.Reason)
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
		fail(c, http.StatusServiceUnavailable, err)
		return
	}
	c.JSON(http.StatusOK, status)
}

// Config is a document with its head.
type Config struct {
	Head document.Head `json:"head"`
	Body string        `json:"body"`
}

func (s *Server) getConfig(c *gin.Context) {
	ctx := c.Request.Context()
	head, _, err := configsync.ReadHead(ctx, s.opts.Table)
	if err != nil {
		fail(c, http.StatusServiceUnavailable, err)
		return
	}
	if head.Revision == 0 {
		c.JSON(http.StatusOK, Config{})
		return
	}
	body, err := s.opts.Objects.Get(ctx, platform.ConfigObject(int64(head.Revision), head.Digest))
	if err != nil {
		fail(c, http.StatusServiceUnavailable, err)
		return
	}
	c.JSON(http.StatusOK, Config{Head: head, Body: string(body)})
}

func (s *Server) putConfig(c *gin.Context) {
	body, err := io.ReadAll(io.LimitReader(c.Request.Body, maxDocumentBytes))
	if err != nil {
		fail(c, http.StatusBadRequest, err)
		return
	}
	if _, err := document.Decode(body); err != nil {
		fail(c, http.StatusUnprocessableEntity, err)
		return
	}
	based, err := strconv.ParseInt(c.Query("based_on"), 10, 64)
	if err != nil {
		fail(c, http.StatusBadRequest, errors.New("query based_on: a revision number is missing"))
		return
	}
	next := document.Head{Author: c.GetHeader(HeaderAuthor), AcceptedUnixMS: s.opts.Now().UnixMilli()}
	head, err := configsync.Propose(c.Request.Context(), s.opts.Table, s.opts.Objects, body, next, document.Revision(based))
	if err != nil {
		fail(c, statusOf(err), err)
		return
	}
	s.opts.Announce()
	c.JSON(http.StatusOK, head)
}

// Adoption says which live sessions have adopted a revision.
type Adoption struct {
	Revision document.Revision `json:"revision"`
	InForce  bool              `json:"in_force"`
	Adopted  []string          `json:"adopted"`
	Pending  []string          `json:"pending"`
}

func (s *Server) adoption(c *gin.Context) {
	revision, err := strconv.ParseInt(c.Query("revision"), 10, 64)
	if err != nil {
		fail(c, http.StatusBadRequest, errors.New("query revision: a revision number is missing"))
		return
	}
	rows, err := s.opts.Table.Scan(c.Request.Context(), platform.SessionPrefix, "", maxSessions)
	if err != nil {
		fail(c, http.StatusServiceUnavailable, err)
		return
	}
	a := membership.AdoptionOf(document.Revision(revision), decodeSessions(rows), s.opts.Now())
	c.JSON(http.StatusOK, Adoption{
		Revision: document.Revision(revision),
		InForce:  a.InForce(),
		Adopted:  daemons(a.Adopted),
		Pending:  daemons(a.Pending),
	})
}

const maxSessions = 10_000

func decodeSessions(rows []platform.Row) []membership.Session {
	var all []membership.Session
	for _, row := range rows {
		var session membership.Session
		if json.Unmarshal(row.Value, &session) == nil {
			all = append(all, session)
		}
	}
	return all
}

func daemons(sessions []membership.Session) []string {
	names := make([]string, len(sessions))
	for i, session := range sessions {
		names[i] = session.Daemon
	}
	return names
}

func statusOf(err error) int {
	var revision *configsync.RevisionConflictError
	var conflict *platform.ConflictError
	if errors.As(err, &revision) || errors.As(err, &conflict) {
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// fail writes each joined error as a line of its own.
func fail(c *gin.Context, status int, err error) {
	var body ErrorBody
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			body.Errors = append(body.Errors, e.Error())
		}
	} else {
		body.Errors = []string{err.Error()}
	}
	c.JSON(status, body)
}
