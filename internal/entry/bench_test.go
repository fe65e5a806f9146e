package entry_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	benchRate     = 2000 // requests a second
	benchRequests = 4000 // in each round
	benchCallers  = 256  // connections
)

// BenchmarkAddedLatency sends requests at a fixed rate, alternating between
// directly to a runner and through a daemon. It reports the median and the 99th
// percentile of both and their differences in microseconds.
func BenchmarkAddedLatency(b *testing.B) {
	c := newCluster(b, nil)
	transport := &http.Transport{MaxIdleConns: benchCallers, MaxIdleConnsPerHost: benchCallers}
	client := &http.Client{Transport: transport}
	var direct, through []time.Duration
	for b.Loop() {
		direct = append(direct, sendAtRate(b, client, c.target.URL+"/gloves")...)
		through = append(through, sendAtRate(b, client, c.daemons[0].http.URL+"/v1/services/stock-check/gloves")...)
	}
	slices.Sort(direct)
	slices.Sort(through)
	for _, p := range []struct {
		name     string
		perMille int
	}{{"p50", 500}, {"p99", 990}} {
		d, t := direct[len(direct)*p.perMille/1000], through[len(through)*p.perMille/1000]
		b.ReportMetric(float64(d.Microseconds()), "direct-"+p.name+"-µs")
		b.ReportMetric(float64(t.Microseconds()), "through-"+p.name+"-µs")
		b.ReportMetric(float64((t - d).Microseconds()), "added-"+p.name+"-µs")
	}
}

// sendAtRate sends benchRequests requests at benchRate and returns their
// latencies. A latency is measured from the time at which the request was due,
// so that it includes waiting for a free connection.
func sendAtRate(b *testing.B, client *http.Client, url string) []time.Duration {
	latencies := make([]time.Duration, benchRequests)
	ticks := make(chan int, benchRequests)
	start := time.Now()
	dueTime := func(i int) time.Time { return start.Add(time.Duration(i) * time.Second / benchRate) }
	var wg sync.WaitGroup
	for range benchCallers {
		wg.Go(func() {
			for i := range ticks {
				get(b, client, url)
				latencies[i] = time.Since(dueTime(i))
			}
		})
	}
	for i := range benchRequests {
		time.Sleep(time.Until(dueTime(i)))
		ticks <- i
	}
	close(ticks)
	wg.Wait()
	return latencies
}

func get(b *testing.B, client *http.Client, url string) {
	req, err := http.NewRequest(http.MethodGet, url, strings.NewReader(""))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("Bambooyard-Member", "conservators")
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Error(resp.Status, err)
	}
}
