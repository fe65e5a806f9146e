package crowd

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bambooyard/bambooyard/internal/fake"
)

// Limits of bodies and headers in the configurations of the installations.
const (
	maxBodyBytes   = 262144
	maxHeaderBytes = 16384
)

const (
	siteHost   = "desk.example"
	sitePrefix = "/scans/"
	siteQueue  = "scans"
)

// small are the limits of the machines in these tests: in proportion to their crowds, they are
// those of the machines of the installations.
var small = limits{memoryMB: 160, descriptors: 4100}

// node is a daemon on a stand-in site.
type node struct {
	*process
	callers, ready, peers, metrics, jobs string
}

// startNode starts a site in this process and a daemon on it. configLimits are the limits in the
// configuration; none if nil.
func startNode(t *testing.T, l limits, configLimits map[string]any) *node {
	t.Helper()
	const siteIP, nodeIP = "127.0.4.1", "127.0.4.2"
	store := net.JoinHostPort(siteIP, strconv.Itoa(freePorts(t, siteIP, 3)))
	if err := (fake.Site{StoreAddress: store, Workers: 2, TaskDuration: 50 * time.Millisecond}).Serve(); err != nil {
		t.Fatal(err)
	}
	writeConfig(t, store, configLimits)
	base := freePorts(t, nodeIP, 10)
	at := func(port int) string { return net.JoinHostPort(nodeIP, strconv.Itoa(base+port)) }
	n := &node{callers: at(7), ready: at(8), peers: at(0), metrics: at(1), jobs: at(2)}
	path := filepath.Join(t.TempDir(), "boot.toml")
	settings := fmt.Sprintf(`nodeName = "n1"
ip = %q
zone = "a"
region = "r"
portRange = [%d, %d]
[listenAddrs]
frontend = %q
ready = %q
control = %q
[limits]
memoryMb = %d
maxFds = %d
[bounds]
configApplyMs = 3000
graceS = 6
holdMaxMs = 6000
status_s = 120
impactMs = 4000
[platform]
address = %q
rowBytes = 65536
`, nodeIP, base, base+6, n.callers, n.ready, at(9), l.memoryMB, l.descriptors, store)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	n.process = startProcess(t, nodeIP, l, []string{"BAMBOOYARD_NODE_FILE=" + path}, "bambooyardd")
	n.ordinary(t)
	return n
}

// writeConfig writes the configuration of the site with limits.
func writeConfig(t *testing.T, store string, configLimits map[string]any) {
	t.Helper()
	config, err := json.Marshal(map[string]any{
		"version": 2,
		"routes": []map[string]any{{
			"name": siteQueue, "host": siteHost, "pathPrefix": sitePrefix, "timeoutMs": 3000,
			"targetLatencyMs": 1000, "service": "desk", "maxAttempts": 3, "stretchFactor": 2,
		}},
		"limits": configLimits,
	})
	if err != nil {
		t.Fatal(err)
	}
	body := fmt.Sprintf(`{"write":[{"table":"op","part":"","key":"config","value":%q}]}`, base64.StdEncoding.EncodeToString(config))
	if status, text := exchange(http.MethodPost, "http://"+store+"/v1/rows-tx", "", []byte(body)); status != http.StatusOK {
		t.Fatalf("the configuration is not stored: %d %s", status, text)
	}
}

// siteLimits are the limits in the configurations of the installations.
func siteLimits() map[string]any {
	return map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// jobID returns an ID that no other request of the tests uses.
func jobID(crowd, n int) string { return fmt.Sprintf("%08x%08x", crowd, n) }

var lastOrdinary int

// ordinary submits a small job at the callers' address.
func (n *node) ordinary(t *testing.T) {
	t.Helper()
	lastOrdinary++
	url := "http://" + n.callers + sitePrefix + jobID(0xffff, lastOrdinary)
	ordinary(t, http.MethodPost, url, siteHost, smallJob())
}

func smallJob() []byte { return []byte(`{"spec":"run","steps":[{"count":1,"cpu":100,"memMb":10}]}`) }

// submission returns the header of a submission at the callers' address.
func submission(n int, fields ...string) string {
	return header(http.MethodPost, sitePrefix+jobID(1, n), siteHost, append(fields, "Content-Type: application/json")...)
}

// fileSubmission returns the header of a submission to the job API.
func fileSubmission(n int, fields ...string) string {
	return header(http.MethodPut, "/v1/queues/"+siteQueue+"/jobs/"+jobID(2, n), "jobs", fields...)
}

// get returns a function for the header of a GET request.
func get(path string) func(n int, fields ...string) string {
	return func(_ int, fields ...string) string { return header(http.MethodGet, path, siteHost, fields...) }
}

// padded returns a valid job of a size: JSON may have any amount of white space.
func padded(size int) []byte {
	job := smallJob()
	return append(bytes.Repeat([]byte(" "), size-len(job)), job...)
}

// manySteps returns a job with as many steps as fit in a size. None is valid.
func manySteps(size int) []byte { return repeated(`{"steps":[{}`, `,{}`, `]}`, size) }

// manyDependencies returns a job with a step that names as many others as fit in a size.
func manyDependencies(size int) []byte {
	return repeated(`{"steps":[{"count":1},{"count":1,"after":[0`, `,0`, `]}]}`, size)
}

// unknownValues returns a job with as many values as fit in a size, in a field that no job has.
func unknownValues(size int) []byte {
	return repeated(`{"steps":[{"count":1}],"x":[`, `[],`, `0]}`, size)
}

// repeated returns start, as many times part as fit in size, and end, followed by white space.
func repeated(start, part, end string, size int) []byte {
	times := (size - len(start) - len(end)) / len(part)
	text := start + strings.Repeat(part, times) + end
	return []byte(text + strings.Repeat(" ", size-len(text)))
}

// always returns a function for the same body of all clients.
func always(body []byte) func(int) []byte { return func(int) []byte { return body } }
