package cli

import (
	"fmt"

	"github.com/bambooyard/bambooyard/chart"
	"github.com/bambooyard/bambooyard/charts"
)

type chartsCommand struct {
	tool *tool
	outputOption
}

// chartTransition is one transition of a state chart, as JSON.
type chartTransition struct {
	Chart string      `json:"chart"`
	From  chart.State `json:"from"`
	Event chart.Event `json:"event"`
	To    chart.State `json:"to"`
}

// Execute implements flags.Commander.
func (c *chartsCommand) Execute([]string) error {
	if c.json() {
		return c.printJSON()
	}
	for _, chart := range charts.All() {
		_, _ = fmt.Fprintf(c.tool.out, "%s (begins %s)\n", chart.Name(), chart.Initial())
		for _, t := range chart.Transitions() {
			_, _ = fmt.Fprintf(c.tool.out, "  %s --%s--> %s\n", t.From, t.Event, t.To)
		}
	}
	return nil
}

func (c *chartsCommand) printJSON() error {
	var lines []chartTransition
	for _, chart := range charts.All() {
		for _, t := range chart.Transitions() {
			lines = append(lines, chartTransition{chart.Name(), t.From, t.Event, t.To})
		}
	}
	return printJSON(c.tool.out, lines)
}
