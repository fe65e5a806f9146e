// Package place chooses which task starts next and on which VM, which running
// tasks give way, and which can never run.
//
// A Planner plans one shard. It keeps what it has learned from finished tasks
// and from lagging measurements; everything else comes with the Input.
package place

import "github.com/bambooyard/bambooyard/inventory"

// Machine is a VM as the placement sees it.
type Machine struct {
	Name string
	// Free is what is not committed to any task. It is negative after the
	// operators have shrunk the VM below what it is committed to.
	Free inventory.Resources
	// Capacity is what batch tasks may take in all; zero if it is not known.
	Capacity inventory.Resources
	// Draining is set when the VM is to receive no new work.
	Draining   bool
	Rack       string
	DataCentre string
	Region     string
	// Services are the quick services that have a target on the VM, sorted.
	Services []string
}

// Demand is what a task asks for.
type Demand struct {
	Task      string
	Job       string
	Member    string
	Kind      string
	Resources inventory.Resources
	// RunTimeMS is the declared run time in milliseconds.
	RunTimeMS int64
	// DeadlineUnixMS is when the task should be done, in milliseconds since
	// 1970 UTC; zero is no deadline.
	DeadlineUnixMS int64
	Urgent         bool
	// Avoid lists services that the task must not share a VM with.
	Avoid []string
	// FailedOn lists the VMs that the task has failed on.
	FailedOn []string
	// DoneMS is the work in milliseconds that the task's checkpoint holds.
	DoneMS int64
}

// RunningTask is a task that occupies a machine.
type RunningTask struct {
	Demand
	Machine string
	// StartedUnixMS is when the attempt started, in milliseconds since 1970 UTC.
	StartedUnixMS int64
	// CheckpointUnixMS is when the attempt last saved its work, in milliseconds
	// since 1970 UTC; zero if it has not.
	CheckpointUnixMS int64
	// Stopping is set when the task is being stopped but occupies its VM still.
	Stopping bool
	// ThrottlePerMille is the share of its processors that the task is limited
	// to, in thousandths; zero is no limit.
	ThrottlePerMille int
}

// Quota bounds what a member's tasks may hold in the shard at a time.
type Quota struct {
	Member string
	// MilliProcessors is in thousandths of a processor; zero bars the member.
	MilliProcessors int64
}

// Input is everything that a plan depends on. A plan does not change it.
type Input struct {
	// NowUnixMS is the time in milliseconds since 1970 UTC.
	NowUnixMS int64
	Machines  []Machine
	Pending   []Demand
	Running   []RunningTask
	// Quotas names the members that have a quota; others are not bounded.
	Quotas []Quota
}

// Start is a task to be started.
type Start struct {
	Task    string
	Machine string
	// ThrottlePerMille is the share of its processors that the task is limited
	// to from the start, in thousandths; zero is no limit.
	ThrottlePerMille int
}

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
