// Package route picks the target of a latency-critical request from an immutable
// snapshot of the targets, without contacting other daemons per request.
//
// A Picker is built by the control goroutine and read by many traffic
// goroutines. Only the counters of a Usage change after construction, and
// they are atomic.
package route

import "github.com/bambooyard/bambooyard/chart"

// Target is one backend of a service, a runner on a VM.
type Target struct {
	VM         string
	Address    string
	Region     string
	DataCentre string
	// Slots is how many requests the runner serves at a time.
	Slots int
	// Connections is how many open connections the runner accepts from all daemons.
	Connections int
	// State is a state of the target state chart. Live targets are picked, and
	// suspected ones only for probes.
	State chart.State
	// Usage counts this daemon's own load on the target. It outlives the pickers,
	// which share it.
	Usage *Usage
}

// Class is the expected run time of a request.
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

// Request holds the properties of a request that a pick depends on.
type Request struct {
	// Seed is a random number drawn by the caller of Pick.
	Seed uint64
	// Class is the class learned from earlier requests of this kind.
	Class Class
	// Avoid is the address of a target that must not be picked, or empty.
	Avoid string
	// Probe is set when the request may run more than once, so that it may be sent
	// to a suspected target.
	Probe bool
	// RemoteAllowed is set when the link between regions has bandwidth left for the
	// request.
	RemoteAllowed bool
	// NowUnixNano is the time of the request.
	NowUnixNano int64
}

// Outcome is the result of a pick.
type Outcome uint8

// Outcomes of a pick.
const (
	// Picked means that a target was picked and the request is counted on it.
	Picked Outcome = iota
	// NoTarget means that no live target takes new requests.
	NoTarget
	// ConnectionsFull means that this daemon's share of connections is in use.
	ConnectionsFull
	// LongSlotsFull means that this daemon's share of slots for long requests is in
	// use.
	LongSlotsFull
)

// String returns a description for the caller.
func (o Outcome) String() string {
	return [...]string{"picked", "no live target", "all its connections in use", "all its slots for long work in use"}[o]
}
