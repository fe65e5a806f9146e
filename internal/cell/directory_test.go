package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/job"
)

// Guards against LIMIT: an owner whose commits succeed, and whose reads of the directory
// time out, started tasks on workers that had shrunk meanwhile.
func TestNoStartsOnCapacitiesThatWereReadLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newLimitedCluster(t, 500, 6, halfSecond, nil)
		defer cl.stopAll()
		m := cl.awaitCells()
		time.Sleep(5 * time.Second)
		for _, name := range cl.names() {
			cl.daemons[name].scanDelay.Store(int64(2 * storeTimeout))
		}
		cl.setAllCapacities(job.Resources{MilliCPU: 1000, MemoryMB: 64000})
		time.Sleep(6 * time.Second)
		for n := range m.Cells {
			spec := cl.spec(30)
			is.NoErr(cl.ownerOf(n).group.cell(n).Submit(t.Context(), spec))
		}
		time.Sleep(3 * time.Second)
		cl.check()
		for _, name := range cl.names() {
			cl.daemons[name].scanDelay.Store(0)
		}
		time.Sleep(4 * time.Second)
		cl.check()
		is.True(cl.fleet.Running() > 0)
	})
}
