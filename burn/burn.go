// Package burn counts requests against the services' objectives and reports
// how much of each error budget has been used.
package burn

import (
	"sort"

	"github.com/bambooyard/bambooyard/rules"
)

// Outcome classifies one request for its objective.
type Outcome uint8

const (
	// OutcomeGood is a complete answer in time.
	OutcomeGood Outcome = iota
	// OutcomeLate is a complete answer after the objective's latency.
	OutcomeLate
	// OutcomeRefused is a request that was not run.
	OutcomeRefused
	// OutcomeFailed is a request that failed or may have run.
	OutcomeFailed
	outcomes
)

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	return [...]string{"good", "late", "refused", "failed"}[o]
}

// Series names what is counted together.
type Series struct {
	Service string `json:"service"`
	Member  string `json:"member"`
}

// Counts is a number of requests by outcome.
type Counts [outcomes]int64

// Total returns the number of requests.
func (c Counts) Total() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

// Bad returns the number of requests that used error budget.
func (c Counts) Bad() int64 { return c.Total() - c[OutcomeGood] }

// Line is one line of a report.
type Line struct {
	Series
	Objective rules.Objective `json:"objective"`
	Counts    Counts          `json:"counts"`
	// Burn is the share of bad requests over the share that the objective
	// allows: 1 uses the budget exactly.
	Burn float64 `json:"burn"`
}

// Report returns a line for each objective and series it covers.
func Report(objectives []rules.Objective, counts map[Series]Counts) []Line {
	var lines []Line
	for _, o := range objectives {
		for s, c := range counts {
			if s.Service != o.Service || (o.Member != "" && o.Member != s.Member) {
				continue
			}
			lines = append(lines, Line{Series: s, Objective: o, Counts: c, Burn: rate(c, o.Target)})
		}
	}
	sort.Slice(lines, func(i, j int) bool {
		a, b := lines[i], lines[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.Member < b.Member
	})
	return lines
}

func rate(c Counts, target float64) float64 {
	total := c.Total()
	if total == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(total) / (1 - target)
}
