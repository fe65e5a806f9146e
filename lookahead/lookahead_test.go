package lookahead

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/job"
)

var start = time.Unix(1000, 0)

func drawResources(t *rapid.T, name string, most int64) job.Resources {
	return job.Resources{MilliCPU: rapid.Int64Range(0, most).Draw(t, name+" cpu"), MemoryMB: rapid.Int64Range(0, most).Draw(t, name+" memory")}
}

func drawEnds(t *rapid.T) []End {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) End {
		return End{start.Add(time.Duration(rapid.Int64Range(-1, 30).Draw(t, "end")) * time.Second), drawResources(t, "frees", 4)}
	}), 0, 12).Draw(t, "ends")
}

// freeAt returns what is free on a VM at a time.
func freeAt(free job.Resources, ends []End, at time.Time) job.Resources {
	for _, end := range ends {
		if !end.At.After(at) {
			free = free.Add(end.Frees)
		}
	}
	return free
}

// Guards against a VM that is reserved until a time at which the task does not fit, or until a
// later one than necessary.
func TestTaskFitsAtTheEarliestTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		free, demand, ends := drawResources(t, "free", 4), drawResources(t, "demand", 12), drawEnds(t)
		a, ok := FreeAt(free, demand, ends, start)
		if !ok {
			is.True(!demand.Fits(freeAt(free, ends, start.Add(time.Hour))))
			return
		}
		is.True(!a.At.Before(start))
		is.True(demand.Fits(freeAt(free, ends, a.At)))
		is.Equal(a.Spare, freeAt(free, ends, a.At).Sub(demand))
		if a.At.After(start) {
			is.True(!demand.Fits(freeAt(free, ends, a.At.Add(-time.Millisecond))))
		}
	})
}

// Guards against a gang whose parts do not fit at the same time, that takes more VMs than
// allowed, or more tasks on a VM than its step allows.
func TestGangFitsAtOneTimeOnTheVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		vms := make([]VM, rapid.IntRange(0, 8).Draw(t, "vms"))
		for i := range vms {
			vms[i] = VM{Free: drawResources(t, "free", 6), Ends: drawEnds(t), Most: rapid.IntRange(0, 2).Draw(t, "most")}
		}
		demand := drawResources(t, "demand", 8).Add(job.Resources{MilliCPU: 1})
		n, most := rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.IntRange(1, 6).Draw(t, "most")
		parts, at, ok := Choose(vms, demand, n, most, start)
		if !ok {
			return
		}
		is.True(len(parts) <= most)
		is.True(at.Sub(start) <= Horizon)
		total := 0
		for _, part := range parts {
			vm := vms[part.VM]
			total += part.Tasks
			is.True(vm.Most == 0 || part.Tasks <= vm.Most)
			free := freeAt(vm.Free, vm.Ends, at)
			for range part.Tasks {
				is.True(demand.Fits(free))
				free = free.Sub(demand)
			}
		}
		is.Equal(total, n)
	})
}

// Guards against a step that is split between racks although its own has VMs for it.
func TestPreferredVMsAreChosenFirst(t *testing.T) {
	is := is.New(t)
	full := job.Resources{MilliCPU: 8}
	vms := []VM{
		{Free: full},
		{Ends: []End{{start.Add(5 * time.Second), full}}, Preferred: true},
		{Ends: []End{{start.Add(2 * Horizon), full}}, Preferred: true},
	}
	parts, at, ok := Choose(vms, full, 1, 4, start)
	is.True(ok)
	is.Equal(parts[0].VM, 1)
	is.Equal(at, start.Add(5*time.Second))
	parts, _, ok = Choose(vms, full, 2, 4, start) // the third one is free too late
	is.True(ok)
	is.Equal([]int{parts[0].VM, parts[1].VM}, []int{0, 1})
}

// Guards against a large part of a pool that waits for large tasks.
func TestFewVMsAreReserved(t *testing.T) {
	is := is.New(t)
	for vms, limit := range map[int]int{1: 1, 7: 1, 24: 3, 66: 8, 490: MaxReserved, 1800: MaxReserved} {
		is.Equal(Limit(vms), limit)
	}
}

// Guards against reservations that follow a run that does not end, or that end at the margin
// although the task fits.
func TestReservationEndsAfterTheExpectedTime(t *testing.T) {
	is := is.New(t)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	r := NewReservation(at(4), nil, start)
	is.Equal(r.Review(at(5), at(3)), Keep)
	is.Equal(r.At(), at(5))
	is.Equal(r.Review(at(7), at(6)), Keep) // the margin is half of the wait expected at first
	is.Equal(r.Review(at(6.1), at(6.1)), Keep)
	is.Equal(r.Review(at(7), at(6.1)), Overdue)

	short := NewReservation(at(0.1), nil, start)
	is.Equal(short.Review(at(1), at(0.6)), Keep) // at least half a second
	is.Equal(short.Review(at(1), at(0.7)), Overdue)

	next := NewReservation(at(40), r, at(25)) // the time since the first one counts
	is.Equal(next.Review(at(40), at(30)), Keep)
	is.Equal(next.Review(at(40), at(30.1)), Expired)
}

// Guards against tasks that delay the one that a VM is reserved for.
func TestOnlyWhatFitsBesideOrEndsBeforeIsAdmitted(t *testing.T) {
	is := is.New(t)
	r := NewReservation(start.Add(2*time.Second), nil, start)
	spare := job.Resources{MilliCPU: 1000, MemoryMB: 1000}
	fits, tooLarge := job.Resources{MilliCPU: 1000}, job.Resources{MilliCPU: 1001}
	is.True(r.Admits(fits, spare, time.Time{})) // a service beside the task
	is.True(!r.Admits(tooLarge, spare, time.Time{}))
	is.True(r.Admits(tooLarge, spare, start.Add(2*time.Second)))
	is.True(!r.Admits(tooLarge, spare, start.Add(2*time.Second+1)))
}
