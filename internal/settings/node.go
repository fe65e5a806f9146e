package settings

import (
	"errors"
	"time"
)

// Node has the settings of a daemon on the users' platform. The platform provides
// them in a file of its own format.
type Node struct {
	Name       string
	DataCentre string
	Region     string

	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// FixedMetricsAddress is where the metrics are served as well, or empty.
	FixedMetricsAddress string
	// JobsAddress is where bambooyard's own job API is served.
	JobsAddress     string
	StoreAddress    string
	MachinesAddress string
	AdvisorAddress  string

	// MemoryBytes is the memory bound of the process; zero means none.
	MemoryBytes int64
	// MaxDescriptors is the number of file descriptors that the process may have open; zero means
	// that it is not known.
	MaxDescriptors int
	// MilliCPU is the processor capacity in thousandths of a core; zero means that it
	// is not known.
	MilliCPU int64
	// LinkMbps is the capacity of the network link in 1,000,000 bits per second; zero
	// means that it is not known.
	LinkMbps int64
	// Regions holds the region of each data centre.
	Regions map[string]string
	// ConfigTimeout is the time within which an accepted configuration must be in
	// force.
	ConfigTimeout time.Duration
	// StopTimeout is the time within which the process must exit after it is told
	// to stop.
	StopTimeout time.Duration
	// StatusRetention is how long the state of an ended job stays available to
	// callers.
	StatusRetention time.Duration
	// RowBytes is the store's limit of a row's value; zero if it is not known.
	RowBytes int
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// MaxViolation is how long a service may exceed its latency target because of
	// interference by other work.
	MaxViolation time.Duration
	// ContactTime is the time within which a change that the platform shows must be taken
	// into account.
	ContactTime time.Duration
	// MaxEvacuation is the time within which no more tasks may start in a data centre after
	// its evacuation is stored; zero means that evacuations are not in force.
	MaxEvacuation time.Duration
}

// Check returns all invalid settings, joined; each is an *Error.
func (n Node) Check() error {
	return errors.Join(
		checkRequired("name", n.Name),
		checkRequired("region", n.Region),
		checkRequired("data-centre", n.DataCentre),
		CheckAddress("caller-address", n.CallerAddress),
		CheckAddress("ready-address", n.ReadyAddress),
		CheckAddress("peer-address", n.PeerAddress),
		CheckAddress("metrics-address", n.MetricsAddress),
		CheckAddress("jobs-address", n.JobsAddress),
		checkOptionalAddress("fixed-metrics-address", n.FixedMetricsAddress),
		CheckAddress("store-address", n.StoreAddress),
		checkPositive("config-within", n.ConfigTimeout),
		checkPositive("stop-within", n.StopTimeout),
		checkPositive("status-for", n.StatusRetention),
		checkPositive("lease-max", n.MaxLease),
		checkPositive("impact", n.MaxViolation),
	)
}

func checkOptionalAddress(name, address string) error {
	if address == "" {
		return nil
	}
	return CheckAddress(name, address)
}

func checkPositive(name string, d time.Duration) error {
	if d <= 0 {
		return &Error{name, d.String(), "must be more than zero"}
	}
	return nil
}
