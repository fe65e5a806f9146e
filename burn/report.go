package burn

import (
	"sort"
	"time"

	"github.com/bambooyard/bambooyard/rules"
)

// Window is the span of time of a given length that ends at the report's time.
type Window struct {
	Name   string
	Length time.Duration
}

// Windows lists the windows of a report, shortest first.
var Windows = [...]Window{
	{"5m", 5 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
	{"3d", 72 * time.Hour},
}

// Indexes of Windows.
const (
	window5m = iota
	window1h
	window6h
	window3d
)

// Burn rates above which an alert is raised. At a rate of 1 a budget for 30 days
// lasts exactly 30 days.
const (
	pageBurnRate   = 14.4 // 2% of the budget in one hour
	ticketBurnRate = 1.0  // 10% of the budget in three days
)

// Alert is the urgency of a burn rate.
type Alert string

// Alerts, by rising urgency.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// WindowLine is the counts and burn rate of one series in one window.
type WindowLine struct {
	Window string `json:"window"`
	Counts Counts `json:"counts"`
	// Burn is the burn rate: the share of bad requests divided by the share
	// that the objective allows. At 1 the budget is used exactly.
	Burn float64 `json:"burn"`
}

// Line is the report on one series.
type Line struct {
	Series
	// Objective is nil for a series that no objective covers.
	Objective *rules.Objective `json:"objective,omitempty"`
	Windows   []WindowLine     `json:"windows"`
	Alert     Alert            `json:"alert"`
	// BudgetLeft is the remaining share of the error budget of the longest
	// window; it is negative when the budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
}

// LatencyLine is the latency distribution of one service over the longest window.
type LatencyLine struct {
	Service string  `json:"service"`
	Count   int64   `json:"count"`
	P50MS   float64 `json:"p50_ms"`
	P99MS   float64 `json:"p99_ms"`
	P999MS  float64 `json:"p999_ms"`
}

// Report is the burn rate of every series and the latency of every service.
type Report struct {
	AtUnixMS int64         `json:"at_unix_ms"`
	Lines    []Line        `json:"lines"`
	Latency  []LatencyLine `json:"latency"`
}

// NewReport reports on a ledger at now. An objective for one member takes
// precedence over one for all members.
func NewReport(l *Ledger, objectives []rules.Objective, now time.Time) Report {
	sums := make([]map[Series]Counts, len(Windows))
	for i, w := range Windows {
		sums[i] = l.Since(now.Add(-w.Length))
	}
	r := Report{AtUnixMS: now.UnixMilli(), Lines: []Line{}}
	for s := range sums[window3d] {
		r.Lines = append(r.Lines, newLine(s, objectiveFor(objectives, s), sums))
	}
	sort.Slice(r.Lines, func(i, j int) bool { return r.Lines[i].Less(r.Lines[j].Series) })
	for service, d := range l.LatencySince(now.Add(-Windows[window3d].Length)) {
		r.Latency = append(r.Latency, LatencyLine{
			Service: service, Count: d.Count(),
			P50MS: millis(d.Quantile(0.5)), P99MS: millis(d.Quantile(0.99)), P999MS: millis(d.Quantile(0.999)),
		})
	}
	sort.Slice(r.Latency, func(i, j int) bool { return r.Latency[i].Service < r.Latency[j].Service })
	return r
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// objectiveFor returns the objective of a series, or nil; one that names the
// member takes precedence.
func objectiveFor(objectives []rules.Objective, s Series) *rules.Objective {
	var found *rules.Objective
	for i, o := range objectives {
		if o.Service != s.Service {
			continue
		}
		if o.Member == s.Member {
			return &objectives[i]
		}
		if o.Member == "" {
			found = &objectives[i]
		}
	}
	return found
}

func newLine(s Series, o *rules.Objective, sums []map[Series]Counts) Line {
	line := Line{Series: s, Objective: o, Alert: AlertNone, BudgetLeft: 1}
	for i, w := range Windows {
		c := sums[i][s]
		line.Windows = append(line.Windows, WindowLine{Window: w.Name, Counts: c, Burn: burnRate(c, o)})
	}
	line.BudgetLeft -= line.Windows[window3d].Burn
	windows := line.Windows
	switch {
	case windows[window5m].Burn > pageBurnRate && windows[window1h].Burn > pageBurnRate:
		line.Alert = AlertPage
	case windows[window6h].Burn > ticketBurnRate && windows[window3d].Burn > ticketBurnRate:
		line.Alert = AlertTicket
	}
	return line
}

// Rate returns the burn rate of counts under the line's objective.
func (l Line) Rate(c Counts) float64 { return burnRate(c, l.Objective) }

func burnRate(c Counts, o *rules.Objective) float64 {
	total := c.Total()
	if total == 0 || o == nil {
		return 0
	}
	return float64(c.Bad()) / float64(total) / (1 - o.Target)
}
