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

// bench is a sender over real targets whose timers a test runs.
type bench struct {
	*Sender
	usages []*route.Usage
	timers chan func()
}

func newBench(t *testing.T, regions []string, handlers ...http.HandlerFunc) *bench {
	b := &bench{timers: make(chan func(), 100)}
	clock := target.SystemClock()
	publisher := NewPublisher()
	var targets []route.Target
	for i, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		b.usages = append(b.usages, &route.Usage{})
		targets = append(targets, route.Target{
			Address: strings.TrimPrefix(server.URL, "http://"), Region: regions[i], Slots: 8, Connections: 64,
			State: charts.TargetLive, Usage: b.usages[i],
		})
	}
	publisher.Publish(&Snapshot{Ready: true, Daemons: 1, Services: map[string]*Service{
		"stock": {Picker: route.NewPicker(route.Options{Region: "hobart", Daemons: 1, Targets: targets})},
	}})
	b.Sender = NewSender(SenderOptions{
		Publisher: publisher, Targets: target.NewClient(clock), RunTimes: NewRunTimes(), Region: "hobart",
		Links: NewLinks("hobart", time.Now, time.Sleep), Now: time.Now,
		AfterFunc: func(_ time.Duration, fn func()) func() bool {
			b.timers <- fn
			return func() bool { return true }
		},
	})
	t.Cleanup(func() { b.opts.Targets.Sweep(nil) })
	return b
}

func (b *bench) get(path string) error {
	a, err := b.Send(context.Background(), Call{Service: "stock", Member: "m", Method: http.MethodGet, Path: path, Repeatable: true})
	if err != nil {
		return err
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// teach makes /long a hundred times longer than /short.
func (b *bench) teach() {
	for range 20 {
		b.opts.RunTimes.observe(learn.Key{Service: "stock", Member: "m", Route: "GET /short"}, 10*time.Millisecond)
	}
	for range 4 {
		b.opts.RunTimes.observe(learn.Key{Service: "stock", Member: "m", Route: "GET /long"}, time.Second)
	}
}

func TestLongWorkWaitsOnlyBehindLongWork(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 20), make(chan struct{})
	open := sync.OnceFunc(func() { close(release) })
	defer open()
	b := newBench(t, []string{"hobart"}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			arrived <- struct{}{}
			<-release
		}
	})
	b.teach()
	var wg sync.WaitGroup
	for range 9 {
		wg.Go(func() { is.NoErr(b.get("/long")) })
	}
	for range route.LongSlots(8) {
		<-arrived
	}
	is.NoErr(b.get("/short")) // short work finds a slot while long work waits
	is.Equal(b.usages[0].InFlightLong(), route.LongSlots(8))
	is.Equal(len(arrived), 0)
	open()
	wg.Wait()
	is.Equal(b.usages[0].InFlight(), 0)
}

func TestRequestThatOutlastsItsClassCountsAsLong(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	open := sync.OnceFunc(func() { close(release) })
	defer open()
	b := newBench(t, []string{"hobart"}, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	b.teach()
	done := make(chan error)
	go func() { done <- b.get("/unknown") }()
	<-arrived
	is.Equal(b.usages[0].InFlightLong(), 0)
	(<-b.timers)() // the threshold has passed
	is.Equal(b.usages[0].InFlightLong(), 1)
	open()
	is.NoErr(<-done)
	is.Equal(b.usages[0].InFlightLong(), 0)
	is.Equal(b.usages[0].InFlight(), 0)
}

// A target that says it leaves, in an answer or a refusal, gets nothing more.
func TestTargetsOwnWordIsTheLastItGets(t *testing.T) {
	for name, word := range map[string]http.HandlerFunc{
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
			first := 0
			b := newBench(t, []string{"hobart", "hobart"}, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				first++
				word(w, r)
			}, func(http.ResponseWriter, *http.Request) {})
			for range 40 {
				_ = b.get("/short")
			}
			is.Equal(first, 1)
		})
	}
}

// Bytes to another region are billed to the member, and a spent budget keeps
// requests away from the link.
func TestLinkIsBilledAndItsBudgetKept(t *testing.T) {
	is := is.New(t)
	b := newBench(t, []string{"launceston"}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 5000))
	})
	is.NoErr(b.get("/short"))
	bill := b.opts.Links.Billed()
	is.Equal(len(bill), 2)
	is.Equal(bill[0].From, "hobart")
	is.True(bill[0].Bytes > 0)
	is.Equal(bill[1].From, "launceston")
	is.True(bill[1].Bytes > 5000)
	share := link.NewShare(0) // nothing may cross
	out := Direction{"hobart", "launceston"}
	b.opts.Links.SetShare(out, share)
	for b.opts.Links.wait(out, link.ChunkBytes) {
		continue
	}
	is.Equal(verdict.Of(b.get("/short")), verdict.NotRun)
}
