package crowd

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	firstSeed = flag.Int("first-seed", 1, "first seed of the mixed crowds")
	seeds     = flag.Int("seeds", 3, "number of seeds of the mixed crowds")
)

// stopTimeout is far above the time in which a daemon of these tests must stop by itself.
const stopTimeout = 60 * time.Second

// Crowds of random kinds and sizes come and go at all doors at the same time. At the end the daemon is told
// to stop while some of them are connected, and must end by itself.
func TestMixedCrowds(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { mixedCrowds(t, uint64(seed)) })
	}
}

// Sizes of the crowds: most are of any size up to smallCrowd, some have largeCrowd clients.
const (
	smallCrowd = 65
	largeCrowd = 200
)

func mixedCrowds(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	n := startNode(t, small, siteLimits())
	var crowds sync.WaitGroup
	last := make(chan struct{})
	const waves, crowdsPerWave = 3, 6
	for wave := range waves {
		for range crowdsPerWave {
			c := randomCrowd(random)
			hold := time.Duration(random.IntN(3000)) * time.Millisecond
			crowds.Go(func() {
				runCrowd(t, c.door(n), c.size, c.send, func() {
					if wave == waves-1 {
						<-last
					} else {
						time.Sleep(hold)
					}
				})
			})
		}
		n.ordinary(t)
	}
	n.ordinary(t)
	n.check()
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-n.exited:
	case <-time.After(stopTimeout):
		t.Errorf("the daemon does not stop while clients are connected")
	}
	close(last)
	crowds.Wait()
}

// randomCrowd returns a crowd of one of the kinds of the other tests, of a random size.
func randomCrowd(random *rand.Rand) nodeCrowd {
	full, file := padded(maxBodyBytes), paddedFile(maxFileBytes)
	kinds := []nodeCrowd{
		{door: callersDoor, send: announced(submission, full, 1+random.IntN(pieces), time.Duration(random.IntN(300))*time.Millisecond)},
		{door: callersDoor, send: chunked(submission, full, 1<<random.IntN(17))},
		{door: callersDoor, send: overLimit(submission, random.IntN(2) == 0)},
		{door: callersDoor, send: whole(submission, always(full))},
		{door: callersDoor, send: whole(submission, always(manySteps(maxBodyBytes)))},
		{door: callersDoor, send: manyFields(submission, 1+random.IntN(maxHeaderBytes))},
		{door: callersDoor, send: pipelinedFields(header(http.MethodGet, sitePrefix, siteHost), 4<<10)},
		{door: callersDoor, send: pipelined(header(http.MethodGet, sitePrefix, siteHost))},
		{door: callersDoor, send: silent},
		{door: jobsDoor, send: announced(fileSubmission, file, 1, 0)},
		{door: jobsDoor, send: whole(fileSubmission, always(repeated("steps: [{}", ",{}", "]", maxFileBytes)))},
		{door: readyDoor, send: largeHeader(get("/v1/readyz"), 1+random.IntN(maxHeaderBytes))},
		{door: metricsDoor, send: pipelined(header(http.MethodGet, "/metrics", "metrics"))},
		{door: peersDoor, send: messages(1+random.IntN(32), 4<<20, make([]byte, random.IntN(4<<20)))},
		{door: peersDoor, send: silent},
	}
	c := kinds[random.IntN(len(kinds))]
	c.size = 1 + random.IntN(smallCrowd)
	if random.IntN(4) == 0 {
		c.size = largeCrowd
	}
	return c
}
