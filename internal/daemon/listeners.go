package daemon

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
	listenerCallers   = "callers"
	listenerOperators = "operators"
	listenerPeers     = "peers"
)

// listenerShares are the shares of the listeners. Operators are few, and their documents large: each request
// in progress may hold one.
var listenerShares = map[string]intake.Share{
	listenerCallers:   {Sockets: 0.36, ConnectionMemory: 0.1, RequestMemory: 0.08, ReceiveBuffer: receiveBuffer},
	listenerOperators: {Sockets: 0.05, Requests: 0.005, ConnectionMemory: 0.02, RequestMemory: 0.12},
	listenerPeers:     {Sockets: 0.26, ConnectionMemory: 0.08, RequestMemory: 0.05, ReceiveBuffer: receiveBuffer},
}

// receiveBuffer is the size of receive buffers in bytes. It carries 2 MB a second from clients 30 ms away.
const receiveBuffer = 64 << 10

// documentShare is the share of the memory that decoding a document may take.
const documentShare = 0.35

func newGate(s settings.Settings, registry metrics.Registry, logger log.Interface) (*gate.Gate, error) {
	return gate.New(intake.LimitsFor(memoryBytes(s), process.Descriptors(s.MaxDescriptors), listenerShares), registry, logger)
}

// memoryBytes returns the memory that the process may use.
func memoryBytes(s settings.Settings) int64 { return process.Memory(s.MemoryMB << 20) }
