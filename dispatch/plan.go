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
	e.reviewAdvance(now)
	e.stopBeforeLeave(now)
	e.consolidate(now)
	e.unplaceable.reset()
	e.unclearable.reset()
	clear(e.waitingPools)
	e.warmRoomsValid, e.warmWaits = false, 0
	e.createDue(now)
	order := e.byUrgency(now)
	for _, j := range order {
		if j.interrupted {
			e.planJob(j, true, now)
		}
	}
	e.leaveDraining(now)
	e.moveOut(order, now)
	for _, j := range order {
		e.planJob(j, false, now)
	}
	e.reserveAhead(now)
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
			if o.tasks[s] != nil && o.pending[s] > 0 && o.ready(step) {
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
	onlyReserved := false // the tasks without an advance reservation do not fit
	for _, t := range tasks {
		if t.interrupted() != interrupted || (onlyReserved && t.advance == nil) || !e.mayStartOrHolds(t, now) {
			continue
		}
		w := e.placeTask(t, tasks, now)
		if w != nil {
			if t.interrupted() || !e.awaitsWarmWorker(t, w, now) {
				e.start(t, w, t.Attempt+1, now)
			} else {
				e.waitingPools[t.Job.Queue.Pool] = true
			}
			continue
		}
		e.waitingPools[t.Job.Queue.Pool] = true
		e.markBlocked(t, now)
		switch {
		case t.interrupted():
			e.makeRoom(t, now)
		case t.keepsApart(now) || t.advance != nil:
		case e.hasReservation(step):
			onlyReserved = true
		default:
			return // the other tasks of the step do not fit either
		}
	}
}

// placeTask returns the worker for a task that may start, or nil. It skips the search if the
// task is known to fit nowhere.
func (e *Engine) placeTask(t *Task, siblings []*Task, now time.Time) *Worker {
	known := fitsUnknown
	if t.reserved == nil { // otherwise it may fit where others of its size do not
		known = e.unplaceable.covers(t, now)
	}
	switch {
	case known == fitsUnknown:
		w := e.chooseWorker(t, siblings, now, nil)
		if w == nil {
			e.unplaceable.add(t, e.lookahead.refused, now)
			e.requestAdvice(t, now)
		}
		return w
	case t.advance != nil:
		return e.reservedWorkerFor(t, now)
	case known == fitsReserved && e.lookahead.fills < maxFailedFills:
		w := e.chooseAmong(e.lookahead.workers, t, siblings, now, nil)
		if w == nil {
			e.lookahead.fills++
		}
		return w
	}
	return nil
}

// demandClass is what decides, besides its resources, where a task fits.
type demandClass struct {
	pool, image, label                     string
	service, bestEffort, urgent, outwaited bool
	// suspicion is not zero for a suspect that is kept apart from others.
	suspicion int
}

// unplaceable records, within one plan, the demands that fit on no worker. Free
// capacity only shrinks during a plan, and suspects only join workers, so another task of
// the same class that requests as much or more is not tried.
type unplaceable map[demandClass][]unplaceableSize

// unplaceableSize is a request that fits nowhere.
type unplaceableSize struct {
	resources job.Resources
	// refused is set if a worker was refused that is reserved for another task. Then tasks
	// with a shorter declared run time, or of a queue with a higher priority, may fit there.
	refused    bool
	estimateMS int64
	priority   int
}

// knownFit is what the sizes that fit nowhere tell about a task.
type knownFit int

const (
	fitsUnknown  knownFit = iota
	fitsReserved          // it may fit on workers that are reserved for others, and nowhere else
	fitsNowhere
)

// covers returns what the size tells about a task.
func (s unplaceableSize) covers(t *Task) knownFit {
	switch {
	case !s.resources.Fits(t.Step.Resources):
		return fitsUnknown
	case s.refused && (t.Step.EstimateMS < s.estimateMS || t.Job.Queue.Priority < s.priority):
		return fitsReserved
	}
	return fitsNowhere
}

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
		k.urgent, k.outwaited = t.urgent(now), t.outwaited(now)
	}
	return k
}

// covers returns what the recorded sizes tell about a task.
func (u unplaceable) covers(t *Task, now time.Time) knownFit {
	known := fitsUnknown
	for _, size := range u[classOf(t, now)] {
		known = max(known, size.covers(t))
	}
	return known
}

// add records that a task fits on no worker; refused is set if one was refused because it
// is reserved. Tasks with a limit per worker or an advisor are not recorded, because others
// may fit where they do not.
func (u unplaceable) add(t *Task, refused bool, now time.Time) {
	k := classOf(t, now)
	if t.Step.MaxPerWorker != 0 || t.Job.Queue.Advisor != nil || len(u[k]) >= maxSizesPerClass {
		return
	}
	u[k] = append(u[k], unplaceableSize{t.Step.Resources, refused, t.Step.EstimateMS, t.Job.Queue.Priority})
}

// serviceBatchWindow is how long a new service waits for others that arrive with
// it, so that they can be placed by image. It is a small part of the shortest
// time after which a service counts as missed.
const serviceBatchWindow = 150 * time.Millisecond

// mayStart reports whether a task waits only for capacity.
func (e *Engine) mayStart(t *Task, now time.Time) bool {
	if t.Done || t.elsewhere || t.held || t.givenUp() || len(t.Runs) > 0 || now.Before(t.notBefore) || e.unknownRunCounts[t.name()] > 0 {
		return false
	}
	if e.mayRunElsewhere(t, now) || e.unverified != nil && e.unverified(t.Job.Spec.ID, t.Job.hosted) {
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

// mayStartOrHolds is like mayStart. It keeps room for an interrupted task that has to wait.
func (e *Engine) mayStartOrHolds(t *Task, now time.Time) bool {
	if e.mayStart(t, now) {
		return true
	}
	if t.interrupted() {
		e.holdPlace(t, now)
	}
	return false
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
			e.markBlocked(tasks[0], now)
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
	t.recordedRuns = nil // none of them can be live
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
	e.noteStart(t, w, now)
	w.attach(r)
	e.markRequested(t.Job)
	e.markChanged(t.Job, false)
	e.bestEffortStarted = e.bestEffortStarted || t.Step.BestEffort
	e.out.Starts = append(e.out.Starts, r)
}

// NotAfterMS is the time on the worker's clock after which it rejects the start.
func (r *Run) NotAfterMS() int64 { return r.notAfterMS }

// mayDisrupt reports whether the task's step tolerates that one more task of it
// becomes unavailable.
func (e *Engine) mayDisrupt(t *Task) bool {
	limit := t.Step.MaxUnavailable
	if limit < 0 {
		return true
	}
	return t.unavailableSiblings() < max(limit, 1)
}

// serving reports whether a service task serves requests. One that another cell runs is
// presumed to serve.
func (t *Task) serving() bool {
	if t.elsewhere {
		return true
	}
	for _, r := range t.Runs {
		if r.State == RunActive && !r.stopping && r.Progress == 100 {
			return true
		}
	}
	return false
}
