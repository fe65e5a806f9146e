package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
)

// Guards against LIMIT: a worker that restarted with a smaller capacity got work for that of
// its former boot, if its listing came before its entry in the list.
func TestRestartedWorkerGetsNoWorkBeforeItsCapacityIsKnown(t *testing.T) {
	is := is.New(t)
	a := worker("a", 8000, 8000)
	f := newFixture(a)
	f.Add(spec("j", small(4)), f.now, 0)
	f.reportListing("a", port.Listing{Boot: 2, ClockMS: 5})
	is.Equal(len(f.plan(0).Starts), 0)
	f.SetWorkers([]port.WorkerEntry{a}, f.now) // the list was read before the restart
	is.Equal(len(f.plan(0).Starts), 0)
	a.Boot, a.Capacity.MilliCPU = 2, 2000
	f.SetWorkers([]port.WorkerEntry{a}, f.now)
	is.Equal(len(f.plan(0).Starts), 2)
}
