package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/forecast"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/urgency"
)

// plannedOrder returns the IDs of the waiting jobs in the order in which they are planned.
func (f *fixture) plannedOrder() []string {
	var ids []string
	for _, j := range f.byUrgency(f.now) {
		ids = append(ids, j.Spec.ID)
	}
	return ids
}

// Guards against declared run times that are too short by nine tenths: jobs counted as late
// although they could still be in time, and were planned after all others.
func TestJobThatCanBeInTimeIsNotCountedAsLate(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 1000, 64000))
	declared := job.Step{Tasks: 1, EstimateMS: 200, Image: "i", Resources: job.Resources{MilliCPU: 1000, MemoryMB: 100}}
	for range 40 { // the real objective is 5 s, the declared one 1.4 s
		f.model.Observe(forecast.Kind{Queue: "q", Image: "i"}, 200*time.Millisecond, 2*time.Second, 1)
	}
	f.Add(spec("waits", declared), f.now, 0)
	f.now = f.now.Add(2500 * time.Millisecond)
	f.Add(spec("new", declared), f.now, 0)
	is.Equal(f.plannedOrder(), []string{"waits", "new"})
	is.Equal(f.Job("waits").class, urgency.OnTime)
	f.now = f.now.Add(time.Second) // 2 s of work no longer fit in the 1.5 s left
	is.Equal(f.plannedOrder(), []string{"new", "waits"})
	is.Equal(f.Job("waits").class, urgency.Late)
}

// Guards against a step that is off as a whole: its own tasks that have ended show that
// before other jobs of its kind do.
func TestRemainingChainFollowsEndedTasksOfTheStep(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 10000, 64000))
	second := small(1)
	second.After = []int{0}
	j := f.Add(spec("j", small(10), second), f.now, 0)
	is.Equal(j.remaining, []time.Duration{time.Second, 500 * time.Millisecond})
	out := f.plan(0)
	f.confirmStarts(out)
	f.now = f.now.Add(2 * time.Second)
	f.listEnds(out.Starts, func(*Run) port.EndReason { return port.EndDone })
	f.plan(0)
	is.True(j.objective.Sub(j.arrived) > 5*time.Second) // declared: 3 s
	is.True(j.remaining[1] > time.Second)
}

// Guards against profiles that are not renewed when another queue configuration comes into
// force.
func TestObjectiveFollowsTheQueue(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 100, 64000))
	j := f.Add(spec("j", small(1)), f.now, 0)
	is.Equal(j.objective.Sub(j.arrived), 2*time.Second)
	f.SetQueues([]job.Queue{{Name: "q", Pool: "pool", Priority: 1, Stretch: 4, Slack: 2 * time.Second}}, 1)
	f.plan(0)
	is.Equal(j.objective.Sub(j.arrived), 4*time.Second)
	is.Equal(j.rank.Priority, 1)
}

// Guards against an expired job that never runs while others keep arriving: on one core,
// which an endless stream of jobs fills.
func TestExpiredJobIsPlannedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(worker("w", 1000, 64000))
	f.SetQueues([]job.Queue{{Name: "late", Pool: "pool", Priority: 2, Stretch: 1}}, 1)
	old := small(1)
	f.Add(job.Spec{ID: "old", Queue: "late", Steps: []job.Step{old}}, f.now, 0)
	expires := f.now.Add(urgency.ExpiryFactor * 500 * time.Millisecond)
	var startedAfter time.Duration
	sequence := int64(0)
	for n := 0; startedAfter == 0 && n < 200; n++ {
		f.Add(spec(fmt.Sprint("new", n), small(1)), f.now, 0)
		out := f.plan(0)
		is.Equal(len(out.Starts), 1)
		if out.Starts[0].Task.ID.Job == "old" {
			startedAfter = f.now.Sub(expires)
		}
		f.confirmStarts(out)
		f.now = f.now.Add(500 * time.Millisecond)
		sequence++
		f.listEnd(out.Starts[0], sequence, port.EndDone)
	}
	is.True(startedAfter > urgency.AgedAfter)
	is.True(startedAfter < 2*urgency.AgedAfter+5*time.Second)
}

// Guards against a changed rank of services: they are planned after the jobs on time of
// their own priority, before those of a lower one and before all late ones, by image, and
// those with a limit per worker first.
func TestServicesKeepTheirRank(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 9))
		f := newFixture(worker("w", 10, 10))
		f.SetQueues([]job.Queue{{Name: "p0", Stretch: 2, Slack: time.Second}, {Name: "p1", Priority: 1, Stretch: 2, Slack: time.Second}, {Name: "p2", Priority: 2, Stretch: 2, Slack: time.Second}}, 1)
		for n := range 60 {
			step := small(1 + rng.IntN(5))
			if rng.IntN(2) == 0 {
				step = job.Step{Tasks: 1, Service: true, Image: fmt.Sprint("s", rng.IntN(3)), MaxPerWorker: rng.IntN(2)}
			}
			f.Add(job.Spec{ID: fmt.Sprint(n), Queue: fmt.Sprint("p", rng.IntN(3)), Steps: []job.Step{step}}, f.now, 0)
			f.now = f.now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
		key := func(id string) []int {
			j := f.Job(id)
			class := int(j.class)
			if j.service {
				step := j.Spec.Steps[0]
				return []int{0, j.Queue.Priority, 1, int(step.Image[1] - '0'), boolInt(step.MaxPerWorker == 0)}
			}
			return []int{class, j.Queue.Priority, 0}
		}
		is.True(slices.IsSortedFunc(f.plannedOrder(), func(a, b string) int { return slices.Compare(key(a), key(b)) }))
	}
}
