package operator

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/internal/burnpage"
)

// BurnReport makes the burn report over all daemons.
type BurnReport func(ctx context.Context) (burn.Report, *burn.Ledger, error)

func (s *Server) burn(c *gin.Context) {
	report, _, err := s.opts.Burn(c.Request.Context())
	if err != nil {
		fail(c, http.StatusServiceUnavailable, err)
		return
	}
	c.JSON(http.StatusOK, report)
}

func (s *Server) burnPage(c *gin.Context) {
	report, ledger, err := s.opts.Burn(c.Request.Context())
	if err != nil {
		fail(c, http.StatusServiceUnavailable, err)
		return
	}
	c.Header("Content-Type", "text/html; charset=utf-8")
	c.Status(http.StatusOK)
	_ = burnpage.Write(c.Writer, report, ledger)
}
