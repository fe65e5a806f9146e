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
	// ConfigTimeout is when an accepted configuration must be in force.
	ConfigTimeout time.Duration
	// StopTimeout is when the process must have ended after it is told to.
	StopTimeout time.Duration
	// StatusRetention is how long callers may ask for the state of an ended job.
	StatusRetention time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// MaxViolation is how long a service may be over its target because of others.
	MaxViolation time.Duration
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
		checkPositive("config-within", n.ConfigTimeout),
		checkPositive("stop-within", n.StopTimeout),
		checkPositive("status-for", n.StatusRetention),
		checkPositive("lease-max", n.MaxLease),
		checkPositive("impact", n.MaxViolation),
	)
}

func checkPositive(name string, d time.Duration) error {
	if d <= 0 {
		return &Error{name, d.String(), "must be more than zero"}
	}
	return nil
}
