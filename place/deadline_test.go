package place_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/place"
)

// At 90% utilisation and with declared run times off by up to four times, the
// planner meets at least as many deadlines as the better of two simple
// policies.
func TestDeadlinesMetAgainstBaselines(t *testing.T) {
	for _, size := range []struct{ machines, untilMS int64 }{
		{24, 3_600_000},
		{65, 1_800_000},
	} {
		for _, seed := range []uint64{1, 2, 3} {
			var counts []int
			for _, policy := range []planner{place.NewPlanner(), firstInFirstOut{}, deadlineBestFit{}} {
				tasks := drawTasks(rand.New(rand.NewPCG(seed, seed)), size.machines*56, 0.9, size.untilMS)
				s := &simulation{policy: policy, machines: racksOfMachines(int(size.machines)), tasks: tasks}
				s.run(size.untilMS)
				met, all := s.deadlinesMet()
				counts = append(counts, met)
				t.Logf("%d VMs, seed %d %T: %d of %d deadlines met (%.2f%%), %.1f evictions per 1,000 tasks", size.machines,
					seed, policy, met, all, 100*float64(met)/float64(all), 1000*float64(s.evicted)/float64(len(tasks)))
				is.New(t).Equal(s.overcommits, 0)
			}
			is.New(t).True(counts[0] >= max(counts[1], counts[2]))
		}
	}
}
