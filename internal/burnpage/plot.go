package burnpage

import (
	"bytes"
	"sort"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/bambooyard/bambooyard/burn"
)

// Dimensions of a plot.
const (
	plotWidth      = 22 * vg.Centimeter
	plotHeight     = 9 * vg.Centimeter
	lineWidth      = vg.Length(1.5)
	legendHeadroom = 1.4  // height of the value axis divided by the highest value
	timeMargin     = 0.04 // extra space at the right, as a share of the time axis
)

// maxTimeLabels bounds the number of labels on the time axis.
const maxTimeLabels = 8

// hourTicks is a plot.Ticker that labels whole hours, a power of two apart, at
// most maxTimeLabels.
type hourTicks struct{}

// Ticks implements plot.Ticker.
func (hourTicks) Ticks(from, to float64) []plot.Tick {
	step := int64(time.Hour / time.Second)
	for (to-from)/float64(step) > maxTimeLabels {
		step *= 2
	}
	var ticks []plot.Tick
	for at := (int64(from)/step + 1) * step; float64(at) <= to; at += step {
		label := time.Unix(at, 0).UTC().Format("02 Jan 15:04")
		ticks = append(ticks, plot.Tick{Value: float64(at), Label: label})
	}
	return ticks
}

// hourlyCounts holds the counts of each hour in order of time; counts[i] belongs
// to hours[i].
type hourlyCounts struct {
	hours  []time.Time
	counts []map[burn.Series]burn.Counts
}

// countByHour returns the counts of each hour of the ledger.
func countByHour(ledger *burn.Ledger) hourlyCounts {
	var h hourlyCounts
	for _, hour := range ledger.Hours() {
		sum := map[burn.Series]burn.Counts{}
		for _, b := range ledger.Hour(hour).Buckets() {
			for s, c := range b.Counts {
				sum[s] = sum[s].Add(c)
			}
		}
		h.hours = append(h.hours, hour)
		h.counts = append(h.counts, sum)
	}
	return h
}

// burnSVG plots the hourly burn rate of each series that has an objective.
func burnSVG(report burn.Report, ledger *burn.Ledger) (string, error) {
	h := countByHour(ledger)
	p := newPlot("burn rate")
	for i, line := range report.Lines {
		if line.Objective == nil {
			continue
		}
		points := make(plotter.XYs, len(h.hours))
		for j, hour := range h.hours {
			points[j] = plotter.XY{X: float64(hour.Unix()), Y: line.Rate(h.counts[j][line.Series])}
		}
		if err := addLine(p, i, line.Service+" / "+line.Member, points); err != nil {
			return "", err
		}
	}
	return svg(p)
}

// badSVG plots the hourly number of requests that used error budget, by outcome.
func badSVG(ledger *burn.Ledger) (string, error) {
	h := countByHour(ledger)
	p := newPlot("requests an hour")
	for o := range burn.Outcome(burn.Outcomes) {
		if o == burn.OutcomeGood {
			continue
		}
		points := make(plotter.XYs, len(h.hours))
		for j, hour := range h.hours {
			points[j] = plotter.XY{X: float64(hour.Unix()), Y: float64(countOutcome(h.counts[j], o))}
		}
		if err := addLine(p, int(o), o.String(), points); err != nil {
			return "", err
		}
	}
	return svg(p)
}

// countOutcome returns the number of requests with outcome o over all series.
func countOutcome(counts map[burn.Series]burn.Counts, o burn.Outcome) int64 {
	var n int64
	for _, c := range counts {
		n += c[o]
	}
	return n
}

func newPlot(label string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.X.Label.Text = "time (UTC)"
	p.X.Tick.Marker = hourTicks{}
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds a line to p with the colour and shape of index i; it sorts points by
// time.
func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	sort.Slice(points, func(a, b int) bool { return points[a].X < points[b].X })
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(i)
	line.Width = lineWidth
	dots.Color = plotutil.Color(i)
	dots.Shape = plotutil.Shape(i)
	p.Add(line, dots)
	p.Legend.Add(name, line, dots)
	return nil
}

// svg renders p as an SVG element.
func svg(p *plot.Plot) (string, error) {
	// The margins keep the last time label and the legend from overlapping the
	// lines.
	p.X.Min -= time.Hour.Seconds()
	p.X.Max += time.Hour.Seconds() + timeMargin*(p.X.Max-p.X.Min)
	p.Y.Max = max(1, p.Y.Max) * legendHeadroom
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return stripXMLProlog(out.String()), nil
}

// stripXMLProlog removes the XML prolog, which is not allowed inside an HTML page.
func stripXMLProlog(text string) string {
	if i := bytes.Index([]byte(text), []byte("<svg")); i > 0 {
		return text[i:]
	}
	return text
}
