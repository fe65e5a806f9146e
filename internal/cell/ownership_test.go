package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against SHORT: a steady stream of submissions keeps the owner from ever dating the
// depths, because the newest row of the store is a job at each read.
func TestDepthsAreGivenWhileJobsArriveSteadily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 152, 1, 2, halfSecond, nil)
		defer cl.stopAll()
		owner := cl.awaitOwner()
		time.Sleep(2 * time.Second)
		refused, given := 0, 0
		for n := range 1000 { // 100 submissions a second
			cl.submit(owner, cl.oversized())
			time.Sleep(6 * time.Millisecond)
			if n%20 == 0 {
				if _, err := cl.daemons[owner].cell.Pending("batch"); err != nil {
					refused++
				} else {
					given++
				}
			}
		}
		t.Logf("depths refused %d, given %d", refused, given)
		is.Equal(refused, 0)
	})
}
