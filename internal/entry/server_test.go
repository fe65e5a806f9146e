package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/idempotency"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/verdict"
)

func (c *cluster) ask(t testing.TB, method, path, key string) (*http.Response, string) {
	req, err := http.NewRequest(method, c.daemons[0].http.URL+"/v1/services/"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Bambooyard-Member", "conservators")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
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

// A daemon whose session ends between the claim and the send does not run the
// request, and frees the key for a later try. One that has not heard from
// control for long serves nothing.
func TestOldSessionRunsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, nil)
	d := &c.daemons[0]
	renew := func(id string) {
		next := *d.publisher.Load()
		next.Session.ID = id
		d.publisher.Publish(&next)
	}
	released := make(chan struct{})
	commits := 0
	c.table.onCommit = func() {
		commits++
		switch commits {
		case 1:
			renew("d1-second-session")
		case 2:
			close(released)
		}
	}
	resp, _ := c.ask(t, "POST", "reorder/orders", "order-1")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(verdict.Header), "not-run")
	is.Equal(c.runner.Runs("order-1"), 0)
	<-released
	resp, _ = c.ask(t, "POST", "reorder/orders", "order-1")
	is.Equal(resp.Header.Get(verdict.Header), "ran")
	is.Equal(c.runner.Runs("order-1"), 1)
	frozen := *d.publisher.Load()
	frozen.CreatedAt = time.Now().Add(-time.Minute)
	d.publisher.Publish(&frozen)
	resp, _ = c.ask(t, "GET", "stock-check/gloves", "")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(verdict.Header), "not-run")
	expired := *d.publisher.Load()
	expired.CreatedAt = time.Now()
	expired.Session.ExpiresUnixMS = 1
	d.publisher.Publish(&expired)
	resp, _ = c.ask(t, "POST", "reorder/orders", "order-2")
	is.Equal(resp.Header.Get(verdict.Header), "not-run")
	is.Equal(c.runner.Runs("order-2"), 0)
}

// A send that may have run is not forgotten when the next send cannot even
// connect.
func TestEarlierSendStaysMayHaveRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, func(c *cluster, w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != "/vanish" {
			return false
		}
		_ = c.target.Listener.Close()
		c.target.Config.SetKeepAlivesEnabled(false)
		return answerRaw(w, "")
	})
	for range 20 { // saves up for retries
		c.ask(t, "GET", "stock-check/gloves", "")
	}
	resp, body := c.ask(t, "GET", "stock-check/vanish", "")
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(resp.Header.Get(verdict.Header), "may-have-run")
	is.True(strings.Contains(body, `"verdict":"may-have-run"`))
}

// With a third of the requests failing at the target, those sent again on other
// connections, as retries or as hedges are at most a tenth of the first sends.
func TestSecondSendsStayWithinBudget(t *testing.T) {
	is := is.New(t)
	const requests = 600
	var asked atomic.Int32
	c := newCluster(t, func(_ *cluster, w http.ResponseWriter, _ *http.Request) bool {
		return asked.Add(1)%3 == 0 && answerRaw(w, "")
	})
	answered := 0
	for range requests {
		if resp, _ := c.ask(t, "GET", "stock-check/gloves", ""); resp.StatusCode == http.StatusOK {
			answered++
		}
	}
	is.True(asked.Load() <= requests*11/10)
	is.True(asked.Load() > requests) // the budget is used
	is.True(answered > requests*2/3)
	is.True(answered < requests)
}

// A repeatable request whose target is stuck is answered by a second send.
func TestHedge(t *testing.T) {
	is := is.New(t)
	stuck := make(chan struct{})
	defer close(stuck)
	var asked atomic.Int32
	c := newCluster(t, func(_ *cluster, _ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/stuck" && asked.Add(1) == 1 {
			select {
			case <-stuck:
			case <-r.Context().Done():
			}
		}
		return false
	})
	for range 200 {
		c.ask(t, "GET", "stock-check/gloves", "")
	}
	resp, _ := c.ask(t, "GET", "stock-check/stuck", "")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(asked.Load(), int32(2))
}

// A stop lets every booking in progress finish, and keeps its outcome.
func TestStopCutsOffNothing(t *testing.T) {
	is := is.New(t)
	const bookings = 8
	started, release := make(chan struct{}), make(chan struct{})
	c := newCluster(t, func(_ *cluster, _ http.ResponseWriter, r *http.Request) bool {
		started <- struct{}{}
		<-release
		return false
	})
	verdicts := make(chan string, bookings)
	for i := range bookings {
		go func() {
			resp, _ := c.ask(t, "POST", "reorder/orders", fmt.Sprint("order-", i))
			verdicts <- resp.Header.Get(verdict.Header)
		}()
	}
	for range bookings {
		<-started
	}
	stopped := make(chan error, 1)
	d := &c.daemons[0]
	go func() { stopped <- d.server.Drain(context.Background(), d.http.Config) }()
	for { // until nothing new is accepted
		conn, err := net.Dial("tcp", d.http.Listener.Addr().String())
		if err != nil {
			break
		}
		conn.Close()
	}
	close(release)
	for range bookings {
		is.Equal(<-verdicts, "ran")
	}
	is.NoErr(<-stopped)
	for i := range bookings {
		rows, err := c.platform.Get(context.Background(), platform.ClaimKey("conservators", "reorder", fmt.Sprint("order-", i)))
		is.NoErr(err)
		var claim idempotency.Claim
		is.NoErr(json.Unmarshal(rows[0].Value, &claim))
		is.True(claim.Outcome != nil)
	}
}

// stalledCaller takes a large answer's first bytes and then waits.
type stalledCaller struct {
	*httptest.ResponseRecorder
	stall func()
	taken int
}

func (s *stalledCaller) Write(p []byte) (int, error) {
	s.stall()
	s.taken += len(p)
	return len(p), nil
}

// A caller that does not read stops the target: the daemon holds no more of a
// large answer than its buffers.
func TestSlowCallerSlowsTarget(t *testing.T) {
	is := is.New(t)
	const size, maxHeld = 256 << 20, 32 << 20
	var written atomic.Int64
	c := newCluster(t, func(_ *cluster, w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		buf := make([]byte, 64<<10)
		for written.Load() < size {
			n, err := w.Write(buf)
			if err != nil {
				break
			}
			written.Add(int64(n))
		}
		return true
	})
	caller := &stalledCaller{ResponseRecorder: httptest.NewRecorder()}
	stalls := 0
	caller.stall = func() {
		if stalls++; stalls > 3 {
			return
		}
		for last := int64(-1); written.Load() != last; {
			last = written.Load()
			time.Sleep(20 * time.Millisecond)
		}
		if held := written.Load() - int64(caller.taken); held > maxHeld {
			t.Errorf("%d bytes are held", held)
		}
	}
	req := httptest.NewRequest("GET", "/v1/services/stock-check/all", nil)
	req.Header.Set("Bambooyard-Member", "conservators")
	c.daemons[0].server.Handler().ServeHTTP(caller, req)
	is.Equal(caller.taken, size)
}

// A caller that goes away does not keep its booking's outcome from being kept.
func TestOutcomeIsKeptForCallerThatLeft(t *testing.T) {
	is := is.New(t)
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan struct{})
	c := newCluster(t, func(*cluster, http.ResponseWriter, *http.Request) bool {
		leave()
		<-gone
		return false
	})
	kept := make(chan struct{})
	commits := 0
	c.table.onCommit = func() {
		if commits++; commits == 2 {
			close(kept)
		}
	}
	req, err := http.NewRequestWithContext(ctx, "POST", c.daemons[0].http.URL+"/v1/services/reorder/orders", nil)
	is.NoErr(err)
	req.Header.Set("Bambooyard-Member", "conservators")
	req.Header.Set("Idempotency-Key", "order-1")
	_, err = http.DefaultClient.Do(req)
	is.True(errors.Is(err, context.Canceled))
	close(gone)
	<-kept
	resp, _ := c.ask(t, "POST", "reorder/orders", "order-1")
	is.Equal(resp.Header.Get("Bambooyard-Replayed"), "true")
	is.Equal(c.runner.Runs("order-1"), 1)
}
