package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"testing/iotest"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

// budget is an Account with a limit.
type budget struct{ held, limit int64 }

func (b *budget) Hold(bytes int64) bool {
	if bytes > 0 && b.held+bytes > b.limit {
		return false
	}
	b.held += bytes
	return true
}

func (*budget) Used() {}

// frame returns a frame's header and so many bytes of data.
func frame(kind byte, stream uint32, length uint32, data int) []byte {
	b := []byte{0, kind, 0, 0}
	b = binary.BigEndian.AppendUint32(b, stream)
	b = binary.BigEndian.AppendUint32(b, length)
	return append(b, make([]byte, data)...)
}

// The receive buffers of streams are held as they are announced, however the frames are cut, and
// released with the stream.
func TestFramesAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &budget{limit: 1 << 40}
		c := newFrameCounter(nil, b)
		var data []byte
		announced := map[uint32]int64{}
		for range rapid.IntRange(1, 20).Draw(t, "frames") {
			stream, length := uint32(rapid.IntRange(1, 3).Draw(t, "stream")), rapid.IntRange(0, 200<<10).Draw(t, "length")
			if rapid.Bool().Draw(t, "data") {
				data = append(data, frame(frameTypeData, stream, uint32(length), length)...)
				announced[stream] += int64(length)
			} else {
				data = append(data, frame(1, stream, uint32(length), 0)...) // a window update has no data
			}
		}
		for len(data) > 0 {
			n := rapid.IntRange(1, len(data)).Draw(t, "read")
			if !c.count(data[:n]) {
				t.Fatalf("refused")
			}
			data = data[n:]
		}
		want := int64(0)
		for _, n := range announced {
			want += receiveFactor * min(n, receiveWindow)
		}
		if b.held != want {
			t.Fatalf("%d bytes are held, want %d", b.held, want)
		}
		for stream := range announced {
			c.release(stream)
		}
		if b.held != 0 {
			t.Fatalf("%d bytes are held at the end", b.held)
		}
	})
}

func TestFramesWithoutRoom(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	c := newFrameCounter(server, &budget{limit: receiveWindow})
	go func() { _, _ = client.Write(frame(frameTypeData, 1, receiveWindow, 0)) }()
	_, err := c.Read(make([]byte, 100))
	is.True(errors.Is(err, errNoRoom))
}

// The real frames of a session have the form that is counted.
func TestFramesOfASession(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	session, err := yamux.Client(client, yamuxConfig())
	is.NoErr(err)
	defer session.Close()
	b := &budget{limit: 1 << 40}
	c := newFrameCounter(server, b)
	go func() {
		stream, err := session.OpenStream()
		if err == nil {
			_, _ = stream.Write(make([]byte, 1000))
		}
	}()
	for b.held == 0 {
		_, err := c.Read(make([]byte, 100))
		is.NoErr(err)
	}
	is.Equal(b.held, int64(receiveFactor*1000))
}

func TestRequestsAreHeldAsTheyArrive(t *testing.T) {
	is := is.New(t)
	request := &peerpb.Request{Kind: &peerpb.Request_News{News: &peerpb.NewsRequest{Jobs: [][]byte{make([]byte, 100<<10)}}}}
	data, err := encode(request)
	is.NoErr(err)
	b := &budget{limit: 1 << 40}
	var got peerpb.Request
	held, err := readRequest(iotest.HalfReader(bytes.NewReader(data)), &got, b)
	is.NoErr(err)
	is.True(proto.Equal(&got, request))
	is.Equal(held, b.held)
	is.True(held >= 2*100<<10)

	b = &budget{limit: 1 << 20}
	held, err = readRequest(bytes.NewReader(binary.AppendUvarint(nil, maxMessageBytes)), &got, b)
	is.True(err != nil)
	is.Equal(held, int64(2*pieceBytes)) // not what is announced
	b = &budget{limit: 100 << 10}
	_, err = readRequest(bytes.NewReader(data), &got, b)
	is.True(errors.Is(err, errNoRoom))
	_, err = readRequest(bytes.NewReader([]byte{0, 1}), &got, &budget{limit: 1 << 40}) // an empty message, and more
	is.True(errors.Is(err, errMoreData))
	_, err = readRequest(bytes.NewReader(binary.AppendUvarint(nil, maxMessageBytes+1)), &got, b)
	is.True(err != nil)
}
