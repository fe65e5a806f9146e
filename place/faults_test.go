package place_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/place"
)

// faultyYard runs tasks of which some VMs or some jobs fail everything.
type faultyYard struct {
	planner  *place.Planner
	now      int64
	bad      map[string]bool // VMs
	badJobs  map[string]bool
	pending  []place.Demand
	finished int
	final    map[string]string // reasons of the tasks that ended as failed
	failures map[string]int    // by VM
	tries    map[string]int    // failures by task
}

func newFaultyYard() *faultyYard {
	return &faultyYard{planner: place.NewPlanner(), bad: map[string]bool{}, badJobs: map[string]bool{}, final: map[string]string{}, failures: map[string]int{}, tries: map[string]int{}}
}

func (y *faultyYard) submit(job string, tasks int) {
	for i := range tasks {
		y.pending = append(y.pending, place.Demand{Task: fmt.Sprintf("%s/%d", job, i), Job: job, Resources: cores(1), RunTimeMS: 1000})
	}
}

// step plans once; every started task ends before the next step.
func (y *faultyYard) step() {
	y.now += 1000
	in := place.Input{NowUnixMS: y.now, Pending: y.pending}
	for i := range 5 {
		in.Machines = append(in.Machines, place.Machine{Name: fmt.Sprintf("w%d", i), Free: cores(4), Capacity: cores(4)})
	}
	started := map[string]string{}
	for _, s := range y.planner.Plan(in).Starts {
		started[s.Task] = s.Machine
	}
	y.pending = nil
	for _, d := range in.Pending {
		machine, ok := started[d.Task]
		e := place.TaskEnd{Task: d.Task, Job: d.Job, Machine: machine, RanMS: 1000, DeclaredRunTimeMS: 1000, EndedUnixMS: y.now}
		switch {
		case !ok:
			y.pending = append(y.pending, d)
		case y.bad[machine] || y.badJobs[d.Job]:
			e.Outcome = place.Failed
			y.planner.ObserveEnd(e)
			y.failures[machine]++
			y.tries[d.Task]++
			d.FailedOn = append(slices.Clone(d.FailedOn), machine)
			if reason, final := y.planner.FailureIsFinal(d.FailedOn, y.tries[d.Task]); final {
				y.final[d.Task] = reason
			} else {
				y.pending = append(y.pending, d)
			}
		default:
			y.planner.ObserveEnd(e)
			y.finished++
		}
	}
}

// A worker that fails everything is probed only, and costs no task its life;
// once it works again it receives work again.
func TestBadWorkerIsQuarantined(t *testing.T) {
	is := is.New(t)
	y := newFaultyYard()
	y.bad["w2"] = true
	for k := range 60 {
		y.submit(fmt.Sprintf("m:j%d", k), 10)
		y.step()
	}
	t.Logf("failures on the bad VM: %d; finished: %d of 600", y.failures["w2"], y.finished)
	is.Equal(len(y.final), 0)
	is.True(y.failures["w2"] <= 4+3) // the first plan's tasks and three probes
	is.True(y.finished >= 590)
	y.bad["w2"] = false
	y.now += 600_000
	y.submit("m:late", 40)
	before := y.finished
	y.step()
	y.step()
	y.step()
	is.Equal(y.finished-before, 40)
}

// A job whose tasks fail wherever they run ends as failed with the reason, and
// no worker is quarantined for it.
func TestBadTasksEndAndWorkersStay(t *testing.T) {
	is := is.New(t)
	y := newFaultyYard()
	y.badJobs["m:bad"] = true
	y.submit("m:bad", 20)
	for k := range 20 {
		y.submit(fmt.Sprintf("m:good%d", k), 8)
		y.step()
	}
	is.Equal(len(y.final), 20)
	is.Equal(len(y.final["m:bad/0"]) > len("failed on 3 VMs"), true)
	y.submit("m:more", 20)
	before := y.finished
	y.step()
	is.True(y.finished-before >= 20) // all five VMs are in use
}
