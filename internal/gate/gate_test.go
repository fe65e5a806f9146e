package gate

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/intake"
	"github.com/bambooyard/bambooyard/verdict"
)

const (
	testListener = "callers"
	bodyLimit    = 100 << 10
)

// echo is a server with a gate that answers with the size of the body.
type echo struct {
	gate     *Gate
	address  string
	registry metrics.Registry
	events   *memory.Handler
	// started gets an element when a request is in progress, which goes on after one of release.
	started, release chan struct{}
}

func startEcho(t *testing.T, limits intake.ListenerLimits) *echo {
	t.Helper()
	is := is.New(t)
	e := &echo{registry: metrics.NewRegistry(), events: memory.New(), started: make(chan struct{}, 100), release: make(chan struct{}, 100)}
	g, err := New(intake.Limits{testListener: limits}, e.registry, &log.Logger{Handler: e.events, Level: log.InfoLevel})
	is.NoErr(err)
	e.gate = g
	l, err := g.Listen("127.0.0.1:0", testListener)
	is.NoErr(err)
	e.address = l.Addr().String()
	server := g.Server(http.HandlerFunc(e.serve))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return e
}

func (e *echo) serve(w http.ResponseWriter, r *http.Request) {
	body, err := e.gate.ReadBody(w, r, Body{Limit: bodyLimit})
	if err != nil {
		writeError(w, verdict.AsRequestError(err, http.StatusBadRequest))
		return
	}
	if r.URL.Path == "/wait" {
		e.started <- struct{}{}
		<-e.release
	}
	_, _ = fmt.Fprint(w, len(body))
}

func (e *echo) count(kind limited) int64 {
	return e.registry.Get("gate." + string(kind)).(metrics.Counter).Count()
}

// dial connects, and closes the connection at the end of the test.
func (e *echo) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// post sends a request with a body that is announced with a length.
func post(t *testing.T, c net.Conn, path string, length int, body []byte) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, length, body); err != nil {
		t.Fatal(err)
	}
}

// response reads a response and its body.
func response(t *testing.T, c net.Conn) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

var generous = intake.ListenerLimits{Connections: 10, SharedBytes: 1 << 20}

func TestBodiesUpToTheLimit(t *testing.T) {
	is := is.New(t)
	e := startEcho(t, generous)
	for _, size := range []int{0, 1, firstBufferBytes, firstBufferBytes + 1, bodyLimit} {
		for _, body := range []io.Reader{bytes.NewReader(make([]byte, size)), io.MultiReader(bytes.NewReader(make([]byte, size)))} {
			resp, err := http.Post("http://"+e.address, "", body)
			is.NoErr(err)
			text, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(string(text), fmt.Sprint(size))
		}
	}
}

// The whole response arrives although the body is not read, and says that nothing has run.
func TestBodiesOverTheLimit(t *testing.T) {
	is := is.New(t)
	e := startEcho(t, generous)
	for _, body := range []io.Reader{bytes.NewReader(make([]byte, bodyLimit+1)), io.MultiReader(bytes.NewReader(make([]byte, 3*bodyLimit)))} {
		resp, err := http.Post("http://"+e.address, "", body)
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
		is.Equal(resp.Header.Get(verdict.Header), "not-run")
		is.True(strings.Contains(string(text), "longer than 102400 bytes"))
	}
}

// A body that stalls makes way for another when there is room for only one, and its sender learns that
// the request has not run and when to come back.
func TestStalledBodyMakesWay(t *testing.T) {
	is := is.New(t)
	e := startEcho(t, intake.ListenerLimits{Connections: 10, SharedBytes: 150 << 10})
	stalled := e.dial(t)
	post(t, stalled, "/", bodyLimit, make([]byte, bodyLimit-1))
	waitFor(t, func() bool { _, held := e.gate.usage(testListener); return held > bodyLimit/2 })
	time.Sleep(200 * time.Millisecond) // longer than a request may take before it makes way
	other := e.dial(t)
	post(t, other, "/", bodyLimit, make([]byte, bodyLimit))
	_, text := response(t, other)
	is.Equal(text, fmt.Sprint(bodyLimit))
	resp, _ := response(t, stalled)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "1")
	is.Equal(resp.Header.Get(verdict.Header), "not-run")
	is.True(resp.Close)
	is.Equal(e.count(interruptedRequest), int64(1))
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition does not hold")
}

func TestConnectionsMakeWay(t *testing.T) {
	is := is.New(t)
	e := startEcho(t, intake.ListenerLimits{Connections: 2, SharedBytes: 1 << 20})
	first := e.dial(t)
	busy := e.dial(t)
	post(t, busy, "/wait", 0, nil)
	<-e.started
	third := e.dial(t)
	post(t, third, "/", 1, []byte("x"))
	_, text := response(t, third)
	is.Equal(text, "1")
	_, err := first.Read(make([]byte, 1))
	is.True(err != nil) // closed
	e.release <- struct{}{}
	_, text = response(t, busy)
	is.Equal(text, "0")
	is.Equal(e.count(evictedConnection), int64(1))
	is.Equal(len(e.events.Entries), 1)
	is.Equal(e.events.Entries[0].Fields.Get("listener"), testListener)
}

func TestRequestsInProgressAreBounded(t *testing.T) {
	is := is.New(t)
	e := startEcho(t, intake.ListenerLimits{Connections: 10, Requests: 1, SharedBytes: 1 << 20})
	first, second := e.dial(t), e.dial(t)
	post(t, first, "/wait", 0, nil)
	<-e.started
	post(t, second, "/", 0, nil)
	resp, text := response(t, second)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, `"verdict":"not-run"`))
	e.release <- struct{}{}
	_, text = response(t, first)
	is.Equal(text, "0")
	third := e.dial(t)
	post(t, third, "/", 0, nil)
	_, text = response(t, third)
	is.Equal(text, "0")
}

// A header of many fields takes much more memory than bytes.
func TestHeadersOfManyFields(t *testing.T) {
	is := is.New(t)
	e := startEcho(t, intake.ListenerLimits{Connections: 10, SharedBytes: 100 << 10})
	large := e.dial(t)
	_, err := io.WriteString(large, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 1000))
	is.NoErr(err)
	_, err = large.Read(make([]byte, 1))
	is.True(err != nil) // closed
	is.Equal(e.count(refusedForMemory), int64(1))
	// The beginning of another request, received with a complete one.
	pipelined := e.dial(t)
	_, err = io.WriteString(pipelined, "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 500))
	is.NoErr(err)
	_, text := response(t, pipelined)
	is.Equal(text, "0")
	_, err = io.WriteString(pipelined, strings.Repeat("a:\r\n", 500))
	is.NoErr(err)
	waitFor(t, func() bool { return e.count(refusedForMemory) == 2 })
}

// Requests on one connection are served one after another. Afterwards they hold no more than what may
// be in the buffer of the connection.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	e := startEcho(t, generous)
	c := e.dial(t)
	const requests = 50
	var wg sync.WaitGroup
	wg.Go(func() {
		for range requests {
			post(t, c, "/", 20<<10, make([]byte, 20<<10))
		}
	})
	r := bufio.NewReader(c)
	for range requests {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(text), fmt.Sprint(20<<10))
	}
	wg.Wait()
	waitFor(t, func() bool { _, held := e.gate.usage(testListener); return held < bufferBytes })
	is.NoErr(c.Close())
	waitFor(t, func() bool { n, _ := e.gate.usage(testListener); return n == 0 })
}

// The user of a connection that does not carry HTTP says what it holds.
func TestOtherConnections(t *testing.T) {
	is := is.New(t)
	g, err := New(intake.Limits{testListener: {Connections: 2, SharedBytes: 10 << 10}}, metrics.NewRegistry(), &log.Logger{Handler: memory.New()})
	is.NoErr(err)
	l, err := g.Listen("127.0.0.1:0", testListener)
	is.NoErr(err)
	defer l.Close()
	accept := func() *conn {
		client, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = client.Close() })
		c, err := l.Accept()
		is.NoErr(err)
		return c.(*conn)
	}
	closed := accept()
	is.True(closed.Hold(1 << 10))
	is.NoErr(closed.Close())
	is.True(!closed.Hold(-1 << 10)) // what it held was released with it; nobody was refused
	is.Equal(g.instruments.counters[refusedForMemory].Count(), int64(0))
	used, silent := accept(), accept()
	used.Used()
	is.True(used.Hold(12 << 10))
	is.True(!used.Hold(100 << 10))
	is.True(used.Hold(-12 << 10))
	accept()
	is.True(silent.interrupted()) // it has sent no message
	is.True(!used.interrupted())
}

func TestGateWithoutLimits(t *testing.T) {
	is := is.New(t)
	var g *Gate
	l, err := g.Listen("127.0.0.1:0", testListener)
	is.NoErr(err)
	is.NoErr(l.Close())
	decoded := 0
	g.Decode(func() { decoded++ })
	g.DecodeLarge(func() { decoded++ })
	is.Equal(decoded, 2)
	body, err := g.ReadBody(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader("abc")), Body{Limit: 3})
	is.NoErr(err)
	is.Equal(string(body), "abc")
	_, err = g.ReadBody(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader("abcd")), Body{Limit: 3})
	is.Equal(verdict.Of(err), verdict.NotRun)
}

func TestBufferedBodies(t *testing.T) {
	is := is.New(t)
	var g *Gate
	h := g.BufferBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }), 3)
	for body, want := range map[string]string{"abc": "abc", "": ""} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
		is.Equal(w.Body.String(), want)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("abcd")))
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
}
