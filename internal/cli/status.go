package cli

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/bambooyard/bambooyard/internal/operator"
)

type statusCommand struct {
	tool *tool
	outputOption
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var s operator.Status
	if err := c.tool.callOperator(http.MethodGet, "/v1/status", nil, nil, &s); err != nil {
		return err
	}
	if c.json() {
		return printJSON(c.tool.out, s)
	}
	_, _ = fmt.Fprintf(c.tool.out, "daemon %s is %s at revision %d, owning shards: %s\n",
		s.Daemon, s.State, s.Head.Revision, strings.Join(s.Shards, " "))
	var rows [][]any
	for _, m := range s.Sessions {
		rows = append(rows, []any{m.Daemon, m.Region, m.DataCentre, m.Revision, m.Leaving})
	}
	return printTable(c.tool.out, "DAEMON\tREGION\tDATA CENTRE\tREVISION\tLEAVING", rows)
}
