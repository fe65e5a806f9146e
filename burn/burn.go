// Package burn counts requests against the services' objectives and reports
// the burn rate of each error budget over several windows.
//
// A Ledger holds the counts of one daemon in time buckets. The ledgers of many
// daemons are merged into one, from which a report is made.
package burn

import "fmt"

// Outcome classifies one request or task attempt against its objective.
type Outcome uint8

const (
	// OutcomeGood is a complete response within the objective's latency.
	OutcomeGood Outcome = iota
	// OutcomeLate is a complete response that exceeded the objective's latency.
	OutcomeLate
	// OutcomeRefused is a request that was not run.
	OutcomeRefused
	// OutcomeFailed is a request that failed, or of which it is unknown whether
	// it ran.
	OutcomeFailed
	// OutcomeEvicted is an attempt of a batch task that was preempted.
	OutcomeEvicted

	// Outcomes is the number of outcomes.
	Outcomes = iota
)

var outcomeNames = [Outcomes]string{"good", "late", "refused", "failed", "evicted"}

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}

// BatchService is the service name under which batch tasks are counted.
const BatchService = "batch"

// Series is the key under which requests are counted.
type Series struct {
	Service string `json:"service"`
	Member  string `json:"member"`
}

// Less orders series by service and then by member.
func (s Series) Less(o Series) bool {
	if s.Service != o.Service {
		return s.Service < o.Service
	}
	return s.Member < o.Member
}

// Counts is a number of requests by outcome.
type Counts [Outcomes]int64

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	for i := range c {
		c[i] += o[i]
	}
	return c
}

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
