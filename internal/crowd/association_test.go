package crowd

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// Addresses of the example document are on the ports of its workers and targets.
const (
	exampleDocument = "../../examples/association.yaml"
	associationIP   = "127.0.4.3"
	fakesIP         = "127.0.0.1"
)

// serviceBodyBytes is the greatest body of a request to a service unless the rules name another.
const serviceBodyBytes = 1 << 20

// association is a daemon that serves a document, with the stand-ins for its platform.
type association struct {
	*process
	fakes                     *process
	callers, operators, peers string
	platform                  string
}

func startAssociation(t *testing.T, l limits) *association {
	t.Helper()
	base := freePorts(t, associationIP, 3)
	at := func(port int) string { return net.JoinHostPort(associationIP, fmt.Sprint(base+port)) }
	a := &association{callers: at(0), operators: at(1), peers: at(2)}
	a.platform = net.JoinHostPort(fakesIP, fmt.Sprint(freePorts(t, fakesIP, 1)))
	a.fakes = startProcess(t, fakesIP, l, nil, "bambooyard-fakes", "--platform-address", a.platform, "--document", exampleDocument)
	awaitStatus(t, "http://"+a.platform+"/counts")
	a.process = startProcess(t, associationIP, l, []string{
		"BAMBOOYARD_NAME=d1", "BAMBOOYARD_REGION=hobart", "BAMBOOYARD_DATA_CENTRE=hobart-1",
		"BAMBOOYARD_CALLER_ADDRESS=" + a.callers, "BAMBOOYARD_OPERATOR_ADDRESS=" + a.operators, "BAMBOOYARD_PEER_ADDRESS=" + a.peers,
		"BAMBOOYARD_PLATFORM_ADDRESS=" + a.platform,
		fmt.Sprintf("BAMBOOYARD_MEMORY_MB=%d", l.memoryMB), fmt.Sprintf("BAMBOOYARD_MAX_DESCRIPTORS=%d", l.descriptors),
	}, "bambooyardd")
	awaitStatus(t, "http://"+a.operators+"/healthz")
	document, err := os.ReadFile(exampleDocument)
	if err != nil {
		t.Fatal(err)
	}
	ordinary(t, http.MethodPut, "http://"+a.operators+"/v1/config?based_on=0", "", document)
	a.ordinary(t)
	return a
}

// awaitStatus waits until url is answered with 200.
func awaitStatus(t *testing.T, url string) {
	t.Helper()
	ordinary(t, http.MethodGet, url, "", nil)
}

// ordinary sends a small request to a service and one to the operators' address.
func (a *association) ordinary(t *testing.T) {
	t.Helper()
	for range ordinaryAttempts {
		if status, _ := a.callService(strings.NewReader("gloves")); status == http.StatusOK {
			awaitStatus(t, "http://"+a.operators+"/v1/status")
			return
		}
		time.Sleep(ordinaryPause)
	}
	t.Error("a small request to a service is not answered")
}

// callService sends one request to a service.
func (a *association) callService(body *strings.Reader) (status int, text string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+a.callers+"/v1/services/stock-check/gloves", body)
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Bambooyard-Member", "conservators")
	return do(req)
}

// serviceRequest returns the header of a request to a service.
func serviceRequest(_ int, fields ...string) string {
	return header(http.MethodPost, "/v1/services/stock-check/gloves", "callers", append(fields, "Bambooyard-Member: conservators", "Bambooyard-Deadline-Ms: 10000")...)
}

// batchSubmission returns the header of a submission of a batch job.
func batchSubmission(_ int, fields ...string) string {
	return header(http.MethodPost, "/v1/jobs", "callers", fields...)
}

// proposal returns the header of a proposal of a document.
func proposal(_ int, fields ...string) string {
	return header(http.MethodPut, "/v1/config?based_on=1", "operators", fields...)
}

// associationCrowd is a crowd at one address of a daemon that serves a document.
type associationCrowd struct {
	name string
	door func(a *association) string
	size int
	send client
}

// runAllAssociations runs each crowd against a daemon of its own.
func runAllAssociations(t *testing.T, crowds []associationCrowd) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			a := startAssociation(t, small)
			runCrowd(t, c.door(a), c.size, c.send, func() { a.ordinary(t) })
			a.ordinary(t)
			a.check()
		})
	}
}

func associationCallers(a *association) string   { return a.callers }
func associationOperators(a *association) string { return a.operators }
func associationPeers(a *association) string     { return a.peers }

func TestBodiesOfServiceRequests(t *testing.T) {
	full := []byte(strings.Repeat(" ", serviceBodyBytes))
	runAllAssociations(t, []associationCrowd{
		{"announced, short", associationCallers, crowdSize / 2, announced(serviceRequest, full, 1, 0)},
		{"in pieces, short", associationCallers, crowdSize / 2, announced(serviceRequest, full, pieces, pause)},
		{"large chunks, short", associationCallers, crowdSize / 2, chunked(serviceRequest, full, 64<<10)},
		{"small chunks, short", associationCallers, crowdSize / 4, chunked(serviceRequest, full, 4)},
		{"sent far over the limit", associationCallers, crowdSize / 2, overLimit(serviceRequest, false)},
		{"whole", associationCallers, crowdSize / 2, whole(serviceRequest, always(full))},
	})
}

func TestBodiesOfBatchJobs(t *testing.T) {
	full := []byte(strings.Repeat(" ", serviceBodyBytes))
	runAllAssociations(t, []associationCrowd{
		{"announced, short", associationCallers, crowdSize / 2, announced(batchSubmission, full, 1, 0)},
		{"whole with many values", associationCallers, crowdSize / 16, whole(batchSubmission, always(repeated(`{"avoid":[""`, `,""`, `]}`, serviceBodyBytes)))},
	})
}

func TestDocumentsOfOperators(t *testing.T) {
	const documentBytes = 32 << 20
	document := []byte(strings.Repeat(" ", documentBytes))
	runAllAssociations(t, []associationCrowd{
		{"announced, short", associationOperators, 16, announced(proposal, document, 1, 0)},
		{"large chunks, short", associationOperators, 16, chunked(proposal, document, 64<<10)},
		{"sent far over the limit", associationOperators, 64, overLimit(proposal, false)},
		{"whole with many values", associationOperators, 4, whole(proposal, always(repeated("inventory: [{}", ",{}", "]", 1<<20)))},
		{"whole with deep lists", associationOperators, 2, whole(proposal, always(nestedFile(64<<10)))},
	})
}

func TestHeadersOfAnAssociation(t *testing.T) {
	runAllAssociations(t, []associationCrowd{
		{"services: many fields, short", associationCallers, crowdSize, manyFields(serviceRequest, 64<<10)},
		{"operators: many fields, short", associationOperators, crowdSize, manyFields(proposal, 64<<10)},
	})
}

func TestMessagesBetweenDaemonsOfAnAssociation(t *testing.T) {
	runAllAssociations(t, []associationCrowd{
		{"messages, short", associationPeers, crowdSize / 50, messages(8, 4<<20, make([]byte, 4<<20-shortBy))},
	})
}

func TestSilentConnectionsOfAnAssociation(t *testing.T) {
	a := startAssociation(t, fewDescriptors)
	runCrowd(t, a.callers, crowdSize, silent, func() {
		runCrowd(t, a.operators, crowdSize/2, silent, func() { a.ordinary(t) })
	})
	a.ordinary(t)
	a.check()
}

// The stand-ins take bodies, too.
func TestCrowdsAtTheStandIns(t *testing.T) {
	transaction := func(_ int, fields ...string) string {
		return header(http.MethodPost, "/table/commit", "platform", fields...)
	}
	a := startAssociation(t, small)
	runCrowd(t, a.platform, crowdSize/2, announced(transaction, []byte(strings.Repeat(" ", serviceBodyBytes)), 1, 0), func() { a.ordinary(t) })
	a.ordinary(t)
	a.fakes.check()
}
