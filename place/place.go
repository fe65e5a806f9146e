// Package place chooses which task starts next and on which VM.
package place

import "github.com/bambooyard/bambooyard/inventory"

// Machine is a VM as the placement sees it.
type Machine struct {
	Name string
	// Free is what is not committed to any task.
	Free inventory.Resources
	// Draining is set when the VM is to receive no new work.
	Draining bool
}

// Demand is what a task asks for.
type Demand struct {
	Task      string
	Resources inventory.Resources
	// DeadlineUnixMS is when the task should be done, in milliseconds since 1970 UTC.
	DeadlineUnixMS int64
	Urgent         bool
}

// Before reports whether a is placed before b: urgent work first, then the
// earliest deadline, then the task's name.
func Before(a, b Demand) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if a.DeadlineUnixMS != b.DeadlineUnixMS {
		return a.DeadlineUnixMS < b.DeadlineUnixMS
	}
	return a.Task < b.Task
}

// BestFit returns the index of the machine that would keep the least free
// processor time after the task, or -1 if the task fits on none.
func BestFit(machines []Machine, d Demand) int {
	best := -1
	var bestLeft inventory.Resources
	for i, m := range machines {
		if m.Draining || !d.Resources.Fits(m.Free) {
			continue
		}
		left := m.Free.Sub(d.Resources)
		if best < 0 || left.MilliProcessors < bestLeft.MilliProcessors {
			best, bestLeft = i, left
		}
	}
	return best
}
