package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// A worker is cold for a while after its start: tasks run slowly on it. After an evacuation,
// most workers of the data centre are. The directory tells for how long each remains cold.
// Where evacuations are in force, a cold worker is rated by the time that a task would lose
// there, and a task waits for a warm one if that costs less. Elsewhere each cold worker has
// the same penalty.
// coldSlowdown is how many times longer tasks are assumed to run on a cold worker; the
// platform does not tell it.
const coldSlowdown = 2.0

// maxWarmWaits is the number of tasks that wait for a warm worker in a plan. Each is searched
// for again in every plan, among all workers: 5,000 tasks took 1.3 s at 1,800 workers.
const maxWarmWaits = 64

// ratesCold reports whether cold workers are rated by the time that is lost on them.
func (e *Engine) ratesCold() bool { return e.options.MaxEvacuation > 0 }

// setCold records for how long a worker remains cold after the read of the list.
func (w *Worker) setCold(warmUp time.Duration, readAt time.Time) {
	switch {
	case warmUp > 0:
		w.coldUntil = readAt.Add(warmUp)
	case w.coldUntil.After(readAt):
		w.coldUntil = readAt
	}
}

// coldLoss returns how much longer a task would run on a worker because that is cold.
func coldLoss(t *Task, w *Worker, now time.Time) time.Duration {
	left := w.coldUntil.Sub(now)
	if left <= 0 {
		return 0
	}
	loss := left - time.Duration(float64(left)/coldSlowdown)
	if estimate := time.Duration(t.Step.EstimateMS) * time.Millisecond; !t.Step.Service && estimate > 0 {
		loss = min(loss, time.Duration((coldSlowdown-1)*float64(estimate)))
	}
	return loss
}

// coldPenalty returns the penalty of a worker because it is cold.
func (e *Engine) coldPenalty(t *Task, w *Worker) float64 {
	switch {
	case e.ratesCold():
		return penaltyPerMS * float64(coldLoss(t, w, e.now).Milliseconds())
	case w.Entry.WarmUp > 0:
		return penaltyCold
	}
	return 0
}

// warmRoom is the room that becomes free on a warm worker with the expected ends of its runs.
type warmRoom struct {
	worker *Worker
	// ends are the runs that are expected to end, the earliest first, of which the first taken
	// have been claimed by waiting tasks. room is what is free then.
	ends  []expectedEnd
	taken int
	room  job.Resources
}

type expectedEnd struct {
	left   time.Duration
	demand job.Resources
}

// awaitsWarmWorker reports whether a task that could start on a worker should wait, because
// that is cold and a warm one is expected to have room in less time than the task would lose.
// Each expected end is claimed by one task in a plan. A task waits for no longer in all than it
// would lose.
func (e *Engine) awaitsWarmWorker(t *Task, w *Worker, now time.Time) bool {
	if !e.ratesCold() || t.Step.Service || e.warmWaits >= maxWarmWaits {
		return false
	}
	loss := coldLoss(t, w, now)
	if loss <= 0 || now.Sub(t.readyAt) >= loss {
		return false
	}
	if !e.warmRoomsValid {
		e.warmRooms, e.warmRoomsValid = e.expectWarmRoom(now), true
	}
	for _, room := range e.warmRooms {
		if len(room.ends) > 0 && room.ends[0].left < loss && e.suits(t, room.worker, now, nil) && room.claim(demand(t.Step), loss) {
			e.warmWaits++
			return true
		}
	}
	return false
}

// expectWarmRoom returns the room that becomes free on warm workers, the earliest first.
func (e *Engine) expectWarmRoom(now time.Time) []*warmRoom {
	var rooms []*warmRoom
	for _, w := range e.workerList {
		if w.coldUntil.After(now) || !w.schedulable(now) {
			continue
		}
		room := &warmRoom{worker: w, room: w.unreserved()}
		for _, r := range w.sortedRuns() {
			if at := e.expectedEnd(r, endProbability, now); !at.IsZero() {
				room.ends = append(room.ends, expectedEnd{at.Sub(now), demand(r.Task.Step)})
			}
		}
		if len(room.ends) == 0 {
			continue
		}
		slices.SortStableFunc(room.ends, func(a, b expectedEnd) int { return cmp.Compare(a.left, b.left) })
		rooms = append(rooms, room)
	}
	slices.SortFunc(rooms, func(a, b *warmRoom) int {
		return cmp.Or(cmp.Compare(a.ends[0].left, b.ends[0].left), cmp.Compare(a.worker.Entry.ID, b.worker.Entry.ID))
	})
	return rooms
}

// claim takes room for a demand that becomes free within a time. It reports false if there is
// none, or if the demand fits at present: then another reason speaks against the worker.
func (r *warmRoom) claim(d job.Resources, within time.Duration) bool {
	room := r.room
	if r.taken == 0 && d.Fits(room) {
		return false
	}
	for i := r.taken; ; i++ {
		if d.Fits(room) {
			r.room, r.taken = room.Sub(d), i
			return true
		}
		if i == len(r.ends) || r.ends[i].left >= within {
			return false
		}
		room = room.Add(r.ends[i].demand)
	}
}
