package peer

import (
	"encoding/binary"
	"net"
	"sync"
)

// The frames of yamux, as its specification has them: a header of version, type, flags, stream and
// length, and for data the bytes.
const (
	frameHeaderBytes = 12
	frameTypeData    = 0
	// receiveWindow is the least receive window of a stream, which is also the default.
	receiveWindow = 256 << 10
	// receiveFactor is how much a stream's receive buffer takes for each byte of its window that is
	// announced: it is allocated then, and doubled while it is filled.
	receiveFactor = 3
)

// frameCounter is the connection below a session. It holds the receive buffers of the session's streams
// on the account, and fails when there is no room for one.
type frameCounter struct {
	net.Conn
	account Account

	// These fields are used by the goroutine that reads.
	header  [frameHeaderBytes]byte
	have    int    // bytes of header that have been read
	payload uint32 // bytes of the frame that are still to come

	mu      sync.Mutex
	streams map[uint32]int64 // bytes held for each stream
}

func newFrameCounter(conn net.Conn, account Account) *frameCounter {
	return &frameCounter{Conn: conn, account: account, streams: map[uint32]int64{}}
}

// Read implements net.Conn.
func (c *frameCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.count(p[:n]) {
		return 0, errNoRoom
	}
	return n, err
}

// count follows the frames in received data. It reports false if there is no room for what one of them
// announces.
func (c *frameCounter) count(data []byte) bool {
	for len(data) > 0 {
		if c.payload > 0 {
			n := min(uint32(len(data)), c.payload)
			c.payload -= n
			data = data[n:]
			continue
		}
		n := copy(c.header[c.have:], data)
		c.have += n
		data = data[n:]
		if c.have < frameHeaderBytes {
			break
		}
		c.have = 0
		if c.header[1] != frameTypeData {
			continue
		}
		c.payload = binary.BigEndian.Uint32(c.header[8:])
		if !c.hold(binary.BigEndian.Uint32(c.header[4:8]), int64(c.payload)) {
			return false
		}
	}
	return true
}

// hold adds announced bytes of a stream. Its buffer does not grow beyond the receive window.
func (c *frameCounter) hold(stream uint32, bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.streams[stream]
	more := receiveFactor*min(bytes+held/receiveFactor, receiveWindow) - held
	if more <= 0 {
		return true
	}
	if !c.account.Hold(more) {
		return false
	}
	c.streams[stream] = held + more
	return true
}

// release releases the receive buffer of a stream that has ended.
func (c *frameCounter) release(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Hold(-c.streams[stream])
	delete(c.streams, stream)
}
