package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A single request of the greatest size that the limits allow is served while no crowd is there,
// however it is sent.
func TestSingleRequestAtTheLimit(t *testing.T) {
	is := is.New(t)
	n := startNode(t, small, siteLimits())
	full := padded(maxBodyBytes)
	for i, body := range []io.Reader{
		bytes.NewReader(full),                 // announced
		io.MultiReader(bytes.NewReader(full)), // chunked
		&slowReader{rest: full, size: 64 << 10, pause: time.Millisecond},
		&slowReader{rest: full[maxBodyBytes-4096:], size: 3}, // in very small chunks
		&slowReader{rest: full, size: 32 << 10, pause: 10 * time.Millisecond},
	} {
		req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+sitePrefix+jobID(3, i), body)
		is.NoErr(err)
		req.Host = siteHost
		if status, text := do(req); status != http.StatusOK {
			t.Errorf("request %d: %d %s", i, status, text)
		}
	}
	file := paddedFile(48 << 10) // a larger payload does not fit into a row of the store
	status, text := exchange(http.MethodPut, "http://"+n.jobs+"/v1/queues/"+siteQueue+"/jobs/"+jobID(4, 0), "", file)
	if status != http.StatusOK {
		t.Errorf("job file: %d %s", status, text)
	}
	fill := strings.Repeat("x", maxHeaderBytes-512)
	req, err := http.NewRequest(http.MethodGet, "http://"+n.callers+sitePrefix, nil)
	is.NoErr(err)
	req.Host = siteHost
	req.Header.Set("X-Fill", fill)
	status, text = do(req)
	if status != http.StatusOK {
		t.Errorf("header of %d bytes: %d %s", len(fill), status, text)
	}
	n.check()
}

// A daemon that serves a document does the same.
func TestSingleAssociationRequestAtTheLimit(t *testing.T) {
	a := startAssociation(t, small)
	status, text := a.callService(strings.NewReader(strings.Repeat("x", serviceBodyBytes)))
	if status != http.StatusOK {
		t.Errorf("request to a service: %d %.200s", status, text)
	}
	a.check()
}

// A refusal of a body is a complete response that says that nothing has run.
func TestRefusedBodies(t *testing.T) {
	n := startNode(t, small, siteLimits())
	for name, body := range map[string]io.Reader{
		"announced": bytes.NewReader(padded(maxBodyBytes + 1)),
		"chunked":   io.MultiReader(bytes.NewReader(padded(maxBodyBytes + 1))),
		"steps":     bytes.NewReader(manySteps(maxBodyBytes)),
	} {
		req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+sitePrefix+jobID(5, len(name)), body)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = siteHost
		status, text := do(req)
		if status != http.StatusRequestEntityTooLarge && status != http.StatusBadRequest {
			t.Errorf("%s: %d %s", name, status, text)
		}
		if status, text := exchange(http.MethodGet, fmt.Sprintf("http://%s%s%s", n.callers, sitePrefix, jobID(5, len(name))), siteHost, nil); status != http.StatusGone {
			t.Errorf("%s: the state of the refused job: %d %s", name, status, text)
		}
	}
	n.check()
}

// slowReader returns its bytes in pieces of a size, each after a pause.
type slowReader struct {
	rest  []byte
	size  int
	pause time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	n := copy(p, r.rest[:min(r.size, len(r.rest))])
	r.rest = r.rest[n:]
	return n, nil
}
