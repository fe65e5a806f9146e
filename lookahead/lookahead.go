// Package lookahead decides for which waiting task a VM is kept free, and what may run
// there until then.
//
// A reservation keeps one or more VMs for a task, or for the tasks of a gang, that no single
// end of another task makes room for. Other tasks run there only in what remains beside it,
// or if they are expected to end before its start. Reservations are bounded in number and
// time. The package performs no I/O and reads no clock.
package lookahead

import (
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// End is the expected end of a run and what it frees.
type End struct {
	At    time.Time
	Frees job.Resources
}

// Availability is when a demand is expected to fit on a VM.
type Availability struct {
	At time.Time
	// Spare is what will be free beside the demand.
	Spare job.Resources
}

// FreeAt returns when a demand is expected to fit on a VM. It returns false if it does not
// fit after all ends. The ends are sorted in place.
func FreeAt(free, demand job.Resources, ends []End, now time.Time) (Availability, bool) {
	slices.SortFunc(ends, func(x, y End) int { return x.At.Compare(y.At) })
	at, next := now, 0
	for ; next < len(ends) && !demand.Fits(free); next++ {
		free = free.Add(ends[next].Frees)
		if ends[next].At.After(at) {
			at = ends[next].At
		}
	}
	if !demand.Fits(free) {
		return Availability{}, false
	}
	for ; next < len(ends) && !ends[next].At.After(at); next++ {
		free = free.Add(ends[next].Frees)
	}
	return Availability{at, free.Sub(demand)}, true
}

// VM is a VM that may be reserved.
type VM struct {
	Free job.Resources
	// Ends are the expected ends of the runs there; they are sorted in place.
	Ends []End
	// Most bounds the tasks that the VM may take; zero means no limit.
	Most int
	// Preferred VMs are chosen before others, whenever they are free.
	Preferred bool
}

// Part is a number of tasks on one VM.
type Part struct {
	VM    int // index in the list of VMs
	Tasks int
	Availability
}

// Choose returns the parts with which n tasks of equal demand are expected to fit earliest,
// at the same time, and that time. It returns false if the VMs do not suffice within the
// horizon, or if more than most VMs are needed.
func Choose(vms []VM, demand job.Resources, n, most int, now time.Time) ([]Part, time.Time, bool) {
	var slots []Part // one for each task that a VM may take
	for i, vm := range vms {
		total := demand
		for k := 1; (vm.Most == 0 || k <= vm.Most) && k <= n; k++ {
			a, ok := FreeAt(vm.Free, total, vm.Ends, now)
			if !ok || a.At.Sub(now) > Horizon {
				break
			}
			slots = append(slots, Part{i, k, a})
			total = total.Add(demand)
		}
	}
	if len(slots) < n {
		return nil, time.Time{}, false
	}
	slices.SortStableFunc(slots, func(x, y Part) int {
		if vms[x.VM].Preferred != vms[y.VM].Preferred {
			if vms[x.VM].Preferred {
				return -1
			}
			return 1
		}
		return x.At.Compare(y.At)
	})
	last := map[int]Part{} // by VM
	at := now
	for _, slot := range slots[:n] {
		if slot.Tasks > last[slot.VM].Tasks {
			last[slot.VM] = slot
		}
		if slot.At.After(at) {
			at = slot.At
		}
	}
	var parts []Part
	for i := range vms {
		if part, ok := last[i]; ok {
			parts = append(parts, part)
		}
	}
	return parts, at, len(parts) <= most
}

// Bounds of reservations. docs/design/lookahead.md has the measurements.
const (
	// vmsPerReservation is the number of VMs of a pool for each reserved one, so that at most
	// this part of the capacity waits for large tasks. MaxReserved is the most VMs that are
	// reserved at a time, which bounds the cost of a plan.
	vmsPerReservation = 8
	MaxReserved       = 16
	// Horizon is how far ahead a VM is reserved.
	Horizon = 20 * time.Second
	// minMargin and marginShare are how long after the first expected time, at least and as
	// a share of the expected wait, a reservation is given up.
	minMargin   = 500 * time.Millisecond
	marginShare = 0.5
	// maxWait bounds the time for which VMs are reserved for one task without a start, and
	// Pause is the time without a reservation that follows it.
	maxWait = 30 * time.Second
	Pause   = 5 * time.Second
)

// Limit returns how many VMs of a pool may be reserved at a time.
func Limit(vms int) int { return min(max(1, vms/vmsPerReservation), MaxReserved) }

// Reservation keeps VMs for a task or the tasks of a gang.
type Reservation struct {
	// waitsSince is when the first of the task's consecutive reservations was made, and
	// since when this one was.
	waitsSince, since time.Time
	first, at         time.Time // when the tasks are expected to fit; first is when it was made
}

// NewReservation returns a reservation until a time at which its tasks are expected to fit.
// Previous is the one that it replaces; nil if there is none.
func NewReservation(at time.Time, previous *Reservation, now time.Time) *Reservation {
	r := &Reservation{waitsSince: now, since: now, first: at, at: at}
	if previous != nil {
		r.waitsSince = previous.waitsSince
	}
	return r
}

// At returns when the tasks are expected to fit.
func (r *Reservation) At() time.Time { return r.at }

// Since returns when the reservation was made.
func (r *Reservation) Since() time.Time { return r.since }

// Admits reports whether another task may start on a reserved VM: in what is spare there, or
// until the reservation's tasks are expected to fit. Ends is when the task is expected to
// end; zero if it does not.
func (r *Reservation) Admits(demand, spare job.Resources, ends time.Time) bool {
	return demand.Fits(spare) || r.EndsBefore(ends)
}

// EndsBefore reports whether a task that ends at a time does so before the reservation's
// tasks are expected to fit.
func (r *Reservation) EndsBefore(ends time.Time) bool { return !ends.IsZero() && !ends.After(r.at) }

// Verdict is what becomes of a reservation.
type Verdict int

// Verdicts on a reservation.
const (
	// Keep means that the reservation continues.
	Keep Verdict = iota
	// Overdue means that the tasks did not fit at the expected time. Other VMs, or the same
	// ones again, may be reserved.
	Overdue
	// Expired means that VMs were reserved for the task for too long.
	Expired
)

// Review updates a reservation by the time at which its tasks are expected to fit now.
func (r *Reservation) Review(at, now time.Time) Verdict {
	margin := max(minMargin, time.Duration(marginShare*float64(r.first.Sub(r.since))))
	switch {
	case now.Sub(r.waitsSince) > maxWait:
		return Expired
	case now.After(r.first.Add(margin)) && at.After(now):
		return Overdue
	}
	r.at = at
	return Keep
}
