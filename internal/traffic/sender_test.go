package traffic

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/charts"
	"github.com/bambooyard/bambooyard/internal/target"
	"github.com/bambooyard/bambooyard/learn"
	"github.com/bambooyard/bambooyard/link"
	"github.com/bambooyard/bambooyard/route"
	"github.com/bambooyard/bambooyard/verdict"
)

// senderFixture is a sender with HTTP servers as targets and manual timers.
type senderFixture struct {
	*Sender
	usages []*route.Usage // by target
	timers chan func()
}

// newSenderFixture starts a target in regions[i] for each handler i.
func newSenderFixture(t *testing.T, regions []string, handlers ...http.HandlerFunc) *senderFixture {
	f := &senderFixture{timers: make(chan func(), 100)}
	clock := target.SystemClock()
	publisher := NewPublisher()
	var targets []route.Target
	for i, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		f.usages = append(f.usages, &route.Usage{})
		targets = append(targets, route.Target{
			Address: strings.TrimPrefix(server.URL, "http://"), Region: regions[i], Slots: 8, Connections: 64,
			State: charts.TargetLive, Usage: f.usages[i],
		})
	}
	publisher.Publish(&Snapshot{Ready: true, Daemons: 1, Services: map[string]*Service{
		"stock": {Picker: route.NewPicker(route.Options{Region: "hobart", Daemons: 1, Targets: targets})},
	}})
	f.Sender = NewSender(SenderOptions{
		Publisher: publisher, Targets: target.NewClient(clock), RunTimes: NewRunTimes(), Region: "hobart",
		Links: NewLinks("hobart", time.Now, time.Sleep), Now: time.Now,
		AfterFunc: func(_ time.Duration, fn func()) func() bool {
			f.timers <- fn
			return func() bool { return true }
		},
	})
	t.Cleanup(func() { f.opts.Targets.PruneIdle(nil) })
	return f
}

func (f *senderFixture) get(path string) error {
	resp, err := f.Send(context.Background(), Call{Service: "stock", Member: "m", Method: http.MethodGet, Path: path, Repeatable: true})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// observeRunTimes records run times of /long that are 100 times those of /short.
func (f *senderFixture) observeRunTimes() {
	for range 20 {
		f.opts.RunTimes.observe(learn.Key{Service: "stock", Member: "m", Route: "GET /short"}, 10*time.Millisecond)
	}
	for range 4 {
		f.opts.RunTimes.observe(learn.Key{Service: "stock", Member: "m", Route: "GET /long"}, time.Second)
	}
}

func TestLongRequestsWaitOnlyBehindLongRequests(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 20), make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	defer unblock()
	f := newSenderFixture(t, []string{"hobart"}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			arrived <- struct{}{}
			<-release
		}
	})
	f.observeRunTimes()
	var wg sync.WaitGroup
	for range 9 {
		wg.Go(func() { is.NoErr(f.get("/long")) })
	}
	for range route.LongSlots(8) {
		<-arrived
	}
	is.NoErr(f.get("/short")) // a short request finds a slot while long ones wait
	is.Equal(f.usages[0].InFlightLong(), route.LongSlots(8))
	is.Equal(len(arrived), 0)
	unblock()
	wg.Wait()
	is.Equal(f.usages[0].InFlight(), 0)
}

func TestRequestAboveTheThresholdCountsAsLong(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	defer unblock()
	f := newSenderFixture(t, []string{"hobart"}, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	f.observeRunTimes()
	done := make(chan error)
	go func() { done <- f.get("/unknown") }()
	<-arrived
	is.Equal(f.usages[0].InFlightLong(), 0)
	(<-f.timers)() // the threshold has passed
	is.Equal(f.usages[0].InFlightLong(), 1)
	unblock()
	is.NoErr(<-done)
	is.Equal(f.usages[0].InFlightLong(), 0)
	is.Equal(f.usages[0].InFlight(), 0)
}

// A target that announces in a response or a refusal that it is leaving, or that
// sends Retry-After, gets no further request.
func TestTargetThatDeclinesRequestsGetsNoMore(t *testing.T) {
	for name, decline := range map[string]http.HandlerFunc{
		"answer": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(target.HeaderTarget, "leaving") },
		"refusal": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(target.HeaderTarget, "leaving")
			w.Header().Set(verdict.Header, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"retry after": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "20")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			requests := 0
			f := newSenderFixture(t, []string{"hobart", "hobart"}, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				requests++
				decline(w, r)
			}, func(http.ResponseWriter, *http.Request) {})
			for range 40 {
				_ = f.get("/short")
			}
			is.Equal(requests, 1)
		})
	}
}

// Bytes to and from another region are billed to the member, and requests are
// not sent to another region once the link's budget is spent.
func TestLinkBytesAreBilledAndKeptWithinBudget(t *testing.T) {
	is := is.New(t)
	f := newSenderFixture(t, []string{"launceston"}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 5000))
	})
	is.NoErr(f.get("/short"))
	billed := f.opts.Links.Billed()
	is.Equal(len(billed), 2)
	is.Equal(billed[0].From, "hobart")
	is.True(billed[0].Bytes > 0)
	is.Equal(billed[1].From, "launceston")
	is.True(billed[1].Bytes > 5000)
	share := link.NewShare(0) // no bytes may be sent
	out := Direction{"hobart", "launceston"}
	f.opts.Links.SetShare(out, share)
	for f.opts.Links.takeOrWait(out, link.ChunkBytes) {
		continue
	}
	is.Equal(verdict.Of(f.get("/short")), verdict.NotRun)
}
