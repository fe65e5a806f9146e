package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// setEvacuating lists the workers of the fixture, with the given ones under evacuation.
func (f *fixture) setEvacuating(ids ...string) {
	f.entries = slices.Clone(f.entries)
	for i := range f.entries {
		f.entries[i].Evacuating = slices.Contains(ids, f.entries[i].ID)
	}
	f.SetWorkers(f.entries, f.now)
}

// Guards against EVAC: new tasks, and gangs of which one member has no other worker, start
// under an evacuation; and against tasks that stay without a run after its withdrawal.
func TestNoTaskStartsUnderAnEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 1000, 64000))
	f.setEvacuating("a")
	gang := small(2)
	gang.Gang = true
	f.Add(spec("gang", gang), f.now, 0)
	is.Equal(len(f.plan(0).Starts), 0)
	f.Add(spec("service", serviceStep(1, 4000)), f.now, 0)
	f.Add(spec("fill", job.Step{Tasks: 1, BestEffort: true, Image: "scan", Resources: job.Resources{MilliCPU: 100, MemoryMB: 100}}), f.now, 0)
	f.Add(spec("batch", batchStep(3, 1000, false)), f.now, 0)
	out := f.plan(time.Second)
	is.Equal(len(out.Starts), 2) // a batch task and the best-effort task
	for _, r := range out.Starts {
		is.Equal(r.Worker.Entry.ID, "b")
	}
	f.confirmStarts(out)
	f.setEvacuating("a", "b") // a second one overlaps
	is.Equal(len(f.plan(0).Starts), 0)
	f.setEvacuating("b")
	out = f.plan(0)
	is.Equal(len(out.Starts), 5)
	for _, r := range out.Starts {
		is.Equal(r.Worker.Entry.ID, "a")
	}
}

// Guards against EVAC: a worker that is new in the list, and one that has restarted, are in
// the data centre as the others are.
func TestNewAndRestartedWorkersAreEvacuated(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	f.setEvacuating("a")
	f.entries[0].Boot = 2
	f.SetWorkers(f.entries, f.now)
	f.reportListing("a", port.Listing{Boot: 2, ClockMS: 5})
	added := worker("new", 8000, 64000)
	added.Evacuating = true
	f.entries = append(f.entries, added)
	f.SetWorkers(f.entries, f.now)
	f.reportListing("new", port.Listing{})
	f.Add(spec("j", small(2)), f.now, 0)
	is.Equal(len(f.plan(time.Second).Starts), 0)
}

// Guards against EVAC: a run that leaves a slow or stalled worker, or one with a service
// that it disturbs, continued under an evacuation.
func TestRunsDoNotMoveIntoAnEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 4000, 64000), worker("b", 8000, 64000))
	run := f.place("batch", batchStep(1, 4000, true), "a")[0]
	f.Worker("a").bar(f.now.Add(time.Minute))
	is.True(f.hasFasterWorker(run, f.now))
	f.setEvacuating("b")
	is.True(!f.hasFasterWorker(run, f.now))
	is.True(!f.hasSafeWorker(run, f.now))
	f.stop(run, StopStalled)
	f.HandleStopResponse(run, run.Worker.Observe(f.now), nil, f.now)
	f.listEnd(run, 1, port.EndStopped)
	is.Equal(len(f.plan(time.Second).Starts), 0)
	f.setEvacuating()
	is.Equal(len(f.plan(time.Second).Starts), 1)
}

// Guards against EVAC: an interrupted service task is started in a backoff of a worker under
// evacuation because it has no other, or gets other tasks stopped there to make room.
func TestInterruptedServiceIsNotPlacedUnderAnEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("full", 8000, 64000), worker("lost", 8000, 64000))
	f.place("batch", batchStep(2, 4000, true), "full", "full")
	f.place("service", serviceStep(1, 4000), "lost")
	f.failOn("a")
	f.setEvacuating("a", "full")
	f.lose()
	for range 40 { // until it has waited for long enough for the last resorts
		f.listWorking(f.Worker("full"), nil, "")
		f.listWorking(f.Worker("a"), nil, "")
		out := f.plan(50 * time.Millisecond)
		is.Equal(len(out.Starts), 0)
		is.Equal(len(out.Stops), 0)
	}
	is.Equal(len(f.reservations), 0)
}

// Guards against EVAC: capacity that was reserved before the evacuation was used after it.
func TestReservationEndsWithAnEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 8000, 64000), worker("lost", 8000, 64000))
	f.place("left", batchStep(2, 4000, true), "a", "a")
	f.place("right", batchStep(2, 4000, true), "b", "b")
	task := f.place("service", serviceStep(1, 4000), "lost")[0].Task
	f.lose()
	f.plan(0)
	is.True(task.reserved != nil)
	reserved := task.reserved.worker.Entry.ID
	f.setEvacuating(reserved)
	f.plan(10 * time.Millisecond)
	is.True(task.reserved != nil)
	is.True(task.reserved.worker.Entry.ID != reserved)
	is.Equal(f.Worker(reserved).reservedUse, job.Resources{})
}

// Guards against EVAC: services were consolidated on a worker under evacuation; and against
// moves off one that the evacuation decides on.
func TestServicesAreNotConsolidatedUnderAnEvacuation(t *testing.T) {
	for _, evacuating := range []string{"", "a", "b"} {
		is := is.New(t)
		f := newScatteredFixture(t, -1)
		f.place("blue", serviceStep(1, 1000), "b") // services move to b
		f.setEvacuating(evacuating)
		consolidated := 0
		f.now = f.now.Add(minServiceStay)
		f.listAllRunning()
		f.consolidate(f.now)
		for _, r := range f.TakeOutput().Stops {
			is.Equal(r.StopReason(), StopConsolidate)
			consolidated++
		}
		is.Equal(consolidated > 0, evacuating == "")
	}
}

// Guards against LOST: workers under evacuation, which have the most free capacity, were the
// only ones considered for a service that makes way for an interrupted one.
func TestRelocationConsidersWorkersThatAcceptWork(t *testing.T) {
	is := is.New(t)
	entries := []port.WorkerEntry{worker("a", 10000, 64000), worker("b", 10000, 64000)}
	var leaving []string
	for i := range maxRelocateTargets {
		id := "e" + string(rune('a'+i))
		leaving = append(leaving, id)
		entries = append(entries, worker(id, 16000, 64000))
	}
	f := newFixture(append(entries, worker("lost", 10000, 64000))...)
	f.place("small", serviceStep(2, 4000), "a", "b")
	f.place("other", serviceStep(2, 2000), "a", "b")
	task := f.place("large", serviceStep(1, 8000), "lost")[0].Task
	f.setEvacuating(leaving...)
	f.lose()
	out := f.plan(relocateInterval)
	is.Equal(len(out.Stops), 1)
	is.True(task.reserved != nil)
}

// Guards against EVAC: a request that arrives late began a run although the evacuation may
// have been stored since the list was read. It holds for workers that guard their capacity
// as well.
func TestStartsExpireWithTheEvacuationsThatTheyRelyOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000))
	f.SetQueues([]job.Queue{{Name: "q", Pool: "pool", GuardsCapacity: true}}, 1)
	f.options.MaxEvacuation = 5 * time.Second
	f.SetWorkersReadAt(f.now)
	f.Add(spec("first", small(1)), f.now, 0)
	out := f.plan(time.Second)
	is.Equal(len(out.Starts), 1)
	w := out.Starts[0].Worker
	is.Equal(out.Starts[0].NotAfterMS(), w.ClockMS(f.now)+testOptions.StartWindow.Milliseconds())

	f.Add(spec("second", small(1)), f.now, 0)
	out = f.plan(2500 * time.Millisecond)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].NotAfterMS(), w.ClockMS(f.now)+980) // 4.5 s after the read, on the slowest clock

	f.Add(spec("third", small(1)), f.now, 0)
	is.Equal(len(f.plan(400*time.Millisecond).Starts), 0)
	f.SetWorkersReadAt(f.now)
	is.Equal(len(f.plan(0).Starts), 1)
}

// Guards against jobs that go to a cell which cannot run them.
func TestLoadExcludesWorkersUnderEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000), worker("b", 4000, 64000))
	f.setEvacuating("a")
	capacity, _, _ := f.Load()
	is.Equal(capacity, int64(4000))
	f.setEvacuating("a", "b")
	capacity, _, _ = f.Load()
	is.Equal(capacity, int64(0))
}

// Guards against work that is stopped or given up because its data centre is evacuated.
func TestRunsUnderAnEvacuationGoOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	run := f.place("batch", batchStep(1, 4000, true), "a")[0]
	f.setEvacuating("a")
	for range 20 {
		f.listWorking(run.Worker, nil, "")
		is.True(run.Worker.ExtendLease(f.now, testOptions.MaxLease) > 0)
		out := f.plan(time.Second)
		is.Equal(len(out.Stops)+len(out.Lost), 0)
	}
	f.listEnd(run, 1, port.EndDone)
	is.Equal(len(f.plan(0).Finished), 1)
}
