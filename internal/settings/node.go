package settings

import (
	"errors"
	"time"
)

// Node is the settings of a daemon on the users' platform, which writes them
// to a file of its own format.
type Node struct {
	Name       string
	DataCentre string
	Region     string

	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// JobsAddress is where bambooyard's own interface to jobs is served.
	JobsAddress     string
	StoreAddress    string
	MachinesAddress string
	AdvisorAddress  string

	// MemoryBytes is what the process may use; zero is no bound.
	MemoryBytes int64
	// ConfigWithin is when an accepted configuration must be in force.
	ConfigWithin time.Duration
	// StopWithin is when the process must have ended after it is told to.
	StopWithin time.Duration
	// StatusFor is how long callers may ask for the state of an ended job.
	StatusFor time.Duration
	// LeaseMax is the longest lease that a worker grants.
	LeaseMax time.Duration
	// Impact is how long a service may be over its target because of others.
	Impact time.Duration
}

// Check returns every mistake, joined; each is an *Error.
func (n Node) Check() error {
	return errors.Join(
		checkGiven("name", n.Name),
		checkGiven("region", n.Region),
		checkGiven("data-centre", n.DataCentre),
		CheckAddress("caller-address", n.CallerAddress),
		CheckAddress("ready-address", n.ReadyAddress),
		CheckAddress("peer-address", n.PeerAddress),
		CheckAddress("metrics-address", n.MetricsAddress),
		CheckAddress("jobs-address", n.JobsAddress),
		CheckAddress("store-address", n.StoreAddress),
		checkPositive("config-within", n.ConfigWithin),
		checkPositive("stop-within", n.StopWithin),
		checkPositive("status-for", n.StatusFor),
		checkPositive("lease-max", n.LeaseMax),
		checkPositive("impact", n.Impact),
	)
}

func checkPositive(name string, d time.Duration) error {
	if d <= 0 {
		return &Error{name, d.String(), "must be more than zero"}
	}
	return nil
}
