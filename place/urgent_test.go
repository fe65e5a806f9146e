package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/place"
)

const urgentStartLimitMS = 2_800

// With every VM full of long batch tasks, urgent tasks start in time, and no
// more tasks are evicted than they need.
func TestUrgentWorkStartsOnFullVMs(t *testing.T) {
	is := is.New(t)
	const machines, urgentFromMS = 65, 60_000
	r := rand.New(rand.NewPCG(1, 1))
	var tasks []*simTask
	for i := range machines * 14 {
		tasks = append(tasks, &simTask{actualMS: 3_600_000, Demand: place.Demand{
			Task: fmt.Sprintf("m:batch/%d", i), Job: "m:batch", Kind: "batch", Resources: cores(4), RunTimeMS: 3_600_000,
		}})
	}
	const urgent = 40
	for i := range urgent {
		tasks = append(tasks, &simTask{actualMS: 30_000, arrivesMS: urgentFromMS + r.Int64N(1000), Demand: place.Demand{
			Task: fmt.Sprintf("m:urgent/%d", i), Job: "m:urgent", Kind: "urgent", Resources: cores(8), RunTimeMS: 30_000, Urgent: true,
		}})
	}
	s := &simulation{policy: place.NewPlanner(), machines: racksOfMachines(machines), tasks: tasks}
	s.run(urgentFromMS + 10_000)
	var worst int64
	for _, t := range tasks[machines*14:] {
		is.True(t.firstStartMS > 0)
		worst = max(worst, t.firstStartMS-t.arrivesMS)
	}
	t.Logf("slowest urgent start %d ms after arrival; %d evictions for %d urgent tasks, %.1f evictions per 1,000 tasks",
		worst, s.evicted, urgent, 1000*float64(s.evicted)/float64(len(tasks)))
	is.True(worst <= urgentStartLimitMS)
	is.True(s.evicted <= urgent*2) // each needs the processors of two batch tasks
	is.Equal(s.overcommits, 0)
}

// The task that loses the least work is evicted, and never an urgent one.
func TestVictimLosesLeastWork(t *testing.T) {
	is := is.New(t)
	running := func(task string, started, checkpoint int64, urgent bool) place.RunningTask {
		return place.RunningTask{
			Demand:  place.Demand{Task: task, Resources: cores(2), RunTimeMS: 100_000, Urgent: urgent},
			Machine: "w1", StartedUnixMS: started, CheckpointUnixMS: checkpoint,
		}
	}
	plan := place.NewPlanner().Plan(place.Input{
		NowUnixMS: 50_000,
		Machines:  []place.Machine{{Name: "w1", Capacity: cores(6)}},
		Running:   []place.RunningTask{running("long", 0, 0, false), running("saved", 0, 49_000, false), running("young-urgent", 49_900, 0, true)},
		Pending:   []place.Demand{{Task: "now", Resources: cores(2), Urgent: true}},
	})
	is.Equal(plan.Evictions, []place.Eviction{{Task: "saved", Reason: `urgent task "now" needs the VM`}})
	is.Equal(len(plan.Starts), 0)
}
