package cli

import (
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/bambooyard/bambooyard/internal/operator"
)

type statusCommand struct {
	tool   *tool
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var s operator.Status
	if err := call(http.MethodGet, "http://"+c.tool.Operator+"/v1/status", nil, nil, &s); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.tool.out, s)
	}
	_, _ = fmt.Fprintf(c.tool.out, "daemon %s is %s at revision %d, owning shards: %s\n",
		s.Daemon, s.State, s.Head.Revision, strings.Join(s.Shards, " "))
	w := tabwriter.NewWriter(c.tool.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "DAEMON\tREGION\tDATA CENTRE\tREVISION\tLEAVING")
	for _, m := range s.Sessions {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\n", m.Daemon, m.Region, m.DataCentre, m.Revision, m.Leaving)
	}
	return w.Flush()
}
