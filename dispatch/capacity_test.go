package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
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

// Guards against LIMIT: while reads of the list fail, a worker that does not guard its
// capacity may have shrunk long ago. A start must not be executed, however late the request
// arrives, when that can be the case.
func TestStartsExpireWithTheCapacitiesThatTheyRelyOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 8000))
	f.options.CapacityTTL = 4 * time.Second
	f.SetWorkersReadAt(f.now)
	f.Add(spec("first", small(1)), f.now, 0)
	out := f.plan(time.Second)
	is.Equal(len(out.Starts), 1)
	w := out.Starts[0].Worker
	is.Equal(out.Starts[0].NotAfterMS(), w.ClockMS(f.now)+testOptions.StartWindow.Milliseconds())

	f.Add(spec("second", small(1)), f.now, 0)
	out = f.plan(2 * time.Second)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].NotAfterMS(), w.ClockMS(f.now)+980) // a second on the slowest clock

	f.Add(spec("third", small(1)), f.now, 0)
	is.Equal(len(f.plan(time.Second).Starts), 0)
	f.SetWorkersReadAt(f.now)
	is.Equal(len(f.plan(0).Starts), 1)

	f.SetQueues([]job.Queue{{Name: "q", Pool: "pool", GuardsCapacity: true}}, 1)
	f.Add(spec("guarded", small(1)), f.now, 0)
	is.Equal(len(f.plan(10*time.Second).Starts), 1)
}

// Guards against LIMIT: a worker that has shrunk below what runs there has no room, also for
// best-effort tasks and for tasks that request none of what it lacks, until an end is listed;
// a gang counts all its members.
func TestShrunkWorkerHasNoRoomUntilEndsAreListed(t *testing.T) {
	is := is.New(t)
	a := worker("a", 4000, 1000)
	f := newFixture(a)
	f.Add(spec("j", small(4)), f.now, 0)
	out := f.plan(0)
	is.Equal(len(out.Starts), 4)
	f.confirmStarts(out)
	a.Capacity = job.Resources{MilliCPU: 4000, MemoryMB: 300}
	f.SetWorkers([]port.WorkerEntry{a}, f.now)
	gang := small(2)
	gang.Gang = true
	f.Add(spec("gang", gang), f.now, 0)
	f.Add(spec("fill", job.Step{Tasks: 1, BestEffort: true, Image: "scan", Resources: job.Resources{MilliCPU: 100, MemoryMB: 100}}), f.now, 0)
	f.Add(spec("light", job.Step{Tasks: 1, EstimateMS: 500, Resources: job.Resources{MilliCPU: 100}}), f.now, 0)
	f.stop(out.Starts[0], StopStalled)
	f.HandleStopResponse(out.Starts[0], out.Starts[0].Worker.Observe(f.now), nil, f.now)
	is.Equal(len(f.plan(0).Starts), 0)
	f.Cancel("j") // its runs still count
	is.Equal(len(f.plan(0).Starts), 0)
	f.listEnd(out.Starts[0], 1, port.EndStopped)
	is.Equal(len(f.plan(0).Starts), 1) // 300 MB are in use: only the light task fits
	f.listEnd(out.Starts[1], 2, port.EndStopped)
	is.Equal(len(f.plan(0).Starts), 1) // the best-effort task; both members of the gang need room
	f.listEnd(out.Starts[2], 3, port.EndStopped)
	f.listEnd(out.Starts[3], 4, port.EndStopped)
	is.Equal(len(f.plan(0).Starts), 2)
}
