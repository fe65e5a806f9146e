// Package place decides which task starts next and on which VM, which running
// tasks are evicted or throttled, and which tasks can never run.
//
// A Planner plans one shard. It keeps what it has learned from ended attempts
// and from delayed measurements; everything else is part of the Input.
package place

import "github.com/bambooyard/bambooyard/inventory"

// Machine describes a VM to the planner.
type Machine struct {
	Name string
	// Free is what is not committed to any task. It is negative after an
	// operator has reduced the VM below its commitments.
	Free inventory.Resources
	// Capacity is the total that batch tasks may take; zero if it is not known.
	Capacity inventory.Resources
	// Draining is set when the VM must not receive new work.
	Draining   bool
	Rack       string
	DataCentre string
	Region     string
	// Services are the latency-critical services that have a target on the VM,
	// sorted.
	Services []string
}

// Demand is what a task requests.
type Demand struct {
	Task      string
	Job       string
	Member    string
	Kind      string
	Resources inventory.Resources
	// RunTimeMS is the declared run time in milliseconds.
	RunTimeMS int64
	// DeadlineUnixMS is when the task should have finished, in milliseconds
	// since 1970 UTC; zero means no deadline.
	DeadlineUnixMS int64
	Urgent         bool
	// Avoid lists services that the task must not share a VM with.
	Avoid []string
	// FailedOn lists the VMs on which the task has failed.
	FailedOn []string
	// DoneMS is the work in milliseconds that the task's checkpoint contains.
	DoneMS int64
}

// RunningTask is a task that occupies a VM.
type RunningTask struct {
	Demand
	Machine string
	// StartedUnixMS is when the attempt started, in milliseconds since 1970 UTC.
	StartedUnixMS int64
	// CheckpointUnixMS is when the attempt last saved a checkpoint, in
	// milliseconds since 1970 UTC; zero if it has not.
	CheckpointUnixMS int64
	// Stopping is set when the task is being stopped but still occupies its VM.
	Stopping bool
	// ThrottlePerMille is the share of its processors that the task is limited
	// to, in thousandths; zero is no limit.
	ThrottlePerMille int
}

// Quota bounds the processors that a member's tasks may occupy in the shard at
// a time.
type Quota struct {
	Member string
	// MilliProcessors is in thousandths of a processor; zero excludes the
	// member.
	MilliProcessors int64
}

// Input is everything that a plan depends on besides what the Planner has
// learned. Planning does not modify it.
type Input struct {
	// NowUnixMS is the time in milliseconds since 1970 UTC.
	NowUnixMS int64
	Machines  []Machine
	Pending   []Demand
	Running   []RunningTask
	// Quotas lists the members that have a quota; others are not limited.
	Quotas []Quota
}

// Start is a task to start.
type Start struct {
	Task    string
	Machine string
	// ThrottlePerMille is the share of its processors that the task is limited
	// to from the start, in thousandths; zero is no limit.
	ThrottlePerMille int
}

// Eviction is a running task to stop with a checkpoint.
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

// Plan lists the actions to take now.
type Plan struct {
	Starts     []Start
	Evictions  []Eviction
	Rejections []Rejection
	Throttles  []Throttle
}
