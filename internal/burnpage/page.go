// Package burnpage renders the burn report as a self-contained HTML page.
package burnpage

import (
	"html/template"
	"io"
	"time"

	_ "embed" // for the page template

	"github.com/bambooyard/bambooyard/burn"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(v float64) float64 { return v * 100 },
}).Parse(pageText))

// pageData is the input of the page template.
type pageData struct {
	At       string
	Outcomes []burn.Outcome
	Windows  []burn.Window
	Report   burn.Report
	BurnPlot template.HTML
	BadPlot  template.HTML
}

// Write renders the page of a report. ledger is the one that the report was made
// from; its hours are plotted.
func Write(w io.Writer, report burn.Report, ledger *burn.Ledger) error {
	burnPlot, err := burnSVG(report, ledger)
	if err != nil {
		return err
	}
	badPlot, err := badSVG(ledger)
	if err != nil {
		return err
	}
	v := pageData{
		At:       time.UnixMilli(report.AtUnixMS).UTC().Format(time.RFC3339),
		Windows:  burn.Windows[:],
		Report:   report,
		BurnPlot: template.HTML(burnPlot), //nolint:gosec // drawn by the plotting library, which escapes its labels
		BadPlot:  template.HTML(badPlot),  //nolint:gosec // drawn by the plotting library, which escapes its labels
	}
	for o := range burn.Outcome(burn.Outcomes) {
		v.Outcomes = append(v.Outcomes, o)
	}
	return pageTemplate.Execute(w, v)
}
