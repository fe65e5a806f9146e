package dispatch

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// newColocatedFixture returns a fixture whose only worker runs a service and
// best-effort tasks, and the runs of both.
func newColocatedFixture(t *testing.T) (f *fixture, service *Run, bestEffort []*Run) {
	t.Helper()
	f = newFixture(worker("a", 16000, 64000))
	s := job.Step{Tasks: 1, Service: true, Image: "desk", TargetLatencyMS: 50, MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 4000, MemoryMB: 1000}}
	b := job.Step{Tasks: 3, BestEffort: true, Image: "scan", EstimateMS: 60000, Resources: job.Resources{MilliCPU: 3000, MemoryMB: 1000}}
	f.interference.posteriors[imagePair{"desk", "scan"}] = posterior{0: 1}
	f.Add(spec("service", s), f.now, 0)
	out := f.plan(serviceBatchWindow)
	f.confirmStarts(out)
	service = out.Starts[0]
	f.Add(spec("crowd", b), f.now, 0)
	out = f.plan(0)
	f.confirmStarts(out)
	bestEffort = out.Starts
	if !service.Task.Step.Service || len(bestEffort) != 3 {
		t.Fatalf("started %d best-effort tasks", len(bestEffort))
	}
	return f, service, bestEffort
}

// tailListing returns a listing of the service with a tail latency in milliseconds,
// and of the best-effort runs with a progress in percent.
func (f *fixture) tailListing(service *Run, bestEffort []*Run, tailMS float64, percent int) port.Listing {
	l := port.Listing{ClockMS: f.now.UnixMilli(), Boot: 1}
	l.Running = []port.RunningTask{{Task: service.Task.ID.String(), Attempt: 1, Percent: 100, Measurement: tailMS}}
	for _, run := range bestEffort {
		l.Running = append(l.Running, port.RunningTask{Task: run.Task.ID.String(), Attempt: 1, Percent: percent, Measurement: 3000})
	}
	return l
}

// listTail passes the engine a tailListing that was requested and received now.
func (f *fixture) listTail(service *Run, bestEffort []*Run, tailMS float64, percent int) {
	f.reportListing("a", f.tailListing(service, bestEffort, tailMS, percent))
}

// allSuspended reports whether the suspension of all runs has been confirmed.
func allSuspended(bestEffort []*Run) bool {
	return !slices.ContainsFunc(bestEffort, func(r *Run) bool { return r.ConfirmedLimit > 0 })
}

// confirmThrottles answers throttle requests without an error.
func (f *fixture) confirmThrottles(out Output) {
	for _, th := range out.Throttles {
		f.HandleThrottleResponse(th.Run, th.Run.Worker.Observe(f.now), th.Percent, nil, f.now)
	}
}

func TestBestEffortTasksAreSuspendedBeforeMaxViolation(t *testing.T) {
	is := is.New(t)
	f, service, bestEffort := newColocatedFixture(t)
	began := f.now
	for i := 1; ; i++ {
		f.now = f.now.Add(200 * time.Millisecond)
		f.listTail(service, bestEffort, 500, i)
		f.confirmThrottles(f.TakeOutput())
		suspended := 0
		for _, run := range bestEffort {
			if run.ConfirmedLimit == 0 {
				suspended++
			}
		}
		if suspended == len(bestEffort) {
			break
		}
		is.True(f.now.Sub(began) < testOptions.MaxViolation)
	}
	is.True(f.now.Sub(began) <= time.Duration(suspendAllAfter*float64(testOptions.MaxViolation))+200*time.Millisecond)
	f.now = f.now.Add(200 * time.Millisecond)
	f.listTail(service, bestEffort, 20, 60)
	f.confirmThrottles(f.TakeOutput())
	for _, run := range bestEffort {
		is.Equal(run.ConfirmedLimit, 100) // resumed as soon as the service meets its target
	}
}

// A violation was counted from the reception of the first listing that showed it. That
// listing was up to a second late, because measurements lag and workers hold listings,
// and best-effort tasks beside the service worked on until after MaxViolation.
func TestBestEffortTasksAreSuspendedInTimeThoughMeasurementsAreLate(t *testing.T) {
	const (
		roundTrip = 65 * time.Millisecond
		// throttleDelay is how long the worker takes to apply a confirmed limit.
		throttleDelay = 100 * time.Millisecond
	)
	for name, c := range map[string]struct {
		// received is when the first listing is received after the violation began.
		received time.Duration
		wait     time.Duration // how long the worker holds the listings before the first above the target
		tailsMS  []float64     // the last is repeated
	}{
		"lagging measurement": {156 * time.Millisecond, 340 * time.Millisecond, []float64{46, 49, 58}},
		"held listing":        {1065 * time.Millisecond, time.Second, []float64{461, 517, 511}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, service, bestEffort := newColocatedFixture(t)
			began, sent := f.now, f.now.Add(c.received-c.wait-roundTrip)
			f.now = began.Add(c.received)
			for i := 0; ; i++ {
				tail := c.tailsMS[min(i, len(c.tailsMS)-1)]
				f.HandleListing(f.Observe("a", sent), f.tailListing(service, bestEffort, tail, i), f.now)
				f.confirmThrottles(f.TakeOutput())
				if allSuspended(bestEffort) {
					break
				}
				sent = f.now
				wait := c.wait
				if tail >= service.Task.Step.TargetLatencyMS {
					wait = 200 * time.Millisecond
				}
				f.now = sent.Add(wait + roundTrip)
			}
			is.True(f.now.Add(roundTrip+throttleDelay).Sub(began) < testOptions.MaxViolation)
		})
	}
}

func TestHarmlessBestEffortTasksAreNotThrottled(t *testing.T) {
	is := is.New(t)
	f, service, bestEffort := newColocatedFixture(t)
	for i := 1; i < 40; i++ {
		f.now = f.now.Add(400 * time.Millisecond)
		f.listTail(service, bestEffort, 20+float64(i%5), i)
		is.Equal(len(f.TakeOutput().Throttles), 0)
	}
}

// observeTails updates the model with the tails of a service on one worker.
func observeTails(i *interference, own serviceLoad, shares map[string]float64, tails ...float64) serviceLoad {
	for _, tail := range tails {
		own = i.observe("desk", tail, own, shares)
	}
	return own
}

// tailOf returns the tail at a load of a service with a baseline tail of 0.2.
func tailOf(load float64) float64 { return 0.2 / (1 - load) }

func TestInterferenceIsAttributedToItsImage(t *testing.T) {
	is := is.New(t)
	i := newInterference()
	var own serviceLoad
	for n := range 12 {
		load := 0.3 + 0.02*float64(n%5)
		own = observeTails(&i, own, nil, tailOf(load), tailOf(load))
		own = observeTails(&i, own, map[string]float64{"light": 0.3}, tailOf(load), tailOf(load))
		own = observeTails(&i, own, map[string]float64{"heavy": 0.1, "light": 0.3}, tailOf(load+0.4))
	}
	is.True(i.coefficientOf("desk", "heavy") > 3)
	is.True(i.coefficientOf("desk", "light") < 1)
}

// A service's own load changes slowly beside a small task, and the change is not
// attributed to the task.
func TestOwnLoadChangesAreNotAttributedToNeighbours(t *testing.T) {
	is := is.New(t)
	i := newInterference()
	own := observeTails(&i, serviceLoad{}, nil, tailOf(0), tailOf(0), tailOf(0), tailOf(0), tailOf(0.2))
	for n := range 100 {
		load := 0.4 - 0.2*math.Cos(float64(n)*0.4*2*math.Pi/20)
		own = observeTails(&i, own, map[string]float64{"scan": 0.05}, tailOf(load))
	}
	is.True(i.coefficientOf("desk", "scan") <= prior.mean())
	is.True(math.Abs(own.own-0.2) < 0.2)
}

// A backlog that drains after its cause has left is not attributed to the remaining
// neighbours.
func TestDrainingBacklogIsNotAttributedToNeighbours(t *testing.T) {
	is := is.New(t)
	i := newInterference()
	own := observeTails(&i, serviceLoad{}, nil, tailOf(0), tailOf(0), tailOf(0), tailOf(0.3), tailOf(0.3))
	own = observeTails(&i, own, map[string]float64{"light": 0.2}, tailOf(0.3), tailOf(0.3), tailOf(0.3))
	own = observeTails(&i, own, map[string]float64{"light": 0.2, "heavy": 0.3}, 8, 12)
	before := i.coefficientOf("desk", "light")
	observeTails(&i, own, map[string]float64{"light": 0.2}, 11, 9, 7, 5, 3)
	is.True(i.coefficientOf("desk", "light") <= before)
}

func TestSharesAreAveragedOverMeasurementWindow(t *testing.T) {
	is := is.New(t)
	var s shareAverages
	began := time.Unix(1000, 0)
	s.advance(map[string]float64{"scan": 1}, began)
	is.Equal(len(s.average), 0) // it has only just started
	s.advance(nil, began.Add(measurementWindow))
	is.True(s.average["scan"] > 0.6 && s.average["scan"] < 0.7)
	s.advance(nil, began.Add(10*measurementWindow))
	is.Equal(len(s.average), 0)
}

func TestUrgentTasksAcceptHigherPredictedTail(t *testing.T) {
	is := is.New(t)
	f, _, _ := newColocatedFixture(t)
	f.interference.posteriors[imagePair{"desk", "rush"}] = posterior{3: 1} // a coefficient of one
	f.interference.posteriors[imagePair{"desk", "scan"}] = posterior{0: 1}
	f.interference.baselineTail["desk"], f.interference.peakLoad["desk"] = 0.2, 0.65
	rush := job.Step{Tasks: 1, BestEffort: true, Image: "rush", EstimateMS: 4000, Resources: job.Resources{MilliCPU: 3000, MemoryMB: 1000}}
	f.Add(spec("rush", rush), f.now, 0)
	is.Equal(len(f.plan(time.Millisecond).Starts), 0) // there is time to wait for a better worker
	is.Equal(len(f.plan(4500*time.Millisecond).Starts), 1)
}

// A job that is already late is not placed beside services at their expense: the
// value that it can still yield does not depend on when it runs.
func TestLateTasksAreNotUrgent(t *testing.T) {
	is := is.New(t)
	f, _, _ := newColocatedFixture(t)
	f.interference.posteriors[imagePair{"desk", "rush"}] = posterior{3: 1}
	f.interference.posteriors[imagePair{"desk", "scan"}] = posterior{0: 1}
	f.interference.baselineTail["desk"], f.interference.peakLoad["desk"] = 0.2, 0.65
	rush := job.Step{Tasks: 1, BestEffort: true, Image: "rush", EstimateMS: 4000, Resources: job.Resources{MilliCPU: 3000, MemoryMB: 1000}}
	j := f.Add(spec("rush", rush), f.now, 0)
	for _, run := range f.plan(j.objective.Sub(f.now) + time.Millisecond).Starts {
		is.True(run.Task.Job != j)
	}
}

func TestOnTimeJobsArePlannedBeforeLateOnes(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 1000, 64000))
	first := f.Add(spec("first", small(1)), f.now, 0)
	f.now = first.objective.Add(time.Millisecond)
	f.Add(spec("second", small(1)), f.now, 0)
	out := f.plan(0)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Task.ID.Job, "second")
}

// An overload of many times the capacity is removed at once, although the tail does
// not show its size.
func TestReductionCoversWholeOverload(t *testing.T) {
	is := is.New(t)
	f, service, bestEffort := newColocatedFixture(t)
	f.interference.posteriors[imagePair{"desk", "scan"}] = posterior{6: 1}
	began := f.now
	for f.now.Sub(began) <= time.Duration(suspendAfter*float64(testOptions.MaxViolation))+settleTime {
		f.now = f.now.Add(200 * time.Millisecond)
		f.listTail(service, bestEffort, 500, 10+int(f.now.Sub(began)/(200*time.Millisecond)))
		f.confirmThrottles(f.TakeOutput())
	}
	for _, run := range bestEffort {
		is.Equal(run.ConfirmedLimit, 0)
	}
}

// Services of several images arrive in mixed order: each worker gets one image, so
// that best-effort tasks which slow down only one image can be placed.
func TestServicesOfOneImageShareWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000), worker("c", 16000, 64000))
	for n := range 4 {
		for _, image := range []string{"red", "green", "blue"} {
			s := job.Step{Tasks: 1, Service: true, Image: image, TargetLatencyMS: 50, MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 4000, MemoryMB: 1000}}
			f.Add(spec(fmt.Sprintf("%d-%s", n, image), s), f.now, 0)
		}
	}
	f.confirmStarts(f.plan(serviceBatchWindow))
	for _, w := range f.Workers() {
		is.Equal(len(w.runs), 4)
		is.Equal(len(f.colocationOf(w).services), 1)
	}
}

// A service that must run beside best-effort tasks is placed where there are fewer,
// because each task that it displaces must be placed elsewhere.
func TestServicesPreferWorkersWithFewerBestEffortTasks(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 16000, 64000), worker("b", 16000, 64000))
	for n, w := range []string{"a", "a", "a", "a", "a", "a", "a", "a", "b", "b", "b", "b"} {
		id := fmt.Sprintf("crowd%d", n)
		f.Add(spec(id, job.Step{Tasks: 1, BestEffort: true, Image: "scan", Resources: job.Resources{MilliCPU: 8000, MemoryMB: 1000}}), f.now, 0)
		f.start(f.Job(id).occurrences[0].tasks[0][0], f.Worker(w), 1, f.now)
	}
	f.confirmStarts(f.TakeOutput())
	f.Add(spec("service", job.Step{Tasks: 1, Service: true, Image: "desk", TargetLatencyMS: 50, MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 4000, MemoryMB: 1000}}), f.now, 0)
	out := f.plan(serviceBatchWindow)
	is.Equal(out.Starts[0].Worker.Entry.ID, "b")
}

// The backlog that best-effort tasks leave behind is not the service's own load.
func TestBacklogDoesNotRaisePeakLoad(t *testing.T) {
	is := is.New(t)
	i := newInterference()
	own := observeTails(&i, serviceLoad{}, nil, tailOf(0), tailOf(0), tailOf(0.4), tailOf(0.5))
	before := i.peakLoadOf("desk")
	own = observeTails(&i, own, map[string]float64{"scan": 1}, 8, 9)
	observeTails(&i, own, nil, 9, 7, 5, 3)
	is.True(i.peakLoadOf("desk") <= before)
	observeTails(&i, serviceLoad{}, nil, 9) // observed first by a new owner
	is.True(i.peakLoadOf("desk") <= before)
}
