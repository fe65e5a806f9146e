package crowd

import (
	"net/http"
	"testing"
	"time"
)

// crowdSize is the number of clients of a crowd that connect at once. Their bodies of the greatest
// size take more than the memory of the machine.
const crowdSize = 800

// pieces and pause are those of a body that is sent piece by piece.
const (
	pieces = 8
	pause  = 300 * time.Millisecond
)

// nodeCrowd is a crowd at one address of a daemon on a site.
type nodeCrowd struct {
	name string
	door func(n *node) string
	size int
	send client
}

// run starts a daemon and lets the crowd connect to it.
func (c nodeCrowd) run(t *testing.T, l limits, config map[string]any) {
	n := startNode(t, l, config)
	runCrowd(t, c.door(n), c.size, c.send, func() { n.ordinary(t) })
	n.ordinary(t)
	n.check()
}

// runAll runs each crowd against a daemon of its own.
func runAll(t *testing.T, crowds []nodeCrowd) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) { c.run(t, small, siteLimits()) })
	}
}

func callersDoor(n *node) string { return n.callers }

func TestBodiesOfCallers(t *testing.T) {
	full := padded(maxBodyBytes)
	runAll(t, []nodeCrowd{
		{"announced, short", callersDoor, crowdSize, announced(submission, full, 1, 0)},
		{"in pieces, short", callersDoor, crowdSize, announced(submission, full, pieces, pause)},
		{"large chunks, short", callersDoor, crowdSize, chunked(submission, full, 64<<10)},
		{"small chunks, short", callersDoor, crowdSize, chunked(submission, full, 4)},
		{"announced far over the limit", callersDoor, crowdSize, overLimit(submission, true)},
		{"sent far over the limit", callersDoor, crowdSize, overLimit(submission, false)},
		{"whole", callersDoor, crowdSize, whole(submission, always(full))},
		{"of requests that have none, short", callersDoor, crowdSize, announced(get(sitePrefix), full, 1, 0)},
		{"for an unknown queue, short", callersDoor, crowdSize, announced(get("/nothing/"), full, 1, 0)},
	})
}

func TestBodiesOfCallersWithoutConfiguredLimit(t *testing.T) {
	for _, c := range []nodeCrowd{
		{"announced, short", callersDoor, crowdSize, announced(submission, padded(maxBodyBytes), 1, 0)},
		{"sent without end", callersDoor, crowdSize / 8, overLimit(submission, false)},
	} {
		t.Run(c.name, func(t *testing.T) { c.run(t, small, nil) })
	}
}

// Small in bytes, large when decoded.
func TestStructureOfCallersJobs(t *testing.T) {
	runAll(t, []nodeCrowd{
		{"many steps", callersDoor, crowdSize / 2, whole(submission, always(manySteps(maxBodyBytes)))},
		{"many dependencies", callersDoor, crowdSize / 2, whole(submission, always(manyDependencies(maxBodyBytes)))},
		{"many unknown values", callersDoor, crowdSize / 2, whole(submission, always(unknownValues(maxBodyBytes)))},
	})
}

func TestHeadersOfCallers(t *testing.T) {
	runAll(t, []nodeCrowd{
		{"large, short", callersDoor, crowdSize, largeHeader(submission, maxHeaderBytes)},
		{"many fields, short", callersDoor, crowdSize, manyFields(submission, maxHeaderBytes)},
		{"many fields in the middle of a pipeline, short", callersDoor, crowdSize, pipelinedFields(header(http.MethodGet, sitePrefix, siteHost), 4<<10)},
	})
}

func TestResponsesThatCallersDoNotRead(t *testing.T) {
	runAll(t, []nodeCrowd{
		{"states", callersDoor, crowdSize / 8, pipelined(header(http.MethodGet, sitePrefix, siteHost))},
	})
}

// fewDescriptors are less than a crowd has connections.
var fewDescriptors = limits{memoryMB: small.memoryMB, descriptors: crowdSize - 100}

func TestSilentCallers(t *testing.T) {
	nodeCrowd{"silent", callersDoor, crowdSize, silent}.run(t, fewDescriptors, siteLimits())
}
