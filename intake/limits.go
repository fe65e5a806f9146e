package intake

// ListenerLimits are what the clients of one listener may hold.
type ListenerLimits struct {
	// Connections is the number of open connections.
	Connections int
	// Requests is the number of requests that are processed at the same time; zero means no limit
	// other than that of the connections.
	Requests int
	// SharedBytes is what all connections together hold beyond their allowances.
	SharedBytes int64
	// ReceiveBuffer is the size in bytes to set for the receive buffers of connections, which bounds
	// what waits to be read; zero leaves it to the operating system.
	ReceiveBuffer int
}

// ProcessingBytes returns what a request holds while it is processed, if that is a number of times its
// body: at most half of what there is for all, so that a single request of the greatest size is served.
func (d ListenerLimits) ProcessingBytes(body, times int64) int64 {
	return max(body, min(times*body, d.SharedBytes/2))
}

// Limits are the limits of each listener of a process by its name.
type Limits map[string]ListenerLimits

const (
	// allowance is what each connection holds whatever the others do, in bytes. It is enough for the
	// header and the body of an ordinary request, so that no crowd keeps one from being received.
	allowance = 8 << 10
	// connectionBytes is about what an open connection takes without its allowance: two stacks and
	// two buffers of the HTTP server, and what its socket receives before it is read.
	connectionBytes = 24 << 10

	// reservedDescriptors are those for files.
	reservedDescriptors = 200
	// minConnections is the least number of connections of a listener.
	minConnections = 8
)

// Share is the part of the memory and of the descriptors of a process that the clients of a listener
// may use. What no listener uses is left to the process itself and to its own calls.
type Share struct {
	// Sockets is the part of the descriptors for connections.
	Sockets float64
	// Requests is the part of the descriptors for calls that requests in progress make; zero means no
	// limit.
	Requests float64
	// ConnectionMemory is the part of the memory for connections.
	ConnectionMemory float64
	// RequestMemory is the part of the memory for requests beyond the allowances of their
	// connections.
	RequestMemory float64
	// ReceiveBuffer is that of ListenerLimits.
	ReceiveBuffer int
}

// LimitsFor returns the limits of a process with an amount of memory in bytes and a number of
// descriptors.
func LimitsFor(memory int64, descriptors int, shares map[string]Share) Limits {
	limits := Limits{}
	sockets := float64(max(0, descriptors-reservedDescriptors))
	for name, s := range shares {
		byMemory := int(s.ConnectionMemory * float64(memory) / (connectionBytes + allowance))
		limits[name] = ListenerLimits{
			Connections: max(minConnections, min(byMemory, int(s.Sockets*sockets))),
			Requests:    int(s.Requests * sockets),
			SharedBytes: int64(s.RequestMemory * float64(memory)), ReceiveBuffer: s.ReceiveBuffer,
		}
	}
	return limits
}
