package peer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
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
