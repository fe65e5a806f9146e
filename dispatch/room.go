package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// RoomRequest describes tasks of a service that another cell asks room for.
type RoomRequest struct {
	Pool, Label  string
	Resources    job.Resources
	MaxPerWorker int // zero means no limit
	Tasks        int
	// Displacing is set if other tasks that are no services may be stopped for these.
	Displacing bool
}

// RoomFor returns for how many of the requested tasks there is room beside the interrupted
// services of this cell and the tasks of earlier requests. An interrupted service takes room
// only where it could run itself.
func (e *Engine) RoomFor(r RoomRequest, earlier []RoomRequest, now time.Time) int {
	room := e.freeRoom(r.Pool, r.Displacing, now)
	if room.placesFor(r) == 0 {
		return 0
	}
	noRoom, placed := unplaceable{}, map[*job.Step]map[*Worker]int{}
	for _, tasks := range e.unplacedOf(r.Pool) {
		if noRoom.covers(tasks[0], now) != fitsUnknown {
			continue
		}
		if fit := e.takeRoom(room, tasks, placed, now); !fit && len(tasks) == 1 { // parts of a gang may fit
			noRoom.add(tasks[0], false, now)
		}
	}
	for _, other := range earlier {
		if other.Pool == r.Pool {
			room.take(other)
		}
	}
	return room.placesFor(r)
}

// workerRoom is what further tasks may use of a worker.
type workerRoom struct {
	worker *Worker
	free   job.Resources
}

// poolRoom is the room of the workers of a pool, those with the fewest free processors first, so
// that small tasks leave the large pieces to others.
type poolRoom []*workerRoom

// freeRoom returns the capacity of a pool's workers that no run uses and no task has reserved;
// with displacing, also that of tasks that are no services.
func (e *Engine) freeRoom(pool string, displacing bool, now time.Time) poolRoom {
	var room poolRoom
	for _, w := range e.workerList {
		if w.Entry.Pool != pool || !w.schedulable(now) {
			continue
		}
		free := w.unreserved()
		if displacing {
			free = free.Add(w.clearable())
		}
		room = append(room, &workerRoom{w, free})
	}
	slices.SortStableFunc(room, func(a, b *workerRoom) int { return cmp.Compare(a.free.MilliCPU, b.free.MilliCPU) })
	return room
}

// places returns how many of n tasks of a request fit on the worker.
func (w *workerRoom) places(r RoomRequest, n int) int {
	if r.Label != "" && !slices.Contains(w.worker.Entry.Labels, r.Label) {
		return 0
	}
	if r.MaxPerWorker > 0 {
		n = min(n, r.MaxPerWorker)
	}
	fit := 0
	for free := w.free; fit < n && r.Resources.Fits(free); fit++ {
		free = free.Sub(r.Resources)
	}
	return fit
}

// placesFor returns for how many tasks of a request there is room, up to all of them.
func (room poolRoom) placesFor(r RoomRequest) int {
	n := 0
	for _, w := range room {
		n += w.places(r, r.Tasks-n)
	}
	return n
}

// take takes the room of as many tasks of a request as fit.
func (room poolRoom) take(r RoomRequest) {
	left := r.Tasks
	for _, w := range room {
		fit := w.places(r, left)
		w.free = w.free.Sub(times(r.Resources, int64(fit)))
		left -= fit
	}
}

// unplacedOf returns the interrupted service tasks of a pool that no capacity is reserved for,
// the smallest first, so that larger ones need not be tried once one fits nowhere. A gang's tasks
// are returned together, and others alone.
func (e *Engine) unplacedOf(pool string) [][]*Task {
	var all [][]*Task
	for _, j := range e.jobs {
		if !j.service || j.waiting == 0 || j.held || j.Queue.Pool != pool {
			continue
		}
		for _, o := range j.occurrences {
			for s := range j.Spec.Steps {
				tasks := unplaced(o.tasks[s])
				if !j.Spec.Steps[s].Gang {
					all = slices.AppendSeq(all, slices.Chunk(tasks, 1))
				} else if len(tasks) > 0 {
					all = append(all, tasks)
				}
			}
		}
	}
	slices.SortFunc(all, func(a, b []*Task) int {
		return cmp.Or(cmp.Compare(a[0].Step.Resources.MilliCPU, b[0].Step.Resources.MilliCPU), cmp.Compare(a[0].name(), b[0].name()))
	})
	return all
}

// unplaced returns those of some tasks that are interrupted, and that no capacity is reserved for.
func unplaced(tasks []*Task) []*Task {
	var found []*Task
	for _, t := range tasks {
		if t.interrupted() && t.reserved == nil && !t.held && !t.givenUp() {
			found = append(found, t)
		}
	}
	return found
}

// takeRoom takes the room of tasks of a step if all of them fit, and reports whether they do. placed
// counts the tasks of each step that have taken room of a worker.
func (e *Engine) takeRoom(room poolRoom, tasks []*Task, placed map[*job.Step]map[*Worker]int, now time.Time) bool {
	step, need := tasks[0].Step, demand(tasks[0].Step)
	if placed[step] == nil {
		placed[step] = map[*Worker]int{}
	}
	var taken []*workerRoom
	for _, t := range tasks {
		i := slices.IndexFunc(room, func(w *workerRoom) bool {
			if !need.Fits(w.free) || !e.suits(t, w.worker, now, nil) || !e.advisorAllows(t, w.worker, now) {
				return false
			}
			return step.MaxPerWorker == 0 || e.stepTasksOn(t, w.worker, nil)+placed[step][w.worker] < step.MaxPerWorker
		})
		if i < 0 {
			for _, w := range taken {
				w.free = w.free.Add(need)
				placed[step][w.worker]--
			}
			return false
		}
		room[i].free = room[i].free.Sub(need)
		placed[step][room[i].worker]++
		taken = append(taken, room[i])
	}
	return true
}
