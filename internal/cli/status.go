package cli

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/bambooyard/bambooyard/internal/jobapi"
	"github.com/bambooyard/bambooyard/internal/operator"
)

type statusCommand struct {
	tool *tool
	outputOption
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var s operator.Status
	err := c.tool.callOperator(http.MethodGet, "/v1/status", nil, nil, &s)
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return c.printCells(err)
	}
	if err != nil {
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

// printCells prints the state of the cells, which the job interface tells. operatorErr is
// why the operator address does not.
func (c *statusCommand) printCells(operatorErr error) error {
	var reply jobapi.CellsReply
	if err := callJSON(http.MethodGet, "http://"+c.tool.Jobs+"/v1/cells", nil, nil, &reply); err != nil {
		return errors.Join(operatorErr, err)
	}
	if c.json() {
		return printJSON(c.tool.out, reply)
	}
	var rows [][]any
	for _, cell := range reply.Cells {
		switch {
		case !cell.Known:
			rows = append(rows, []any{cell.Number, cell.Owner, "not known"})
		case len(cell.Evacuations) == 0:
			rows = append(rows, []any{cell.Number, cell.Owner, "none"})
		}
		for _, e := range cell.Evacuations {
			rows = append(rows, []any{cell.Number, cell.Owner, e.DataCentre, e.Workers, e.Services, e.Tasks})
		}
	}
	return printTable(c.tool.out, "CELL\tOWNER\tEVACUATED\tWORKERS\tSERVICE TASKS\tOTHER TASKS", rows)
}
