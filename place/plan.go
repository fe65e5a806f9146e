package place

import "sort"

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

// ObserveEnd learns from the end of an attempt.
func (p *Planner) ObserveEnd(TaskEnd) {}

// ObserveUsage learns from a measurement of a running task.
func (p *Planner) ObserveUsage(TaskUsage) {}

// ObserveLatency learns from a measurement of a quick service.
func (p *Planner) ObserveLatency(ServiceLatency) {}
