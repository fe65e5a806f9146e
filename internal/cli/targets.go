package cli

import (
	"net/http"

	"github.com/bambooyard/bambooyard/internal/operator"
)

type targetsCommand struct {
	tool *tool
	outputOption
}

// Execute implements flags.Commander.
func (c *targetsCommand) Execute([]string) error {
	var list []operator.Target
	if err := c.tool.callOperator(http.MethodGet, "/v1/targets", nil, nil, &list); err != nil {
		return err
	}
	if c.json() {
		return printJSON(c.tool.out, list)
	}
	var rows [][]any
	for _, t := range list {
		rows = append(rows, []any{t.Service, t.VM, t.Address, t.Location.Region, t.Location.DataCentre, t.State, t.Slots, t.InFlight})
	}
	return printTable(c.tool.out, "SERVICE\tVM\tADDRESS\tREGION\tDATA CENTRE\tSTATE\tSLOTS\tIN FLIGHT", rows)
}
