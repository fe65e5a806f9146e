package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// crowdBeside returns a rig whose only worker runs a service and best-effort
// tasks, and the runs of both.
func crowdBeside(t *testing.T) (r *rig, service *Run, crowd []*Run) {
	t.Helper()
	r = newRig(worker("a", 16000, 64000))
	s := job.Step{Tasks: 1, Service: true, Image: "desk", TargetLatencyMS: 50, MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 4000, MemoryMB: 1000}}
	b := job.Step{Tasks: 3, BestEffort: true, Image: "scan", EstimateMS: 60000, Resources: job.Resources{MilliCPU: 3000, MemoryMB: 1000}}
	r.interference.pressure[imagePair{"desk", "scan"}] = belief{0: 1}
	r.Add(spec("service", s), r.now, 0)
	out := r.plan(serviceGather)
	r.begin(out)
	service = out.Starts[0]
	r.Add(spec("crowd", b), r.now, 0)
	out = r.plan(0)
	r.begin(out)
	crowd = out.Starts
	if !service.Task.Step.Service || len(crowd) != 3 {
		t.Fatalf("started %d tasks of the crowd", len(crowd))
	}
	return r, service, crowd
}

// figures lists the service with a tail latency, and the crowd at work.
func (r *rig) figures(service *Run, crowd []*Run, tailMS float64, percent int) {
	l := port.Listing{Running: []port.RunningTask{{Task: service.Task.ID.String(), Attempt: 1, Percent: 100, Measurement: tailMS}}}
	for _, run := range crowd {
		l.Running = append(l.Running, port.RunningTask{Task: run.Task.ID.String(), Attempt: 1, Percent: percent, Measurement: 3000})
	}
	r.listed("a", l)
}

// confirm answers throttle orders.
func (r *rig) confirm(out Output) {
	for _, th := range out.Throttles {
		r.HandleThrottleResponse(th.Run, th.Percent, nil, r.now)
	}
}

func TestCrowdStandsStillBeforeAServicesTimeRunsOut(t *testing.T) {
	is := is.New(t)
	r, service, crowd := crowdBeside(t)
	began := r.now
	for i := 1; ; i++ {
		r.now = r.now.Add(200 * time.Millisecond)
		r.figures(service, crowd, 500, i)
		r.confirm(r.TakeOutput())
		held := 0
		for _, run := range crowd {
			if run.ConfirmedLimit == 0 {
				held++
			}
		}
		if held == len(crowd) {
			break
		}
		is.True(r.now.Sub(began) < testOptions.MaxViolation)
	}
	is.True(r.now.Sub(began) <= time.Duration(holdAllAfter*float64(testOptions.MaxViolation))+200*time.Millisecond)
	r.now = r.now.Add(200 * time.Millisecond)
	r.figures(service, crowd, 20, 60)
	r.confirm(r.TakeOutput())
	for _, run := range crowd {
		is.Equal(run.ConfirmedLimit, 100) // given back as soon as the service is well
	}
}

func TestHarmlessCrowdIsLeftAlone(t *testing.T) {
	is := is.New(t)
	r, service, crowd := crowdBeside(t)
	for i := 1; i < 40; i++ {
		r.now = r.now.Add(400 * time.Millisecond)
		r.figures(service, crowd, 20+float64(i%5), i)
		is.Equal(len(r.TakeOutput().Throttles), 0)
	}
}

// listings feeds the tails of a service on one worker to what is learned.
func listings(i *interference, own ownLoad, shares map[string]float64, tails ...float64) ownLoad {
	for _, tail := range tails {
		own = i.observe("desk", tail, own, shares)
	}
	return own
}

// tailOf returns the tail of a service without load at 0.2, at a load.
func tailOf(load float64) float64 { return 0.2 / (1 - load) }

func TestInterferenceLearnsWhichImageDisturbs(t *testing.T) {
	is := is.New(t)
	i := newInterference()
	var own ownLoad
	for n := range 12 {
		load := 0.3 + 0.02*float64(n%5)
		own = listings(&i, own, nil, tailOf(load), tailOf(load))
		own = listings(&i, own, map[string]float64{"light": 0.3}, tailOf(load), tailOf(load))
		own = listings(&i, own, map[string]float64{"heavy": 0.1, "light": 0.3}, tailOf(load+0.4))
	}
	is.True(i.pressureOf("desk", "heavy") > 3)
	is.True(i.pressureOf("desk", "light") < 1)
}

// A service's own load swings slowly beside a small task, which is not blamed.
func TestOwnSwingsTeachNothing(t *testing.T) {
	is := is.New(t)
	i := newInterference()
	own := listings(&i, ownLoad{}, nil, tailOf(0), tailOf(0), tailOf(0), tailOf(0), tailOf(0.2))
	for n := range 100 {
		load := 0.4 - 0.2*math.Cos(float64(n)*0.4*2*math.Pi/20)
		own = listings(&i, own, map[string]float64{"scan": 0.05}, tailOf(load))
	}
	is.True(i.pressureOf("desk", "scan") <= unknown.mean())
	is.True(math.Abs(own.own-0.2) < 0.2)
}

// A backlog that drains after its cause has left is not put down to those that
// are still there.
func TestDrainingBlamesNobody(t *testing.T) {
	is := is.New(t)
	i := newInterference()
	own := listings(&i, ownLoad{}, nil, tailOf(0), tailOf(0), tailOf(0), tailOf(0.3), tailOf(0.3))
	own = listings(&i, own, map[string]float64{"light": 0.2}, tailOf(0.3), tailOf(0.3), tailOf(0.3))
	own = listings(&i, own, map[string]float64{"light": 0.2, "heavy": 0.3}, 8, 12)
	before := i.pressureOf("desk", "light")
	listings(&i, own, map[string]float64{"light": 0.2}, 11, 9, 7, 5, 3)
	is.True(i.pressureOf("desk", "light") <= before)
}

func TestSharesAreAveragedOverAFiguresSpan(t *testing.T) {
	is := is.New(t)
	var s recentShares
	began := time.Unix(1000, 0)
	s.advance(map[string]float64{"scan": 1}, began)
	is.Equal(len(s.average), 0) // it has only just come
	s.advance(nil, began.Add(figureSpan))
	is.True(s.average["scan"] > 0.6 && s.average["scan"] < 0.7)
	s.advance(nil, began.Add(10*figureSpan))
	is.Equal(len(s.average), 0)
}

func TestHurriedTasksDoNotWaitForAGoodPlace(t *testing.T) {
	is := is.New(t)
	r, _, _ := crowdBeside(t)
	r.interference.pressure[imagePair{"desk", "rush"}] = belief{3: 1} // a pressure of one
	r.interference.pressure[imagePair{"desk", "scan"}] = belief{0: 1}
	r.interference.floor["desk"], r.interference.crest["desk"] = 0.2, 0.65
	rush := job.Step{Tasks: 1, BestEffort: true, Image: "rush", EstimateMS: 4000, Resources: job.Resources{MilliCPU: 3000, MemoryMB: 1000}}
	r.Add(spec("rush", rush), r.now, 0)
	is.Equal(len(r.plan(time.Millisecond).Starts), 0) // there is time to wait for a better place
	is.Equal(len(r.plan(4500*time.Millisecond).Starts), 1)
}

// A job that is late already does not push in beside services: what it is still
// worth does not depend on when it runs.
func TestLateTasksWaitForAGoodPlace(t *testing.T) {
	is := is.New(t)
	r, _, _ := crowdBeside(t)
	r.interference.pressure[imagePair{"desk", "rush"}] = belief{3: 1}
	r.interference.pressure[imagePair{"desk", "scan"}] = belief{0: 1}
	r.interference.floor["desk"], r.interference.crest["desk"] = 0.2, 0.65
	rush := job.Step{Tasks: 1, BestEffort: true, Image: "rush", EstimateMS: 4000, Resources: job.Resources{MilliCPU: 3000, MemoryMB: 1000}}
	j := r.Add(spec("rush", rush), r.now, 0)
	for _, run := range r.plan(j.objective.Sub(r.now) + time.Millisecond).Starts {
		is.True(run.Task.Job != j)
	}
}

func TestJobsThatCanBeInTimeGoBeforeLateOnes(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 1000, 64000))
	first := r.Add(spec("first", small(1)), r.now, 0)
	r.now = first.objective.Add(time.Millisecond)
	r.Add(spec("second", small(1)), r.now, 0)
	out := r.plan(0)
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Task.ID.Job, "second")
}

// Many times too much is taken away at once, though the tail only shows that
// there is too much.
func TestReliefTakesAllThatIsTooMuch(t *testing.T) {
	is := is.New(t)
	r, service, crowd := crowdBeside(t)
	r.interference.pressure[imagePair{"desk", "scan"}] = belief{6: 1}
	began := r.now
	for r.now.Sub(began) <= time.Duration(holdAfter*float64(testOptions.MaxViolation))+settleAfter {
		r.now = r.now.Add(200 * time.Millisecond)
		r.figures(service, crowd, 500, 10+int(r.now.Sub(began)/(200*time.Millisecond)))
		r.confirm(r.TakeOutput())
	}
	for _, run := range crowd {
		is.Equal(run.ConfirmedLimit, 0)
	}
}

// Services of several images that arrive mixed: each worker gets one image, so
// that best-effort work which disturbs only one of them finds room.
func TestServicesOfOneImageShareWorkers(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 16000, 64000), worker("b", 16000, 64000), worker("c", 16000, 64000))
	for n := range 4 {
		for _, image := range []string{"red", "green", "blue"} {
			s := job.Step{Tasks: 1, Service: true, Image: image, TargetLatencyMS: 50, MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 4000, MemoryMB: 1000}}
			r.Add(spec(fmt.Sprintf("%d-%s", n, image), s), r.now, 0)
		}
	}
	r.begin(r.plan(serviceGather))
	for _, w := range r.Workers() {
		is.Equal(len(w.runs), 4)
		is.Equal(len(r.mixture(w).services), 1)
	}
}

// A service that has to go where best-effort tasks run goes to the smaller
// crowd: each of its tasks that the service displaces has to find a place.
func TestServicesGoToTheSmallerCrowd(t *testing.T) {
	is := is.New(t)
	r := newRig(worker("a", 16000, 64000), worker("b", 16000, 64000))
	for n, w := range []string{"a", "a", "a", "a", "a", "a", "a", "a", "b", "b", "b", "b"} {
		id := fmt.Sprintf("crowd%d", n)
		r.Add(spec(id, job.Step{Tasks: 1, BestEffort: true, Image: "scan", Resources: job.Resources{MilliCPU: 8000, MemoryMB: 1000}}), r.now, 0)
		r.start(r.Job(id).occurrences[0].tasks[0][0], r.Worker(w), 1, r.now)
	}
	r.begin(r.TakeOutput())
	r.Add(spec("service", job.Step{Tasks: 1, Service: true, Image: "desk", TargetLatencyMS: 50, MaxUnavailable: -1, Resources: job.Resources{MilliCPU: 4000, MemoryMB: 1000}}), r.now, 0)
	out := r.plan(serviceGather)
	is.Equal(out.Starts[0].Worker.Entry.ID, "b")
}

// What a crowd has left behind when it is gone is not the service's own load.
func TestBacklogIsNoCrest(t *testing.T) {
	is := is.New(t)
	i := newInterference()
	own := listings(&i, ownLoad{}, nil, tailOf(0), tailOf(0), tailOf(0.4), tailOf(0.5))
	before := i.crestOf("desk")
	own = listings(&i, own, map[string]float64{"scan": 1}, 8, 9)
	listings(&i, own, nil, 9, 7, 5, 3)
	is.True(i.crestOf("desk") <= before)
	listings(&i, ownLoad{}, nil, 9) // seen first by a new owner
	is.True(i.crestOf("desk") <= before)
}
