package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against LOST: a service for which others can make way waits for its turn in the search
// behind many that fit nowhere, each of which takes 100 ms in each round.
func TestServicesThatFitNowhereTakeFewTurnsInTheSearchForMoves(t *testing.T) {
	for _, size := range []int64{9000, 30000} { // more than is left of a worker, and more than each worker has
		t.Run(fmt.Sprintf("size=%d", size), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(worker("a", 8000, 64000), worker("b", 4000, 64000), worker("c", 10000, 64000), worker("lost", 8000, 64000), worker("many", 60*60000, 640000))
			piece := serviceStep(1, 3000)
			piece.MaxUnavailable = -1
			f.place("piece", piece, "a")
			fixed := serviceStep(1, 9500)
			fixed.MaxUnavailable = 0
			f.place("fixed", fixed, "c")
			f.place("large", serviceStep(1, 8000), "lost")
			for i := range 60 {
				f.place(fmt.Sprintf("hopeless-%02d", i), serviceStep(1, size+int64(i)), "many")
			}
			f.lose()
			f.lose()
			large := f.Job("large").occurrences[0].tasks[0][0]
			since := f.now
			for len(large.Runs) == 0 && f.now.Sub(since) < 20*time.Second {
				f.listAllRunning()
				for _, w := range f.Workers() {
					w.ExtendLease(f.now, testOptions.MaxLease)
				}
				out := f.plan(50 * time.Millisecond)
				f.confirmStarts(out)
				f.endStops(out)
			}
			is.True(f.now.Sub(since) < mostAway/2)
		})
	}
}
