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
	_, err = report.AddCommand("burn", "Show how fast the error budgets are used", "", &burnCommand{tool: t})
	return err
}

type burnCommand struct {
	tool   *tool
	Output string `long:"output" choice:"table" choice:"json" choice:"html" default:"table" description:"form of the output"`
	Window string `long:"window" choice:"5m" choice:"1h" choice:"6h" choice:"3d" default:"3d" description:"window whose counts the table shows"`
}

// Execute implements flags.Commander.
func (c *burnCommand) Execute([]string) error {
	if c.Output == "html" {
		return c.printPage()
	}
	var report burn.Report
	if err := c.tool.callOperator(http.MethodGet, "/v1/burn", nil, nil, &report); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.tool.out, report)
	}
	if err := c.printLines(report); err != nil {
		return err
	}
	return c.printLatency(report)
}

// printLines prints the counts of the chosen window and the burn rates of all
// windows, a line for each service and member.
func (c *burnCommand) printLines(report burn.Report) error {
	w := tabwriter.NewWriter(c.tool.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tMEMBER\tGOOD\tLATE\tREFUSED\tFAILED\tEVICTED\tBURN 5M\t1H\t6H\t3D\tBUDGET LEFT\tALERT")
	for _, l := range report.Lines {
		_, _ = fmt.Fprintf(w, "%s\t%s", l.Service, l.Member)
		for _, window := range l.Windows {
			if window.Window != c.Window {
				continue
			}
			for _, n := range window.Counts {
				_, _ = fmt.Fprintf(w, "\t%d", n)
			}
		}
		for _, window := range l.Windows {
			_, _ = fmt.Fprintf(w, "\t%.2f", window.Burn)
		}
		_, _ = fmt.Fprintf(w, "\t%.1f%%\t%s\n", 100*l.BudgetLeft, l.Alert)
	}
	return w.Flush()
}

func (c *burnCommand) printLatency(report burn.Report) error {
	w := tabwriter.NewWriter(c.tool.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nSERVICE\tANSWERS\tP50 MS\tP99 MS\tP99.9 MS")
	for _, l := range report.Latency {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\n", l.Service, l.Count, l.P50MS, l.P99MS, l.P999MS)
	}
	return w.Flush()
}

// printPage prints the report as an HTML page without external resources.
func (c *burnCommand) printPage() error {
	var page []byte
	if err := c.tool.callOperator(http.MethodGet, "/v1/burn.html", nil, nil, &page); err != nil {
		return err
	}
	_, err := c.tool.out.Write(page)
	return err
}
