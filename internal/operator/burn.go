package operator

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/bambooyard/bambooyard/burn"
)

func (s *Server) burn(c *gin.Context) {
	objectives := s.opts.Publisher.Load().Document.Rules.Objectives
	c.JSON(http.StatusOK, burn.Report(objectives, s.opts.Burn.Counts()))
}
