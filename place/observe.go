package place

import "github.com/bambooyard/bambooyard/inventory"

// Outcome is how an attempt at a task ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Finished is an attempt that completed all of its work.
	Finished Outcome = iota
	// Failed is an attempt that the worker reported as failed.
	Failed
	// Stopped is an attempt that was evicted or cancelled, or whose lease
	// expired.
	Stopped
)

// TaskEnd describes an attempt that has ended.
type TaskEnd struct {
	Task    string
	Job     string
	Member  string
	Kind    string
	Machine string
	Outcome Outcome
	// DeclaredRunTimeMS and RanMS are in milliseconds.
	DeclaredRunTimeMS int64
	RanMS             int64
	// EndedUnixMS is in milliseconds since 1970 UTC.
	EndedUnixMS int64
}

// TaskUsage is one delayed measurement of a running task.
type TaskUsage struct {
	Task     string
	Member   string
	Kind     string
	Declared inventory.Resources
	Used     inventory.Resources
	// MeasuredUnixMS is in milliseconds since 1970 UTC.
	MeasuredUnixMS int64
}

// ServiceLatency is one delayed measurement of a latency-critical service on
// one VM.
type ServiceLatency struct {
	Service string
	Machine string
	// LatencyMS is the 99th percentile of the measured interval in milliseconds.
	LatencyMS float64
	// MeasuredUnixMS is in milliseconds since 1970 UTC.
	MeasuredUnixMS int64
}
