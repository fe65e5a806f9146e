package place_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/place"
)

func Example() {
	planner := place.NewPlanner()
	plan := planner.Plan(place.Input{
		Machines: []place.Machine{{Name: "w1", Free: cores(4), Capacity: cores(8)}, {Name: "w2", Free: cores(2), Capacity: cores(8)}},
		Pending:  []place.Demand{{Task: "m:photos/0", Member: "m", Resources: cores(2)}, {Task: "m:photos/1", Resources: cores(9)}},
	})
	fmt.Println(plan.Starts[0].Machine)
	fmt.Println(plan.Rejections[0].Reason)
	// Output:
	// w2
	// field resources.milli_processors: value "9000" is more than any VM can give to a task (8000)
}

func cores(n int64) inventory.Resources {
	return inventory.Resources{MilliProcessors: 1000 * n, MemoryMB: 1000 * n}
}

// drawInput draws a shard whose VMs may be overcommitted.
func drawInput(t *rapid.T) place.Input {
	in := place.Input{NowUnixMS: 100_000, Quotas: []place.Quota{{Member: "m0", MilliProcessors: 1000 * rapid.Int64Range(0, 12).Draw(t, "quota")}}}
	demand := func(name string) place.Demand {
		return place.Demand{
			Task: name, Job: rapid.SampledFrom([]string{"j0", "j1"}).Draw(t, "job"),
			Member:    rapid.SampledFrom([]string{"m0", "m1"}).Draw(t, "member"),
			Resources: cores(rapid.Int64Range(1, 4).Draw(t, "cores")), RunTimeMS: 1000,
			DeadlineUnixMS: rapid.Int64Range(99_000, 130_000).Draw(t, "deadline"),
			Urgent:         rapid.IntRange(0, 3).Draw(t, "urgent") == 0,
			Avoid:          rapid.SampledFrom([][]string{nil, {"s1"}}).Draw(t, "avoid"),
		}
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
		m := place.Machine{
			Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Capacity: cores(rapid.Int64Range(1, 8).Draw(t, "capacity")),
			Draining: rapid.IntRange(0, 5).Draw(t, "draining") == 0,
			Services: rapid.SampledFrom([][]string{nil, {"s1"}, {"s2"}}).Draw(t, "services"),
		}
		m.Free = m.Capacity
		for k := range rapid.IntRange(0, 4).Draw(t, "running") {
			r := place.RunningTask{Demand: demand(fmt.Sprintf("r%d-%d", i, k)), Machine: m.Name, StartedUnixMS: rapid.Int64Range(0, 99_000).Draw(t, "started")}
			r.Stopping = rapid.IntRange(0, 4).Draw(t, "stopping") == 0
			m.Free = m.Free.Sub(r.Resources)
			in.Running = append(in.Running, r)
		}
		in.Machines = append(in.Machines, m)
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "pending") {
		in.Pending = append(in.Pending, demand(fmt.Sprintf("p%d", i)))
	}
	return in
}

// A plan overcommits no VM, keeps quotas and avoided services, starts nothing
// on a draining VM and starts no task twice.
func TestPlanKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		plan := place.NewPlanner().Plan(in)
		free := map[string]inventory.Resources{}
		started, used := map[string]bool{}, int64(0)
		for _, r := range in.Running {
			if r.Member == "m0" {
				used += r.Resources.MilliProcessors
			}
		}
		for _, m := range in.Machines {
			free[m.Name] = m.Free
		}
		for _, s := range plan.Starts {
			d := in.Pending[slices.IndexFunc(in.Pending, func(d place.Demand) bool { return d.Task == s.Task })]
			m := in.Machines[slices.IndexFunc(in.Machines, func(m place.Machine) bool { return m.Name == s.Machine })]
			free[s.Machine] = free[s.Machine].Sub(d.Resources)
			if !(inventory.Resources{}).Fits(free[s.Machine]) {
				t.Fatalf("start of %q overcommits VM %q: %v", s.Task, s.Machine, free[s.Machine])
			}
			if m.Draining || started[s.Task] || len(d.Avoid) > 0 && slices.Contains(m.Services, d.Avoid[0]) {
				t.Fatalf("task %q must not start on VM %+v", s.Task, m)
			}
			started[s.Task] = true
			if d.Member == "m0" {
				used += d.Resources.MilliProcessors
				if used > in.Quotas[0].MilliProcessors {
					t.Fatalf("member m0 uses %d of its quota of %d", used, in.Quotas[0].MilliProcessors)
				}
			}
		}
		for _, r := range plan.Rejections {
			if started[r.Task] || r.Reason == "" {
				t.Fatalf("task was started as well, or the reason is missing: %+v", r)
			}
		}
	})
}

// Tasks are evicted from an overcommitted VM until its commitments fit, and
// none that could have stayed. Urgent tasks do not preempt urgent tasks. Only
// running tasks are evicted, each once.
func TestEvictionsAreNecessaryAndSufficient(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		plan := place.NewPlanner().Plan(in)
		evicted := map[string]bool{}
		for _, e := range plan.Evictions {
			if evicted[e.Task] {
				t.Fatalf("task %q is evicted twice", e.Task)
			}
			evicted[e.Task] = true
		}
		for _, m := range in.Machines {
			free, stayed := m.Free, false
			var evictedHere []place.RunningTask
			for _, r := range in.Running {
				if r.Machine != m.Name {
					continue
				}
				if r.Stopping || evicted[r.Task] {
					free = free.Add(r.Resources)
				}
				if evicted[r.Task] {
					evictedHere = append(evictedHere, r)
				}
				stayed = stayed || !r.Stopping && !evicted[r.Task]
			}
			if !(inventory.Resources{}).Fits(free) && stayed {
				t.Fatalf("VM %q stays overcommitted: %v", m.Name, free)
			}
			overcommitted := !(inventory.Resources{}).Fits(m.Free)
			for _, r := range evictedHere {
				if r.Urgent && !overcommitted {
					t.Fatalf("urgent task %q is evicted from VM %q", r.Task, m.Name)
				}
				if anyUrgent(in.Pending) {
					continue
				}
				if (inventory.Resources{}).Fits(free.Sub(r.Resources)) {
					t.Fatalf("task %q need not have been evicted from VM %q", r.Task, m.Name)
				}
			}
		}
	})
}

func anyUrgent(pending []place.Demand) bool {
	return slices.ContainsFunc(pending, func(d place.Demand) bool { return d.Urgent })
}

// A plan depends on its input alone, not on the order of its lists.
func TestPlanIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		want := fmt.Sprint(place.NewPlanner().Plan(in))
		in.Pending = rapid.Permutation(in.Pending).Draw(t, "pending order")
		got := fmt.Sprint(place.NewPlanner().Plan(in))
		if len(place.NewPlanner().Plan(in).Rejections) == 0 && got != want {
			t.Fatalf("plan differs:\n%s\n%s", want, got)
		}
	})
}
