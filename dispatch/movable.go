package dispatch

import (
	"slices"
	"time"

	"github.com/bambooyard/bambooyard/job"
)

// MayMove reports whether an open job may be given to another cell: no start of any of its
// tasks has been requested, by this owner or a former one. Of a job that a former owner
// may have had, that is not known, because starts are recorded later than requested.
func (e *Engine) MayMove(j *Job) bool {
	if j.requested || j.inherited || j.State != job.Queued {
		return false
	}
	for t := range j.allTasks() {
		if t.inherited || t.hasRun || t.Attempt > 0 || t.Done || len(t.Runs) > 0 || e.unknownRunCounts[t.name()] > 0 {
			return false
		}
	}
	return true
}

// WaitingSince returns when an open job that has not begun could have started at the
// earliest, and whether that has passed.
func (j *Job) WaitingSince(now time.Time) (time.Time, bool) {
	since := later(j.arrived, j.dueAt(0))
	return since, !since.After(now)
}

// Requested reports whether a start of any task of the job has been requested.
func (j *Job) Requested() bool { return j.requested }

// Hold keeps the tasks of an open job from being started until Release.
func (e *Engine) Hold(id string) {
	if j := e.jobs[id]; j != nil {
		j.held = true
	}
}

// Release ends a Hold.
func (e *Engine) Release(id string) {
	if j := e.jobs[id]; j != nil {
		j.held = false
	}
}

// Remove removes a job that has been given to another cell. It may be added again.
func (e *Engine) Remove(id string) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	if !j.Started {
		e.countStarted(j)
	}
	delete(e.jobs, id)
	delete(e.copyable, id)
	delete(e.out.Changed, j)
	e.countJob(j, -1)
	delete(e.incomplete, j)
	e.addLoad(j, -1)
	e.planOrder = slices.DeleteFunc(e.planOrder, func(o *Job) bool { return o == j })
	for t := range j.allTasks() {
		e.unreserve(t)
		if t.advance != nil {
			e.release(t.advance, ReservationNotWaiting, e.now)
		}
		delete(e.tasks, t.name())
	}
	e.countCreated(j, -j.created)
	e.countHeld(-len(j.occurrences))
}

// AcceptsWork reports whether any worker of a pool is to run more work: it is listed, and
// neither about to leave nor in a data centre under evacuation. responsive reports whether
// one of them also accepts runs now.
func (e *Engine) AcceptsWork(pool string) (listed, responsive bool) {
	for _, w := range e.workerList {
		if w.Entry.Pool == pool && w.Listed && w.acceptsWork() {
			listed = true
			if responsive = w.responsive(); responsive {
				break
			}
		}
	}
	return listed, responsive
}
