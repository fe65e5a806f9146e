package cli

import (
	"net/http"

	"github.com/bambooyard/bambooyard/internal/operator"
)

type workersCommand struct {
	tool *tool
	outputOption
}

// Execute implements flags.Commander.
func (c *workersCommand) Execute([]string) error {
	var list []operator.Worker
	if err := c.tool.callOperator(http.MethodGet, "/v1/workers", nil, nil, &list); err != nil {
		return err
	}
	if c.json() {
		return printJSON(c.tool.out, list)
	}
	var rows [][]any
	for _, w := range list {
		rows = append(rows, []any{w.VM, w.Location.Region, w.Location.DataCentre, w.Location.Rack,
			w.Usable.MilliProcessors, w.Usable.MemoryMB, w.Usable.Accelerators, w.Draining})
	}
	return printTable(c.tool.out, "VM\tREGION\tDATA CENTRE\tRACK\tMILLI PROCESSORS\tMEMORY MB\tACCELERATORS\tDRAINING", rows)
}
