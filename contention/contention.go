// Package contention rates where best-effort tasks run while many of them share VMs with
// each other and with services. Best-effort tasks use the processors that other tasks leave
// idle: beyond those they slow each other down, and beside services they raise the services'
// tail latency.
//
// All functions are pure. Loads and shares are fractions of a VM's processors, and a cost is
// the share of a best-effort task's work that is lost by a placement: 1 means that as much
// time is lost as the task runs.
package contention

const (
	// maxLoad is the load up to which a VM takes best-effort tasks. Their run time grows in
	// proportion to the load beyond one, and objectives allow for half to the whole run time.
	// A queue in front of the VM delays the last task no more than sharing it would, and the
	// first ones less.
	maxLoad = 1.5
	// maxLoadUrgent is the same for a task whose job misses its objective if it waits.
	maxLoadUrgent = 2
	// loadDeviation is the standard deviation of a predicted load of a service: loads are
	// estimated from rough tail latencies, and change within seconds.
	loadDeviation = 0.15
	// overLimitWeight is the cost of one service task that exceeds its target beside the
	// best-effort task all the time. Its users notice each slow response at once, while a
	// batch job can make up for lost time until its objective.
	overLimitWeight = 3
	// strandedWeight is the cost of processors that are free and cannot be used because the
	// memory beside them is taken. It outweighs the slowdown at maxLoadUrgent of all tasks
	// that fit, since a service that finds no VM is not served at all.
	strandedWeight = 10
)

// Accepts reports whether a VM with a load takes one more best-effort task with a share. A
// VM without best-effort tasks takes one of any size. urgent is set if the task's job misses
// its objective if it waits.
func Accepts(load, share float64, bestEffortTasks int, urgent bool) bool {
	limit := maxLoad
	if urgent {
		limit = maxLoadUrgent
	}
	return bestEffortTasks == 0 || load+share <= limit
}

// Slowdown returns the factor by which best-effort tasks run longer at a load.
func Slowdown(load float64) float64 { return max(1, load) }

// SlowdownCost returns the cost of the slowdown of a task with a share on a VM with a load,
// and of the best-effort tasks there that it slows down.
func SlowdownCost(load, share float64, bestEffortTasks int) float64 {
	before, after := Slowdown(load), Slowdown(load+share)
	return after - 1 + float64(bestEffortTasks)*(after-before)
}

// ServiceCost returns the cost of an increase of a service's load from before to after,
// given the load limit at which the service exceeds its target, for a number of tasks.
func ServiceCost(before, after, limit float64, tasks int) float64 {
	return overLimitWeight * float64(tasks) * (overLimit(after, limit) - overLimit(before, limit))
}

// overLimit returns the probability that a predicted load exceeds a limit. The square of a
// ramp from two standard deviations below to one above stands in for the normal distribution,
// which is too expensive for each pair of a waiting task and a VM.
func overLimit(load, limit float64) float64 {
	x := (load - limit + 2*loadDeviation) / (3 * loadDeviation)
	x = max(0, min(1, x))
	return x * x
}

// StrandedCost returns the cost of using memory of a VM. freeCPU and freeMemory are the free
// share of its processors and its free memory, and memoryPerCPU is the memory that waiting
// and running tasks request for all processors of a VM. memory is what the task uses.
func StrandedCost(freeCPU, freeMemory, memory, memoryPerCPU float64) float64 {
	if freeCPU <= 0 || memoryPerCPU <= 0 {
		return 0
	}
	stranded := func(free float64) float64 { return max(0, freeCPU-max(0, free)/memoryPerCPU) }
	return strandedWeight * (stranded(freeMemory-memory) - stranded(freeMemory))
}
