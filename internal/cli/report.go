package cli

import (
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/bambooyard/bambooyard/burn"
)

// reportCommand groups the reports.
type reportCommand struct{}

func (t *tool) registerReport(parser *flags.Parser) error {
	report, err := parser.AddCommand("report", "Print reports", "", &reportCommand{})
	if err != nil {
		return err
	}
	_, err = report.AddCommand("burn", "Show how much error budget was used", "", &burnCommand{tool: t})
	return err
}

type burnCommand struct {
	tool   *tool
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

// Execute implements flags.Commander.
func (c *burnCommand) Execute([]string) error {
	var lines []burn.Line
	if err := call(http.MethodGet, "http://"+c.tool.Operator+"/v1/burn", nil, nil, &lines); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.tool.out, lines)
	}
	w := tabwriter.NewWriter(c.tool.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tMEMBER\tGOOD\tLATE\tREFUSED\tFAILED\tBURN")
	for _, l := range lines {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\n", l.Service, l.Member,
			l.Counts[burn.OutcomeGood], l.Counts[burn.OutcomeLate], l.Counts[burn.OutcomeRefused], l.Counts[burn.OutcomeFailed], l.Burn)
	}
	return w.Flush()
}
