package place_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/place"
)

// failureSimulation runs tasks with VMs on which, and jobs of which, every task
// fails.
type failureSimulation struct {
	planner        *place.Planner
	now            int64
	badVMs         map[string]bool
	badJobs        map[string]bool
	pending        []place.Demand
	finished       int
	finalReasons   map[string]string // reasons of the tasks that ended as failed, by task
	failuresByVM   map[string]int
	failuresByTask map[string]int
}

func newFailureSimulation() *failureSimulation {
	return &failureSimulation{planner: place.NewPlanner(), badVMs: map[string]bool{}, badJobs: map[string]bool{}, finalReasons: map[string]string{}, failuresByVM: map[string]int{}, failuresByTask: map[string]int{}}
}

func (f *failureSimulation) submit(job string, tasks int) {
	for i := range tasks {
		f.pending = append(f.pending, place.Demand{Task: fmt.Sprintf("%s/%d", job, i), Job: job, Resources: cores(1), RunTimeMS: 1000})
	}
}

// step plans once; every started task ends before the next step.
func (f *failureSimulation) step() {
	f.now += 1000
	in := place.Input{NowUnixMS: f.now, Pending: f.pending}
	for i := range 5 {
		in.Machines = append(in.Machines, place.Machine{Name: fmt.Sprintf("w%d", i), Free: cores(4), Capacity: cores(4)})
	}
	started := map[string]string{}
	for _, s := range f.planner.Plan(in).Starts {
		started[s.Task] = s.Machine
	}
	f.pending = nil
	for _, d := range in.Pending {
		machine, ok := started[d.Task]
		e := place.TaskEnd{Task: d.Task, Job: d.Job, Machine: machine, RanMS: 1000, DeclaredRunTimeMS: 1000, EndedUnixMS: f.now}
		switch {
		case !ok:
			f.pending = append(f.pending, d)
		case f.badVMs[machine] || f.badJobs[d.Job]:
			e.Outcome = place.Failed
			f.planner.ObserveEnd(e)
			f.failuresByVM[machine]++
			f.failuresByTask[d.Task]++
			d.FailedOn = append(slices.Clone(d.FailedOn), machine)
			if reason, final := f.planner.FailureIsFinal(d.FailedOn, f.failuresByTask[d.Task]); final {
				f.finalReasons[d.Task] = reason
			} else {
				f.pending = append(f.pending, d)
			}
		default:
			f.planner.ObserveEnd(e)
			f.finished++
		}
	}
}

// A worker that fails every task is quarantined and only probed, so that no
// task ends as failed because of it. Once it works again, it receives work
// again.
func TestBadWorkerIsQuarantined(t *testing.T) {
	is := is.New(t)
	f := newFailureSimulation()
	f.badVMs["w2"] = true
	for k := range 60 {
		f.submit(fmt.Sprintf("m:j%d", k), 10)
		f.step()
	}
	t.Logf("failures on the bad VM: %d; finished: %d of 600", f.failuresByVM["w2"], f.finished)
	is.Equal(len(f.finalReasons), 0)
	is.True(f.failuresByVM["w2"] <= 4+3) // the first plan's tasks and three probes
	is.True(f.finished >= 590)
	f.badVMs["w2"] = false
	f.now += 600_000
	f.submit("m:late", 40)
	before := f.finished
	f.step()
	f.step()
	f.step()
	is.Equal(f.finished-before, 40)
}

// Tasks of a job that fail on every VM end as failed with the reason, and no
// worker is quarantined because of them.
func TestFailingJobDoesNotQuarantineWorkers(t *testing.T) {
	is := is.New(t)
	f := newFailureSimulation()
	f.badJobs["m:bad"] = true
	f.submit("m:bad", 20)
	for k := range 20 {
		f.submit(fmt.Sprintf("m:good%d", k), 8)
		f.step()
	}
	is.Equal(len(f.finalReasons), 20)
	is.Equal(len(f.finalReasons["m:bad/0"]) > len("failed on 3 VMs"), true)
	f.submit("m:more", 20)
	before := f.finished
	f.step()
	is.True(f.finished-before >= 20) // all five VMs are in use
}
