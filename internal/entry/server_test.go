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

func (c *cluster) request(t testing.TB, method, path, key string) (*http.Response, string) {
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

// A daemon whose session ends between the claim and the send must not send the
// request and must release the key for a retry. A daemon whose snapshot is too old
// must refuse all requests, and one whose session has expired all keyed requests.
func TestExpiredSessionSendsNothing(t *testing.T) {
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
	resp, _ := c.request(t, "POST", "reorder/orders", "order-1")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(verdict.Header), "not-run")
	is.Equal(c.runner.Runs("order-1"), 0)
	<-released
	resp, _ = c.request(t, "POST", "reorder/orders", "order-1")
	is.Equal(resp.Header.Get(verdict.Header), "ran")
	is.Equal(c.runner.Runs("order-1"), 1)
	stale := *d.publisher.Load()
	stale.CreatedAt = time.Now().Add(-time.Minute)
	d.publisher.Publish(&stale)
	resp, _ = c.request(t, "GET", "stock-check/gloves", "")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(verdict.Header), "not-run")
	expired := *d.publisher.Load()
	expired.CreatedAt = time.Now()
	expired.Session.ExpiresUnixMS = 1
	d.publisher.Publish(&expired)
	resp, _ = c.request(t, "POST", "reorder/orders", "order-2")
	is.Equal(resp.Header.Get(verdict.Header), "not-run")
	is.Equal(c.runner.Runs("order-2"), 0)
}

// If the first send may have run and the retry cannot connect, the verdict must
// be may-have-run: the error of the last send alone would say not-run.
func TestMayHaveRunSurvivesFailedRetry(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, func(c *cluster, w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != "/vanish" {
			return false
		}
		_ = c.target.Listener.Close()
		c.target.Config.SetKeepAlivesEnabled(false)
		return writeRaw(w, "")
	})
	for range 20 { // builds up the retry budget
		c.request(t, "GET", "stock-check/gloves", "")
	}
	resp, body := c.request(t, "GET", "stock-check/vanish", "")
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(resp.Header.Get(verdict.Header), "may-have-run")
	is.True(strings.Contains(body, `"verdict":"may-have-run"`))
}

// With a third of the sends failing at the target, additional sends (retries,
// hedges, sends on another connection) must be at most a tenth of the first sends.
func TestResendsStayWithinBudget(t *testing.T) {
	is := is.New(t)
	const requests = 600
	var sends atomic.Int32
	c := newCluster(t, func(_ *cluster, w http.ResponseWriter, _ *http.Request) bool {
		return sends.Add(1)%3 == 0 && writeRaw(w, "")
	})
	answered := 0
	for range requests {
		if resp, _ := c.request(t, "GET", "stock-check/gloves", ""); resp.StatusCode == http.StatusOK {
			answered++
		}
	}
	is.True(sends.Load() <= requests*11/10)
	is.True(sends.Load() > requests) // the budget is used
	is.True(answered > requests*2/3)
	is.True(answered < requests)
}

// A repeatable request whose target hangs must be answered by a hedged send.
func TestHedge(t *testing.T) {
	is := is.New(t)
	stuck := make(chan struct{})
	defer close(stuck)
	var sends atomic.Int32
	c := newCluster(t, func(_ *cluster, _ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/stuck" && sends.Add(1) == 1 {
			select {
			case <-stuck:
			case <-r.Context().Done():
			}
		}
		return false
	})
	for range 200 {
		c.request(t, "GET", "stock-check/gloves", "")
	}
	resp, _ := c.request(t, "GET", "stock-check/stuck", "")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(sends.Load(), int32(2))
}

// Drain must let every keyed request in flight finish and store its outcome.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	const requests = 8
	started, release := make(chan struct{}), make(chan struct{})
	c := newCluster(t, func(_ *cluster, _ http.ResponseWriter, r *http.Request) bool {
		started <- struct{}{}
		<-release
		return false
	})
	verdicts := make(chan string, requests)
	for i := range requests {
		go func() {
			resp, _ := c.request(t, "POST", "reorder/orders", fmt.Sprint("order-", i))
			verdicts <- resp.Header.Get(verdict.Header)
		}()
	}
	for range requests {
		<-started
	}
	stopped := make(chan error, 1)
	d := &c.daemons[0]
	go func() { stopped <- d.server.Drain(context.Background(), d.http.Config) }()
	for { // until the listener is closed
		conn, err := net.Dial("tcp", d.http.Listener.Addr().String())
		if err != nil {
			break
		}
		conn.Close()
	}
	close(release)
	for range requests {
		is.Equal(<-verdicts, "ran")
	}
	is.NoErr(<-stopped)
	for i := range requests {
		rows, err := c.platform.Get(context.Background(), platform.ClaimKey("conservators", "reorder", fmt.Sprint("order-", i)))
		is.NoErr(err)
		var claim idempotency.Claim
		is.NoErr(json.Unmarshal(rows[0].Value, &claim))
		is.True(claim.Outcome != nil)
	}
}

// stalledCaller calls stall before it reads each part of a response.
type stalledCaller struct {
	*httptest.ResponseRecorder
	stall func()
	bytes int
}

func (s *stalledCaller) Write(p []byte) (int, error) {
	s.stall()
	s.bytes += len(p)
	return len(p), nil
}

// A caller that stops reading must block the target: the daemon may buffer at
// most 32 MiB of a response of 256 MiB.
func TestSlowCallerAppliesBackpressure(t *testing.T) {
	is := is.New(t)
	const size, maxBuffered = 256 << 20, 32 << 20
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
		if buffered := written.Load() - int64(caller.bytes); buffered > maxBuffered {
			t.Errorf("%d bytes are buffered", buffered)
		}
	}
	req := httptest.NewRequest("GET", "/v1/services/stock-check/all", nil)
	req.Header.Set("Bambooyard-Member", "conservators")
	c.daemons[0].server.Handler().ServeHTTP(caller, req)
	is.Equal(caller.bytes, size)
}

// The outcome of a keyed request must be stored even if its caller disconnects
// before the response, so that a retry gets it.
func TestOutcomeIsStoredAfterCallerDisconnects(t *testing.T) {
	is := is.New(t)
	ctx, disconnect := context.WithCancel(context.Background())
	disconnected := make(chan struct{})
	c := newCluster(t, func(*cluster, http.ResponseWriter, *http.Request) bool {
		disconnect()
		<-disconnected
		return false
	})
	stored := make(chan struct{})
	commits := 0
	c.table.onCommit = func() {
		if commits++; commits == 2 {
			close(stored)
		}
	}
	req, err := http.NewRequestWithContext(ctx, "POST", c.daemons[0].http.URL+"/v1/services/reorder/orders", nil)
	is.NoErr(err)
	req.Header.Set("Bambooyard-Member", "conservators")
	req.Header.Set("Idempotency-Key", "order-1")
	_, err = http.DefaultClient.Do(req)
	is.True(errors.Is(err, context.Canceled))
	close(disconnected)
	<-stored
	resp, _ := c.request(t, "POST", "reorder/orders", "order-1")
	is.Equal(resp.Header.Get("Bambooyard-Replayed"), "true")
	is.Equal(c.runner.Runs("order-1"), 1)
}
