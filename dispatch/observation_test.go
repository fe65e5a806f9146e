package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/port"
)

// restarted is a fixture whose worker "a" has restarted under its ID before it answered a request.
type restarted struct {
	*fixture
	first  *Run        // requested from the former boot, without a response so far
	second *Run        // listed by the present boot
	former Observation // of calls that were sent to the former boot
}

// formerClockMS is the clock of the former boot, and presentClockMS that of the present one.
const (
	formerClockMS  = 1_000_000_000
	presentClockMS = 1000
)

func newRestarted(is *is.I) restarted {
	f := newFixture(worker("a", 8000, 64000))
	f.Add(spec("first", batchStep(1, 1000, false)), f.now, 0)
	out := f.plan(time.Second)
	is.Equal(len(out.Starts), 1)
	first := out.Starts[0]
	former := first.Worker.Observe(f.now)
	f.now = f.now.Add(300 * time.Millisecond)
	f.listBoot("a", 2)
	f.reportListing("a", port.Listing{Boot: 2, ClockMS: presentClockMS})
	f.Add(spec("second", batchStep(1, 1000, false)), f.now, 0)
	out = f.plan(0)
	is.Equal(len(out.Starts), 1)
	f.confirmStarts(out)
	r := restarted{f, first, out.Starts[0], former}
	r.listSecond()
	return r
}

// listSecond reports a listing of the present boot with the second run.
func (r restarted) listSecond() {
	r.reportListing("a", port.Listing{Boot: 2, ClockMS: presentClockMS, Running: []port.RunningTask{
		{Task: r.second.Task.ID.String(), Attempt: r.second.Attempt},
	}})
}

// lost reports whether the engine's output has given up a run.
func lost(out Output, r *Run) bool {
	return slices.ContainsFunc(out.Lost, func(l LostRun) bool { return l.Run == r })
}

// lateResults are results of calls that were sent to a former boot.
var lateResults = map[string]func(r restarted){
	"VM not up":         func(r restarted) { r.HandleReplacement(r.former, r.now) },
	"start confirmed":   func(r restarted) { r.HandleStartResponse(r.first, r.former, formerClockMS, nil, r.now) },
	"start unanswered":  func(r restarted) { r.answerFirst(&port.UnansweredError{Op: "start"}) },
	"start not sent":    func(r restarted) { r.answerFirst(&port.UnansweredError{Op: "start", NotSent: true}) },
	"start refused":     func(r restarted) { r.answerFirst(&port.RefusedError{Reason: port.RefusedCapacity}) },
	"another boot":      func(r restarted) { r.answerFirst(&port.RefusedError{Reason: port.RefusedIncarnation}) },
	"stop acknowledged": func(r restarted) { r.HandleStopResponse(r.first, r.former, nil, r.now) },
	"stop unanswered": func(r restarted) {
		r.HandleStopResponse(r.first, r.former, &port.UnansweredError{Op: "stop"}, r.now)
	},
	"throttled":  func(r restarted) { r.HandleThrottleResponse(r.first, r.former, 50, nil, r.now) },
	"not listed": func(r restarted) { r.HandleNoResponse(r.former) },
}

func (r restarted) answerFirst(err error) {
	r.HandleStartResponse(r.first, r.former, formerClockMS, err, r.now)
}

// Guards against TWICE: a late result of a call to a former boot gave up the runs of the present
// one, by itself or because the former boot's clock showed that its leases had expired. They were
// counted as crashes, too.
func TestLateResultsOfAFormerBootEndNoRuns(t *testing.T) {
	for name, arrive := range lateResults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRestarted(is)
			arrive(r)
			is.Equal(len(r.UnresponsiveFor(r.now.Add(time.Second), time.Second)), 0)
			out := r.plan(100 * time.Millisecond)
			is.True(!lost(out, r.second))
			is.Equal(len(r.second.Task.Crashes), 0)
			is.Equal(r.second.Worker.ClockMS(r.now), int64(presentClockMS+98))
			is.True(r.second.Worker.backoffUntil.IsZero())
		})
	}
}

// Guards against LOST: a late answer of a former boot hid that the present one is silent.
func TestAnswersOfAFormerBootAreNoContact(t *testing.T) {
	for name, arrive := range lateResults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRestarted(is)
			r.now = r.now.Add(time.Second)
			silentSince := r.now
			r.HandleNoResponse(r.Observe("a", r.now))
			r.now = r.now.Add(100 * time.Millisecond)
			arrive(r)
			is.Equal(r.second.Worker.unansweredSince, silentSince)
		})
	}
}

// Guards against TWICE: a stop that a former boot had acknowledged was taken to keep the present
// one from executing a start request that may still be on its way.
func TestStopThatAFormerBootAcknowledgedIsRepeated(t *testing.T) {
	is := is.New(t)
	r := newRestarted(is)
	is.True(slices.Contains(r.TakeOutput().Stops, r.first) || r.first.stopInFlight)
	present := r.Observe("a", r.now)
	r.HandleStopResponse(r.first, r.former, nil, r.now)
	r.now = r.now.Add(time.Second)
	r.listSecond()
	is.True(!lost(r.plan(0), r.first))
	r.HandleStopResponse(r.first, present, nil, r.now)
	r.now = r.now.Add(time.Second)
	r.listSecond()
	is.True(lost(r.plan(0), r.first))
}

// Guards against TWICE: the list of VMs was read before the worker answered, and its answer gave
// up the worker's runs.
func TestObservationsOlderThanAnAnswerEndNoRuns(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	run := f.place("service", serviceStep(1, 1000), "a")[0]
	f.now = f.now.Add(time.Second)
	old := f.Observe("a", f.now)
	f.now = f.now.Add(time.Millisecond)
	f.listAllRunning()
	f.HandleReplacement(old, f.now)
	f.HandleNoResponse(old)
	is.True(f.Outdated(old))
	is.True(!lost(f.plan(0), run))
	is.Equal(len(f.UnresponsiveFor(f.now.Add(time.Second), time.Second)), 0)

	f.HandleReplacement(f.Observe("a", f.now), f.now)
	is.True(lost(f.plan(0), run))
}

// Guards against TWICE: a worker was seen to be down before a start was requested from it, which
// its next boot may have executed.
func TestObservationsOlderThanAStartDoNotEndIt(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	old := f.Observe("a", f.now)
	f.Add(spec("j", batchStep(1, 1000, false)), f.now, 0)
	run := f.plan(time.Second).Starts[0]
	f.HandleStartResponse(run, f.Observe("a", f.now), 0, &port.UnansweredError{Op: "start"}, f.now)
	f.HandleReplacement(old, f.now)
	is.True(!lost(f.plan(0), run))
	f.HandleReplacement(f.Observe("a", f.now), f.now)
	is.True(lost(f.plan(0), run))
}

// Guards against TWICE: a call to an address that the worker has left was refused by another one.
func TestRefusalsAtAFormerAddressEndNoRuns(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("a", 8000, 64000))
	run := f.place("service", serviceStep(1, 1000), "a")[0]
	old := f.Observe("a", f.now)
	f.entries[0].Address = "elsewhere:1"
	f.SetWorkers(f.entries, f.now)
	f.HandleReplacement(old, f.now)
	is.True(!lost(f.plan(0), run))
}
