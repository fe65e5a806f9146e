package cli

import (
	"fmt"
	"io"
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
	base := "http://" + c.tool.Operator + "/v1/burn"
	if c.Output == "html" {
		return copyBody(c.tool.out, base+".html")
	}
	var report burn.Report
	if err := call(http.MethodGet, base, nil, nil, &report); err != nil {
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

// copyBody prints the answer to a GET request as it is.
func copyBody(out io.Writer, url string) error {
	client := &http.Client{Timeout: clientTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return fmt.Errorf("no daemon answers (is the address right?): %w", err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
		if err != nil {
			return err
		}
		return refusal(resp.StatusCode, data)
	}
	_, err = io.Copy(out, resp.Body)
	return err
}
