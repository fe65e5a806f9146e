package crowd

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/yamux"
)

// maxFileBytes is the greatest size of a job file.
const maxFileBytes = 256 << 10

// paddedFile returns a valid job file of a size.
func paddedFile(size int) []byte {
	return repeated("payload: '", "x", "'\nsteps: [{tasks: 1, milli_processors: 100}]", size)
}

// nestedFile returns lists within each other.
func nestedFile(size int) []byte {
	return []byte("steps: " + strings.Repeat("[", size/2) + strings.Repeat("]", size/2-10))
}

func jobsDoor(n *node) string    { return n.jobs }
func readyDoor(n *node) string   { return n.ready }
func metricsDoor(n *node) string { return n.metrics }
func peersDoor(n *node) string   { return n.peers }

func TestBodiesOfJobFiles(t *testing.T) {
	full := paddedFile(maxFileBytes)
	runAll(t, []nodeCrowd{
		{"announced, short", jobsDoor, crowdSize, announced(fileSubmission, full, 1, 0)},
		{"large chunks, short", jobsDoor, crowdSize, chunked(fileSubmission, full, 64<<10)},
		{"small chunks, short", jobsDoor, crowdSize, chunked(fileSubmission, full, 4)},
		{"announced far over the limit", jobsDoor, crowdSize, overLimit(fileSubmission, true)},
		{"sent far over the limit", jobsDoor, crowdSize, overLimit(fileSubmission, false)},
		{"whole", jobsDoor, crowdSize, whole(fileSubmission, always(full))},
	})
}

// Small in bytes, large when parsed.
func TestStructureOfJobFiles(t *testing.T) {
	runAll(t, []nodeCrowd{
		{"many steps", jobsDoor, 16, whole(fileSubmission, always(repeated("steps: [{}", ",{}", "]", maxFileBytes)))},
		{"many unknown values", jobsDoor, 2, whole(fileSubmission, always(repeated("x: [0", ",[]", "]", maxFileBytes)))},
		{"many aliases", jobsDoor, 16, whole(fileSubmission, always(repeated("steps: [&a {tasks: 1}", ",*a", "]", maxFileBytes)))},
		{"deep lists", jobsDoor, 2, whole(fileSubmission, always(nestedFile(maxFileBytes/4)))},
	})
}

func TestHeadersAtOtherDoors(t *testing.T) {
	runAll(t, []nodeCrowd{
		{"jobs: many fields, short", jobsDoor, crowdSize, manyFields(fileSubmission, maxHeaderBytes)},
		{"ready: many fields, short", readyDoor, crowdSize, manyFields(get("/v1/readyz"), maxHeaderBytes)},
		{"ready: large, short", readyDoor, crowdSize, largeHeader(get("/v1/readyz"), 1<<20)},
		{"metrics: many fields, short", metricsDoor, crowdSize, manyFields(get("/metrics"), maxHeaderBytes)},
	})
}

func TestBodiesAndResponsesOfMetrics(t *testing.T) {
	runAll(t, []nodeCrowd{
		{"bodies, short", metricsDoor, crowdSize, announced(get("/metrics"), padded(maxBodyBytes), 1, 0)},
		{"responses that are not read", metricsDoor, crowdSize, pipelined(header(http.MethodGet, "/metrics", "metrics"))},
	})
}

func TestMessagesBetweenDaemons(t *testing.T) {
	runAll(t, []nodeCrowd{
		{"bodies", peersDoor, crowdSize, announced(submission, padded(maxBodyBytes), 1, 0)},
		{"announced messages", peersDoor, crowdSize / 8, messages(32, 4<<20, nil)},
		{"messages, short", peersDoor, crowdSize / 50, messages(8, 4<<20, make([]byte, 4<<20-shortBy))},
		{"small messages with a tail that is not read", peersDoor, 2, messages(800, 2, make([]byte, 200<<10))},
	})
}

// Each door has fewer descriptors than the process, so that a crowd at one leaves some for the
// others and for the calls of the daemon itself.
func TestSilentConnectionsAtAllDoors(t *testing.T) {
	n := startNode(t, fewDescriptors, siteLimits())
	doors := []string{n.callers, n.ready, n.metrics, n.jobs, n.peers}
	var during func(i int)
	during = func(i int) {
		if i == len(doors) {
			n.ordinary(t)
			ordinary(t, http.MethodGet, "http://"+n.ready+"/v1/readyz", "", nil)
			ordinary(t, http.MethodGet, "http://"+n.metrics+"/metrics", "", nil)
			return
		}
		runCrowd(t, doors[i], crowdSize/2, silent, func() { during(i + 1) })
	}
	during(0)
	n.ordinary(t)
	n.check()
}

// messages sends messages as daemons do to each other, on streams of one connection. Each is
// announced with a length, and data follows.
func messages(streams int, length uint64, data []byte) client {
	return func(w io.Writer, _ int) {
		conn, ok := w.(net.Conn)
		if !ok {
			return
		}
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		session, err := yamux.Client(conn, config)
		if err != nil {
			return
		}
		for range streams {
			stream, err := session.OpenStream()
			if err != nil {
				return
			}
			if _, err := stream.Write(binary.AppendUvarint(nil, length)); err != nil {
				return
			}
			go func() { _, _ = io.Copy(stream, bytes.NewReader(data)) }()
		}
	}
}
