package place

import "sort"

// Running is a task that occupies a machine.
type Running struct {
	Demand
	Machine string
	// StartedUnixMS is when the attempt started, in milliseconds since 1970 UTC.
	StartedUnixMS int64
}

// Input is everything that a plan depends on. A plan does not change it.
type Input struct {
	// NowUnixMS is the time in milliseconds since 1970 UTC.
	NowUnixMS int64
	Machines  []Machine
	Pending   []Demand
	Running   []Running
}

// Start is a task to be started.
type Start struct{ Task, Machine string }

// Eviction is a running task to be stopped with a checkpoint.
type Eviction struct {
	Task   string
	Reason string
}

// Rejection is a task that can never run.
type Rejection struct {
	Task   string
	Reason string
}

// Throttle limits a running task to a share of its processors.
type Throttle struct {
	Task string
	// PerMille is the share in thousandths.
	PerMille int
}

// Plan is what to do now.
type Plan struct {
	Starts     []Start
	Evictions  []Eviction
	Rejections []Rejection
	Throttles  []Throttle
}

// Planner plans one shard. It keeps what it has learned between plans and is
// not safe for concurrent use.
type Planner struct{}

// NewPlanner returns a planner that has learned nothing.
func NewPlanner() *Planner { return &Planner{} }

// Plan starts pending tasks, in the order of Before, on the machines that fit
// them best.
func (p *Planner) Plan(in Input) Plan {
	pending := append([]Demand(nil), in.Pending...)
	sort.Slice(pending, func(i, j int) bool { return Before(pending[i], pending[j]) })
	machines := append([]Machine(nil), in.Machines...)
	var plan Plan
	for _, d := range pending {
		i := BestFit(machines, d)
		if i < 0 {
			continue
		}
		machines[i].Free = machines[i].Free.Sub(d.Resources)
		plan.Starts = append(plan.Starts, Start{Task: d.Task, Machine: machines[i].Name})
	}
	return plan
}
