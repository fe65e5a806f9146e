package node

import (
	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/intake"
	"github.com/bambooyard/bambooyard/internal/gate"
	"github.com/bambooyard/bambooyard/internal/process"
	"github.com/bambooyard/bambooyard/internal/settings"
)

// Names of the daemon's listeners.
const (
	listenerCallers = "callers"
	listenerReady   = "ready"
	listenerMetrics = "metrics"
	listenerJobs    = "jobs"
	listenerPeers   = "peers"
)

// listenerShares are the shares of the listeners. A request of a caller uses one connection to the store
// at a time. Daemons keep one connection to each of the others, and probes and metrics need few.
var listenerShares = map[string]intake.Share{
	listenerCallers: {Sockets: 0.36, Requests: 0.15, ConnectionMemory: 0.1, RequestMemory: 0.08, ReceiveBuffer: receiveBuffer},
	listenerJobs:    {Sockets: 0.03, ConnectionMemory: 0.012, RequestMemory: 0.03, ReceiveBuffer: receiveBuffer},
	listenerReady:   {Sockets: 0.01, ConnectionMemory: 0.006, RequestMemory: 0.006, ReceiveBuffer: receiveBuffer},
	listenerMetrics: {Sockets: 0.01, ConnectionMemory: 0.006, RequestMemory: 0.006, ReceiveBuffer: receiveBuffer},
	listenerPeers:   {Sockets: 0.26, ConnectionMemory: 0.08, RequestMemory: 0.05, ReceiveBuffer: receiveBuffer},
}

// receiveBuffer is the size of receive buffers in bytes. It carries 2 MB a second from callers, which are
// a few milliseconds away, and 250 kB a second of requests from the daemons of other regions.
const receiveBuffer = 16 << 10

// newGate returns the limits of what clients of the daemon may hold.
func newGate(s settings.Node, registry metrics.Registry, logger log.Interface) (*gate.Gate, error) {
	return gate.New(intake.LimitsFor(process.Memory(s.MemoryBytes), process.Descriptors(s.MaxDescriptors), listenerShares), registry, logger)
}
