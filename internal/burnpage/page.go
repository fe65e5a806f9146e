// Package burnpage draws the burn report as one HTML page that needs no other
// file.
package burnpage

import (
	"html/template"
	"io"
	"time"

	_ "embed" // the page's template

	"github.com/bambooyard/bambooyard/burn"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(v float64) float64 { return v * 100 },
}).Parse(pageText))

// view is what the template shows.
type view struct {
	At       string
	Outcomes []burn.Outcome
	Windows  []burn.Window
	Report   burn.Report
	Burn     template.HTML
	Bad      template.HTML
}

// Write writes the page of a report and the ledger that it was made from.
func Write(w io.Writer, report burn.Report, ledger *burn.Ledger) error {
	burnPlot, err := burnSVG(report, ledger)
	if err != nil {
		return err
	}
	badPlot, err := badSVG(ledger)
	if err != nil {
		return err
	}
	v := view{
		At:      time.UnixMilli(report.AtUnixMS).UTC().Format(time.RFC3339),
		Windows: burn.Windows[:],
		Report:  report,
		Burn:    template.HTML(burnPlot), //nolint:gosec // drawn by the plotting library, which escapes its labels
		Bad:     template.HTML(badPlot),  //nolint:gosec // drawn by the plotting library, which escapes its labels
	}
	for o := range burn.Outcome(burn.Outcomes) {
		v.Outcomes = append(v.Outcomes, o)
	}
	return page.Execute(w, v)
}
