package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

// maxMessageBytes is the largest message that daemons accept from each other.
const maxMessageBytes = 4 << 20

// ErrResponseNotSent reports that the peer has handled the request but could not send its
// response, which is not valid or too long. It is no *RefusedError: the peer may have acted.
var ErrResponseNotSent = errors.New("peer could not send its response")

// notSentPrefix begins the reason of the refusal that is sent in place of such a response.
const notSentPrefix = "response not sent: "

// encode returns a message with its length. It fails if the other side would not accept it.
func encode(m proto.Message) ([]byte, error) {
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, m); err != nil {
		return nil, err
	}
	if buf.Len() > maxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes is longer than %d", buf.Len(), maxMessageBytes)
	}
	return buf.Bytes(), nil
}

func decode(r io.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(bufio.NewReader(r), m)
}

// streamBytes is about what a stream takes without its message: its goroutine and its buffers.
const streamBytes = 16 << 10

// Account counts what a server holds for a connection. It is safe for concurrent use.
type Account interface {
	// Hold adds bytes, which may be negative. It reports false if there is no room.
	Hold(bytes int64) bool
	// Used tells that a complete request has been received.
	Used()
}

// unlimited is the Account of a connection that is not counted.
type unlimited struct{}

func (unlimited) Hold(int64) bool { return true }
func (unlimited) Used()           {}

func accountOf(conn net.Conn) Account {
	if a, ok := conn.(Account); ok {
		return a
	}
	return unlimited{}
}

var (
	errNoRoom   = errors.New("no room for the message")
	errMoreData = errors.New("more data after the message")
)

// pieceBytes is how much of a message is read at a time.
const pieceBytes = 16 << 10

// readRequest reads a message into req. It holds twice the bytes that have been received, as the
// message and its decoded form are there at the same time; the caller must release what it returns as
// held. Bytes that are only announced take no memory.
func readRequest(stream io.Reader, req proto.Message, account Account) (held int64, err error) {
	r := bufio.NewReader(stream)
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, err
	}
	if size > maxMessageBytes {
		return 0, fmt.Errorf("message of %d bytes is longer than %d", size, maxMessageBytes)
	}
	var data bytes.Buffer
	for rest := int64(size); rest > 0; {
		piece := min(rest, pieceBytes)
		if !account.Hold(2 * piece) {
			return held, errNoRoom
		}
		held += 2 * piece
		if _, err := io.CopyN(&data, r, piece); err != nil {
			return held, err
		}
		rest -= piece
	}
	if r.Buffered() > 0 {
		return held, errMoreData
	}
	return held, proto.Unmarshal(data.Bytes(), req)
}

// encodeResponse encodes a response, or a refusal that tells the caller why it cannot be sent.
func (s *Server) encodeResponse(resp *peerpb.Response) []byte {
	data, err := encode(resp)
	if err == nil {
		return data
	}
	s.reportUnsent(err)
	data, _ = encode(Refuse("%s%s", notSentPrefix, strings.ToValidUTF8(err.Error(), "\uFFFD")))
	return data
}

// unsentReportInterval bounds the lines about responses that cannot be sent: followers ask
// again at once.
const unsentReportInterval = 10 * time.Second

func (s *Server) reportUnsent(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent++
	if now := time.Now(); s.unsentReportedAt.IsZero() || now.Sub(s.unsentReportedAt) >= unsentReportInterval {
		s.unsentReportedAt = now
		s.log.WithFields(log.Fields{"event": "response_not_sent", "total": s.unsent}).WithError(err).Error("a response to another daemon cannot be encoded; it gets an error")
	}
}

// refusalError returns the error for a refusal in place of a response.
func refusalError(refusal *peerpb.Refusal) error {
	if detail, ok := strings.CutPrefix(refusal.GetReason(), notSentPrefix); ok {
		return fmt.Errorf("%w: %s", ErrResponseNotSent, detail)
	}
	return &RefusedError{refusal.GetReason()}
}
