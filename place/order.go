package place

// HigherPriority reports whether a is placed before b: urgent tasks first, then
// by the earliest deadline, then by name. Tasks without a deadline come last.
func HigherPriority(a, b Demand) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if a.DeadlineUnixMS != b.DeadlineUnixMS {
		if a.DeadlineUnixMS == 0 || b.DeadlineUnixMS == 0 {
			return b.DeadlineUnixMS == 0
		}
		return a.DeadlineUnixMS < b.DeadlineUnixMS
	}
	return a.Task < b.Task
}

// BestFit returns the index of the machine that would have the fewest free
// processors left after the task starts, or -1 if the task fits on none.
func BestFit(machines []Machine, d Demand) int {
	best := -1
	for i, m := range machines {
		if m.Draining || !d.Resources.Fits(m.Free) {
			continue
		}
		if best < 0 || m.Free.MilliProcessors < machines[best].Free.MilliProcessors {
			best = i
		}
	}
	return best
}
