package dispatch

import (
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// Plan starts every ready task for which there is capacity, the interrupted ones first,
// empties draining workers and data centres under evacuation, and consolidates services.
// Copies are started last.
func (e *Engine) Plan(now time.Time) {
	e.now = now
	e.Expire(now)
	e.expireReservations(now)
	e.leaveDraining()
	e.consolidate(now)
	e.unplaceable.reset()
	clear(e.waitingPools)
	e.warmRoomsValid = false
	order := e.byUrgency(now)
	for _, j := range order {
		if j.interrupted {
			e.planJob(j, true, now)
		}
	}
	e.moveOut(order, now)
	for _, j := range order {
		e.planJob(j, false, now)
	}
	e.planCopies(now)
}

// planJob starts the tasks of a job that may start: those that are interrupted, or the
// others.
func (e *Engine) planJob(j *Job, interrupted bool, now time.Time) {
	if j.held {
		return
	}
	for _, o := range j.occurrences {
		if now.Before(o.due) {
			continue
		}
		for s := range j.Spec.Steps {
			step := &j.Spec.Steps[s]
			if o.pending[s] > 0 && o.ready(step) {
				e.planStep(step, o.tasks[s], interrupted, now)
			}
		}
	}
}

// planStep starts the tasks of a step that may start: those that are interrupted, or
// the others. A gang is interrupted if any of its tasks is.
func (e *Engine) planStep(step *job.Step, tasks []*Task, interrupted bool, now time.Time) {
	if step.Gang {
		if slices.ContainsFunc(tasks, (*Task).interrupted) == interrupted {
			e.planGang(step, tasks, now)
		}
		return
	}
	for _, t := range tasks {
		if t.interrupted() != interrupted || !e.mayStart(t, now) {
			continue
		}
		if !t.interrupted() && e.unplaceable.covers(t, now) {
			e.waitingPools[t.Job.Queue.Pool] = true
			if t.keepsApart(now) {
				continue
			}
			return
		}
		w := e.chooseWorker(t, tasks, now, nil)
		if w == nil {
			e.unplaceable.add(t, now)
			e.waitingPools[t.Job.Queue.Pool] = true
			e.requestAdvice(t, now)
			switch {
			case t.interrupted():
				e.makeRoom(t, now)
				continue
			case t.keepsApart(now):
				continue
			}
			return // the other tasks of the step do not fit either
		}
		if !t.interrupted() && e.awaitsWarmWorker(t, w, now) {
			continue
		}
		e.start(t, w, t.Attempt+1, now)
	}
}

// demandClass is what decides, besides its resources, where a task fits.
type demandClass struct {
	pool, image, label          string
	service, bestEffort, urgent bool
	// suspicion is not zero for a suspect that is kept apart from others.
	suspicion int
}

// unplaceable records, within one plan, the demands that fit on no worker. Free
// capacity only shrinks during a plan, and suspects only join workers, so another task of
// the same class that requests as much or more is not tried.
type unplaceable map[demandClass][]job.Resources

// maxSizesPerClass limits the sizes recorded for a class. Tasks that no recorded
// size covers are tried.
const maxSizesPerClass = 8

func (u unplaceable) reset() { clear(u) }

func classOf(t *Task, now time.Time) demandClass {
	k := demandClass{pool: t.Job.Queue.Pool, label: t.Step.Label, service: t.Step.Service, bestEffort: t.Step.BestEffort}
	if t.keepsApart(now) {
		k.suspicion = min(len(t.Crashes), isolatedCrashes)
	}
	if k.bestEffort {
		k.image = t.Step.Image // services tolerate some images and not others
		k.urgent = t.urgent(now)
	}
	return k
}

// covers reports whether a task is known to fit on no worker.
func (u unplaceable) covers(t *Task, now time.Time) bool {
	for _, size := range u[classOf(t, now)] {
		if size.Fits(t.Step.Resources) {
			return true
		}
	}
	return false
}

// add records that a task fits on no worker. Tasks with a limit per worker or an
// advisor are not recorded, because others may fit where they do not.
func (u unplaceable) add(t *Task, now time.Time) {
	k := classOf(t, now)
	if t.Step.MaxPerWorker == 0 && t.Job.Queue.Advisor == nil && len(u[k]) < maxSizesPerClass {
		u[k] = append(u[k], t.Step.Resources)
	}
}

// serviceBatchWindow is how long a new service waits for others that arrive with
// it, so that they can be placed by image. It is a small part of the shortest
// time after which a service counts as missed.
const serviceBatchWindow = 150 * time.Millisecond

// mayStart reports whether a task waits only for capacity.
func (e *Engine) mayStart(t *Task, now time.Time) bool {
	if t.Done || len(t.Runs) > 0 || now.Before(t.notBefore) || e.unknownRunCounts[t.name()] > 0 {
		return false
	}
	if t.inherited && (len(e.uncontacted) > 0 || now.Before(e.directoryCompleteAt)) {
		// Also if the step allows copies: an uncontacted worker may list the end of a
		// run that a former owner was told of and did not commit.
		return false
	}
	if t.Step.Service && t.Attempt == 0 && now.Sub(t.Job.arrived) < serviceBatchWindow {
		return false
	}
	if t.readyAt.IsZero() {
		t.readyAt = now
	}
	return true
}

// planGang starts all tasks of a gang, or none.
func (e *Engine) planGang(step *job.Step, tasks []*Task, now time.Time) {
	attempt := 0
	for _, t := range tasks {
		if !e.mayStart(t, now) {
			return
		}
		attempt = max(attempt, t.Attempt)
	}
	reserved := &reservation{taken: map[*Worker]job.Resources{}, count: map[*Worker]int{}}
	chosen := make([]*Worker, len(tasks))
	for i, t := range tasks {
		w := e.chooseWorker(t, tasks, now, reserved)
		if w == nil {
			e.waitingPools[t.Job.Queue.Pool] = true
			e.requestAdvice(t, now)
			if slices.ContainsFunc(tasks, (*Task).interrupted) {
				e.makeRoomForGang(tasks, now)
			}
			return
		}
		if t.reserved == nil || t.reserved.worker != w { // otherwise it is taken already
			reserved.taken[w] = reserved.taken[w].Add(demand(step))
		}
		reserved.count[w]++
		chosen[i] = w
	}
	checkpoint := ""
	for _, t := range tasks {
		if t.Checkpoint != "" {
			checkpoint = t.Checkpoint
		}
	}
	for i, t := range tasks {
		t.Checkpoint = checkpoint
		e.start(t, chosen[i], attempt+1, now)
	}
}

// reservation is the capacity that other tasks of a gang will take.
type reservation struct {
	taken map[*Worker]job.Resources
	count map[*Worker]int
}

// start creates a run of a task and requests its start.
func (e *Engine) start(t *Task, w *Worker, attempt int, now time.Time) {
	t.Attempt = attempt
	window := e.startWindow(t, now)
	if len(t.Runs) > 0 {
		window = min(window, copyStartWindow)
		t.copied = true
	}
	r := &Run{
		isCopy: len(t.Runs) > 0, resumed: t.Checkpoint != "",
		Task: t, Worker: w, Attempt: attempt, State: RunStarting, FirstOfJob: !t.Job.requested, boot: w.boot,
		requestedAt: now, ConfirmedLimit: 100, desiredLimit: 100, Ticket: e.ticketFor(t, w, now),
		notAfterMS: w.ClockMS(now) + window.Milliseconds(),
	}
	// A start extends the worker's lease as a renewal does.
	w.leaseUntilMS = max(w.leaseUntilMS, r.notAfterMS)
	e.unreserve(t)
	w.attach(r)
	e.markRequested(t.Job)
	e.markChanged(t.Job, false)
	e.bestEffortStarted = e.bestEffortStarted || t.Step.BestEffort
	e.out.Starts = append(e.out.Starts, r)
}

// NotAfterMS is the time on the worker's clock after which it rejects the start.
func (r *Run) NotAfterMS() int64 { return r.notAfterMS }

// drainMargin is the time before a draining worker leaves at which its
// remaining runs are stopped, so that their checkpoints are saved and their ends
// are listed. Stops take up to 200 ms and a round trip.
const drainMargin = 700 * time.Millisecond

// leaveDraining moves services off draining workers, and stops all other runs there
// shortly before the workers leave.
func (e *Engine) leaveDraining() {
	for _, w := range e.workerList {
		if !w.Entry.Draining || len(w.runs) == 0 {
			continue
		}
		leaving := w.Entry.Remaining <= drainMargin
		for _, r := range w.sortedRuns() {
			if r.stopping || r.State != RunActive {
				continue
			}
			if leaving || (r.Task.Step.Service && e.mayDisrupt(r.Task)) {
				e.stop(r, StopDraining)
			}
		}
	}
}

// mayDisrupt reports whether the task's step tolerates that one more task of it
// becomes unavailable.
func (e *Engine) mayDisrupt(t *Task) bool {
	limit := t.Step.MaxUnavailable
	if limit < 0 {
		return true
	}
	return t.unavailableSiblings() < max(limit, 1)
}

// serving reports whether a service task serves requests.
func (t *Task) serving() bool {
	for _, r := range t.Runs {
		if r.State == RunActive && !r.stopping && r.Progress == 100 {
			return true
		}
	}
	return false
}
