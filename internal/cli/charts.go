package cli

import (
	"fmt"

	"github.com/bambooyard/bambooyard/charts"
)

type chartsCommand struct{ tool *tool }

// Execute implements flags.Commander.
func (c *chartsCommand) Execute([]string) error {
	for _, chart := range charts.All() {
		_, _ = fmt.Fprintf(c.tool.out, "%s (begins %s)\n", chart.Name(), chart.Initial())
		for _, t := range chart.Transitions() {
			_, _ = fmt.Fprintf(c.tool.out, "  %s --%s--> %s\n", t.From, t.Event, t.To)
		}
	}
	return nil
}
