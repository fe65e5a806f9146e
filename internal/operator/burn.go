package operator

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/internal/burnpage"
)

// BurnReport returns the burn report over all daemons, with the counts that it
// was computed from.
type BurnReport func(ctx context.Context) (burn.Report, *burn.Ledger, error)

// burn answers with the burn report as JSON.
func (s *Server) burn(c *gin.Context) {
	report, _, err := s.opts.Burn(c.Request.Context())
	if err != nil {
		abortWithError(c, http.StatusServiceUnavailable, err)
		return
	}
	c.JSON(http.StatusOK, report)
}

// burnPage answers with the burn report as an HTML page.
func (s *Server) burnPage(c *gin.Context) {
	report, ledger, err := s.opts.Burn(c.Request.Context())
	if err != nil {
		abortWithError(c, http.StatusServiceUnavailable, err)
		return
	}
	c.Header("Content-Type", "text/html; charset=utf-8")
	c.Status(http.StatusOK)
	_ = burnpage.Write(c.Writer, report, ledger)
}
