// Package route picks the target of a quick request from an immutable
// snapshot of the targets, without asking other daemons per request.
//
// A Picker is built by the control goroutine and read by many traffic
// goroutines. Only the counters of a Usage change after construction, and
// they are atomic.
package route

import "github.com/bambooyard/bambooyard/chart"

// Target is one runner of a service.
type Target struct {
	VM         string
	Address    string
	Region     string
	DataCentre string
	// Slots is how many requests the runner works on at a time.
	Slots int
	// Connections is how many open connections the runner accepts from all daemons.
	Connections int
	// State is a state of the target chart; live targets are picked, and
	// suspected ones only as a probe.
	State chart.State
	// Usage is this daemon's own load on the target. It outlives pickers.
	Usage *Usage
}

// Class says how long a request is expected to run.
type Class uint8

// Classes of requests.
const (
	Short Class = iota
	Long
)

// String returns the class's name.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// Request is what the picker needs to know of a request.
type Request struct {
	// Seed is a random number drawn by the caller of Pick.
	Seed uint64
	// Class is the request's learned class.
	Class Class
	// Avoid is the address of a target not to be picked again, or empty.
	Avoid string
	// Probe is set when the request may run more than once, so that it may
	// try a suspected target.
	Probe bool
	// RemoteAllowed is set when the link's budget has room for the request.
	RemoteAllowed bool
	// NowUnixNano is the time of the request.
	NowUnixNano int64
}

// Outcome says why a pick gave a target or none.
type Outcome uint8

// Outcomes of a pick.
const (
	// Picked means that a target was found and the request is counted on it.
	Picked Outcome = iota
	// NoTarget means that no target is live.
	NoTarget
	// ConnectionsFull means that this daemon's share of connections is in use.
	ConnectionsFull
	// LongSlotsFull means that this daemon's share of slots for long work is in use.
	LongSlotsFull
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"picked", "no live target", "all its connections in use", "all its slots for long work in use"}[o]
}
