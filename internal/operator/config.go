package operator

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/intake"
	"github.com/bambooyard/bambooyard/internal/configsync"
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/sessions"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/membership"
	"github.com/bambooyard/bambooyard/verdict"
)

// maxHistory limits how many revisions one listing returns.
const maxHistory = 1000

// Config is a revision's head with its document in YAML.
type Config struct {
	Head document.Head `json:"head"`
	Body string        `json:"body"`
}

// Adoption is the progress of a revision, by the names of the daemons.
type Adoption struct {
	Revision document.Revision `json:"revision"`
	InForce  bool              `json:"in_force"`
	Adopted  []string          `json:"adopted"`
	Pending  []string          `json:"pending"`
	// Lost are daemons whose sessions have expired but that may still serve.
	Lost []string `json:"lost"`
}

// ForgetResult is the number of a daemon's sessions that were fenced.
type ForgetResult struct {
	Daemon   string `json:"daemon"`
	Sessions int    `json:"sessions"`
}

// QueryError reports a query parameter with an invalid value.
type QueryError struct{ Name, Value, Reason string }

// Error implements error.
func (e *QueryError) Error() string {
	return "query " + e.Name + ": value " + strconv.Quote(e.Value) + " " + e.Reason
}

func (s *Server) configStore() configsync.Store {
	return configsync.Store{Table: s.opts.Table, Objects: s.opts.Objects}
}

// getConfig answers with the document in force, or with that of the query
// parameter revision. Without any revision, the answer is a zero Config.
func (s *Server) getConfig(c *gin.Context) {
	ctx := c.Request.Context()
	if c.Query("revision") != "" {
		s.getRevision(c)
		return
	}
	head, _, err := configsync.ReadHead(ctx, s.opts.Table)
	if err != nil {
		s.respondError(c, err)
		return
	}
	if head.Revision == 0 {
		c.JSON(http.StatusOK, Config{})
		return
	}
	body, err := s.opts.Objects.Get(ctx, platform.ConfigObjectKey(int64(head.Revision), head.Digest))
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(http.StatusOK, Config{Head: head, Body: string(body)})
}

func (s *Server) getRevision(c *gin.Context) {
	revision, err := queryRevision(c, "revision")
	if err != nil {
		s.respondError(c, err)
		return
	}
	head, body, err := s.configStore().Body(c.Request.Context(), revision)
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(http.StatusOK, Config{Head: head, Body: string(body)})
}

func queryRevision(c *gin.Context, name string) (document.Revision, error) {
	value := c.Query(name)
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return 0, &QueryError{name, value, "is not a revision number"}
	}
	return document.Revision(n), nil
}

// putConfig makes the body the next revision if the query parameter based_on
// names the revision in force.
func (s *Server) putConfig(c *gin.Context) {
	basedOn, err := queryRevision(c, "based_on")
	if err != nil {
		s.respondError(c, err)
		return
	}
	body, err := s.opts.Gate.ReadBody(c.Writer, c.Request, gate.Body{Limit: maxDocumentBytes})
	if err != nil {
		s.respondError(c, err)
		return
	}
	s.propose(c, body, basedOn)
}

// checkCommitted returns an InvalidError for a document that reduces a VM's
// capacity below what tasks hold on it.
func (s *Server) checkCommitted(ctx context.Context, doc document.Document) error {
	if s.opts.Committed == nil {
		return nil
	}
	committed, err := s.opts.Committed(ctx)
	if err != nil {
		return err
	}
	if err := inventory.CheckCommitted(doc.Inventory, committed); err != nil {
		return &InvalidError{Err: err}
	}
	return nil
}

// decode decodes a document, one at a time, unless that takes more memory than there is.
func (s *Server) decode(body []byte) (doc document.Document, err error) {
	need := int64(intake.YAMLNodes(body)) * intake.YAMLNodeBytes
	if most := s.opts.DocumentMemoryBytes; most > 0 && need > most {
		return doc, &TooLargeError{NeedBytes: need, MaxBytes: most}
	}
	s.opts.Gate.DecodeLarge(func() { doc, err = document.Decode(body) })
	if err != nil {
		return doc, &InvalidError{Err: err}
	}
	return doc, nil
}

// propose validates a document and makes it the next revision if basedOn is
// the one in force.
func (s *Server) propose(c *gin.Context, body []byte, basedOn document.Revision) {
	doc, err := s.decode(body)
	if err != nil {
		s.respondError(c, err)
		return
	}
	if err := s.checkCommitted(c.Request.Context(), doc); err != nil {
		s.respondError(c, err)
		return
	}
	head, err := configsync.Propose(c.Request.Context(), s.configStore(), configsync.Proposal{
		ID: s.opts.NewID(), Body: body, BaseRevision: basedOn,
		Author: c.GetHeader(HeaderAuthor), NowUnixMS: s.opts.Now().UnixMilli(),
	})
	if err != nil {
		s.respondError(c, err)
		return
	}
	s.opts.OnAccepted()
	c.JSON(http.StatusOK, head)
}

// rollback makes the document of an earlier revision the next revision. The
// query parameter to names the earlier revision, based_on the one in force.
func (s *Server) rollback(c *gin.Context) {
	revision, err := queryRevision(c, "to")
	if err != nil {
		s.respondError(c, err)
		return
	}
	basedOn, err := queryRevision(c, "based_on")
	if err != nil {
		s.respondError(c, err)
		return
	}
	_, body, err := s.configStore().Body(c.Request.Context(), revision)
	if err != nil {
		s.respondError(c, err)
		return
	}
	s.propose(c, body, basedOn)
}

func (s *Server) history(c *gin.Context) {
	heads, err := s.configStore().History(c.Request.Context(), maxHistory)
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(http.StatusOK, heads)
}

func (s *Server) adoption(c *gin.Context) {
	revision, err := queryRevision(c, "revision")
	if err != nil {
		s.respondError(c, err)
		return
	}
	readAt := s.opts.Now()
	rows, err := sessions.Read(c.Request.Context(), s.opts.Table)
	if err != nil {
		s.respondError(c, err)
		return
	}
	a := membership.AdoptionOf(revision, rows, readAt)
	c.JSON(http.StatusOK, Adoption{
		Revision: revision,
		InForce:  a.InForce(),
		Adopted:  daemonNames(a.Adopted),
		Pending:  daemonNames(a.Pending),
		Lost:     daemonNames(a.Lost),
	})
}

func daemonNames(sessions []membership.Session) []string {
	names := make([]string, len(sessions))
	for i, session := range sessions {
		names[i] = session.Daemon
	}
	return names
}

// forget fences the lost sessions of a daemon that the operator declares
// stopped.
func (s *Server) forget(c *gin.Context) {
	daemon := c.Param("daemon")
	n, err := sessions.Forget(c.Request.Context(), s.opts.Table, daemon, s.opts.Now())
	if err != nil {
		s.respondError(c, err)
		return
	}
	if n == 0 {
		s.respondError(c, &NotFoundError{Kind: "lost session of daemon", Name: daemon})
		return
	}
	c.JSON(http.StatusOK, ForgetResult{Daemon: daemon, Sessions: n})
}

// statusCode returns the HTTP status that reports an error.
func statusCode(err error) int {
	var query *QueryError
	var tooLarge *TooLargeError
	var refused *verdict.RequestError
	var invalid *InvalidError
	var notFound *NotFoundError
	var noRevision *configsync.UnknownRevisionError
	var revision *configsync.RevisionConflictError
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &query):
		return http.StatusBadRequest
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &refused):
		return refused.Status
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity
	case errors.As(err, &notFound), errors.As(err, &noRevision):
		return http.StatusNotFound
	case errors.As(err, &revision), errors.As(err, &conflict):
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}
